"""Millisecond clocks.

The core never reads a clock by itself: callers pass the time in. All times are integers in
milliseconds.
"""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """Provide the monotonic time and the wall-clock time in milliseconds."""

    def now_ms(self) -> int:
        """Return the monotonic time."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""


class SystemClock:
    """Read the clocks of the operating system."""

    def now_ms(self) -> int:
        """Return the monotonic time, with the time for which the machine was suspended.

        Leases, keys and deadlines of others run on while this machine stands still.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""
        return time.time_ns() // 1_000_000


@dataclass
class ManualClock:
    """Hold a time that a test moves by hand.

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
        """Move both times forward by `delta_ms`."""
        self.monotonic_ms += delta_ms
