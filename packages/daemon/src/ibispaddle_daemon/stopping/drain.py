"""Stop serving callers without cutting a request."""

from collections.abc import Callable
from typing import Protocol

from ibispaddle_core.clock import Clock

from ..timers import TimerQueue

DRAIN_POLL_MS = 20
# Time without any request after which callers have moved on to other instances. They may send a last
# request on a connection that is still open.
QUIET_PERIOD_MS = 300
# Time for callers that connected just before the listener closed to send their request: a few round
# trips between neighbouring data centres, and a lost packet's first repeat.
LAST_REQUEST_GRACE_MS = 250


class DrainableServer(Protocol):
    """Close a listener without losing connections."""

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and refuse new ones from now on."""

    def close_idle_connections(self) -> None:
        """Close the connections on which no request has begun."""


class Drain:
    """Wait until callers have moved on, close the listener, answer what is left, and report the end.

    The listener closes when no request has been in flight for `QUIET_PERIOD_MS`, not before `earliest_ms`.
    Connections stay open for `LAST_REQUEST_GRACE_MS` more, and requests on them are answered. Then the idle ones
    are closed, so that no request is read which the end would cut. `on_end` is called once, with true if
    all requests were answered, and false if the time given by `limit_ms` was used up. All times are
    monotonic milliseconds.
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
        self._quiet_since_ms: int | None = None
        self._closed_ms: int | None = None
        self._takes_requests = True

    def begin(self) -> None:
        """Start to wait."""
        self._timers.after(DRAIN_POLL_MS, self._check)

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        is_busy = self._is_busy()
        if is_busy:
            self._quiet_since_ms = None
        elif self._quiet_since_ms is None:
            self._quiet_since_ms = now_ms
        is_over_time = now_ms >= self._limit_ms()
        if self._closed_ms is None:
            if is_over_time or (now_ms >= self._earliest_ms and self._is_quiet()):
                self._closed_ms = now_ms
                self._server.stop_accepting()
        elif not is_busy and not self._takes_requests:
            self._on_end(True)
            return
        elif not is_busy and (is_over_time or now_ms >= self._closed_ms + LAST_REQUEST_GRACE_MS):
            self._takes_requests = False
            self._server.close_idle_connections()
        if is_over_time and is_busy:
            self._on_end(False)
            return
        self._timers.after(DRAIN_POLL_MS, self._check)

    def _is_quiet(self) -> bool:
        since_ms = self._quiet_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= QUIET_PERIOD_MS
