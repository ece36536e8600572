"""Tests of the membership view: precedence of its sources and protection against bad lists."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.membership import (
    InstanceList,
    ListedState,
    ListEntry,
    ListOutcome,
    MemberKind,
    MembershipView,
    MemberState,
    parse_list,
)

FIXED = settings(derandomize=True, max_examples=150, deadline=None, database=None)


def runner(member_id, state=ListedState.LIVE, data_centre="v.1"):
    return ListEntry(member_id, MemberKind.RUNNER, "127.0.0.1:1", data_centre, state)


def instance(member_id, state=ListedState.LIVE, data_centre="v.1"):
    return ListEntry(member_id, MemberKind.ENTRY, "127.0.0.1:1", data_centre, state, "127.0.0.1:2")


def listing(version, runners, instances=("a", "b", "c")):
    entries = [instance(name) for name in instances] + [runner(name) for name in runners]
    return InstanceList(version, tuple(entries))


RUNNERS = tuple(f"r{n}" for n in range(8))


class ParseTest(unittest.TestCase):
    def test_invalid_entry_does_not_hide_the_others(self):
        """Guard against one malformed entry that keeps a leaving upstream in use."""
        body = (
            b'{"version": 3, "entries": [{"id": 5}, {"id": "r", "kind": "runner",'
            b' "address": "127.0.0.1:1", "data_centre": "d", "state": "leaving",'
            b' "models": ["m"], "service": null, "fenced": true, "new_field": 1}]}'
        )
        parsed = parse_list(body).ok_value
        self.assertEqual(parsed.rejected, 1)
        self.assertEqual(parsed.entries[0].state, ListedState.LEAVING)
        self.assertEqual(parsed.entries[0].models, ("m",))

    def test_body_that_is_no_list_is_an_error(self):
        """Guard against an error page that is taken for an empty list."""
        for body in (b"", b"<html>", b"[]", b'{"version": "x", "entries": []}', b"\xff\xfe"):
            self.assertTrue(parse_list(body).is_err(), body)


class ShrunkenListTest(unittest.TestCase):
    def setUp(self):
        self.view = MembershipView("a")
        self.view.apply_list(listing(1, RUNNERS), 0)

    def live(self, now_ms):
        members = self.view.members(now_ms, MemberKind.RUNNER)
        return [m.entry.id for m in members if m.state is MemberState.LIVE]

    def test_empty_list_never_removes_responding_members(self):
        """Guard against an empty response of the list service that stops all work."""
        for version in range(2, 12):
            outcome = self.view.apply_list(InstanceList(version), version * 1_000)
            self.assertEqual(outcome, ListOutcome.HELD)
        self.assertEqual(self.live(11_000), list(RUNNERS))

    def test_shrunken_list_is_applied_after_three_readings(self):
        """Guard against a list that is being rebuilt and removes most of the fleet at once."""
        small = listing(2, RUNNERS[:2])
        self.assertEqual(self.view.apply_list(small, 500), ListOutcome.HELD)
        self.assertEqual(self.view.apply_list(small, 1_000), ListOutcome.HELD)
        self.assertEqual(self.live(1_000), list(RUNNERS))
        self.assertEqual(self.view.apply_list(small, 1_500), ListOutcome.APPLIED)
        self.assertEqual(self.live(1_500), list(RUNNERS[:2]))
        self.assertEqual(self.view.state("r7", 1_500), MemberState.FORGOTTEN)

    def test_empty_list_does_not_remove_a_single_member(self):
        """Guard against an empty response that removes the only member of a kind."""
        view = MembershipView("a")
        view.apply_list(InstanceList(1, (runner("r"), *listing(1, ()).entries)), 0)
        for version in range(2, 9):
            view.apply_list(InstanceList(version), version * 1_000)
        self.assertEqual(view.state("r", 9_000), MemberState.LIVE)
        for version in range(9, 12):
            view.apply_list(listing(version, ()), version * 1_000)
        self.assertEqual(view.state("r", 12_000), MemberState.FORGOTTEN)

    def test_list_without_any_runner_does_not_remove_them(self):
        """Guard against a part of the list that is missing for more than a few readings."""
        for version in range(2, 12):
            self.view.apply_list(listing(version, ()), version * 1_000)
        self.assertEqual(self.live(11_000), list(RUNNERS))

    def test_complete_reading_resets_the_confirmation(self):
        """Guard against separate short readings that add up to a removal."""
        for version in range(2, 14, 2):
            self.view.apply_list(listing(version, RUNNERS[:2]), version * 1_000)
            self.view.apply_list(listing(version + 1, RUNNERS), version * 1_000 + 500)
        self.assertEqual(self.live(13_500), list(RUNNERS))

    def test_single_missing_runner_is_forgotten_immediately(self):
        """Guard against new work for an upstream that is no longer listed."""
        self.view.observe("r7", True, 400)
        self.assertEqual(self.view.apply_list(listing(2, RUNNERS[:7]), 500), ListOutcome.APPLIED)
        self.assertEqual(self.view.state("r7", 500), MemberState.FORGOTTEN)

    def test_unresponsive_member_that_is_not_listed_is_removed(self):
        """Guard against records of replaced upstreams that accumulate."""
        self.view.apply_list(listing(2, RUNNERS[:7]), 500)
        for now_ms in range(1_000, 70_000, 500):
            self.view.observe("r7", False, now_ms)
            self.view.apply_list(listing(2, RUNNERS[:7]), now_ms)
        self.assertIsNone(self.view.state("r7", 70_000))


class ObservationTest(unittest.TestCase):
    def setUp(self):
        self.view = MembershipView("a")
        self.view.apply_list(listing(1, RUNNERS), 0)

    def test_observed_failure_takes_precedence_over_the_list(self):
        """Guard against work for a failed runner that is still listed as live."""
        self.view.observe("r1", False, 100)
        self.view.apply_list(listing(2, RUNNERS), 200)
        self.assertEqual(self.view.state("r1", 200), MemberState.DOWN)

    def test_runner_is_live_while_one_prober_reaches_it(self):
        """Guard against one instance's network failure that marks a runner as down everywhere."""
        self.view.observe("r1", False, 100, observer="b")
        self.view.observe("r1", True, 90, observer="c")
        self.assertEqual(self.view.state("r1", 200), MemberState.LIVE)
        self.view.observe("r1", False, 250, observer="c")
        self.assertEqual(self.view.state("r1", 300), MemberState.DOWN)

    def test_reports_override_an_old_local_failure(self):
        """Guard against a restarted runner that stays down at instances that do not probe it."""
        self.view.observe("r1", False, 100)
        self.view.observe("r1", True, 3_000, observer="b")
        self.assertEqual(self.view.state("r1", 3_000), MemberState.DOWN)
        self.assertEqual(self.view.state("r1", 3_200), MemberState.LIVE)

    def test_instance_without_heartbeats_is_down(self):
        """Guard against shared tasks that stay assigned to a dead instance."""
        self.view.observe_heartbeat("b", 7, 1, False, 9_000)
        self.assertEqual(self.view.ranked_instances(12_000), ("a", "b"))
        self.assertFalse(self.view.observe_heartbeat("b", 7, 1, False, 19_000))
        self.assertEqual(self.view.ranked_instances(20_000), ("a",))

    def test_any_new_entry_of_an_instance_shows_that_it_is_running(self):
        """Guard against an instance that counts as dead although its load reports arrive."""
        self.view.observe_heartbeat("b", 7, 3, False, 0)
        self.view.observe_entry("b", 7, 9, 9_000)
        self.assertIn("b", self.view.ranked_instances(18_000))
        self.view.observe_entry("b", 7, 4, 18_000)
        self.assertNotIn("b", self.view.ranked_instances(20_000))

    def test_heartbeat_timeout_between_data_centres_grows_with_the_fleet(self):
        """Guard against a whole data centre that counts as dead because summaries are slow."""
        view = MembershipView("a", "v.1")
        others = [instance(f"i{n:02d}", data_centre="v.2") for n in range(98)]
        entries = (instance("a"), instance("b"), *others)
        view.apply_list(InstanceList(1, entries), 0)
        self.assertEqual(len(view.ranked_instances(39_000)), 99)
        self.assertEqual(view.ranked_instances(41_000), ("a",))

    def test_small_fleet_detects_a_dead_data_centre_quickly(self):
        """Guard against runners that no instance probes because their only instance failed."""
        view = MembershipView("a", "v.1")
        entries = (instance("a"), instance("c", data_centre="v.2"), runner("r", data_centre="v.2"))
        view.apply_list(InstanceList(1, entries), 0)
        self.assertEqual(view.probe_assignments(10_000), ())
        self.assertEqual([e.id for e, _ in view.probe_assignments(11_000)], ["r"])

    def test_restarted_instance_is_live_again(self):
        """Guard against an id that stays leaving after its machine was replaced."""
        self.view.observe_heartbeat("b", 7, 1, True, 100)
        self.assertEqual(self.view.state("b", 100), MemberState.LEAVING)
        self.view.observe_heartbeat("b", 7, 2, False, 200)
        self.assertEqual(self.view.state("b", 200), MemberState.LEAVING)
        self.view.observe_heartbeat("b", 8, 1, False, 300)
        self.assertEqual(self.view.state("b", 300), MemberState.LIVE)

    def test_late_report_of_an_earlier_boot_does_not_end_a_departure(self):
        """Guard against new work for a leaving runner after a delayed report."""
        self.view.observe("r1", True, 100, observer="b", boot_id="first")
        self.view.observe("r1", True, 200, observer="b", boot_id="second", leaving=True)
        self.view.observe("r1", True, 300, observer="c", boot_id="first")
        self.assertEqual(self.view.state("r1", 300), MemberState.LEAVING)
        self.view.observe("r1", True, 400, observer="c", boot_id="third")
        self.assertEqual(self.view.state("r1", 400), MemberState.LIVE)


