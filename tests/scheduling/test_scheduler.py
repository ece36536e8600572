"""Tests of single behaviours of the scheduler."""

import unittest

from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    AttemptSilent,
    CallerDisconnected,
    CancelAttempt,
    ConfirmSilence,
    Dispatch,
    DuplicateRequestError,
    FirstToken,
    FreeMemory,
    LoadReported,
    Outcome,
    RefusalReason,
    Refuse,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReserveMemory,
    Scheduler,
    Tick,
    UpstreamsChanged,
)
from ibispaddle_core.scheduling.cost import CostModel
from ibispaddle_core.settings.fleet import FleetConfig

from . import fakes


class AdmissionTest(unittest.TestCase):
    def test_idle_runner_gets_the_request_at_once(self):
        """Guard against a wait while a runner is idle."""
        decisions = fakes.scheduler().handle(RequestArrived(fakes.request("a")), 5)
        self.assertIsInstance(decisions[0], Dispatch)
        self.assertEqual(len(decisions), 1)

    def test_request_that_cannot_finish_is_refused_at_once(self):
        """Guard against engine time spent on an answer that would miss its deadline."""
        req = fakes.request("a", prompt_tokens=90_000, deadline_ms=1_000)
        (refusal,) = fakes.scheduler().handle(RequestArrived(req), 0)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)
        self.assertEqual(refusal.run_state, RunState.NOT_RUN)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_prompt_above_the_context_limit_is_refused(self):
        """Guard against a prompt that is longer than the context of the model."""
        req = fakes.request("a", prompt_tokens=1_000_001)  # The context has 1,000,000 tokens.
        (refusal,) = fakes.scheduler().handle(RequestArrived(req), 0)
        self.assertEqual(refusal.reason, RefusalReason.TOO_LARGE)

    def test_request_without_a_runner_is_refused(self):
        """Guard against a request that waits for runners that do not exist."""
        (refusal,) = fakes.scheduler(0).handle(RequestArrived(fakes.request("a")), 0)
        self.assertEqual(refusal.reason, RefusalReason.NO_UPSTREAM)

    def test_full_queue_of_one_neighbour_leaves_room_for_others(self):
        """Guard against a neighbour that fills the queue of another neighbour."""
        sched = busy_scheduler(max_queue_per_neighbour=2)
        results = [sched.handle(RequestArrived(fakes.request(f"n{i}")), 1) for i in range(3)]
        self.assertEqual(results[2][0].reason, RefusalReason.QUEUE_FULL)
        other = fakes.request("s0", neighbour="south")
        self.assertEqual(sched.handle(RequestArrived(other), 1), [])

    def test_duplicate_id_is_an_error(self):
        """Guard against two requests that share one state."""
        sched = fakes.scheduler()
        sched.handle(RequestArrived(fakes.request("a")), 0)
        with self.assertRaises(DuplicateRequestError):
            sched.handle(RequestArrived(fakes.request("a")), 0)


def busy_scheduler(**scheduling):
    """Return a scheduler whose runners all report a long queue."""
    sched = fakes.scheduler(**scheduling)
    for number in range(3):
        report = fakes.load(f"r{number:03}", 1, waiting=100, queued_prefill_tokens=400_000)
        sched.handle(LoadReported(report), 0)
    return sched


class MemoryTest(unittest.TestCase):
    def test_memory_is_free_after_a_load_report_and_after_a_request_ends(self):
        """Guard against a request that waits for memory which is free again."""
        sched = fakes.scheduler(1)
        full = fakes.load("r000", 1, kv_tokens_used=400_000)
        sched.handle(LoadReported(full), 0)
        self.assertEqual(sched.handle(RequestArrived(fakes.request("a")), 0), [])
        sched.handle(LoadReported(fakes.load("r000", 2, kv_tokens_used=398_900)), 5)
        (first,) = sched.handle(Tick(), 25)
        self.assertEqual(first.request_id, "a")
        self.assertEqual(sched.handle(RequestArrived(fakes.request("b")), 50), [])
        (second,) = sched.handle(
            AttemptEnded("a", "r000", Outcome.COMPLETED, has_relayed_output=True), 80
        )
        self.assertEqual(second.request_id, "b")


