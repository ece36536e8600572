"""Readiness of an instance that reaches no upstream."""

from collections.abc import Callable

from circuits import BaseComponent

from ..events import readiness_changed
from ..timers import TimerQueue
from .isolation import Isolation

CHECK_INTERVAL_MS = 100


class DelegationReadiness(BaseComponent):
    """Report an instance as not ready that is isolated and finds no delegate.

    One that finds a delegate serves its callers. `has_delegate` returns whether there is one.
    """

    channel = "upstreams"

    def __init__(self, isolation: Isolation, timers: TimerQueue) -> None:
        super().__init__()
        self.has_delegate: Callable[[], bool] = lambda: False
        self._isolation, self._timers = isolation, timers
        self._is_ready = True
        self._is_check_due = False
        isolation.subscribe(lambda is_isolated: self._schedule())

    def _schedule(self) -> None:
        if not self._is_check_due:
            self._is_check_due = True
            self._timers.after(0, self._check)

    def _check(self) -> None:
        self._is_check_due = False
        is_isolated = self._isolation.is_isolated
        is_ready = not is_isolated or self.has_delegate()
        if is_ready is not self._is_ready:
            self._is_ready = is_ready
            self.fire(readiness_changed(self.channel, is_ready), "*")
        if is_isolated:
            self._is_check_due = True
            self._timers.after(CHECK_INTERVAL_MS, self._check)
