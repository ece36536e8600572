"""Exchanges that arrive before an instance can route them."""

from collections.abc import Callable

from ..http_exchange import Exchange
from ..timers import TimerQueue

# Maximum time for which requests wait for the configuration and the list of upstreams after a start.
# Reading them takes tens of milliseconds.
STARTUP_WAIT_MS = 300


class StartupExchanges:
    """Hold exchanges for a short time after the start, until `route` can be called with them."""

    def __init__(self, timers: TimerQueue, route: Callable[[Exchange], None]) -> None:
        self._timers, self._route = timers, route
        self._waiting: list[Exchange] = []

    def add(self, exchange: Exchange) -> None:
        """Hold an exchange until `release`, but not longer than callers can wait."""
        self._waiting.append(exchange)
        self._timers.after(STARTUP_WAIT_MS, lambda: self._end_wait(exchange))

    def release(self) -> None:
        """Route the exchanges whose callers are still connected."""
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            if not exchange.is_closed:
                self._route(exchange)

    def _end_wait(self, exchange: Exchange) -> None:
        if exchange in self._waiting:
            self._waiting.remove(exchange)
            self._route(exchange)
