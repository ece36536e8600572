"""The attempts of all instances in the window of the retry budget, as a hub counts them."""

from collections import deque

from ..scheduling import AttemptCounts
from ..scheduling.retries import WINDOW_MS


class AttemptAggregator:
    """Sum up the attempts of all instances and leave out those of the one that asks.

    Instances tell totals since their start, so a lost message loses nothing. A board that has counted
    for less than the window knows too little and states nothing.

    >>> board = AttemptAggregator(started_ms=0)
    >>> board.tell("a", AttemptCounts(5, 0), now_ms=0)
    >>> board.tell("a", AttemptCounts(9, 2), now_ms=9_000)
    >>> board.total_excluding("b", now_ms=9_999), board.total_excluding("b", now_ms=10_000)
    (None, AttemptCounts(first=4, repeats=2))
    """

    def __init__(self, started_ms: int) -> None:
        self._started_ms = started_ms
        self._totals: dict[str, AttemptCounts] = {}
        self._recent: deque[tuple[int, str, AttemptCounts]] = deque()
        self._sums: dict[str, AttemptCounts] = {}  # By instance, of the window.
        self._sum = AttemptCounts()

    def update(self, instance: str, totals: AttemptCounts, now_ms: int) -> None:
        """Take the totals of an instance since its start."""
        known = self._totals.get(instance)
        self._totals[instance] = totals
        if known is None:
            return
        # Smaller totals are those of a process that has started anew.
        is_restarted = totals.first < known.first or totals.retries < known.retries
        added = totals if is_restarted else totals - known
        if added != AttemptCounts():
            self._recent.append((now_ms, instance, added))
            self._add(instance, added)

    def total_excluding(self, instance: str, now_ms: int) -> AttemptCounts | None:
        """Return the attempts of all other instances in the window, or None if they are not known."""
        self._expire(now_ms)
        if now_ms - self._started_ms < WINDOW_MS:
            return None
        return self._sum - self._sums.get(instance, AttemptCounts())

    def _expire(self, now_ms: int) -> None:
        while self._recent and self._recent[0][0] <= now_ms - WINDOW_MS:
            _, instance, counts = self._recent.popleft()
            self._add(instance, AttemptCounts() - counts)

    def _add(self, instance: str, counts: AttemptCounts) -> None:
        self._sum += counts
        left = self._sums.get(instance, AttemptCounts()) + counts
        if left == AttemptCounts():
            del self._sums[instance]
        else:
            self._sums[instance] = left
