"""Detection of pauses of the process and what has to be read again after one."""

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import MembershipView

from .events import pause_ended, process_paused, readiness_changed
from .logs import log_event
from .timers import TimerQueue

# The loop turns at least this often, because a timer is always due.
TICK_INTERVAL_MS = 250
# A turn that comes this much later than planned shows a pause. With the second between two readings
# of the instance list, work for a leaving upstream still ends within 2 s. Values near the delays of
# a busy machine, a few hundred milliseconds, would take load for pauses.
PAUSE_THRESHOLD_MS = 1_000


class PauseDetector(BaseComponent):
    """Hold back new work after a pause until every one of `sources` has been read again.

    A process that was stopped (SIGSTOP, a frozen virtual machine) or starved continues with state of
    the time before. Work can reach it in its first turn, before any timer of this component, so
    whoever takes or sends work asks `is_recovering`, which reads the clock.
    """

    channel = "pauses"

    def __init__(
        self, sources: tuple[str, ...], view: MembershipView, clock: Clock, timers: TimerQueue
    ) -> None:
        super().__init__()
        self._sources = frozenset(sources)
        self._view = view
        self._clock = clock
        self._timers = timers
        self._planned_ms: int | None = None
        self._waiting: set[str] = set()
        self.count = 0

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._turn()

    def _turn(self) -> None:
        self.is_recovering()
        self._planned_ms = self._clock.now_ms() + TICK_INTERVAL_MS
        self._timers.after(TICK_INTERVAL_MS, self._turn)

    def is_recovering(self) -> bool:
        """Return whether the process was paused and has not read all its sources again."""
        now_ms = self._clock.now_ms()
        if self._planned_ms is not None and now_ms - self._planned_ms >= PAUSE_THRESHOLD_MS:
            late_ms = now_ms - self._planned_ms
            self._planned_ms = now_ms + TICK_INTERVAL_MS
            self._begin(late_ms)
        return bool(self._waiting)

    def _begin(self, late_ms: int) -> None:
        self.count += 1
        self._waiting = set(self._sources)
        log_event(logevents.INSTANCE_PAUSED, late_ms=late_ms)
        self._view.exclude_pause(late_ms)
        self.fire(readiness_changed(self.channel, False), "*")
        self.fire(process_paused(self.count), "*")

    @handler("source_reread", channel="*")
    def _on_source_reread(self, source: str, number: int) -> None:
        if number != self.count or not self._waiting:
            return  # Begun before a later pause.
        self._waiting.discard(source)
        if not self._waiting:
            self.fire(readiness_changed(self.channel, True), "*")
            self.fire(pause_ended(), "*")
