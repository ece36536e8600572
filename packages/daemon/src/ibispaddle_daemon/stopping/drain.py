"""Graceful shutdown without interrupting requests."""

from collections.abc import Callable, Sequence
from typing import Protocol

from ibispaddle_core.clock import Clock

from ..timers import TimerQueue

DRAIN_POLL_MS = 20
# Time without requests after which callers are assumed to use other instances. They may still send a
# last request on an open connection.
QUIET_PERIOD_MS = 300
# Time for callers that connected just before the listener closed to send their request: a few round
# trips between neighbouring data centres, plus the first retransmission of a lost packet.
LAST_REQUEST_GRACE_MS = 250


class DrainableServer(Protocol):
    """A server whose listener can be closed without losing connections."""

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog, then refuse new ones."""

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress."""


class DrainableServers:
    """Several servers that are shut down together."""

    def __init__(self, servers: Sequence[DrainableServer]) -> None:
        self._servers = servers

    def stop_accepting(self) -> None:
        """Accept the connections in the backlogs, then refuse new ones."""
        for server in self._servers:
            server.stop_accepting()

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress."""
        for server in self._servers:
            server.close_idle_connections()


class Drain:
    """Wait until callers use other instances, close the listener and finish the remaining requests.

    The listener closes when no request has been in flight for `QUIET_PERIOD_MS`, but not before
    `earliest_ms`. Connections then stay open for `LAST_REQUEST_GRACE_MS`, and requests on them are
    answered. Finally the idle connections are closed, so that no request is read that the end of the
    process would interrupt. `on_end` is called once: with True if all requests were answered, with
    False if the time returned by `limit_ms` was reached first. All times are monotonic milliseconds.
    """

    def __init__(
        self,
        server: DrainableServer,
        clock: Clock,
        timers: TimerQueue,
        is_busy: Callable[[], bool],
        limit_ms: Callable[[], int],
        on_end: Callable[[bool], None],
        earliest_ms: int = 0,
    ) -> None:
        self._server, self._clock, self._timers = server, clock, timers
        self._is_busy, self._limit_ms, self._on_end = is_busy, limit_ms, on_end
        self._earliest_ms = earliest_ms
        self._idle_since_ms: int | None = None
        self._listener_closed_ms: int | None = None
        self._is_accepting_requests = True

    def begin(self) -> None:
        """Start the shutdown."""
        self._timers.after(DRAIN_POLL_MS, self._check)

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        is_busy = self._is_busy()
        if is_busy:
            self._idle_since_ms = None
        elif self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        is_timed_out = now_ms >= self._limit_ms()
        if self._listener_closed_ms is None:
            if is_timed_out or (now_ms >= self._earliest_ms and self._has_been_idle()):
                self._listener_closed_ms = now_ms
                self._server.stop_accepting()
        elif not is_busy and not self._is_accepting_requests:
            self._on_end(True)
            return
        elif not is_busy and (
            is_timed_out or now_ms >= self._listener_closed_ms + LAST_REQUEST_GRACE_MS
        ):
            self._is_accepting_requests = False
            self._server.close_idle_connections()
        if is_timed_out and is_busy:
            self._on_end(False)
            return
        self._timers.after(DRAIN_POLL_MS, self._check)

    def _has_been_idle(self) -> bool:
        since_ms = self._idle_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= QUIET_PERIOD_MS
