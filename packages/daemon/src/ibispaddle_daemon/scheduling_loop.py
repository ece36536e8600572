"""Link between the scheduler and a component that carries out its decisions."""

from collections.abc import Callable

from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import Decision, Event, Scheduler, Tick

from .timers import TimerHandle, TimerQueue


class SchedulingLoop:
    """Hand events to the scheduler, carry out what follows, and wake it in time."""

    def __init__(
        self,
        scheduler: Scheduler,
        carry_out: Callable[[Decision], None],
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        self.scheduler = scheduler
        self._carry_out = carry_out
        self._clock = clock
        self._timers = timers
        self._wakeup: tuple[int, TimerHandle] | None = None

    def handle_event(self, event: Event) -> None:
        """Hand an event to the scheduler and carry out its decisions."""
        now_ms = self._clock.now_ms()
        for decision in self.scheduler.handle(event, now_ms):
            self._carry_out(decision)
        wakeup_ms = self.scheduler.next_wakeup_ms(now_ms)
        if wakeup_ms is None:
            return
        if self._wakeup is not None:
            if self._wakeup[0] <= wakeup_ms:
                return
            self._wakeup[1].cancel()
        self._wakeup = (wakeup_ms, self._timers.at(wakeup_ms, self._wake))

    def _wake(self) -> None:
        self._wakeup = None
        self.handle_event(Tick())
