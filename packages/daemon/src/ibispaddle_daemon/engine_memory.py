"""Reservations of engine memory for prompts that span several engines."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from circuits import BaseComponent
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import (
    FreeMemory,
    ReservationAnswered,
    ReservationRenewed,
    ReserveMemory,
)

from .calls import CallbackHttpClient, CallResult
from .events import CallFailure
from .timers import TimerHandle, TimerQueue

CALL_TIMEOUT_MS = 1_000
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

    def is_granted(self, status: int) -> bool:
        """Return whether a response to `reserve` with this status grants the memory."""

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

    def is_granted(self, status: int) -> bool:
        """Return whether the memory is granted."""
        return status == 200

    def is_freed(self, status: int) -> bool:
        """Return whether nothing is reserved."""
        return status == 200


class EngineMemory(BaseComponent):
    """Reserve and free KV memory; freeing is retried until the engine confirms it.

    Retries end when the handle has expired, because every instance that probes the engine deletes
    expired handles.
    """

    channel = "engine_memory"

    def __init__(
        self, clock: Clock, timers: TimerQueue, codec: EngineMemoryCodec | None = None
    ) -> None:
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._codec = codec or EngineApiMemoryCodec()
        self._calls = CallbackHttpClient("engine_memory_calls", clock).register(self)
        self._active_handles: set[str] = set()  # Handles that were requested and not freed.
        self._renewals: dict[str, TimerHandle] = {}
        self.unconfirmed_frees = 0

    def reserve(
        self,
        base_url: str,
        decision: ReserveMemory,
        callback: Callable[[ReservationAnswered | ReservationRenewed], None],
    ) -> None:
        """Request memory; a lost response counts as a refusal, which the scheduler retries.

        `callback` also gets the result of each renewal.
        """

        def on_result(result: CallResult) -> None:
            granted = result.error is None and self._codec.is_granted(result.status)
            if granted and decision.handle in self._active_handles:
                self._schedule_renewal(base_url, decision, callback)
            callback(
                ReservationAnswered(
                    decision.request_id, decision.upstream_id, decision.handle, granted
                )
            )

        self._active_handles.add(decision.handle)
        call = self._codec.reserve(decision.handle, decision.tokens, self._hold_ms(decision))
        self._calls.send(call.method, base_url + call.path, call.body, CALL_TIMEOUT_MS, on_result)

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
    ) -> None:
        if self._codec.hold_ms is None or decision.handle in self._renewals:
            return

        def on_result(result: CallResult) -> None:
            if decision.handle in self._active_handles:
                callback(
                    ReservationRenewed(
                        decision.request_id,
                        decision.upstream_id,
                        decision.handle,
                        self._is_confirmed(result),
                    )
                )

        def renew() -> None:
            self._renewals.pop(decision.handle, None)
            call = self._codec.reserve(decision.handle, decision.tokens, self._hold_ms(decision))
            url = base_url + call.path
            self._calls.send(call.method, url, call.body, CALL_TIMEOUT_MS, on_result)
            self._schedule_renewal(base_url, decision, callback)

        # At least one renewal can be lost before the reservation expires.
        interval_ms = self._codec.hold_ms // 3
        self._renewals[decision.handle] = self._timers.after(interval_ms, renew)

    def _is_confirmed(self, result: CallResult) -> bool:
        """Return whether the engine has renewed a reservation, or the call never left this instance.

        After a crash, another process may answer at the engine's address.
        """
        if result.error is None:
            return self._codec.is_granted(result.status)
        return result.failure in (CallFailure.BUSY, CallFailure.CANCELLED)

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

        call = self._codec.free(handle)
        self._calls.send(call.method, base_url + call.path, call.body, CALL_TIMEOUT_MS, on_result)

    def _has_expired(self, handle: str) -> bool:
        expiry_ms = _expiry_ms(handle)
        return expiry_ms is None or self._clock.wall_ms() > expiry_ms


def _expiry_ms(handle: str) -> int | None:
    """Return the expiry time (wall clock) in the handle, or None if it has none."""
    expiry = handle.rpartition("-")[2]
    return int(expiry) if expiry.isdigit() else None
