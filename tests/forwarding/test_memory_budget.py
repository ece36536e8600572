"""Tests of the decisions about slow callers and upstreams, without a network."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.forwarding import (
    MemoryBudget,
    Pauses,
    SlowPeer,
    callers_to_give_up,
    has_stopped_reading,
    pause_limit,
    resume_limit,
    senders_to_give_up,
)
from ibispaddle_core.forwarding.memory_budget import MEGABYTE, READ_BYTES

MEMORY = 200 * MEGABYTE
# What an instance needs for itself: the process with its libraries, routes and lists.
PROCESS_BYTES = 55 * MEGABYTE
MAX_UNSENT_BYTES = 262_144


class BudgetTest(unittest.TestCase):
    def test_all_budgets_fit_in_the_memory_beside_the_process(self) -> None:
        """Load: every kind of buffer of the smallest instance is full at once."""
        budget = MemoryBudget.from_memory(MEMORY)
        held = budget.unread_responses + budget.request_bodies + budget.request_heads
        held += budget.incomplete_responses + budget.buffered_calls
        self.assertLess(held + PROCESS_BYTES, MEMORY)

    def test_stated_sizes_replace_the_shares(self) -> None:
        budget = MemoryBudget.from_memory(MEMORY, request_bodies=5_000_000)
        self.assertEqual((budget.request_bodies, budget.unread_responses), (5_000_000, 36_000_000))


class PauseLimitTest(unittest.TestCase):
    def test_single_slow_caller_has_the_limit_of_the_configuration(self) -> None:
        """Load: one slow caller at an idle instance, which is served as without a budget."""
        budget = MemoryBudget.from_memory(MEMORY)
        room = budget.room(200_000, 1)
        self.assertEqual(pause_limit(MAX_UNSENT_BYTES, room), MAX_UNSENT_BYTES / 2)
        self.assertEqual(resume_limit(MAX_UNSENT_BYTES, room), MAX_UNSENT_BYTES / 4)

    def test_many_slow_callers_share_the_budget(self) -> None:
        """Load: 20 to 200 callers that read nothing, each with a response of megabytes, in any order."""
        budget = MemoryBudget.from_memory(MEMORY)
        for callers in (20, 100, 200):
            rng = random.Random(callers)
            unread = [0] * callers
            paused: set[int] = set()
            while len(paused) < callers:
                number = rng.choice([n for n in range(callers) if n not in paused])
                unread[number] += READ_BYTES
                room = budget.room(sum(unread), len(paused))
                if unread[number] > pause_limit(MAX_UNSENT_BYTES, room):
                    paused.add(number)
            with self.subTest(callers):
                self.assertGreaterEqual(budget.room(sum(unread), callers), 0)

    def test_without_room_every_response_is_paused(self) -> None:
        """Load: the budget is used up. Callers that read at once aren't paused."""
        self.assertEqual(pause_limit(MAX_UNSENT_BYTES, -1), 0)
        self.assertEqual(resume_limit(MAX_UNSENT_BYTES, -1), 0)


class GivenUpTest(unittest.TestCase):
    def test_callers_that_read_are_not_given_up_for_one_that_does_not(self) -> None:
        """Load: a hundred callers read slowly, one holds little and has read nothing for seconds."""
        callers = [SlowPeer(n, 200_000, 9_500 + n) for n in range(100)] + [SlowPeer(100, 90, 2_000)]
        self.assertEqual(callers_to_give_up(callers, 90, now_ms=10_000), [100])

    def test_of_equally_idle_callers_the_one_that_holds_most_goes_first(self) -> None:
        """Load: callers that stopped reading within the same second."""
        callers = [SlowPeer(n, 1_000 * n, 1_500 + n) for n in range(5)]
        self.assertEqual(callers_to_give_up(callers, 4_500, now_ms=10_000), [4, 3])

    def test_spare_room_is_made_only_by_those_that_do_not_read(self) -> None:
        """Load: the total is reached again and again, by many callers that read slowly."""
        callers = [SlowPeer(1, 50, 2_000), SlowPeer(2, 50, 2_000), SlowPeer(3, 50, 9_900)]
        self.assertEqual(callers_to_give_up(callers, 10, 10_000, spare_bytes=80), [1, 2])
        self.assertEqual(callers_to_give_up(callers, 10, 10_000, spare_bytes=200), [1, 2])

    @given(
        st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 10_000)), max_size=30),
        st.integers(0, 10**7),
    )
    def test_enough_is_freed_and_no_more_than_needed(
        self, values: list[tuple[int, int]], excess: int
    ) -> None:
        """Load: any mix of callers and any excess."""
        callers = [SlowPeer(n, held, at_ms) for n, (held, at_ms) in enumerate(values)]
        chosen = callers_to_give_up(callers, excess, now_ms=10_000)
        held = {caller.name: caller.held_bytes for caller in callers}
        freed = [held[name] for name in chosen]
        self.assertGreaterEqual(sum(freed), min(excess, sum(held.values())))
        if freed:
            self.assertLess(sum(freed[:-1]), excess)

    def test_senders_make_room_only_if_that_is_enough(self) -> None:
        """Load: slow uploads fill the budget of bodies; a new request needs more than the idle ones hold."""
        idle, sending = SlowPeer(1, 1_000_000, 0), SlowPeer(2, 20_000_000, 9_900)
        self.assertEqual(senders_to_give_up([idle, sending], 500_000, now_ms=10_000), [1])
        self.assertEqual(senders_to_give_up([idle, sending], 2_000_000, now_ms=10_000), [])

    def test_caller_that_reads_now_and_then_goes_on(self) -> None:
        """Load: a caller on a slow link reads some bytes every four seconds."""
        waiting = SlowPeer(1, 100_000, 6_000, is_upstream_waiting=True)
        self.assertFalse(has_stopped_reading(waiting, now_ms=10_000))
        self.assertTrue(has_stopped_reading(waiting, now_ms=11_000))

    def test_caller_that_holds_no_upstream_has_more_time(self) -> None:
        """Load: the upstream has completed a response that its caller does not read yet."""
        caller = SlowPeer(1, 100_000, 0)
        self.assertFalse(has_stopped_reading(caller, now_ms=29_000))
        self.assertTrue(has_stopped_reading(caller, now_ms=30_000))


class PausesTest(unittest.TestCase):
    def test_cut_in_a_pause_is_no_failure(self) -> None:
        """Load: an upstream cuts off a response that was unread for two seconds."""
        self.assertTrue(Pauses().paused(1_000).may_have_caused_cut(3_000))
        self.assertTrue(Pauses().paused(1_000).resumed(3_000).may_have_caused_cut(3_100))

    def test_cut_long_after_a_pause_or_after_a_short_one_is_a_failure(self) -> None:
        """Load: an upstream crashes while its caller reads, or pauses for a moment."""
        self.assertFalse(Pauses().may_have_caused_cut(3_000))
        self.assertFalse(Pauses().paused(1_000).resumed(3_000).may_have_caused_cut(4_000))
        self.assertFalse(Pauses().paused(1_000).resumed(1_100).may_have_caused_cut(1_150))

    def test_pauses_that_follow_each_other_count_as_one(self) -> None:
        """Load: a caller reads just enough for one more part of the response, again and again."""
        pauses = Pauses()
        for at_ms in range(0, 2_000, 200):
            pauses = pauses.paused(at_ms).resumed(at_ms + 100)
        self.assertTrue(pauses.may_have_caused_cut(2_000))


if __name__ == "__main__":
    unittest.main()