class EndingTest(unittest.TestCase):
    def test_deadline_cancels_and_refuses(self):
        """Guard against a request that continues after its deadline."""
        sched = fakes.scheduler()
        (dispatch,) = sched.handle(RequestArrived(fakes.request("a")), 0)
        self.assertEqual(sched.next_wakeup_ms(0), 10_000)
        decisions = sched.handle(Tick(), 10_000)
        self.assertEqual(decisions[0], CancelAttempt("a", dispatch.upstream_id))
        self.assertEqual(decisions[1].run_state, RunState.UNKNOWN)
        self.assertEqual(sched.active, 0)

    def test_waiting_request_is_refused_as_not_run(self):
        """Guard against a wrong run state for a request that was never sent."""
        sched = busy_scheduler()
        self.assertEqual(sched.handle(RequestArrived(fakes.request("a", deadline_ms=2_000)), 0), [])
        for number in range(3):
            report = fakes.load(
                f"r{number:03}", 2, waiting=99, queued_prefill_tokens=400_000, observed_ms=1_990
            )
            sched.handle(LoadReported(report), 1_000)
        (refusal,) = sched.handle(Tick(), 2_000)
        self.assertEqual(refusal.run_state, RunState.NOT_RUN)

    def test_disconnected_caller_cancels_without_a_refusal(self):
        """Guard against work for a caller that has disconnected."""
        sched = fakes.scheduler()
        (dispatch,) = sched.handle(RequestArrived(fakes.request("a")), 0)
        decisions = sched.handle(CallerDisconnected("a"), 5)
        self.assertEqual(decisions, [CancelAttempt("a", dispatch.upstream_id)])


class SilentAttemptTest(unittest.TestCase):
    """Attempts without output for longer than predicted, on upstreams that may only be slow."""

    SILENT_MS = 2_000

    def start(self, runners: int = 2, **scheduling: object) -> tuple[Scheduler, Dispatch]:
        sched = fakes.scheduler(runners, first_token_timeout_ms=500, **scheduling)
        (first,) = sched.handle(RequestArrived(fakes.request("a", max_runs=2)), 0)
        return sched, first

    def report(self, sched: Scheduler, first: Dispatch) -> list:
        due = sched.handle(Tick(), self.SILENT_MS)
        self.assertEqual(due, [ConfirmSilence("a", first.upstream_id)])
        return sched.handle(AttemptSilent("a", first.upstream_id, False), self.SILENT_MS)

    def test_silent_attempt_is_replaced(self):
        """Guard against waiting until the deadline for an upstream that has failed in silence."""
        sched, first = self.start()
        cancel = CancelAttempt("a", first.upstream_id, is_silent=True)
        self.assertEqual(self.report(sched, first), [cancel])
        ended = AttemptEnded("a", first.upstream_id, Outcome.STALLED)
        (second,) = sched.handle(ended, self.SILENT_MS)
        self.assertNotEqual(second.upstream_id, first.upstream_id)
        # The last attempt that the request allows has no such check.
        self.assertEqual(sched.handle(Tick(), 9_900), [])

    def test_silent_attempt_goes_on_if_nothing_can_replace_it(self):
        """Guard against an answer that is given up before it is known that a retry follows (LOST)."""
        for runners, scheduling in ((1, {}), (2, {"retry_budget": 0.0})):
            with self.subTest(runners=runners, scheduling=scheduling):
                sched, first = self.start(runners, **scheduling)
                self.assertEqual(self.report(sched, first), [])
                again = sched.handle(Tick(), self.SILENT_MS + 500)
                self.assertEqual(again, [ConfirmSilence("a", first.upstream_id)])
                ended = AttemptEnded("a", first.upstream_id, Outcome.COMPLETED)
                self.assertEqual(sched.handle(ended, self.SILENT_MS + 600), [])

    def test_output_that_arrives_meanwhile(self):
        """Guard against a cancelled attempt whose first output arrived with the report of its silence."""
        sched, first = self.start()
        sched.handle(FirstToken("a"), self.SILENT_MS - 1)
        silent = AttemptSilent("a", first.upstream_id, has_output=False)
        self.assertEqual(sched.handle(silent, self.SILENT_MS), [])

    def test_only_upstream_that_counts_as_down_keeps_its_work(self):
        """Guard against running work that is given up because an upstream is slow to respond to probes."""
        sched, first = self.start(runners=1)
        down = UpstreamsChanged((fakes.upstream(0, "down"),))
        self.assertEqual(sched.handle(down, 100), [])
        ended = AttemptEnded("a", first.upstream_id, Outcome.COMPLETED)
        self.assertEqual(sched.handle(ended, 200), [])


