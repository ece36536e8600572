"""The operators' limit of hedges, which all instances share."""

import math
from collections import deque

from .messages import AttemptCounts, FleetAttempts
from .retries import FLEET_BUDGET_FRACTION, FLEET_COUNTS_MAX_AGE_MS

# Longer than the window of the retry budget: what quiet times leave is used when upstreams turn slow. How
# many hedges may follow each other at once is bounded by the retry budget.
HEDGE_WINDOW_MS = 60_000


class HedgeBudget:
    """Allow hedges up to a fraction of the first attempts of all instances in the last minute.

    While the counts of the other instances are unknown, this instance may hedge that fraction of the
    requests that it has sent since.

    >>> budget = HedgeBudget(fraction=0.02)
    >>> budget.set_fleet(FleetAttempts({}, hedging=AttemptCounts(first=100, hedges=0)), now_ms=0)
    >>> budget.has_room(now_ms=1)
    True
    >>> budget.count_hedge(now_ms=1)
    >>> budget.has_room(now_ms=2)
    False
    """

    def __init__(self, fraction: float) -> None:
        self.fraction = fraction
        self._first: deque[int] = deque()  # Times of this instance's attempts within the window.
        self._hedges: deque[int] = deque()
        self._fleet: AttemptCounts | None = None
        self._fleet_ms = 0
        # First attempts since the counts became unknown, less those that hedges have used.
        self._first_alone = 0

    def set_fleet(self, fleet: FleetAttempts, now_ms: int) -> None:
        """Replace the counts of all other instances."""
        self._fleet, self._fleet_ms = fleet.hedging, now_ms

    def count_first_attempt(self, now_ms: int) -> None:
        """Count a first attempt at any service."""
        self._first.append(now_ms)
        self._first_alone = 0 if self._knows_fleet(now_ms) else self._first_alone + 1
        self._expire(now_ms)

    def count_hedge(self, now_ms: int) -> None:
        """Count a hedge."""
        self._hedges.append(now_ms)
        self._first_alone = max(0, self._first_alone - math.ceil(1 / self.fraction))

    def has_room(self, now_ms: int) -> bool:
        """Return whether one more hedge is allowed."""
        if not self._knows_fleet(now_ms):
            return self.fraction * self._first_alone >= 1
        assert self._fleet is not None
        self._expire(now_ms)
        first = self._fleet.first + len(self._first)
        hedges = self._fleet.hedges + len(self._hedges)
        return hedges + 1 <= FLEET_BUDGET_FRACTION * self.fraction * first

    def _knows_fleet(self, now_ms: int) -> bool:
        return self._fleet is not None and now_ms - self._fleet_ms <= FLEET_COUNTS_MAX_AGE_MS

    def _expire(self, now_ms: int) -> None:
        for times in (self._first, self._hedges):
            while times and times[0] <= now_ms - HEDGE_WINDOW_MS:
                times.popleft()
