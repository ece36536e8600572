"""Backoff of lanes whose requests could not start."""

from .cost import PromptClass
from .queue import Lane

# Time after which a lane whose requests could not start is tried again. It bounds the work per event
# under overload. Long prompts wait seconds for engine memory, and at 20 ms they would take most of the
# decision time. At 100 ms for `LONG`, the error of the shares exceeds 5%.
LANE_RETRY_INTERVAL_MS = {
    PromptClass.SHORT: 20,
    PromptClass.MEDIUM: 20,
    PromptClass.LONG: 40,
    PromptClass.SPANNING: 100,
}


class LaneBackoff:
    """Hold the time until which each lane is skipped after its requests could not start."""

    def __init__(self) -> None:
        self._blocked_until: dict[Lane, int] = {}

    def clear(self) -> None:
        """Make all lanes due at the next event."""
        self._blocked_until.clear()

    def back_off(self, lane: Lane, now_ms: int) -> None:
        """Skip a lane for the retry interval of its prompt class."""
        self._blocked_until[lane] = now_ms + LANE_RETRY_INTERVAL_MS[lane[0]]

    def next_try_ms(self, lane: Lane) -> int:
        """Return the time from which the lane is tried again, 0 if it is not backed off."""
        return self._blocked_until.get(lane, 0)