class RetryTest(unittest.TestCase):
    def test_failed_attempt_moves_to_another_runner(self):
        """Guard against a retry on the runner that has just failed."""
        sched = fakes.scheduler()
        (first,) = sched.handle(RequestArrived(fakes.request("a")), 0)
        (second,) = sched.handle(AttemptEnded("a", first.upstream_id, Outcome.FAILED), 5)
        self.assertNotEqual(first.upstream_id, second.upstream_id)

    def test_no_retry_after_bytes_reached_the_caller(self):
        """Guard against an answer that mixes the output of two runs."""
        sched = fakes.scheduler()
        (first,) = sched.handle(RequestArrived(fakes.request("a")), 0)
        ended = AttemptEnded("a", first.upstream_id, Outcome.FAILED, has_relayed_output=True)
        (refusal,) = sched.handle(ended, 5)
        self.assertEqual(refusal.reason, RefusalReason.UPSTREAM_FAILED)
        self.assertEqual(refusal.run_state, RunState.UNKNOWN)

    def test_budget_bounds_retries(self):
        """Guard against retries that multiply the load of an overloaded fleet."""
        sched = fakes.scheduler(retry_budget=0.1)
        dispatched = 0
        for number in range(60):
            pending = sched.handle(RequestArrived(fakes.request(f"a{number}")), 0)
            while pending and isinstance(pending[0], Dispatch):
                dispatched += 1
                ended = AttemptEnded(f"a{number}", pending[0].upstream_id, Outcome.REJECTED)
                pending = sched.handle(ended, 0)
            self.assertIsInstance(pending[-1], Refuse)
            self.assertEqual(pending[-1].run_state, RunState.NOT_RUN)
        # 60 first attempts, and retries of at most a tenth of them.
        self.assertLessEqual(dispatched, 66)

    def test_attempt_at_a_down_runner_is_cancelled_and_retried(self):
        """Guard against waiting until the deadline for a runner that has died."""
        sched = fakes.scheduler()
        (first,) = sched.handle(RequestArrived(fakes.request("a")), 0)
        states = tuple(
            fakes.upstream(n, "down" if f"r{n:03}" == first.upstream_id else "live")
            for n in range(3)
        )
        self.assertEqual(
            sched.handle(UpstreamsChanged(states), 5), [CancelAttempt("a", first.upstream_id)]
        )
        (second,) = sched.handle(AttemptEnded("a", first.upstream_id, Outcome.CANCELLED), 6)
        self.assertIsInstance(second, Dispatch)


