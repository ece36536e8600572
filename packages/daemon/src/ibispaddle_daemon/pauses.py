"""Detection of pauses of the process, and recovery from them."""

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import MembershipView

from .events import pause_ended, process_paused, readiness_changed
from .logs import log_event
from .timers import TimerQueue

# Interval of the detector's own timer, and so the longest time between two turns of the event loop.
TICK_INTERVAL_MS = 250
# Delay of a tick from which the process counts as paused. The instance list is read every second, so
# with this threshold a leaving upstream still gets no new work after 2 s. A threshold of a few hundred
# milliseconds would mistake the delays of a busy machine for pauses.
PAUSE_THRESHOLD_MS = 1_000


class PauseDetector(BaseComponent):
    """Detect pauses, after which no new work is started until all of `sources` have been read again.

    A process that was stopped (SIGSTOP, a frozen virtual machine) or got no processor time continues
    with outdated state. Work can arrive in the first turn of the event loop, before this component's
    timer runs. Components therefore call `is_recovering`, which checks the clock, before they accept or
    send work.
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
        self._expected_tick_ms: int | None = None
        self._unread_sources: set[str] = set()
        self.count = 0

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._tick()

    def _tick(self) -> None:
        self.is_recovering()
        self._expected_tick_ms = self._clock.now_ms() + TICK_INTERVAL_MS
        self._timers.after(TICK_INTERVAL_MS, self._tick)

    def is_recovering(self) -> bool:
        """Return whether the process was paused and has not yet read all sources again."""
        now_ms = self._clock.now_ms()
        if (
            self._expected_tick_ms is not None
            and now_ms - self._expected_tick_ms >= PAUSE_THRESHOLD_MS
        ):
            late_ms = now_ms - self._expected_tick_ms
            self._expected_tick_ms = now_ms + TICK_INTERVAL_MS
            self._start_recovery(late_ms)
        return bool(self._unread_sources)

    def _start_recovery(self, late_ms: int) -> None:
        self.count += 1
        self._unread_sources = set(self._sources)
        log_event(logevents.INSTANCE_PAUSED, late_ms=late_ms)
        self._view.exclude_pause(late_ms)
        self.fire(readiness_changed(self.channel, False), "*")
        self.fire(process_paused(self.count), "*")

    @handler("source_reread", channel="*")
    def _on_source_reread(self, source: str, number: int) -> None:
        if number != self.count or not self._unread_sources:
            return  # The read started before the latest pause.
        self._unread_sources.discard(source)
        if not self._unread_sources:
            self.fire(readiness_changed(self.channel, True), "*")
            self.fire(pause_ended(), "*")
