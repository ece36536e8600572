"""Evacuations of data centres at one instance: what is in force, and what still runs there."""

from collections.abc import Callable, Collection

from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.scheduling import EvacuationsChanged, Event, Scheduler
from ibispaddle_core.scheduling.evacuations import count_running

from .logs import log_event
from .metrics import Metrics
from .timers import TimerHandle, TimerQueue

# Interval at which the requests that are left in evacuated data centres are counted.
CHECK_INTERVAL_MS = 200


class EvacuationMonitor:
    """Pass evacuations to the scheduler, and log their start, progress and end.

    Nothing is scheduled or counted while no data centre is evacuated.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        handle_event: Callable[[Event], None],
        listed_data_centres: Callable[[], Collection[str]],
        clock: Clock,
        timers: TimerQueue,
        metrics: Metrics,
    ) -> None:
        """Create the monitor.

        `listed_data_centres` returns those of the listed upstreams, and nothing before the list is known.
        """
        self._scheduler, self._handle_event = scheduler, handle_event
        self._listed_data_centres = listed_data_centres
        self._clock, self._timers = clock, timers
        self._check_timer: TimerHandle | None = None
        self._started_ms: dict[str, int] = {}  # Evacuated data centres.
        self._in_progress: set[str] = set()  # Those whose requests may not have ended.
        metrics.add_gauge(
            "ibispaddle_evacuated_data_centres",
            "Data centres that are evacuated.",
            lambda: len(self._started_ms),
        )
        metrics.add_gauge(
            "ibispaddle_evacuated_requests",
            "Requests of this instance that still run in evacuated data centres.",
            lambda: self._count_running(self._started_ms),
        )

    def replace(self, data_centres: Collection[str]) -> None:
        """Replace the set of evacuated data centres."""
        now_ms = self._clock.now_ms()
        ended = self._started_ms.keys() - data_centres
        started = data_centres - self._started_ms.keys()
        if not ended and not started:
            return
        for name in ended:
            self._in_progress.discard(name)
            lasted_ms = now_ms - self._started_ms.pop(name)
            log_event(logevents.EVACUATION_ENDED, data_centre=name, after_ms=lasted_ms)
        for name in started:
            self._in_progress.add(name)
            self._started_ms[name] = now_ms
            running = self._count_running((name,))
            log_event(logevents.EVACUATION_STARTED, data_centre=name, requests=running)
        self._handle_event(EvacuationsChanged(frozenset(data_centres)))
        if self._check_timer is None:
            self._check()

    def _check(self) -> None:
        """Log the data centres in which no request is left."""
        self._check_timer = None
        listed = self._listed_data_centres()
        for name in list(self._in_progress) if listed else ():
            if name not in listed:
                log_event(logevents.EVACUATION_UNKNOWN, data_centre=name, known=sorted(listed))
            elif self._count_running((name,)):
                continue
            else:
                after_ms = self._clock.now_ms() - self._started_ms[name]
                log_event(logevents.EVACUATION_DRAINED, data_centre=name, after_ms=after_ms)
            self._in_progress.discard(name)
        if self._in_progress:
            self._check_timer = self._timers.after(CHECK_INTERVAL_MS, self._check)

    def _count_running(self, data_centres: Collection[str]) -> int:
        if not data_centres:
            return 0
        return count_running(self._scheduler.runners.views.values(), data_centres)
