"""Tests of forwarded requests whose upstreams crash: evidence, retries and refusals."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.quarantine import CrashReport, Death
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_daemon.calls import CallResult
from ibispaddle_daemon.events import CallFailure, HttpCallError, list_changed
from ibispaddle_daemon.forwarding.crashes import (
    LIVENESS_TIMEOUT_MS,
    RECHECK_DELAYS_MS,
    CrashDetector,
)
from ibispaddle_daemon.forwarding.part_guard import SETTLED_OUTPUT_MS
from ibispaddle_daemon.timers import TimerQueue

from .fakes import FakeCodec, ForwarderFixture, streams

RESET = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)
UPSTREAMS = ("u1", "u2", "u3")


class FakeDetector:
    """Records the checks; the test answers them."""

    is_supported = True

    def __init__(self) -> None:
        self.callbacks: list = []
        self.late_callbacks: list = []

    def check(
        self, address: str, boot_ms: int | None, callback, late_callback, upstream_id: str
    ) -> None:
        self.callbacks.append(callback)
        self.late_callbacks.append(late_callback)

    def answer(self, has_crashed: bool) -> None:
        self.callbacks.pop(0)(has_crashed)


class PartGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.start(RetryPolicy.ANY_TIME)

    def start(self, policy: RetryPolicy) -> None:
        self.fixture = ForwarderFixture(streams(policy, max_runs=3, timeout_ms=9_000), UPSTREAMS)
        self.guard = self.fixture.forwarder.part_guard
        self.detector = self.guard._crashes = FakeDetector()

    @property
    def calls(self) -> int:
        return len(self.fixture.client.calls)

    def fail(self, number: int = -1) -> None:
        call = self.fixture.client.calls[number]
        call.sink.call_ended(call.call_id, RESET)
        self.fixture.flush()

    def quarantine(self, part: str) -> None:
        """Apply the reports of another instance until the part is in quarantine."""
        self.guard.merge(
            CrashReport(Death(f"x{number}", "b"), f"request {number}", ("first", part))
            for number in range(5)
        )
        self.fixture.advance(1)

    def test_retry_waits_until_the_crash_is_known(self) -> None:
        """Guards against a retry that crashes the next upstream before the fleet knows the suspicion."""
        self.fixture.send(parts="first,p")
        self.fail()
        self.assertEqual(self.calls, 1)
        self.detector.answer(True)
        self.assertEqual(self.calls, 2)
        _, [report] = self.guard.registry.changes_since(0)
        self.assertEqual(report.parts, ("first", "p"))
        self.assertIn(report.death.upstream_id, UPSTREAMS)

    def test_broken_connection_alone_is_no_evidence(self) -> None:
        """Guards against parts that are refused because connections were reset."""
        self.fixture.send(parts="p")
        self.fail()
        self.detector.answer(False)
        self.assertEqual(self.calls, 2)
        self.assertFalse(self.guard.registry.has_suspects)

    def test_late_proof_against_a_request_that_was_answered_elsewhere(self) -> None:
        """Guards against suspicions of a sound request that was in flight at an unrelated crash."""
        self.fixture.send(parts="p")
        self.fail()
        self.detector.answer(False)
        self.fixture.answer(b"id: 1\ndata: a\n\n", is_complete=True)
        self.detector.late_callbacks[0]()
        self.assertFalse(self.guard.registry.has_suspects)

    def test_late_proof_against_a_request_that_failed(self) -> None:
        """Guards against a crash that is forgotten because it was proved late, and against
        suspicions of parts that others proved sound."""
        self.fixture.send("sound", parts="first")
        self.fixture.answer(b"id: 1\ndata: a\n\n", is_complete=True)
        self.fixture.send(parts="first,p")
        self.fail()
        self.detector.answer(False)
        self.detector.late_callbacks[0]()
        _, [report] = self.guard.registry.changes_since(0)
        self.assertEqual(report.parts, ("p",))

    def test_late_end_of_an_upstream_that_was_removed(self) -> None:
        """Guards against suspicions because a faulty upstream was taken away after a request failed."""
        self.fixture.send(parts="p")
        self.fail()
        self.detector.answer(False)
        self.fixture.list_upstreams()
        self.detector.late_callbacks[0]()
        self.assertFalse(self.guard.registry.has_suspects)

    def test_late_end_of_an_upstream_that_sent_no_response(self) -> None:
        """Guards against suspicions of requests at an upstream that sent bytes that are no response."""
        self.fixture.send(parts="p")
        call = self.fixture.client.calls[-1]
        garbage = HttpCallError(CallFailure.PROTOCOL, "no HTTP", byte_sent=True)
        call.sink.call_ended(call.call_id, garbage)
        self.fixture.flush()
        self.detector.answer(False)
        self.detector.late_callbacks[0]()
        self.assertFalse(self.guard.registry.has_suspects)

    def test_leaving_upstream_may_end(self) -> None:
        """Guards against suspicions of the requests that a planned stop of an upstream cuts."""
        self.fixture.send(parts="p")
        entries = tuple(
            ListEntry(name, MemberKind.RUNNER, f"{name}:1", "dc1", state, models=("s",))
            for name, state in zip(UPSTREAMS, [ListedState.LEAVING] * 3, strict=True)
        )
        self.fixture.fire(list_changed(entries), "*")
        self.fail()
        self.assertEqual(self.detector.callbacks, [])

    def test_request_with_settled_output_is_not_suspect(self) -> None:
        """Guards against suspicions of running streams that another request's crash cuts."""
        self.fixture.send(parts="p")
        self.fixture.answer(b"id: 1\ndata: a\n\n")
        self.fixture.advance(SETTLED_OUTPUT_MS)
        self.fixture.answer(b"id: 2\ndata: b\n\n")
        self.fail()
        self.assertEqual(self.detector.callbacks, [])
        self.assertEqual(self.calls, 2)

    def test_request_that_has_just_begun_is_suspect(self) -> None:
        """Guards against a part that crashes upstreams right after their first output."""
        self.fixture.send(parts="p")
        self.fixture.answer(b"id: 1\ndata: a\n\n")
        self.fail()
        self.assertEqual(len(self.detector.callbacks), 1)

    def test_caller_without_a_retry_does_not_wait(self) -> None:
        """Guards against a late answer to a caller whose request is not retried anyway."""
        self.start(RetryPolicy.PROVED_NOT_RUN)
        exchange = self.fixture.send(parts="p")
        self.fail()
        self.assertEqual(exchange.status, 502)
        self.detector.answer(True)
        self.assertTrue(self.guard.registry.has_suspects)
        self.assertEqual(self.calls, 1)

    def test_new_requests_are_refused_as_not_run(self) -> None:
        """Guards against deadly requests that reach upstreams, and sound ones that do not."""
        self.quarantine("p")
        refused = self.fixture.send("a1", parts="first,p")
        self.assertEqual((refused.status, self.calls), (503, 0))
        [(_, retry_ms)] = [item for item in refused.answer_headers if item[0] == "retry"]
        self.assertGreater(int(retry_ms), 60_000)
        self.fixture.send("a2", parts="first,q")
        self.assertEqual(self.calls, 1)

    def test_requests_in_flight_are_ended(self) -> None:
        """Guards against crashes by requests that were sent before the part was known."""
        deadly = self.fixture.send("a1", parts="first,p")
        sound = self.fixture.send("a2", parts="first,q")
        self.quarantine("p")
        self.assertEqual((deadly.status, sound.status), (502, 0))
        self.assertEqual(self.fixture.client.cancelled, [self.fixture.client.calls[0].call_id])
        self.assertEqual(self.fixture.forwarder.scheduler.active, 1)

    def test_waiting_retry_is_refused(self) -> None:
        """Guards against a retry of a request whose part was quarantined during the check."""
        exchange = self.fixture.send(parts="first,p")
        self.fail()
        self.quarantine("p")
        self.detector.answer(True)
        self.assertEqual((exchange.status, self.calls), (502, 1))

    def test_response_clears_the_parts(self) -> None:
        """Guards against a sound part that stays suspect."""
        self.fixture.send("a1", parts="first,p")
        self.fail()
        self.detector.answer(True)
        self.fixture.send("a2", parts="first,q")
        self.fixture.answer(b"id: 1\ndata: a\n\n", is_complete=True)
        suspects = self.guard.registry._suspects
        self.assertEqual(len(suspects["first"].cleared), 1)
        self.assertEqual(len(suspects["p"].cleared), 0)

    def test_rejection_clears_nothing(self) -> None:
        """Guards against an upstream that rejects a request without running it, and clears its parts."""
        self.fixture.send("a1", parts="p")
        self.fail()
        self.detector.answer(True)
        call = self.fixture.client.calls[-1]
        call.sink.call_head(call.call_id, 400, ())
        call.sink.call_ended(call.call_id, None)
        self.fixture.flush()
        self.assertEqual(len(self.guard.registry._suspects["p"].cleared), 0)

    def test_same_request_sent_again(self) -> None:
        """Guards against one request without shared parts that crashes upstreams again and again."""
        for _ in range(2):
            self.fixture.send("same")
            for _ in range(2):
                self.fail()
                if self.detector.callbacks:
                    self.detector.answer(True)
                self.fixture.advance(10)
        self.fixture.advance(2_000)
        calls = self.calls
        self.assertEqual(self.fixture.send("same").status, 503)
        self.fixture.send("other")
        self.assertEqual(self.calls, calls + 1)


