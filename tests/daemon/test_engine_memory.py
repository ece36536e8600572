"""Tests of the calls that reserve, renew and free engine memory, without a network."""

import random
import unittest
from collections.abc import Callable

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.scheduling import (
    FreeMemory,
    ReservationAnswered,
    ReservationOutcome,
    ReservationRenewed,
    ReserveMemory,
)
from ibispaddle_core.scheduling.retry_rules import MAX_LIST_CHECKS_AFTER_RENEWALS
from ibispaddle_daemon.calls import CallResult
from ibispaddle_daemon.delegation.isolation import Isolation
from ibispaddle_daemon.engine_memory import (
    LATE_RENEWAL_INTERVAL_MS,
    LEASE_CALL_TIMEOUT_MS,
    REPEATED_RENEWALS,
    EngineApiMemoryCodec,
    EngineMemory,
)
from ibispaddle_daemon.events import CallFailure, HttpCallError
from ibispaddle_daemon.store.upstreams import QUESTIONED_MS
from ibispaddle_daemon.timers import TimerHandle

ORDER = ReserveMemory("a", "r1", "ir-a-1.0-900000", 1_000)
# Time after a crash within which the memory of a dead instance must be free.
FREE_MS = 4_000


class FakeTimers:
    """Timers of a manual clock."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self._entries: list[tuple[int, int, TimerHandle]] = []

    def at(self, time_ms: int, callback: Callable[[], None]) -> TimerHandle:
        handle = TimerHandle(callback)
        self._entries.append((time_ms, len(self._entries), handle))
        return handle

    def after(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        return self.at(self.clock.now_ms() + delay_ms, callback)

    def run_until(self, end_ms: int) -> None:
        while due := sorted(entry for entry in self._entries if entry[0] <= end_ms):
            self._entries.remove(due[0])
            self.clock.advance(max(0, due[0][0] - self.clock.now_ms()))
            if due[0][2].callback is not None:
                due[0][2].callback()
        self.clock.advance(end_ms - self.clock.now_ms())


class Engine:
    """An engine that answers calls after 2 ms, or not at all from `silent_from_ms` on."""

    def __init__(self, timers: FakeTimers) -> None:
        self.timers, self.status = timers, 200
        self.silent_from_ms: int | None = None
        self.error: HttpCallError | None = None
        self.calls: list[tuple[int, str, bytes]] = []

    def send(
        self,
        method: str,
        url: str,
        body: bytes,
        timeout_ms: int,
        callback: Callable[[CallResult], None],
    ) -> str:
        now_ms = self.timers.clock.now_ms()
        self.calls.append((now_ms, method, body))
        if self.silent_from_ms is not None and now_ms >= self.silent_from_ms:
            error = HttpCallError(CallFailure.TIMEOUT, "timeout", True)
            self.timers.after(timeout_ms, lambda: callback(CallResult(0, (), b"", error)))
        else:
            result = CallResult(self.status, (), b"", self.error)
            self.timers.after(2, lambda: callback(result))
        return "call"


class LeaseCodec(EngineApiMemoryCodec):
    """Reserve memory for a limited time, as the platform's runners do."""

    hold_ms: int | None = 3_700  # type: ignore[assignment]


