"""Rate-limited appends of the parts of a rollup."""

from collections.abc import Iterator

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.usage import RollupPart, split_rollup

from .events import log_append
from .platform_log import LogError, LogFailure
from .timers import TimerQueue
from .usage import USAGE_STREAM

# One part of at most 256 KiB per 10 s is 26 KB/s at one instance, and 0.1 appends/s.
PART_INTERVAL_MS = 10_000
# With a short retention the interval is shorter, so that all parts are appended within 1/16 of the
# retention, but at no more than 5 appends/s.
APPEND_RETENTION_DIVISOR = 16
MIN_PART_INTERVAL_MS = 200
# Splitting a rollup of the largest fleet takes 60 ms, which is too long for one turn of the event
# loop; it is done in slices.
MAX_SPLIT_SLICE_MS = 2
SPLIT_INTERVAL_MS = 50
# A rollup that takes longer than 1/4 of the retention is abandoned, because a newer one is due by
# then.
DEADLINE_RETENTION_DIVISOR = 4


class RollupWriter(BaseComponent):
    """Append one rollup at a time, part by part; each part is retried until its append succeeds."""

    channel = "usage_rollups"

    def __init__(self, retention_ms: int, clock: Clock, timers: TimerQueue) -> None:
        super().__init__()
        self._retention_ms = retention_ms
        self._clock = clock
        self._timers = timers
        self._split_parts: Iterator[RollupPart] = iter(())
        self._parts: list[RollupPart] = []
        self._deadline_ms = 0
        self.is_active = False

    def write(self, rollup: RollupPart) -> None:
        """Start to write an unsplit rollup, unless another one is being written."""
        if self.is_active:
            return
        self.is_active = True
        self._deadline_ms = self._clock.now_ms() + self._retention_ms // DEADLINE_RETENTION_DIVISOR
        self._split_parts = split_rollup(rollup)
        self._split_next_slice()

    def _split_next_slice(self) -> None:
        slice_end_ms = self._clock.now_ms() + MAX_SPLIT_SLICE_MS
        for part in self._split_parts:
            self._parts.append(part)
            if self._clock.now_ms() >= slice_end_ms:
                self._timers.after(SPLIT_INTERVAL_MS, self._split_next_slice)
                return
        self._append()

    def _append(self) -> None:
        if self._clock.now_ms() >= self._deadline_ms:
            self._finish()
            return
        part = self._parts[0]
        self.fire(log_append(USAGE_STREAM, part.to_record(), part.number, self.channel), "*")

    @handler("log_appended")
    def _on_log_appended(self, token: int, offset: int | None, error: LogError | None) -> None:
        if error is not None and error.failure is LogFailure.INVALID:
            self._finish()
            return
        count = self._parts[0].count
        if error is None:
            del self._parts[0]
        if not self._parts:
            self._finish()
            return
        retention_interval_ms = self._retention_ms // (APPEND_RETENTION_DIVISOR * count)
        interval_ms = max(MIN_PART_INTERVAL_MS, min(PART_INTERVAL_MS, retention_interval_ms))
        self._timers.after(interval_ms, self._append)

    def _finish(self) -> None:
        self._parts.clear()
        self.is_active = False
