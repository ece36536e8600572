"""Retry budgets, which bound the retries at each service in proportion to its first attempts."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .messages import AttemptCounts, FleetAttempts

WINDOW_MS = 10_000
# The counts of the other instances are requested before each retry. Older counts are used for up to
# this time when no hub answers.
FLEET_COUNTS_MAX_AGE_MS = 1_500
# Usable fraction of the fleet's budget. The rest covers retries that other instances do not know of
# yet.
FLEET_BUDGET_FRACTION = 0.8


@dataclass(slots=True)
class _ServiceAttempts:
    """The attempts of this instance at one service."""

    first: deque[int] = field(default_factory=deque)  # Times within the window.
    retries: deque[int] = field(default_factory=deque)
    totals: AttemptCounts = AttemptCounts()  # Since the start.

    def expire(self, now_ms: int) -> None:
        for times in (self.first, self.retries):
            while times and times[0] <= now_ms - WINDOW_MS:
                times.popleft()


class RetryBudget:
    """Allow retries at a service up to a ratio of its first attempts in the last ten seconds.

    Each service has a budget of its own, so that traffic of one does not pay for retries at another.
    `floor` retries are always allowed, so that an instance with little traffic can retry. With a
    `slack`, all instances share one budget a service and may together make that many retries beyond
    the ratio. While the counts of the other instances are unknown, this instance may use its floor or,
    in a large fleet, its even share of the slack if that is lower.

    >>> budget = RetryBudget(ratio=0.5, floor=0)
    >>> for _ in range(2):
    ...     budget.count_first_attempt("a", now_ms=0)
    >>> budget.try_acquire("b", now_ms=1), budget.try_acquire("a", now_ms=1)
    (False, True)
    """

    def __init__(self, ratio: float, floor: int, slack: int = 0) -> None:
        self._ratio = ratio
        self._floor = floor
        self._slack = slack
        self._services: dict[str, _ServiceAttempts] = {}
        self._fleet = FleetAttempts(None)
        self._fleet_ms = 0
        self.refused = 0  # Retries that were refused since the start.

    def replace(self, ratio: float, floor: int, slack: int) -> None:
        """Replace the ratio of retries to first attempts, the floor and the slack."""
        self._ratio, self._floor, self._slack = ratio, floor, slack

    def set_fleet_attempts(self, attempts: FleetAttempts, now_ms: int) -> None:
        """Replace the attempt counts of all other instances."""
        self._fleet, self._fleet_ms = attempts, now_ms

    @property
    def totals(self) -> Mapping[str, AttemptCounts]:
        """Return the attempts since the start, by service."""
        return {name: attempts.totals for name, attempts in self._services.items()}

    def count_first_attempt(self, service: str, now_ms: int) -> None:
        """Count a first attempt."""
        attempts = self._services.setdefault(service, _ServiceAttempts())
        attempts.first.append(now_ms)
        attempts.totals += AttemptCounts(first=1)
        attempts.expire(now_ms)

    def try_acquire(self, service: str, now_ms: int) -> bool:
        """Return whether the service's budget allows a retry, and count the retry if so."""
        attempts = self._services.setdefault(service, _ServiceAttempts())
        attempts.expire(now_ms)
        if self._ratio <= 0 or not self._is_within_budget(service, attempts, now_ms):
            self.refused += 1
            return False
        attempts.retries.append(now_ms)
        attempts.totals += AttemptCounts(retries=1)
        return True

    def count_hedge(self, service: str) -> None:
        """Count a retry that has just been acquired as a hedge."""
        self._services[service].totals += AttemptCounts(hedges=1)

    def _is_within_budget(self, service: str, attempts: _ServiceAttempts, now_ms: int) -> bool:
        fleet = self._fleet.counts
        if not self._slack or fleet is None or now_ms - self._fleet_ms > FLEET_COUNTS_MAX_AGE_MS:
            return len(attempts.retries) + 1 <= max(
                self._local_allowance(), self._ratio * len(attempts.first)
            )
        others = fleet.get(service, AttemptCounts())
        first = len(attempts.first) + others.first
        allowed = FLEET_BUDGET_FRACTION * (self._ratio * first + self._slack)
        return len(attempts.retries) + others.retries + 1 <= allowed

    def _local_allowance(self) -> float:
        """Return the retries that this instance may make without counts of the others."""
        if not self._slack:
            return self._floor
        return min(self._floor, self._slack / self._fleet.instances)