class EngineMemoryTest(unittest.TestCase):
    """An engine memory with one engine."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.timers = FakeTimers(self.clock)
        self.isolation = Isolation(self.clock, random.Random(1))
        self.isolation.replace_upstreams({"r1": "llm", "r2": "llm"}, {})
        self.memory = EngineMemory(
            self.clock, self.timers, LeaseCodec(), self.isolation  # type: ignore[arg-type]
        )
        self.engine = Engine(self.timers)
        self.memory._calls = self.engine  # type: ignore[assignment]
        self.events: list[tuple[int, ReservationAnswered | ReservationRenewed]] = []
        self.start_ms = self.clock.now_ms()

    def reserve(self) -> None:
        self.memory.reserve(
            "http://r1", ORDER, lambda event: self.events.append((self.now_ms(), event))
        )

    def now_ms(self) -> int:
        return self.clock.now_ms() - self.start_ms

    def run_until(self, end_ms: int) -> None:
        self.timers.run_until(self.start_ms + end_ms)

    def call_times(self) -> list[int]:
        return [at_ms - self.start_ms for at_ms, _, _ in self.engine.calls]


class ContactTest(EngineMemoryTest):
    def test_answered_order(self) -> None:
        self.reserve()
        self.run_until(50)
        self.assertTrue(self.isolation.reaches_others("r2", self.start_ms))
        self.assertFalse(self.isolation.reaches_others("r2", self.start_ms + 1))

    def test_orders_without_an_answer(self) -> None:
        """Guards against an isolation because engines are busy."""
        self.isolation.record_unreachable("r2", "reset")
        self.engine.silent_from_ms = 0
        self.reserve()
        self.run_until(20_000)
        self.assertFalse(self.isolation.is_isolated)

    def test_refused_orders(self) -> None:
        self.isolation.record_unreachable("r2", "reset")
        error = HttpCallError(CallFailure.UNREACHABLE, "refused", False, is_refused=True)
        self.engine.error = error
        self.reserve()
        self.run_until(50)
        self.assertTrue(self.isolation.is_isolated)


class LeaseTest(EngineMemoryTest):
    def test_prompt_of_two_seconds_needs_two_calls(self) -> None:
        """Guards against renewals each second, which were most of the orders at calm load."""
        self.reserve()
        self.run_until(2_400)
        self.memory.free("http://r1", FreeMemory("r1", ORDER.handle))
        self.run_until(20_000)
        self.assertEqual(len(self.engine.calls), 2)

    def test_reservation_never_expires_while_the_engine_answers(self) -> None:
        """Guards against prompts that are cut off because their memory was not renewed in time."""
        self.reserve()
        self.run_until(60_000)
        times = self.call_times()
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertLess(max(gaps), LeaseCodec.hold_ms - 1_000)
        self.assertLessEqual(len(times), 1 + 60_000 // 2_400)

    def test_two_lost_renewals_do_not_end_the_reservation(self) -> None:
        """Guards against memory that is lost with two calls while a link loses packets."""
        self.reserve()
        self.run_until(100)
        self.engine.silent_from_ms = self.start_ms + 2_400
        self.run_until(3_250)
        self.engine.silent_from_ms = None
        self.run_until(3_700)
        confirmed = [e for _, e in self.events if isinstance(e, ReservationRenewed)]
        self.assertEqual([e.is_confirmed for e in confirmed], [False, False, True])

    def test_silent_engine_is_known_before_the_memory_must_be_free(self) -> None:
        """Guards against memory that others keep for an engine that crashed in silence."""
        for crash_ms in range(10, 5_200, 130):
            with self.subTest(crash_ms=crash_ms):
                self.setUp()
                self.reserve()
                self.engine.silent_from_ms = self.start_ms + crash_ms
                self.run_until(crash_ms + FREE_MS)
                failed = [
                    at_ms
                    for at_ms, event in self.events
                    if isinstance(event, ReservationRenewed) and not event.is_confirmed
                ]
                self.assertLessEqual(failed[1], crash_ms + 3_310)

    def test_memory_of_a_dead_instance_is_free_in_time(self) -> None:
        """Guards against reservations that outlive a killed instance by more than four seconds."""
        self.reserve()
        self.run_until(30_000)
        for _, _, body in self.engine.calls:
            self.assertIn(b"tokens", body)
        self.assertLessEqual(LeaseCodec.hold_ms, FREE_MS - 200)


class OutcomeTest(EngineMemoryTest):
    def answer(self, status: int) -> ReservationOutcome:
        self.setUp()
        self.engine.status = status
        self.reserve()
        self.run_until(10)
        ((_, event),) = self.events
        assert isinstance(event, ReservationAnswered)
        return event.outcome

    def test_statuses_are_told_apart(self) -> None:
        """Guards against a permanent refusal that is taken for memory that is not free."""
        expected = {
            200: ReservationOutcome.GRANTED,
            409: ReservationOutcome.NO_ROOM,
            503: ReservationOutcome.NO_ROOM,
            400: ReservationOutcome.INVALID,
            404: ReservationOutcome.INVALID,
            413: ReservationOutcome.INVALID,
            421: ReservationOutcome.WRONG_UPSTREAM,
            500: ReservationOutcome.UNREACHABLE,
            302: ReservationOutcome.UNREACHABLE,
        }
        self.assertEqual({status: self.answer(status) for status in expected}, expected)

    def test_calls_and_answers_are_counted(self) -> None:
        """Guards against a storm of orders that no metric shows."""
        self.answer(409)
        calls = {labels["operation"]: n for labels, n in self.memory.calls_by_operation()}
        answers = {labels["outcome"]: n for labels, n in self.memory.reservations_by_outcome()}
        self.assertEqual((calls, answers), ({"reserve": 1.0}, {"no_room": 1.0}))


class SilentEngineTest(unittest.TestCase):
    def test_list_is_read_often_until_a_lost_engine_is_removed(self) -> None:
        """Guards against memory that is kept because the removal of a lost engine is read late.

        The platform removes an entry 3.6 s after a crash; renewals fail from 0.4 s after it, at the latest.
        """
        self.assertLessEqual(LATE_RENEWAL_INTERVAL_MS, QUESTIONED_MS)
        late = MAX_LIST_CHECKS_AFTER_RENEWALS - REPEATED_RENEWALS - 1
        checked_ms = REPEATED_RENEWALS * LEASE_CALL_TIMEOUT_MS + late * LATE_RENEWAL_INTERVAL_MS
        self.assertGreater(checked_ms + QUESTIONED_MS, FREE_MS)


if __name__ == "__main__":
    unittest.main()
