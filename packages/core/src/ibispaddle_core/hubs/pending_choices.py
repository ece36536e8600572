"""Tracking of instances that choose an upstream concurrently."""

from collections import deque

# Time between a hub's answer and the report of the resulting choice: two messages and the choice. An
# instance that has reported no work by then has sent no request.
CHOICE_TIMEOUT_MS = 8


class PendingChoices:
    """Rank the instances whose choice has not been reported to the hub yet.

    Concurrent instances see the same work, so without a rank all would select the same upstream.

    >>> pending = PendingChoices()
    >>> pending.begin_choice("a", "m", now_ms=0), pending.begin_choice("b", "m", now_ms=1)
    (0, 1)
    >>> pending.begin_choice("c", "n", now_ms=1)
    0
    >>> pending.end_choice("a")
    >>> pending.begin_choice("d", "m", now_ms=2)
    1
    """

    def __init__(self) -> None:
        self._pending: deque[tuple[int, str, str]] = deque()  # Time, instance and service.

    def begin_choice(self, instance: str, service: str, now_ms: int) -> int:
        """Record that an instance chooses; return how many others choose for the same service."""
        while self._pending and self._pending[0][0] <= now_ms - CHOICE_TIMEOUT_MS:
            self._pending.popleft()
        rank = sum(name != instance and pending == service for _, name, pending in self._pending)
        self._pending.append((now_ms, instance, service))
        return rank

    def end_choice(self, instance: str) -> None:
        """Forget an instance whose choice has been reported."""
        if any(name == instance for _, name, _ in self._pending):
            self._pending = deque(item for item in self._pending if item[1] != instance)