class CrashDetectorTest(unittest.TestCase):
    def start(self, boot_ms: int | None = 5) -> None:
        codec = FakeCodec()
        codec.liveness_path = "/report"
        codec.read_boot = lambda body: int(body) if body else None
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.detector = CrashDetector(codec, self.clock, self.timers)
        self.answers: list[bool] = []
        self.late = 0
        self.callbacks: list = []
        self.detector._calls.send = lambda *arguments: self.callbacks.append(arguments[-1])
        for _ in range(2):
            self.detector.check("h:1", boot_ms, self.answers.append, self.count_late)

    def count_late(self) -> None:
        self.late += 1

    def check(self, result: CallResult, boot_ms: int | None = 5) -> bool:
        self.start(boot_ms)
        self.assertEqual(len(self.callbacks), 1)
        self.callbacks[0](result)
        self.assertEqual(len(self.answers), 2)
        return self.answers[0]

    def advance(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        self.timers._on_generate_events(SimpleNamespace(reduce_time_left=lambda left_s: None))

    def test_crash_that_shows_only_once_the_next_process_runs(self) -> None:
        """Guards against a crash that is not counted because connections are accepted all the time."""
        unknown = CallResult(0, (), b"", HttpCallError(CallFailure.TIMEOUT, "", False))
        self.assertFalse(self.check(unknown))
        self.advance(RECHECK_DELAYS_MS[0])
        self.callbacks[1](unknown)
        self.advance(RECHECK_DELAYS_MS[1])
        self.callbacks[2](CallResult(200, (), b"6", None))
        self.assertEqual((self.late, len(self.answers)), (2, 2))

    def test_crash_shows_as_soon_as_the_next_process_responds(self) -> None:
        """Guards against requests that crash more upstreams while the next check is not due yet.

        The load pattern is a supervisor that keeps accepting connections, and a process that takes
        some time to start.
        """
        timeout = CallResult(0, (), b"", HttpCallError(CallFailure.TIMEOUT, "", False))
        for started_ms in range(RECHECK_DELAYS_MS[0], sum(RECHECK_DELAYS_MS), 50):
            self.start()
            pending: dict[int, Callable[[CallResult], None]] = {}

            def send(method, url, body, timeout_ms, callback, pending=pending) -> None:
                pending[self.clock.now_ms() + timeout_ms] = callback

            self.detector._calls.send = send
            begin_ms = self.clock.now_ms()
            pending[begin_ms + LIVENESS_TIMEOUT_MS] = self.callbacks[0]
            while not self.late and self.clock.now_ms() - begin_ms < 10_000:
                self.advance(10)
                now_ms = self.clock.now_ms()
                for deadline_ms in list(pending):
                    if now_ms - begin_ms >= started_ms:
                        pending.pop(deadline_ms)(CallResult(200, (), b"6", None))
                    elif now_ms >= deadline_ms:
                        pending.pop(deadline_ms)(timeout)
            self.assertLessEqual(self.clock.now_ms() - begin_ms - started_ms, 20, started_ms)

    def test_upstream_that_was_only_silent_has_not_crashed(self) -> None:
        """Guards against suspicions because an upstream was slow or cut off for a while."""
        unknown = CallResult(0, (), b"", HttpCallError(CallFailure.TIMEOUT, "", False))
        self.check(unknown)
        self.advance(RECHECK_DELAYS_MS[0])
        self.callbacks[1](CallResult(200, (), b"5", None))
        self.advance(sum(RECHECK_DELAYS_MS))
        self.assertEqual((self.late, len(self.callbacks)), (0, 2))

    def test_silent_upstream_is_not_checked_for_ever(self) -> None:
        """Guards against checks without end of an upstream that is gone."""
        unknown = CallResult(0, (), b"", HttpCallError(CallFailure.TIMEOUT, "", False))
        self.check(unknown)
        for number, delay_ms in enumerate(RECHECK_DELAYS_MS, 1):
            self.advance(delay_ms)
            self.callbacks[number](unknown)
        self.advance(60_000)
        self.assertEqual(len(self.callbacks), 1 + len(RECHECK_DELAYS_MS))
        self.detector.check("h:1", 5, self.answers.append, self.count_late)
        self.assertEqual(len(self.callbacks), 2 + len(RECHECK_DELAYS_MS))

    def test_only_proof_counts_as_a_crash(self) -> None:
        """Guards against suspicions because an upstream is slow, unreachable or full."""

        def failed(failure: CallFailure, is_refused: bool = False) -> CallResult:
            return CallResult(0, (), b"", HttpCallError(failure, "", False, is_refused))

        self.assertTrue(self.check(failed(CallFailure.UNREACHABLE, is_refused=True)))
        for failure in (CallFailure.UNREACHABLE, CallFailure.TIMEOUT, CallFailure.CLOSED):
            self.assertFalse(self.check(failed(failure)), failure)
        self.assertFalse(self.check(failed(CallFailure.PROTOCOL)))
        self.advance(10_000)
        self.assertEqual(len(self.callbacks), 1)  # Its process is running.
        self.assertFalse(self.check(CallResult(200, (), b"5", None)))
        self.assertTrue(self.check(CallResult(200, (), b"6", None)))
        for unknown in (CallResult(200, (), b"", None), CallResult(503, (), b"6", None)):
            self.assertFalse(self.check(unknown))
        self.assertFalse(self.check(CallResult(200, (), b"6", None), boot_ms=None))


if __name__ == "__main__":
    unittest.main()
