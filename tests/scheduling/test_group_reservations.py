"""Tests of reservations that runners refuse.

Each test names the refusals that it answers. The engines hold 232,000 tokens, so that a prompt of half a
million needs several of them.
"""

import unittest
from collections import Counter
from collections.abc import Callable

from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    Decision,
    Dispatch,
    FreeMemory,
    Outcome,
    RefusalReason,
    Refuse,
    ReservationAnswered,
    ReservationOutcome,
    ReserveMemory,
    Scheduler,
    Tick,
)
from ibispaddle_core.scheduling.reservation_pace import BUDGET, MAX_GROUPS

from .test_least_work import arrive, scheduler

ANSWER_MS = 5
GROUP_MAX = 17


class Runners:
    """Answer the reservations of one scheduler after 5 ms of virtual time, and end its attempts."""

    def __init__(
        self, sched: Scheduler, answer: Callable[[ReserveMemory], ReservationOutcome]
    ) -> None:
        self.sched, self.answer = sched, answer
        self.now_ms = 0
        self.sent: list[tuple[int, ReserveMemory]] = []
        self.refused: dict[str, tuple[int, Refuse]] = {}
        self.freed: Counter[str] = Counter()
        self._due: list[ReserveMemory] = []
        self._running: list[Dispatch] = []

    def arrive(self, name: str, tokens: int = 500_000, **values: object) -> None:
        self._execute(arrive(self.sched, name, tokens, self.now_ms, **values))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += ANSWER_MS
            due, self._due = self._due, []
            for order in due:
                event = ReservationAnswered(
                    order.request_id, order.upstream_id, order.handle, self.answer(order)
                )
                self._execute(self.sched.handle(event, self.now_ms))
            running, self._running = self._running, []
            for attempt in running:
                ended = AttemptEnded(attempt.request_id, attempt.upstream_id, Outcome.COMPLETED)
                self._execute(self.sched.handle(ended, self.now_ms))
            self._execute(self.sched.handle(Tick(), self.now_ms))

    def _execute(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            match decision:
                case ReserveMemory():
                    self.sent.append((self.now_ms, decision))
                    self._due.append(decision)
                case Dispatch():
                    self._running.append(decision)
                case Refuse(request_id):
                    self.refused[request_id] = (self.now_ms, decision)
                case FreeMemory(_, handle):
                    self.freed[handle] += 1

    def groups(self, name: str) -> list[int]:
        """Return the times at which the prompt requested a group."""
        return sorted({at_ms for at_ms, order in self.sent if order.request_id == name})


class PermanentRefusalTest(unittest.TestCase):
    def test_invalid_reservation_is_tried_at_two_upstreams_only(self) -> None:
        """Guards against orders that are refused as invalid and repeated until the deadline.

        Seventy instances repeated each such order every 100 ms (issue 36).
        """
        runners = Runners(scheduler(), lambda order: ReservationOutcome.INVALID)
        runners.arrive("huge")
        runners.run(1_000)
        refused_ms, refusal = runners.refused["huge"]
        self.assertEqual(refusal.reason, RefusalReason.MEMORY_INVALID)
        self.assertIs(refusal.run_state, RunState.NOT_RUN)
        self.assertLess(refused_ms, 200)
        self.assertLessEqual(len(runners.sent), 2 * GROUP_MAX)
        upstreams = Counter(order.upstream_id for _, order in runners.sent)
        self.assertEqual(runners.sched.active, 0)
        self.assertLessEqual(max(upstreams.values()), 2)

    def test_one_upstream_that_rejects_all_reservations_is_left_out(self) -> None:
        """Guards against a prompt that is refused because one runner is set up differently."""
        odd: list[str] = []

        def answer(order: ReserveMemory) -> ReservationOutcome:
            if not odd:
                odd.append(order.upstream_id)
            is_odd = order.upstream_id in odd
            return ReservationOutcome.INVALID if is_odd else ReservationOutcome.GRANTED

        runners = Runners(scheduler(), answer)
        runners.arrive("huge")
        runners.run(1_000)
        self.assertEqual(runners.refused, {})
        self.assertEqual(sum(order.upstream_id in odd for _, order in runners.sent), 1)
        self.assertEqual(runners.sched.group_counts["granted"], 1)


class NoRoomTest(unittest.TestCase):
    def test_pause_grows_while_one_runner_of_each_group_has_no_room(self) -> None:
        """Guards against a prompt that takes parts and gives them back every 100 ms for seconds."""
        refusers: dict[str, str] = {}

        def answer(order: ReserveMemory) -> ReservationOutcome:
            refuser = refusers.setdefault(order.handle.rpartition(".")[0], order.handle)
            is_full = refuser == order.handle
            return ReservationOutcome.NO_ROOM if is_full else ReservationOutcome.GRANTED

        runners = Runners(scheduler(), answer)
        runners.arrive("huge", deadline_ms=60_000)
        runners.run(15_000)
        times = runners.groups("huge")
        self.assertEqual(len(times), MAX_GROUPS)
        pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertLess(pauses[0], 250)
        self.assertGreater(pauses[-1], 1_500)
        _, refusal = runners.refused["huge"]
        self.assertEqual(refusal.reason, RefusalReason.NO_MEMORY)
        self.assertIs(refusal.run_state, RunState.NOT_RUN)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_reservations_of_an_instance_are_bounded_whatever_is_refused(self) -> None:
        """Guards against a storm of orders when many long prompts wait for memory at once."""
        for outcome in ReservationOutcome:
            if outcome is ReservationOutcome.GRANTED:
                continue
            with self.subTest(outcome=outcome):
                runners = Runners(scheduler(), lambda order, outcome=outcome: outcome)
                for second in range(20):
                    for number in range(10):
                        runners.arrive(f"{second}-{number}")
                    runners.run(1_000)
                self.assertLessEqual(len(runners.sent), BUDGET + 20)

    def test_granted_reservations_do_not_use_up_the_budget(self) -> None:
        """Guards against long prompts that wait although the runners grant all memory."""
        runners = Runners(scheduler(64), lambda order: ReservationOutcome.GRANTED)
        for number in range(12):
            runners.arrive(f"huge-{number}", 240_000)
            runners.run(500)
        self.assertEqual(runners.sched.group_counts["granted"], 12)
        self.assertEqual(runners.sched.group_counts["held_back"], 0)

    def test_only_memory_that_may_be_reserved_is_freed(self) -> None:
        """Guards against orders to free memory that a runner has just refused."""
        for outcome, count in (
            (ReservationOutcome.NO_ROOM, 0),
            (ReservationOutcome.UNREACHABLE, 1),
        ):
            runners = Runners(scheduler(), lambda order, outcome=outcome: outcome)
            runners.arrive("huge")
            runners.run(2 * ANSWER_MS)
            first = runners.sent[0][1]
            self.assertEqual(runners.freed[first.handle], count, outcome)


class LostAnswerTest(unittest.TestCase):
    def test_reservation_whose_answer_is_lost_is_repeated_once(self) -> None:
        """Guards against groups that give up all parts because one answer is lost.

        The connections of many runners are reset after they have carried out a call.
        """
        lost: set[str] = set()

        def answer(order: ReserveMemory) -> ReservationOutcome:
            is_first = order.handle not in lost
            lost.add(order.handle)
            return ReservationOutcome.ANSWER_LOST if is_first else ReservationOutcome.GRANTED

        runners = Runners(scheduler(), answer)
        runners.arrive("huge")
        runners.run(100)
        counts = runners.sched.group_counts
        self.assertEqual((counts["started"], counts["granted"]), (1, 1))
        self.assertEqual(len(runners.sent), 2 * len(lost))

    def test_runner_that_loses_each_answer_is_given_up(self) -> None:
        """Guards against a prompt that repeats a reservation at one faulty runner for ever."""
        faulty: list[str] = []

        def answer(order: ReserveMemory) -> ReservationOutcome:
            if not faulty:
                faulty.append(order.upstream_id)
            is_faulty = order.upstream_id in faulty
            return ReservationOutcome.ANSWER_LOST if is_faulty else ReservationOutcome.GRANTED

        runners = Runners(scheduler(), answer)
        runners.arrive("huge")
        runners.run(500)
        self.assertEqual(runners.sched.group_counts["granted"], 1)
        sent = [order for _, order in runners.sent if order.upstream_id in faulty]
        self.assertEqual(len(sent), 2)
        self.assertEqual(runners.freed[sent[0].handle], 1)


class UnreachableRunnerTest(unittest.TestCase):
    def test_unreachable_runner_is_avoided(self) -> None:
        """Guards against further prompts for a runner that does not answer reservations."""
        dark: list[str] = []

        def answer(order: ReserveMemory) -> ReservationOutcome:
            if not dark:
                dark.append(order.upstream_id)
            is_dark = order.upstream_id in dark
            return ReservationOutcome.UNREACHABLE if is_dark else ReservationOutcome.GRANTED

        runners = Runners(scheduler(), answer)
        runners.arrive("huge")
        runners.run(300)
        self.assertEqual(runners.sched.group_counts["granted"], 1)
        self.assertTrue(runners.sched.health.is_avoided(dark[0], 300))
        self.assertEqual(sum(order.upstream_id in dark for _, order in runners.sent), 1)

    def test_crashed_and_leaving_runners_are_asked_once_by_a_prompt(self) -> None:
        """Guards against groups that are given up one after the other for the same runners.

        Two runners of the group are down, or refuse because they leave, so that one failure is reported
        after the group was given up.
        """
        for outcome in (ReservationOutcome.UNREACHABLE, ReservationOutcome.NO_ROOM):
            down: list[str] = []

            def answer(
                order: ReserveMemory,
                down: list[str] = down,
                outcome: ReservationOutcome = outcome,
            ) -> ReservationOutcome:
                if len(down) < 2:
                    down.append(order.upstream_id)
                return outcome if order.upstream_id in down else ReservationOutcome.GRANTED

            with self.subTest(outcome=outcome):
                runners = Runners(scheduler(), answer)
                runners.arrive("huge")
                runners.run(3_000)
                self.assertEqual(runners.sched.group_counts["started"], 2)
                is_down = outcome is ReservationOutcome.UNREACHABLE
                self.assertEqual(runners.sched.health.is_avoided(down[1], 300), is_down)


if __name__ == "__main__":
    unittest.main()
