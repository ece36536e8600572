"""Times at which lanes of the queue are looked at again."""

from .cost import PromptClass
from .queue import Lane

# How often a blocked lane is looked at again; bounds the work per event under overload. Long prompts
# wait seconds for engine memory; looked at as often as the others, they take most of the decision
# time under overload. At 100 ms for `LONG` the share error exceeds 5%.
QUEUE_POLL_INTERVAL_MS = {
    PromptClass.SHORT: 20,
    PromptClass.MEDIUM: 20,
    PromptClass.LONG: 40,
    PromptClass.SPANNING: 100,
}


class LanePolls:
    """Hold the time until which each lane is left alone after its requests could not start."""

    def __init__(self) -> None:
        self._blocked_until: dict[Lane, int] = {}

    def clear(self) -> None:
        """Look at all lanes again at the next event."""
        self._blocked_until.clear()

    def block(self, lane: Lane, now_ms: int) -> None:
        """Leave a lane alone for the poll interval of its prompt class."""
        self._blocked_until[lane] = now_ms + QUEUE_POLL_INTERVAL_MS[lane[0]]

    def due_ms(self, lane: Lane) -> int:
        """Return when the lane is looked at again; a time that has passed if it is not blocked."""
        return self._blocked_until.get(lane, 0)
