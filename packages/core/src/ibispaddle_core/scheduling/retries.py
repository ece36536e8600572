"""Retry budget, which bounds retries in proportion to first attempts."""

from collections import deque

from .messages import AttemptCounts, FleetAttempts

WINDOW_MS = 10_000
# The counts of the other instances are requested before each retry. Older counts are used for up to
# this time when no hub answers.
FLEET_COUNTS_MAX_AGE_MS = 1_500
# Usable fraction of the fleet's budget. The rest covers retries that other instances do not know of
# yet.
FLEET_BUDGET_FRACTION = 0.8
# An instance without current counts may use this multiple of its even share of the slack, because few
# instances lack counts at the same time.
LOCAL_SLACK_FACTOR = 2


class RetryBudget:
    """Allow retries up to a ratio of the first attempts in the last ten seconds.

    `floor` retries are always allowed, so that an instance with little traffic can retry. With a
    `slack`, all instances share one budget and may together make that many retries beyond the ratio.
    While the counts of the other instances are unknown, this instance may use its floor or, in a
    large fleet, twice its even share of the slack if that is lower.
    """

    def __init__(self, ratio: float, floor: int, slack: int = 0) -> None:
        self._ratio = ratio
        self._floor = floor
        self._slack = slack
        self._first: deque[int] = deque()
        self._retries: deque[int] = deque()
        self._fleet = FleetAttempts(None)
        self._fleet_ms = 0
        self.totals = AttemptCounts()  # Since the start.
        self.refused = 0  # Retries that were refused since the start.

    def replace(self, ratio: float, floor: int, slack: int) -> None:
        """Replace the ratio of retries to first attempts, the floor and the slack."""
        self._ratio, self._floor, self._slack = ratio, floor, slack

    def set_fleet_attempts(self, attempts: FleetAttempts, now_ms: int) -> None:
        """Replace the attempt counts of all other instances."""
        self._fleet, self._fleet_ms = attempts, now_ms

    def count_first_attempt(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._first.append(now_ms)
        self.totals += AttemptCounts(first=1)
        self._expire(now_ms)

    def try_acquire(self, now_ms: int) -> bool:
        """Return whether the budget allows a retry, and count the retry if so."""
        self._expire(now_ms)
        if self._ratio <= 0 or not self._is_within_budget(now_ms):
            self.refused += 1
            return False
        self._retries.append(now_ms)
        self.totals += AttemptCounts(retries=1)
        return True

    def _is_within_budget(self, now_ms: int) -> bool:
        others = self._fleet.counts
        if not self._slack or others is None or now_ms - self._fleet_ms > FLEET_COUNTS_MAX_AGE_MS:
            return len(self._retries) + 1 <= max(
                self._local_allowance(), self._ratio * len(self._first)
            )
        first = len(self._first) + others.first
        allowed = FLEET_BUDGET_FRACTION * (self._ratio * first + self._slack)
        return len(self._retries) + others.retries + 1 <= allowed

    def _local_allowance(self) -> float:
        """Return the retries that this instance may make without counts of the others."""
        if not self._slack:
            return self._floor
        return min(self._floor, LOCAL_SLACK_FACTOR * self._slack / self._fleet.instances)

    def _expire(self, now_ms: int) -> None:
        for times in (self._first, self._retries):
            while times and times[0] <= now_ms - WINDOW_MS:
                times.popleft()
