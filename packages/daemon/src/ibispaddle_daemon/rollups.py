"""Paced appends of the parts of a rollup."""

from collections.abc import Iterator

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.usage import RollupPart, split_rollup

from .events import log_append
from .platform_log import LogError, LogFailure
from .timers import TimerQueue
from .usage import USAGE_STREAM

# One part of at most 256 KiB each 10 s is 26 KB/s at one instance, and 0.1 appends/s.
PART_INTERVAL_MS = 10_000
# With a short retention the parts follow faster, so that all of them take a 16th of it, but at most
# 5 appends/s.
MAX_PART_OF_RETENTION = 16
MIN_PART_INTERVAL_MS = 200
# A rollup of the largest fleet takes 60 ms to divide, which is too long for one turn of the loop.
MAX_DIVIDE_MS = 2
DIVIDE_INTERVAL_MS = 50
# A rollup that takes longer than this part of the retention is given up; a newer one is due then.
MAX_AGE_PART = 4


class RollupWriter(BaseComponent):
    """Append one rollup at a time, part by part; a part is sent again until its append succeeds."""

    channel = "usage_rollups"

    def __init__(self, retention_ms: int, clock: Clock, timers: TimerQueue) -> None:
        super().__init__()
        self._retention_ms = retention_ms
        self._clock = clock
        self._timers = timers
        self._division: Iterator[RollupPart] = iter(())
        self._parts: list[RollupPart] = []
        self._deadline_ms = 0
        self.is_active = False

    def write(self, rollup: RollupPart) -> None:
        """Begin with an undivided rollup, unless one is being written."""
        if self.is_active:
            return
        self.is_active = True
        self._deadline_ms = self._clock.now_ms() + self._retention_ms // MAX_AGE_PART
        self._division = split_rollup(rollup)
        self._divide()

    def _divide(self) -> None:
        end_ms = self._clock.now_ms() + MAX_DIVIDE_MS
        for part in self._division:
            self._parts.append(part)
            if self._clock.now_ms() >= end_ms:
                self._timers.after(DIVIDE_INTERVAL_MS, self._divide)
                return
        self._append()

    def _append(self) -> None:
        if self._clock.now_ms() >= self._deadline_ms:
            self._end()
            return
        part = self._parts[0]
        self.fire(log_append(USAGE_STREAM, part.to_record(), part.number, self.channel), "*")

    @handler("log_appended")
    def _on_log_appended(self, token: int, offset: int | None, error: LogError | None) -> None:
        if error is not None and error.failure is LogFailure.INVALID:
            self._end()
            return
        count = self._parts[0].count
        if error is None:
            del self._parts[0]
        if not self._parts:
            self._end()
            return
        fastest_ms = self._retention_ms // (MAX_PART_OF_RETENTION * count)
        interval_ms = max(MIN_PART_INTERVAL_MS, min(PART_INTERVAL_MS, fastest_ms))
        self._timers.after(interval_ms, self._append)

    def _end(self) -> None:
        self._parts.clear()
        self.is_active = False
