"""Reservations of engine memory for prompts that span engines."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from circuits import BaseComponent
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import FreeMemory, ReservationAnswered, ReserveMemory

from .calls import CallbackHttpClient, CallResult
from .timers import TimerHandle, TimerQueue

CALL_TIMEOUT_MS = 1_000
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 2_000


@dataclass(frozen=True)
class MemoryCall:
    """Describe a call that reserves or frees engine memory."""

    method: str
    path: str
    body: bytes = b""


class EngineMemoryCodec(Protocol):
    """Translate reservations of engine memory into calls to the engine.

    With `hold_ms`, memory is reserved for this time only and the reservation is renewed while it is
    needed, so that the memory of an instance that died is free soon.
    """

    hold_ms: int | None

    def reserve(self, handle: str, tokens: int, hold_ms: int) -> MemoryCall:
        """Return the call that reserves memory, which the engine frees after `hold_ms`."""

    def free(self, handle: str) -> MemoryCall:
        """Return the call that frees a reservation."""

    def is_granted(self, status: int) -> bool:
        """Return whether an answer to `reserve` with this status grants the memory."""

    def is_freed(self, status: int) -> bool:
        """Return whether an answer to `free` with this status shows that nothing is reserved."""


class EngineApiMemoryCodec:
    """Speak the engines' own interface, in which the handle itself states its expiry."""

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
    """Reserve and free KV memory; freeing is repeated until the engine confirms it.

    Freeing ends at the latest when the handle has expired, because every instance that probes the
    engine deletes expired handles.
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
        self._wanted: set[str] = set()  # Handles that were asked for and not freed.
        self._renewals: dict[str, TimerHandle] = {}
        self.unconfirmed = 0

    def reserve(
        self,
        base_url: str,
        decision: ReserveMemory,
        callback: Callable[[ReservationAnswered], None],
    ) -> None:
        """Ask for memory; a lost answer counts as a refusal and is repeated by the scheduler."""

        def done(result: CallResult) -> None:
            granted = result.error is None and self._codec.is_granted(result.status)
            if granted and decision.handle in self._wanted:
                self._renew_later(base_url, decision)
            callback(
                ReservationAnswered(
                    decision.request_id, decision.upstream_id, decision.handle, granted
                )
            )

        self._wanted.add(decision.handle)
        call = self._codec.reserve(decision.handle, decision.tokens, self._hold_ms(decision))
        self._calls.send(call.method, base_url + call.path, call.body, CALL_TIMEOUT_MS, done)

    def free(self, base_url: str, decision: FreeMemory) -> None:
        """Free a handle."""
        self.unconfirmed += 1
        self._wanted.discard(decision.handle)
        renewal = self._renewals.pop(decision.handle, None)
        if renewal is not None:
            renewal.cancel()
        self._free(base_url, decision.handle, FIRST_RETRY_MS)

    def _hold_ms(self, decision: ReserveMemory) -> int:
        if self._codec.hold_ms is not None:
            return self._codec.hold_ms
        return max(1, (_expiry_ms(decision.handle) or 0) - self._clock.wall_ms())

    def _renew_later(self, base_url: str, decision: ReserveMemory) -> None:
        if self._codec.hold_ms is None or decision.handle in self._renewals:
            return

        def renew() -> None:
            self._renewals.pop(decision.handle, None)
            call = self._codec.reserve(decision.handle, decision.tokens, self._hold_ms(decision))
            url = base_url + call.path
            self._calls.send(call.method, url, call.body, CALL_TIMEOUT_MS, lambda result: None)
            self._renew_later(base_url, decision)

        # Two renewals may be lost before the reservation ends.
        interval_ms = self._codec.hold_ms // 3
        self._renewals[decision.handle] = self._timers.after(interval_ms, renew)

    def _free(self, base_url: str, handle: str, retry_ms: int) -> None:
        def done(result: CallResult) -> None:
            is_freed = result.error is None and self._codec.is_freed(result.status)
            if is_freed or self._has_expired(handle):
                self.unconfirmed -= 1
                return
            longer_ms = min(MAX_RETRY_MS, 2 * retry_ms)
            self._timers.after(retry_ms, lambda: self._free(base_url, handle, longer_ms))

        call = self._codec.free(handle)
        self._calls.send(call.method, base_url + call.path, call.body, CALL_TIMEOUT_MS, done)

    def _has_expired(self, handle: str) -> bool:
        expiry_ms = _expiry_ms(handle)
        return expiry_ms is None or self._clock.wall_ms() > expiry_ms


def _expiry_ms(handle: str) -> int | None:
    """Return the wall-clock time in the handle, or None if it has none."""
    expiry = handle.rpartition("-")[2]
    return int(expiry) if expiry.isdigit() else None
