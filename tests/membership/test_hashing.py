"""Tests of the assignment of shared tasks by rendezvous hashing and rank."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.membership import (
    InstanceList,
    ListEntry,
    MemberKind,
    MembershipView,
    rank,
    rendezvous_select,
    successors,
)

FIXED = settings(derandomize=True, max_examples=100, deadline=None, database=None)
NAMES = st.sets(st.text("abcdef0123456789", min_size=1, max_size=6), min_size=1, max_size=12)
CENTRES = ("v.1", "v.2", "v.3")


def listing(instances, runners):
    entries = [ListEntry(f"i{n}", MemberKind.ENTRY, "x:1", c) for n, c in sorted(instances.items())]
    entries += [ListEntry(f"r{n}", MemberKind.RUNNER, "x:1", c) for n, c in sorted(runners.items())]
    return InstanceList(1, tuple(entries))


PLACED = st.dictionaries(st.integers(0, 30), st.sampled_from(CENTRES), min_size=1, max_size=12)


class ProbeTest(unittest.TestCase):
    @FIXED
    @given(PLACED, PLACED)
    def test_every_runner_is_probed(self, instances, runners):
        """Guard against a runner that no instance probes."""
        content = listing(instances, runners)
        probed: dict[str, list[str]] = {}
        for number in instances:
            view = MembershipView(f"i{number}")
            view.apply_list(content, 0)
            for entry, position in view.probe_assignments(0):
                probed.setdefault(entry.id, []).append(f"i{number}")
                self.assertEqual(view.probers(entry.id, 0)[position], f"i{number}")
        for number, centre in runners.items():
            local = [n for n, c in instances.items() if c == centre] or list(instances)
            self.assertEqual(len(probed.get(f"r{number}", [])), min(2, len(local)))
            view = MembershipView(f"i{local[0]}")
            view.apply_list(content, 0)
            self.assertCountEqual(view.probers(f"r{number}", 0), probed[f"r{number}"])

    @FIXED
    @given(NAMES, NAMES)
    def test_removed_instance_moves_only_its_own_runners(self, instances, runners):
        """Guard against a single failure that reassigns the probes of the whole data centre."""
        removed = min(instances)
        for name in runners:
            before = rendezvous_select(name, instances, 2)
            after = rendezvous_select(name, instances - {removed}, 2)
            if removed not in before:
                self.assertEqual(before, after)
            else:
                self.assertLessEqual(set(before) - {removed}, set(after))


class RankTest(unittest.TestCase):
    @FIXED
    @given(NAMES)
    def test_ranks_are_the_positions_in_id_order(self, names):
        """Guard against two instances with the same rank."""
        self.assertEqual(
            sorted(names, key=lambda name: rank(name, names)),
            sorted(names),
        )
        self.assertEqual({rank(name, names) for name in names}, set(range(len(names))))

    @FIXED
    @given(NAMES)
    def test_second_successor_takes_over_from_the_first(self, names):
        """Guard against usage counters that no instance holds after two instances fail together."""
        for name in names:
            first, *rest = successors(name, names, 3) or ("",)
            self.assertNotIn(name, (first, *rest))
            if rest:
                self.assertEqual(successors(name, names - {first}, 1), (rest[0],))


if __name__ == "__main__":
    unittest.main()
