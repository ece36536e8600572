"""Connection between the scheduler and a component that executes its decisions."""

from collections.abc import Callable

from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import Decision, Event, Scheduler, Tick

from .timers import TimerHandle, TimerQueue


class SchedulingLoop:
    """Pass events to the scheduler, execute its decisions, and send it a `Tick` when it is due."""

    def __init__(
        self,
        scheduler: Scheduler,
        execute: Callable[[Decision], None],
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        self.scheduler = scheduler
        self._execute = execute
        self._clock = clock
        self._timers = timers
        self._next_wakeup: tuple[int, TimerHandle] | None = None

    def handle_event(self, event: Event) -> None:
        """Pass an event to the scheduler and execute its decisions."""
        now_ms = self._clock.now_ms()
        for decision in self.scheduler.handle(event, now_ms):
            self._execute(decision)
        wakeup_ms = self.scheduler.next_wakeup_ms(now_ms)
        if wakeup_ms is None:
            return
        if self._next_wakeup is not None:
            if self._next_wakeup[0] <= wakeup_ms:
                return
            self._next_wakeup[1].cancel()
        self._next_wakeup = (wakeup_ms, self._timers.at(wakeup_ms, self._wake))

    def _wake(self) -> None:
        self._next_wakeup = None
        self.handle_event(Tick())