LIST_READING = st.tuples(st.just("list"), st.integers(0, 12), st.sampled_from(list(ListedState)))
HEARTBEAT = st.tuples(st.just("beat"), st.integers(1, 3), st.integers(1, 9))
OBSERVATION = st.tuples(st.just("see"), st.booleans(), st.sampled_from([None, "b", "c"]))


class DrainTest(unittest.TestCase):
    def test_drain_applies_to_upstreams_only(self):
        """Guard against a configuration that excludes an instance from shared tasks."""
        view = MembershipView("a")
        view.set_drained(("r0", "b"))
        view.apply_list(listing(1, ("r0", "r1")), 0)
        states = [view.state(name, 0) for name in ("r0", "r1", "b")]
        self.assertEqual(states, [MemberState.DRAINED, MemberState.LIVE, MemberState.LIVE])
        view.observe("r0", False, 1)
        self.assertEqual((view.state("r0", 1), view.is_drained("r0")), (MemberState.DOWN, True))

    def test_evacuation_applies_to_upstreams_of_the_data_centre(self):
        """Guard against upstreams that get work, or instances that do not, in an evacuation."""
        view = MembershipView("a")
        view.apply_list(listing(1, ("r0", "r1")), 0)
        data_centre = next(m.entry.data_centre for m in view.members(0) if m.entry.id == "r0")
        view.set_evacuated((data_centre,))
        states = {m.entry.kind: view.state(m.entry.id, 0) for m in view.members(0)}
        self.assertEqual(states[MemberKind.RUNNER], MemberState.DRAINED)
        self.assertEqual(states[MemberKind.ENTRY], MemberState.LIVE)
        view.set_evacuated(())
        self.assertEqual(view.state("r0", 0), MemberState.LIVE)


