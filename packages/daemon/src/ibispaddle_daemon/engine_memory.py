"""Reservations of engine memory for prompts that span engines."""

from collections.abc import Callable

import msgspec
from circuits import BaseComponent
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import FreeMemory, ReservationAnswered, ReserveMemory

from .calls import CallResult, Calls
from .timers import TimerQueue

CALL_TIMEOUT_MS = 1_000
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 2_000


class EngineMemory(BaseComponent):
    """Reserve and free KV memory; freeing is repeated until the engine confirms it.

    Freeing ends at the latest when the handle has expired, because every instance that probes the
    engine deletes expired handles.
    """

    channel = "engine_memory"

    def __init__(self, clock: Clock, timers: TimerQueue) -> None:
        super().__init__()
        self._clock = clock
        self._timers = timers
        self._calls = Calls("engine_memory_calls", clock).register(self)
        self.unconfirmed = 0

    def reserve(
        self,
        base_url: str,
        decision: ReserveMemory,
        callback: Callable[[ReservationAnswered], None],
    ) -> None:
        """Ask for memory; a lost answer counts as a refusal and is repeated by the scheduler."""

        def done(result: CallResult) -> None:
            granted = result.status == 200
            callback(
                ReservationAnswered(
                    decision.request_id, decision.upstream_id, decision.handle, granted
                )
            )

        body = msgspec.json.encode({"handle": decision.handle, "tokens": decision.tokens})
        self._calls.send("POST", f"{base_url}/kv/reserve", body, CALL_TIMEOUT_MS, done)

    def free(self, base_url: str, decision: FreeMemory) -> None:
        """Free a handle."""
        self.unconfirmed += 1
        self._free(f"{base_url}/kv/{decision.handle}", decision.handle, FIRST_RETRY_MS)

    def _free(self, url: str, handle: str, retry_ms: int) -> None:
        def done(result: CallResult) -> None:
            if result.status == 200 or self._has_expired(handle):
                self.unconfirmed -= 1
                return
            longer_ms = min(MAX_RETRY_MS, 2 * retry_ms)
            self._timers.after(retry_ms, lambda: self._free(url, handle, longer_ms))

        self._calls.send("DELETE", url, b"", CALL_TIMEOUT_MS, done)

    def _has_expired(self, handle: str) -> bool:
        expiry = handle.rpartition("-")[2]
        return not expiry.isdigit() or self._clock.wall_ms() > int(expiry)
