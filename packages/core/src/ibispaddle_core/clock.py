"""Millisecond clocks.

Core functions do not read a clock; callers pass the current time. All times are integers in
milliseconds.
"""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """Interface of a clock with monotonic and wall-clock time in milliseconds."""

    def now_ms(self) -> int:
        """Return the monotonic time."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""


class SystemClock:
    """The operating system's clocks."""

    def now_ms(self) -> int:
        """Return the monotonic time, including the time for which the machine was suspended.

        Leases, keys and deadlines on other machines continue to expire during a suspension.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""
        return time.time_ns() // 1_000_000


@dataclass
class ManualClock:
    """A clock for tests that advances only on request.

    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now_ms()
    250
    """

    monotonic_ms: int = 0
    epoch_ms: int = 1_700_000_000_000

    def now_ms(self) -> int:
        """Return the monotonic time."""
        return self.monotonic_ms

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""
        return self.epoch_ms + self.monotonic_ms

    def advance(self, delta_ms: int) -> None:
        """Advance both times by `delta_ms`."""
        self.monotonic_ms += delta_ms