class LargePromptTest(unittest.TestCase):
    def test_reservations_are_made_in_id_order_and_freed_at_the_end(self):
        """Guard against deadlocks and against leaked reservations."""
        sched = fakes.scheduler(2)
        req = fakes.request("a", prompt_tokens=600_000, deadline_ms=100_000)
        (reserve,) = sched.handle(RequestArrived(req), 0)
        self.assertIsInstance(reserve, ReserveMemory)
        (second,) = sched.handle(
            ReservationAnswered(
                "a", reserve.upstream_id, reserve.handle, ReservationOutcome.GRANTED
            ),
            1,
        )
        self.assertLess(reserve.upstream_id, second.upstream_id)
        self.assertEqual(
            sched.handle(
                ReservationAnswered(
                    "a", second.upstream_id, second.handle, ReservationOutcome.NO_ROOM
                ),
                2,
            ),
            [],
        )
        (again,) = sched.handle(Tick(), 102)  # A refused reservation is sent again after 100 ms.
        self.assertEqual(again, second)
        (dispatch,) = sched.handle(
            ReservationAnswered("a", second.upstream_id, second.handle, ReservationOutcome.GRANTED),
            103,
        )
        self.assertEqual(dispatch.segments, (reserve.handle, second.handle))
        ended = sched.handle(AttemptEnded("a", dispatch.upstream_id, Outcome.COMPLETED), 5_000)
        self.assertEqual(
            ended,
            [
                FreeMemory(reserve.upstream_id, reserve.handle),
                FreeMemory(second.upstream_id, second.handle),
            ],
        )

    def test_long_prompt_is_divided_among_engines(self):
        """Guard against a long prompt that waits for one nearly empty engine."""
        sched = fakes.scheduler()
        req = fakes.request("a", prompt_tokens=150_000, deadline_ms=100_000)
        (first,) = sched.handle(RequestArrived(req), 0)
        (second,) = sched.handle(
            ReservationAnswered("a", first.upstream_id, first.handle, ReservationOutcome.GRANTED), 1
        )
        self.assertIsInstance(second, ReserveMemory)
        # The default is two segments; there are three because a third engine is idle. The prompt and the
        # 100 tokens of output are divided by three.
        self.assertEqual((first.tokens, second.tokens), (50_034, 50_033))

    def test_restricted_long_prompt_stays_on_one_runner(self):
        """Guard against a prompt that may crash engines and is divided among several of them."""
        sched = fakes.scheduler()
        sched.allowed_runners = lambda req: {"r001"}
        req = fakes.request("a", prompt_tokens=150_000, deadline_ms=100_000)
        (dispatch,) = sched.handle(RequestArrived(req), 0)
        self.assertEqual((dispatch.upstream_id, dispatch.segments), ("r001", ()))

    def test_long_prompt_is_not_divided_with_a_single_runner(self):
        """Guard against a reservation when there is only one engine."""
        (dispatch,) = fakes.scheduler(1).handle(
            RequestArrived(fakes.request("a", prompt_tokens=150_000, deadline_ms=100_000)), 0
        )
        self.assertEqual(dispatch.segments, ())

    def test_neighbour_above_its_share_makes_no_incomplete_reservations(self):
        """Guard against a spanning prompt that blocks memory for neighbours below their share."""
        sched = fakes.scheduler(2)
        for number in range(2):
            sched.handle(LoadReported(fakes.load(f"r{number:03}", 1, kv_tokens_used=300_000)), 0)
        consumed_ms = 1_000_000.0  # Far more than `south`, which has consumed nothing.
        sched.shares.charge("north", consumed_ms, 59_000)
        waiting = fakes.request("s", neighbour="south", prompt_tokens=150_000, deadline_ms=300_000)
        sched.handle(RequestArrived(waiting), 0)
        large = fakes.request("n", prompt_tokens=600_000, deadline_ms=300_000, arrived_ms=60_000)
        decisions = sched.handle(RequestArrived(large), 60_000)
        self.assertEqual([d for d in decisions if isinstance(d, ReserveMemory)], [])

    def test_prefill_time_includes_attention(self):
        """Guard against a charge that favours the neighbour with the longest prompts."""
        models = {"m": {"prefill_tokens_per_s": 50_000.0, "attention_tokens": 500_000}}
        cost = CostModel(FleetConfig.from_document({"models": models}))
        self.assertAlmostEqual(cost.prefill_engine_ms("m", 1_000), 20.0, delta=0.1)
        # 20 s without attention, doubled because the prompt has twice `attention_tokens`.
        self.assertEqual(cost.prefill_engine_ms("m", 1_000_000), 40_000.0)

    def test_late_grant_is_freed(self):
        """Guard against memory that is granted after its request ended."""
        sched = fakes.scheduler()
        req = fakes.request("a", prompt_tokens=600_000, deadline_ms=100_000)
        (reserve,) = sched.handle(RequestArrived(req), 0)
        sched.handle(CallerDisconnected("a"), 1)
        late = sched.handle(
            ReservationAnswered(
                "a", reserve.upstream_id, reserve.handle, ReservationOutcome.GRANTED
            ),
            2,
        )
        self.assertEqual(late, [FreeMemory(reserve.upstream_id, reserve.handle)])

    def test_long_wait_claims_memory_until_the_request_ends(self):
        """Guard against claims that block memory after their request has ended."""
        sched = fakes.scheduler()
        req = fakes.request("a", prompt_tokens=600_000, deadline_ms=100_000)
        (reserve,) = sched.handle(RequestArrived(req), 0)
        refused = ReservationAnswered(
            "a", reserve.upstream_id, reserve.handle, ReservationOutcome.NO_ROOM
        )
        sched.handle(refused, 1)
        self.assertEqual(sched.memory_claims(), {})
        sched.handle(Tick(), 31_000)  # A prompt claims memory after 30 s.
        self.assertIn(reserve.upstream_id, sched.memory_claims())
        sched.handle(CallerDisconnected("a"), 31_001)
        self.assertEqual(sched.memory_claims(), {})
