"""Reservations of engine memory for prompts that span several engines."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import (
    FreeMemory,
    ReservationAnswered,
    ReservationOutcome,
    ReservationRenewed,
    ReserveMemory,
    Scheduler,
)

from .calls import CallbackHttpClient, CallResult
from .contacts import UncheckedContacts, UpstreamContacts, record_call
from .events import CallFailure
from .logs import log_event
from .metrics import Labels, Metrics
from .timers import TimerHandle, TimerQueue

CALL_TIMEOUT_MS = 1_000
# Timeout of a call about memory that is reserved for a limited time, and time until a renewal that was
# not confirmed is repeated. Engines answer within some milliseconds also under load.
LEASE_CALL_TIMEOUT_MS = 400
# Renewals that are repeated before the reservation expires, and the interval of later ones: each has the list
# read often until the next one (`QUESTIONED_MS`), so that the removal of a lost engine is seen at once.
REPEATED_RENEWALS = 2
LATE_RENEWAL_INTERVAL_MS = 1_200
# Time between the last repeated renewal and the expiry, for its way to the engine.
RENEWAL_MARGIN_MS = 400
INITIAL_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 2_000


@dataclass(frozen=True)
class MemoryCall:
    """Describe an HTTP call that reserves or frees engine memory."""

    method: str
    path: str
    body: bytes = b""


class EngineMemoryCodec(Protocol):
    """Translate reservations of engine memory into HTTP calls to the engine.

    If `hold_ms` is set, memory is reserved only for this time, and the reservation is renewed while
    it is needed. The memory reserved by an instance that crashes is thus freed soon.
    """

    hold_ms: int | None

    def reserve(self, handle: str, tokens: int, hold_ms: int) -> MemoryCall:
        """Return the call that reserves memory for `hold_ms`."""

    def free(self, handle: str) -> MemoryCall:
        """Return the call that frees a reservation."""

    def outcome(self, status: int) -> ReservationOutcome:
        """Return what a response to `reserve` with this status says."""

    def is_freed(self, status: int) -> bool:
        """Return whether a response to `free` with this status shows that nothing is reserved."""


class EngineApiMemoryCodec:
    """Use the engine API, in which the handle contains the expiry time of the reservation."""

    hold_ms = None

    def reserve(self, handle: str, tokens: int, hold_ms: int) -> MemoryCall:
        """Return the call that reserves memory."""
        body = msgspec.json.encode({"handle": handle, "tokens": tokens})
        return MemoryCall("POST", "/kv/reserve", body)

    def free(self, handle: str) -> MemoryCall:
        """Return the call that frees a reservation."""
        return MemoryCall("DELETE", f"/kv/{handle}")

    def outcome(self, status: int) -> ReservationOutcome:
        """Return what a response to `reserve` says."""
        return outcome_of_status(status)

    def is_freed(self, status: int) -> bool:
        """Return whether nothing is reserved."""
        return status == 200


def outcome_of_status(status: int) -> ReservationOutcome:
    """Return what an HTTP status says about a reservation.

    A refusal is permanent only if the status states that the request itself is wrong.

    >>> str(outcome_of_status(409)), str(outcome_of_status(400)), str(outcome_of_status(500))
    ('no_room', 'invalid', 'unreachable')
    """
    match status:
        case 200:
            return ReservationOutcome.GRANTED
        case 408 | 409 | 425 | 429 | 503:
            return ReservationOutcome.NO_ROOM
        case 421:
            return ReservationOutcome.WRONG_UPSTREAM
        case _ if 400 <= status < 500:
            return ReservationOutcome.INVALID
        case _:
            return ReservationOutcome.UNREACHABLE


_LOG_EVENTS = {
    ReservationOutcome.NO_ROOM: logevents.RESERVATION_REFUSED,
    ReservationOutcome.INVALID: logevents.RESERVATION_INVALID,
    ReservationOutcome.WRONG_UPSTREAM: logevents.RESERVATION_MISDIRECTED,
    ReservationOutcome.ANSWER_LOST: logevents.RESERVATION_UNANSWERED,
    ReservationOutcome.UNREACHABLE: logevents.RESERVATION_UNANSWERED,
    ReservationOutcome.NOT_SENT: logevents.RESERVATION_NOT_SENT,
}


class EngineMemory(BaseComponent):
    """Reserve and free KV memory; freeing is retried until the engine confirms it.

    Retries end when the handle has expired, because every instance that probes the engine deletes
    expired handles.
    """

    channel = "engine_memory"

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        codec: EngineMemoryCodec | None = None,
        contacts: UpstreamContacts | None = None,
    ) -> None:
        super().__init__()
        self._contacts = contacts or UncheckedContacts()
        self._clock = clock
        self._timers = timers
        self._codec = codec or EngineApiMemoryCodec()
        self._calls = CallbackHttpClient("engine_memory_calls", clock).register(self)
        self._active_handles: set[str] = set()  # Handles that were requested and not freed.
        self._renewals: dict[str, TimerHandle] = {}
        self.unconfirmed_frees = 0
        self._orders: Counter[str] = Counter()  # Calls by operation: reserve, renew, free.
        self._outcomes: Counter[ReservationOutcome] = (
            Counter()
        )  # Of reservations, without renewals.

    def add_to(self, metrics: Metrics, scheduler: Scheduler) -> None:
        """Register the counters of reservations."""
        metrics.add_labelled_counter(
            "ibispaddle_memory_calls_total",
            "Calls to engines about reservations of memory, by operation.",
            self.calls_by_operation,
        )
        metrics.add_labelled_counter(
            "ibispaddle_memory_answers_total",
            "Answers to reservations of memory without renewals, by outcome.",
            self.reservations_by_outcome,
        )
        metrics.add_labelled_counter(
            "ibispaddle_memory_groups_total",
            "Groups of engines whose memory was requested for a prompt, by step.",
            lambda: [({"step": step}, n) for step, n in scheduler.group_counts.items()],
        )

    def calls_by_operation(self) -> Iterator[tuple[Labels, float]]:
        """Yield the number of calls to engines by operation."""
        return (({"operation": name}, float(count)) for name, count in self._orders.items())

    def reservations_by_outcome(self) -> Iterator[tuple[Labels, float]]:
        """Yield the number of answered reservations by outcome."""
        return (({"outcome": str(name)}, float(n)) for name, n in self._outcomes.items())

    def reserve(
        self,
        base_url: str,
        decision: ReserveMemory,
        callback: Callable[[ReservationAnswered | ReservationRenewed], None],
    ) -> None:
        """Request memory and pass the outcome to `callback`, which also gets the result of each renewal."""

        sent_ms = self._clock.now_ms()

        def on_result(result: CallResult) -> None:
            record_call(self._contacts, decision.upstream_id, result, sent_ms)
            outcome = self._outcome(result)
            self._count_outcome(decision, outcome, result)
            if outcome is ReservationOutcome.GRANTED and decision.handle in self._active_handles:
                due_ms = sent_ms + self._renewal_delay_ms(0)
                self._schedule_renewal(base_url, decision, callback, due_ms)
            callback(
                ReservationAnswered(
                    decision.request_id, decision.upstream_id, decision.handle, outcome
                )
            )

        self._active_handles.add(decision.handle)
        self._orders["reserve"] += 1
        call = self._codec.reserve(decision.handle, decision.tokens, self._hold_ms(decision))
        timeout_ms = CALL_TIMEOUT_MS if self._codec.hold_ms is None else LEASE_CALL_TIMEOUT_MS
        self._calls.send(call.method, base_url + call.path, call.body, timeout_ms, on_result)

    def free(self, base_url: str, decision: FreeMemory) -> None:
        """Free the memory of a handle."""
        self.unconfirmed_frees += 1
        self._active_handles.discard(decision.handle)
        renewal = self._renewals.pop(decision.handle, None)
        if renewal is not None:
            renewal.cancel()
        self._send_free(base_url, decision.handle, INITIAL_RETRY_DELAY_MS)

    def _hold_ms(self, decision: ReserveMemory) -> int:
        if self._codec.hold_ms is not None:
            return self._codec.hold_ms
        return max(1, (_expiry_ms(decision.handle) or 0) - self._clock.wall_ms())

    def _schedule_renewal(
        self,
        base_url: str,
        decision: ReserveMemory,
        callback: Callable[[ReservationRenewed], None],
        due_ms: int,
        failures: int = 0,
    ) -> None:
        """Renew a reservation at a time, and again while it is active.

        A renewal that the engine did not confirm is repeated after `LEASE_CALL_TIMEOUT_MS`, so that two
        more are sent before the reservation expires, and the scheduler soon learns of a silent engine.
        `failures` is the number of renewals since the last one that was confirmed.
        """
        if self._codec.hold_ms is None or decision.handle in self._renewals:
            return

        def renew() -> None:
            self._renewals.pop(decision.handle, None)
            sent_ms = self._clock.now_ms()

            def on_result(result: CallResult) -> None:
                record_call(self._contacts, decision.upstream_id, result, sent_ms)
                if decision.handle not in self._active_handles:
                    return
                is_renewed = self._outcome(result) is ReservationOutcome.GRANTED
                failed = 0 if is_renewed else failures + 1
                due_ms = sent_ms + self._renewal_delay_ms(failed)
                self._schedule_renewal(base_url, decision, callback, due_ms, failed)
                callback(
                    ReservationRenewed(
                        decision.request_id,
                        decision.upstream_id,
                        decision.handle,
                        self._is_confirmed(result),
                    )
                )

            call = self._codec.reserve(decision.handle, decision.tokens, self._hold_ms(decision))
            url = base_url + call.path
            self._orders["renew"] += 1
            self._calls.send(call.method, url, call.body, LEASE_CALL_TIMEOUT_MS, on_result)

        self._renewals[decision.handle] = self._timers.at(due_ms, renew)

    def _renewal_delay_ms(self, failures: int) -> int:
        """Return the time from one renewal to the next after a number of failed ones in a row."""
        if failures > REPEATED_RENEWALS:
            return LATE_RENEWAL_INTERVAL_MS
        if failures > 0:
            return LEASE_CALL_TIMEOUT_MS
        hold_ms = self._codec.hold_ms or 0
        repeats_ms = REPEATED_RENEWALS * LEASE_CALL_TIMEOUT_MS
        return max(hold_ms // 3, hold_ms - repeats_ms - RENEWAL_MARGIN_MS)

    def _is_confirmed(self, result: CallResult) -> bool:
        """Return whether the engine has renewed a reservation, or the call never left this instance.

        After a crash, another process may answer at the engine's address.
        """
        outcome = self._outcome(result)
        return outcome in (ReservationOutcome.GRANTED, ReservationOutcome.NOT_SENT)

    def _outcome(self, result: CallResult) -> ReservationOutcome:
        if result.error is None:
            return self._codec.outcome(result.status)
        if result.failure in (CallFailure.BUSY, CallFailure.CANCELLED):
            return ReservationOutcome.NOT_SENT
        if result.failure is CallFailure.CLOSED:
            return ReservationOutcome.ANSWER_LOST
        return ReservationOutcome.UNREACHABLE

    def _count_outcome(
        self, decision: ReserveMemory, outcome: ReservationOutcome, result: CallResult
    ) -> None:
        self._outcomes[outcome] += 1
        if (event := _LOG_EVENTS.get(outcome)) is not None:
            log_event(
                event,
                request=decision.request_id,
                upstream=decision.upstream_id,
                tokens=decision.tokens,
                status=result.status,
                error=result.error.text if result.error is not None else None,
            )

    def _send_free(self, base_url: str, handle: str, retry_delay_ms: int) -> None:
        def on_result(result: CallResult) -> None:
            is_freed = result.error is None and self._codec.is_freed(result.status)
            if is_freed or self._has_expired(handle):
                self.unconfirmed_frees -= 1
                return
            next_delay_ms = min(MAX_RETRY_DELAY_MS, 2 * retry_delay_ms)
            self._timers.after(
                retry_delay_ms, lambda: self._send_free(base_url, handle, next_delay_ms)
            )

        self._orders["free"] += 1
        call = self._codec.free(handle)
        self._calls.send(call.method, base_url + call.path, call.body, CALL_TIMEOUT_MS, on_result)

    def _has_expired(self, handle: str) -> bool:
        expiry_ms = _expiry_ms(handle)
        return expiry_ms is None or self._clock.wall_ms() > expiry_ms


def _expiry_ms(handle: str) -> int | None:
    """Return the expiry time (wall clock) in the handle, or None if it has none."""
    expiry = handle.rpartition("-")[2]
    return int(expiry) if expiry.isdigit() else None
