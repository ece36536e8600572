"""Bounded queues per neighbour, with one lane per prompt class and model."""

from bisect import insort
from collections.abc import Callable, Iterator
from itertools import islice

from .cost import PromptClass

# The waiting requests of one prompt class and model, which compete for the same runners.
Lane = tuple[PromptClass, str]


class FairQueue:
    """Hold the ids of waiting requests, with a bound per neighbour."""

    def __init__(self, max_per_neighbour: int) -> None:
        self._max = max_per_neighbour
        self._lanes: dict[Lane, dict[str, list[tuple[float, str]]]] = {}
        self._waiting: dict[str, int] = {}
        self._cost: dict[tuple[Lane, str], float] = {}

    def replace_bound(self, max_per_neighbour: int) -> None:
        """Replace the bound. Requests beyond a lower bound stay queued."""
        self._max = max_per_neighbour

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def length(self, neighbour: str) -> int:
        """Return the number of the neighbour's requests that count against its bound."""
        return self._waiting.get(neighbour, 0)

    def is_full(self, neighbour: str) -> bool:
        """Return whether the neighbour's queue has reached its bound."""
        return self.length(neighbour) >= self._max

    def add(self, lane: Lane, neighbour: str, request_id: str, cost_ms: float, rank: float) -> None:
        """Add a request. In each lane, the neighbour's request of the lowest rank comes first."""
        entries = self._lanes.setdefault(lane, {}).setdefault(neighbour, [])
        insort(entries, (rank, request_id))
        self._waiting[neighbour] = self.length(neighbour) + 1
        self._cost[lane, neighbour] = self._cost.get((lane, neighbour), 0.0) + cost_ms

    def remove(self, lane: Lane, neighbour: str, request_id: str, cost_ms: float) -> None:
        """Remove a waiting request."""
        self.detach(lane, neighbour, request_id, cost_ms)
        self.release_slot(neighbour)

    def release_slot(self, neighbour: str) -> None:
        """Release the place of a request that was detached from its lane."""
        self._waiting[neighbour] -= 1
        if not self._waiting[neighbour]:
            del self._waiting[neighbour]

    def detach(self, lane: Lane, neighbour: str, request_id: str, cost_ms: float) -> None:
        """Remove a request from its lane but keep its place in the neighbour's bound."""
        entries = self._lanes[lane][neighbour]
        del entries[next(i for i, entry in enumerate(entries) if entry[1] == request_id)]
        self._cost[lane, neighbour] -= cost_ms
        if not entries:
            del self._lanes[lane][neighbour]
            del self._cost[lane, neighbour]
            if not self._lanes[lane]:
                del self._lanes[lane]

    def lanes(self) -> list[Lane]:
        """Return the lanes that hold requests, shorter prompts first."""
        return sorted(self._lanes)

    def heads(
        self, lane: Lane, order: Callable[[str], float], depth: int = 1
    ) -> Iterator[tuple[str, str]]:
        """Yield (neighbour, request id) of the first `depth` requests of each neighbour.

        Neighbours are sorted by ascending `order` value.
        """
        neighbours = self._lanes.get(lane, {})
        for name in sorted(neighbours, key=lambda name: (order(name), name)):
            for _, request_id in islice(neighbours[name], depth):
                yield name, request_id

    def first(self, lane: Lane, neighbour: str) -> str:
        """Return the id of the neighbour's first request in the lane."""
        return self._lanes[lane][neighbour][0][1]

    def neighbours(self, lane: Lane) -> list[str]:
        """Return the neighbours with waiting requests in the lane."""
        return list(self._lanes.get(lane, {}))

    def count(self, model: str) -> int:
        """Return the number of waiting requests for a model."""
        lanes = (lane for key, lane in self._lanes.items() if key[1] == model)
        return sum(len(entries) for neighbours in lanes for entries in neighbours.values())

    def cost_ms(self, lane: Lane, neighbour: str) -> float:
        """Return the engine time of the neighbour's waiting requests in the lane."""
        return self._cost.get((lane, neighbour), 0.0)
