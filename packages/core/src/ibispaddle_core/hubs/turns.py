"""The order of instances that choose an upstream at the same time."""

from collections import deque

# Time between a hub's answer and the news of the choice that was made with it: two messages and the
# choice. An instance that has told nothing by then has sent nothing.
CHOICE_TIMEOUT_MS = 8


class PendingChoices:
    """Give each instance that asks its place among those whose choice the hub does not know yet.

    They all see the same picture. If each took the best upstream of it, all would take the same one.

    >>> turns = Turns()
    >>> turns.take("a", "m", now_ms=0), turns.take("b", "m", now_ms=1), turns.take("c", "n", now_ms=1)
    (0, 1, 0)
    >>> turns.end("a")
    >>> turns.take("d", "m", now_ms=2)
    1
    """

    def __init__(self) -> None:
        self._open: deque[tuple[int, str, str]] = deque()  # Time, instance and service.

    def begin_choice(self, instance: str, service: str, now_ms: int) -> int:
        """Return how many others are choosing an upstream of the service."""
        while self._open and self._open[0][0] <= now_ms - CHOICE_TIMEOUT_MS:
            self._open.popleft()
        turn = sum(name != instance and asked_for == service for _, name, asked_for in self._open)
        self._open.append((now_ms, instance, service))
        return turn

    def end_choice(self, instance: str) -> None:
        """Take the news that an instance has chosen."""
        if any(name == instance for _, name, _ in self._open):
            self._open = deque(item for item in self._open if item[1] != instance)
