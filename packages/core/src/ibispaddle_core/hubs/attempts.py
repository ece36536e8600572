"""Aggregation on a hub of all instances' attempts within the retry budget's window."""

from collections import deque

from ..scheduling import AttemptCounts
from ..scheduling.retries import WINDOW_MS


class AttemptAggregator:
    """Sum the recent attempts of all instances except the requesting one.

    Instances report cumulative totals since their start, so a lost message loses no attempts. Until
    the aggregator has counted for a full window it returns None, because its sum is incomplete.

    >>> attempts = AttemptAggregator(started_ms=0)
    >>> attempts.update("a", AttemptCounts(5, 0), now_ms=0)
    >>> attempts.update("a", AttemptCounts(9, 2), now_ms=9_000)
    >>> attempts.total_excluding("b", now_ms=9_999), attempts.total_excluding("b", now_ms=10_000)
    (None, AttemptCounts(first=4, retries=2))
    """

    def __init__(self, started_ms: int) -> None:
        self._started_ms = started_ms
        self._totals: dict[str, AttemptCounts] = {}
        self._recent: deque[tuple[int, str, AttemptCounts]] = deque()
        self._window_sums: dict[str, AttemptCounts] = {}  # By instance.
        self._window_sum = AttemptCounts()

    def update(self, instance: str, totals: AttemptCounts, now_ms: int) -> None:
        """Record the cumulative totals of an instance since its start."""
        previous = self._totals.get(instance)
        self._totals[instance] = totals
        if previous is None:
            return
        # Totals that decrease come from a restarted process.
        is_restarted = totals.first < previous.first or totals.retries < previous.retries
        added = totals if is_restarted else totals - previous
        if added != AttemptCounts():
            self._recent.append((now_ms, instance, added))
            self._add(instance, added)

    def total_excluding(self, instance: str, now_ms: int) -> AttemptCounts | None:
        """Return the attempts of all other instances in the window, or None if they are unknown."""
        self._expire(now_ms)
        if now_ms - self._started_ms < WINDOW_MS:
            return None
        return self._window_sum - self._window_sums.get(instance, AttemptCounts())

    def _expire(self, now_ms: int) -> None:
        while self._recent and self._recent[0][0] <= now_ms - WINDOW_MS:
            _, instance, counts = self._recent.popleft()
            self._add(instance, AttemptCounts() - counts)

    def _add(self, instance: str, counts: AttemptCounts) -> None:
        self._window_sum += counts
        instance_sum = self._window_sums.get(instance, AttemptCounts()) + counts
        if instance_sum == AttemptCounts():
            del self._window_sums[instance]
        else:
            self._window_sums[instance] = instance_sum