class LeavingPropertyTest(unittest.TestCase):
    @FIXED
    @given(st.lists(st.one_of(LIST_READING, HEARTBEAT, OBSERVATION), max_size=40), st.booleans())
    def test_leaving_member_does_not_return_by_old_list_or_heartbeat(self, steps, of_instance):
        """Guard against new work for a leaving member after a stale list or a late heartbeat."""
        make, target = (instance, "b") if of_instance else (runner, "r0")
        view = MembershipView("a", heartbeat_timeout_ms=10**9)
        others = tuple(instance(name) for name in ("a", "c", "d")) + (runner("r1"),)
        view.apply_list(InstanceList(5, (*others, make(target, ListedState.LEAVING))), 0)
        leaving_version = 5
        for now_ms, (kind, first, second) in enumerate(steps, start=1):
            if kind == "list":
                view.apply_list(InstanceList(first, (*others, make(target, second))), now_ms)
                if second is ListedState.LEAVING:
                    leaving_version = max(leaving_version, first)
                elif first > leaving_version:
                    return  # A newer list may bring the member back.
            elif kind == "beat":
                view.observe_heartbeat(target, first, second, False, now_ms)
            else:
                view.observe(target, first, now_ms, observer=second, boot_id=f"boot{now_ms}")
            self.assertIn(view.state(target, now_ms), (MemberState.LEAVING, MemberState.DOWN))


if __name__ == "__main__":
    unittest.main()
