"""Tests of the choice of the instance from which the store's topics are read.

The load pattern is a fleet of hundreds of instances, most of which the store turns away.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.hubs import Candidate, HubRanking, SourceSelection
from ibispaddle_core.hubs.sources import (
    EXCLUSION_MS,
    MAX_CONNECTIONS_AT_ONCE,
    MAX_DEAD_HUBS,
    MAX_RANKED_SUBSTITUTES,
    MAX_SAMPLED_SUBSTITUTES,
    MAX_STALE_HUBS,
    MIN_LONGEST_PAUSE_MS,
    MIN_READING_MS,
    MIN_SEARCH_PAUSE_MS,
    SECONDHAND_PAUSE_MS,
    STALE_EXCLUSION_MS,
    Source,
)

NAMES = "abcdef"
STEP_MS = 10
# Queries that a hub may get from the whole fleet while nobody has recent data.
MAX_QUERIES_PER_S = 200


def selection(own: str, names: list[str] | str = NAMES) -> SourceSelection:
    """Return the selection of an instance; the others rank by their order in `names`."""
    ranking = HubRanking(own)
    ranking.replace_candidates(
        Candidate(name, f"{name}:1", capacity=1_000.0 - number) for number, name in enumerate(names)
    )
    return SourceSelection(ranking)


def ask_in_turn(sources: SourceSelection, count: int, now_ms: int = 0) -> list[str | None]:
    """Return the instances that a search asks one after the other, none of which has recent data."""
    asked = []
    for _ in range(count):
        source = sources.choose(now_ms, is_store_unavailable=True, is_data_old=True)
        asked.append(source.instance_id)
        if source.instance_id is not None:
            sources.mark_stale(source.instance_id, now_ms)
    return asked


class HubTest(unittest.TestCase):
    def test_first_hub_reads_the_store(self) -> None:
        source = selection("a").choose(0, is_store_unavailable=False, is_data_old=True)
        self.assertEqual(source, Source(reads_store=True))

    def test_hub_stays_the_same(self) -> None:
        """Guards against connections to all hubs in turn."""
        sources = selection("d")
        self.assertEqual(sources.choose(0, False, False), Source("a"))
        sources.mark_stale("a", 0)
        self.assertEqual(sources.choose(10, False, False), Source("b"))
        self.assertEqual(sources.choose(STALE_EXCLUSION_MS, False, False), Source("b"))

    def test_store_is_unavailable_to_all(self) -> None:
        """Guards against hundreds of instances that call an unavailable store."""
        names = [f"i{number:03d}" for number in range(MAX_STALE_HUBS + 2)]
        sources = selection(names[-1], names)
        for name in names[: MAX_STALE_HUBS - 1]:
            sources.mark_stale(name, 0)
        self.assertFalse(sources.are_all_stale(0))
        sources.mark_stale(names[MAX_STALE_HUBS - 1], 0)
        self.assertTrue(sources.are_all_stale(0))
        self.assertEqual(sources.choose(0, False, False), Source(names[0]))

    def test_unresponsive_hubs(self) -> None:
        sources = selection("f")
        for name in NAMES[:MAX_DEAD_HUBS]:
            sources.mark_unresponsive(name, 0)
        self.assertEqual(sources.choose(0, False, False), Source(reads_store=True))
        sources.mark_responsive("b")
        self.assertEqual(sources.choose(0, False, False).instance_id, "b")


class ConnectionTest(unittest.TestCase):
    def test_first_hub_connects_to_the_others(self) -> None:
        self.assertEqual(selection("a").unconnected(["c", "x"], 0), tuple("bdef"))

    def test_others_connect_to_nobody(self) -> None:
        """Guards against connections between all instances of a fleet of hundreds."""
        for name in NAMES[1:]:
            self.assertEqual(selection(name).unconnected([], 0), ())

    def test_first_hub_that_does_not_respond(self) -> None:
        """Guards against instances to which nobody connects while the first one is suspended."""
        sources = selection("b")
        sources.mark_unresponsive("a", 0)
        self.assertEqual(sources.unconnected([], 10), tuple("acdef"))
        self.assertEqual(sources.unconnected([], EXCLUSION_MS), ())

    def test_unreachable_instances(self) -> None:
        """Guards against a started instance that waits behind hundreds that are gone, and bounds the attempts."""
        names = [f"n{number:03}" for number in range(1 + 3 * MAX_CONNECTIONS_AT_ONCE)]
        sources = selection("n000", names)
        tried = [sources.unconnected([], 0) for _ in range(3)]
        self.assertEqual([name for chosen in tried for name in chosen], names[1:])
        # One that was connected meanwhile, and is lost again, comes first.
        sources.unconnected(["n040"], 0)
        chosen = sources.unconnected([], 0)
        self.assertEqual(chosen[0], "n040")
        self.assertEqual(len(chosen), MAX_CONNECTIONS_AT_ONCE)


class SubstituteTest(unittest.TestCase):
    def test_first_hub_that_the_store_turns_away(self) -> None:
        """Guards against a first hub that keeps an old configuration although its neighbours have the new one."""
        sources = selection("a")
        self.assertEqual(ask_in_turn(sources, 6), [*"bcdef", None])
        self.assertTrue(sources.current.reads_store)

    def test_hub_that_has_excluded_its_hubs(self) -> None:
        """Guards against the same at an instance further down whose hubs are excluded for seconds."""
        sources = selection("c")
        sources.mark_stale("a", 0)
        sources.mark_stale("b", 0)
        # Those that had no recent data a moment ago are asked last.
        self.assertEqual(ask_in_turn(sources, 5), [*"defab"])

    def test_store_that_serves_only_the_last(self) -> None:
        """Guards against instances that wait for a hub while the last one by rank has recent data."""
        names = [f"i{number:03d}" for number in range(MAX_STALE_HUBS + 2)]
        sources = selection(names[-2], names)
        for name in names[:MAX_STALE_HUBS]:
            sources.mark_stale(name, 0)
        asked = ask_in_turn(sources, MAX_RANKED_SUBSTITUTES + MAX_SAMPLED_SUBSTITUTES)
        # Those that had no recent data a moment ago are asked last.
        self.assertEqual(asked[0], names[-1])
        self.assertFalse(sources.current.reads_store)

    def test_found_substitute_stays(self) -> None:
        sources = selection("a")
        ask_in_turn(sources, 2)
        source = sources.choose(0, True, True)
        self.assertEqual(source.instance_id, "d")
        self.assertEqual(sources.mark_recent("d"), 2)
        later_ms = 10 * MIN_SEARCH_PAUSE_MS
        self.assertEqual(sources.choose(later_ms, True, is_data_old=False).instance_id, "d")
        self.assertEqual(sources.mark_recent("d"), 0)

    def test_late_answer(self) -> None:
        """Guards against a search that goes on although one of those asked has answered late."""
        sources = selection("a")
        sources.choose(0, True, True)
        sources.mark_unresponsive("b", 200)
        self.assertEqual(sources.choose(200, True, True).instance_id, "c")
        self.assertTrue(sources.is_searching)
        sources.mark_responsive("b")
        sources.mark_recent("b")
        self.assertFalse(sources.is_searching)
        self.assertEqual(sources.choose(210, True, is_data_old=False).instance_id, "b")

    def test_store_whose_answers_hold_too_little(self) -> None:
        """Guards against a hub that queries nobody because the store answers it, if with old data."""
        sources = selection("a")
        sources.choose(0, False, is_data_old=True, is_read_recent=False)
        source = sources.choose(MIN_READING_MS, False, is_data_old=True, is_data_overdue=True)
        self.assertEqual(source, Source("b", is_substitute=True, reads_store=True))
        sources.mark_recent("b")
        # The data is recent, but not by the store's own answers.
        later_ms = MIN_READING_MS + STEP_MS
        source = sources.choose(later_ms, False, is_data_old=False, is_read_recent=False)
        self.assertEqual(source, Source("b", is_substitute=True, reads_store=True))
        self.assertTrue(sources.is_store_behind)
        self.assertEqual(sources.choose(later_ms, False, False), Source(reads_store=True))
        self.assertFalse(sources.is_store_behind)

    def test_instance_that_has_just_left_its_hub(self) -> None:
        """Guards against instances that count as cut off, one after the other, before they have read the store."""
        sources = selection("b")
        sources.choose(0, False, False)
        sources.mark_unresponsive("a", 5_000)
        for now_ms in range(5_000, 5_000 + MIN_READING_MS, STEP_MS):
            source = sources.choose(now_ms, False, True, is_data_overdue=True, is_read_recent=False)
            self.assertEqual(source, Source(reads_store=True))

    def test_overdue_data_of_a_hub(self) -> None:
        """Guards against followers that stop reading the store because their hub's data is old."""
        sources = selection("e")
        sources.choose(0, False, False)
        source = sources.choose(10, False, True, is_data_overdue=True, is_read_recent=False)
        self.assertEqual(source, Source("a"))
        self.assertFalse(sources.is_store_behind)

    def test_end_of_an_exclusion(self) -> None:
        """Guards against an instance that reads the store after its hubs have returned."""
        sources = selection("d")
        for name in "abc":
            sources.mark_unresponsive(name, 100)
        self.assertEqual(sources.choose(100, False, False), Source(reads_store=True))
        self.assertEqual(sources.next_choice_ms(100), 100 + EXCLUSION_MS)
        self.assertEqual(sources.choose(100 + EXCLUSION_MS, False, False), Source("a"))

    def test_substitute_that_is_turned_away_later(self) -> None:
        sources = selection("a")
        sources.mark_recent(sources.choose(0, True, True).instance_id or "")
        sources.mark_stale("b", 50)
        self.assertEqual(sources.choose(50, True, is_data_old=False).instance_id, "c")

    def test_substitute_that_dies(self) -> None:
        sources = selection("a")
        sources.mark_recent(sources.choose(0, True, True).instance_id or "")
        sources.mark_unresponsive("b", 50)
        self.assertEqual(sources.choose(50, True, True).instance_id, "c")

    def test_return_of_the_store(self) -> None:
        """Guards against a hub that keeps querying others although the store serves it again."""
        sources = selection("a")
        sources.mark_recent(sources.choose(0, True, True).instance_id or "")
        self.assertEqual(sources.choose(50, False, False), Source(reads_store=True))
        self.assertIsNone(sources.next_choice_ms(50))

    @settings(max_examples=5, deadline=None)
    @given(st.sampled_from([2, 6, 30, 300]))
    def test_rounds_in_vain(self, count: int) -> None:
        """Guards against a first hub that hundreds of instances query while the store serves nobody."""
        names = [f"i{number:03d}" for number in range(count)]
        sources = selection(names[0], names)
        times_ms = []
        for now_ms in range(0, 20_000, STEP_MS):
            source = sources.choose(now_ms, True, True)
            if source.instance_id == names[1]:
                times_ms.append(now_ms)
            if source.instance_id is not None:
                sources.mark_stale(source.instance_id, now_ms)
        gaps_ms = [after - before for before, after in zip(times_ms, times_ms[1:], strict=False)]
        round_ms = STEP_MS * min(count, MAX_RANKED_SUBSTITUTES + MAX_SAMPLED_SUBSTITUTES)
        self.assertLessEqual(gaps_ms[0], MIN_SEARCH_PAUSE_MS + round_ms)
        self.assertEqual(gaps_ms, sorted(gaps_ms))
        self.assertGreaterEqual(gaps_ms[-1], MIN_LONGEST_PAUSE_MS)
        self.assertLessEqual(count * 1_000 / gaps_ms[-1], MAX_QUERIES_PER_S)

    def test_only_instances_that_are_cut_off_as_well_have_recent_data(self) -> None:
        """Guards against a pause that grows beyond the time in force while data spreads through others."""
        sources = selection("a")
        asked_ms = []
        for now_ms in range(0, 20_000, STEP_MS):
            source = sources.choose(now_ms, True, is_data_old=False)
            if source.instance_id is not None:
                sources.mark_stale(source.instance_id, now_ms)
                asked_ms.append(now_ms)
        gaps_ms = [after - before for before, after in zip(asked_ms, asked_ms[1:], strict=False)]
        self.assertLessEqual(max(gaps_ms), SECONDHAND_PAUSE_MS + STEP_MS)

    @settings(max_examples=30, deadline=None)
    @given(st.integers(20, 300))
    def test_sample_of_a_large_fleet(self, count: int) -> None:
        """Guards against connections of all to all."""
        names = [f"i{number:03d}" for number in range(count)]
        sources = selection(names[0], names)
        bound = MAX_RANKED_SUBSTITUTES + MAX_SAMPLED_SUBSTITUTES
        asked = ask_in_turn(sources, min(bound, count - 1))
        self.assertEqual(asked[:MAX_RANKED_SUBSTITUTES], names[1 : MAX_RANKED_SUBSTITUTES + 1])
        self.assertEqual(len(set(asked)), min(bound, count - 1))

    def test_unlisted_instances(self) -> None:
        """Guards against a process that cannot read the list, although others are connected to it."""
        sources = selection("a", "a")
        source = sources.choose(0, True, True, connected=("x",))
        self.assertEqual(source.instance_id, "x")


if __name__ == "__main__":
    unittest.main()
