"""Aggregation on a hub of all instances' attempts within the retry budget's window."""

from collections import deque
from collections.abc import Mapping

from ..scheduling import AttemptCounts
from ..scheduling.retries import WINDOW_MS

_Counts = dict[str, AttemptCounts]  # By service.


class AttemptAggregator:
    """Sum the recent attempts at each service of all instances except the requesting one.

    Instances report cumulative totals since their start, so a lost message loses no attempts. Until
    the aggregator has counted for a full window it returns None, because its sum is incomplete. It
    starts to count anew with the first report after a window without reports of others, since
    `instance_id` may have become a hub only then.

    >>> attempts = AttemptAggregator("hub", started_ms=0)
    >>> attempts.update("a", {"llm": AttemptCounts(5, 0)}, now_ms=0)
    >>> attempts.update("a", {"llm": AttemptCounts(9, 2)}, now_ms=9_000)
    >>> attempts.total_excluding("b", now_ms=9_999)
    >>> attempts.total_excluding("b", now_ms=10_000)
    {'llm': AttemptCounts(first=4, retries=2)}
    """

    def __init__(self, instance_id: str, started_ms: int, window_ms: int = WINDOW_MS) -> None:
        self._instance_id = instance_id
        self._window_ms = window_ms
        self._counting_since_ms = self._reported_ms = started_ms
        self._totals: dict[str, _Counts] = {}
        self._recent: deque[tuple[int, str, str, AttemptCounts]] = deque()
        self._window_sums: dict[str, _Counts] = {}  # By instance.
        self._window_sum: _Counts = {}

    def update(self, instance: str, totals: Mapping[str, AttemptCounts], now_ms: int) -> None:
        """Record the cumulative totals of an instance since its start, for some or all services."""
        if instance != self._instance_id:
            if now_ms - self._reported_ms > self._window_ms:
                self._counting_since_ms = now_ms
            self._reported_ms = now_ms
        is_first = instance not in self._totals
        known = self._totals.setdefault(instance, {})
        for service, counts in totals.items():
            previous = known.get(service, AttemptCounts())
            known[service] = counts
            if is_first:
                continue
            # Totals that decrease come from a restarted process.
            is_restarted = counts.first < previous.first or counts.retries < previous.retries
            added = counts if is_restarted else counts - previous
            if added != AttemptCounts():
                self._recent.append((now_ms, instance, service, added))
                self._add(instance, service, added)

    def total_excluding(self, instance: str, now_ms: int) -> dict[str, AttemptCounts] | None:
        """Return the attempts of all other instances in the window, or None if they are unknown."""
        if now_ms - self._counting_since_ms < self._window_ms:
            return None
        return self.known_excluding(instance, now_ms)

    def known_excluding(self, instance: str, now_ms: int) -> dict[str, AttemptCounts]:
        """Return the attempts of all other instances that were counted in the window."""
        self._expire(now_ms)
        own = self._window_sums.get(instance, {})
        others = {
            service: counts - own.get(service, AttemptCounts())
            for service, counts in self._window_sum.items()
        }
        return {service: counts for service, counts in others.items() if counts != AttemptCounts()}

    def _expire(self, now_ms: int) -> None:
        while self._recent and self._recent[0][0] <= now_ms - self._window_ms:
            _, instance, service, counts = self._recent.popleft()
            self._add(instance, service, AttemptCounts() - counts)

    def _add(self, instance: str, service: str, counts: AttemptCounts) -> None:
        instance_sums = self._window_sums.setdefault(instance, {})
        for sums in (self._window_sum, instance_sums):
            sums[service] = sums.get(service, AttemptCounts()) + counts
            if sums[service] == AttemptCounts():
                del sums[service]
        if not instance_sums:
            del self._window_sums[instance]
