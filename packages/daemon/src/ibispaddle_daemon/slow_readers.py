"""Observation of the callers that have not read the response data that is held for them."""

from collections.abc import Iterable
from dataclasses import dataclass

from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding.memory_budget import (
    SlowPeer,
    callers_to_give_up,
    has_stopped_reading,
)

from .http_listener import CallerConnection, kernel_unsent_bytes

# A process that observes its callers later than this was itself suspended, and its callers aren't to blame.
MAX_OBSERVATION_GAP_MS = 3_000


@dataclass(slots=True)
class _Progress:
    unread_bytes: int  # Bytes in the process and in the kernel.
    at_ms: int


class SlowReaders:
    """Track when each caller has read something last; only those with buffered bytes are tracked.

    What the kernel holds for a caller counts too: a slow caller reads it for many seconds before the
    process can write again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._progress: dict[CallerConnection, _Progress] = {}
        self._observed_ms = clock.now_ms()
        self.given_up = 0

    def buffered(self, conn: CallerConnection) -> None:
        """Begin to track a caller for which bytes were buffered."""
        if conn not in self._progress:
            unread = conn.unsent_bytes + kernel_unsent_bytes(conn.sock)
            self._progress[conn] = _Progress(unread, self._clock.now_ms())

    def observe(self, conns: Iterable[CallerConnection]) -> None:
        """Update the progress of all callers with buffered bytes."""
        now_ms = self._clock.now_ms()
        if now_ms - self._observed_ms > MAX_OBSERVATION_GAP_MS:
            self._progress.clear()
        self._observed_ms = now_ms
        for conn in conns:
            if conn.is_closed or not conn.unsent_bytes:
                self._progress.pop(conn, None)
                continue
            unread = conn.unsent_bytes + kernel_unsent_bytes(conn.sock)
            known = self._progress.get(conn)
            if known is None or unread < known.unread_bytes or conn.has_written:
                self._progress[conn] = _Progress(unread, now_ms)
            else:
                known.unread_bytes = unread  # More was buffered.
            conn.has_written = False

    def forget(self, conn: CallerConnection) -> None:
        """Remove a closed connection."""
        self._progress.pop(conn, None)

    def idle_ms(self, conn: CallerConnection) -> int:
        """Return the time for which a caller has read nothing."""
        known = self._progress.get(conn)
        return self._clock.now_ms() - known.at_ms if known is not None else 0

    def stopped(self, now_ms: int) -> list[CallerConnection]:
        """Return the callers whose requests end because they have stopped reading."""
        return [
            conn
            for conn in self._progress
            if has_stopped_reading(self._peer(0, conn), now_ms) and not conn.is_closed
        ]

    def to_give_up(self, excess_bytes: int, spare_bytes: int) -> list[CallerConnection]:
        """Return the callers to give up so that `excess_bytes`, or somewhat more, become free."""
        conns = [conn for conn in self._progress if not conn.is_closed]
        peers = (self._peer(number, conn) for number, conn in enumerate(conns))
        chosen = callers_to_give_up(peers, excess_bytes, self._clock.now_ms(), spare_bytes)
        return [conns[number] for number in chosen]

    def _peer(self, number: int, conn: CallerConnection) -> SlowPeer:
        exchange = conn.http.exchange
        is_waiting = exchange is not None and exchange.is_upstream_waiting
        return SlowPeer(number, conn.unsent_bytes, self._progress[conn].at_ms, is_waiting)
