"""Retry budget: retries are a bounded part of first attempts."""

from collections import deque

WINDOW_MS = 10_000


class RetryBudget:
    """Allow retries up to a ratio of the first attempts in the last ten seconds.

    `floor` retries are allowed in any case, so that an instance with little traffic can retry.
    """

    def __init__(self, ratio: float, floor: int) -> None:
        self._ratio = ratio
        self._floor = floor
        self._first: deque[int] = deque()
        self._retries: deque[int] = deque()
        self.refused = 0  # Retries that were refused since the start.

    def replace(self, ratio: float, floor: int) -> None:
        """Use another ratio of retries to first attempts and another floor."""
        self._ratio, self._floor = ratio, floor

    def count_first_attempt(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._first.append(now_ms)
        self._expire(now_ms)

    def try_take(self, now_ms: int) -> bool:
        """Take one retry from the budget and return whether there was one."""
        self._expire(now_ms)
        allowed = max(self._floor, self._ratio * len(self._first))
        if self._ratio <= 0 or len(self._retries) + 1 > allowed:
            self.refused += 1
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        for times in (self._first, self._retries):
            while times and times[0] <= now_ms - WINDOW_MS:
                times.popleft()
