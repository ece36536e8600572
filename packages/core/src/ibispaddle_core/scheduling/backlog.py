"""Waiting requests and the order in which the scheduler tries them."""

from collections.abc import Iterator
from itertools import islice

from ..shares import ShareCounters
from .cost import CostModel, PromptClass
from .queue import FairQueue, Lane
from .requests import RequestState

# Bounds the requests of a lane that are tried at once when none of them finds a runner.
MAX_BLOCKED_PER_LANE = 2
# Bounds the tried long prompts of one neighbour. More than one, because a prompt that waits for
# memory must not block smaller ones.
MAX_LONG_PER_NEIGHBOUR = 4
# Wait after which a long prompt ranks equal to an empty one that has just arrived, as a multiple of
# its own time to first token on an idle fleet.
RANK_TTFT_FACTOR = 2.0
# A neighbour with a request that waits longer than this is backlogged. Long prompts have higher
# values, because they wait for memory even at moderate load and would otherwise block the short
# prompts of all other neighbours.
BACKLOGGED_AFTER_MS = {
    PromptClass.SHORT: 1_000,
    PromptClass.MEDIUM: 2_000,
    PromptClass.LONG: 20_000,
    PromptClass.SPANNING: 60_000,
}
# While a neighbour is backlogged, a neighbour whose consumption per weight is higher by more than
# this fraction gets only idle capacity.
SHARE_TOLERANCE = 0.02


class Backlog:
    """Queue waiting requests in lanes and yield them in order of their neighbour's consumption."""

    def __init__(self, queue: FairQueue, shares: ShareCounters, cost: CostModel) -> None:
        self._queue = queue
        self._shares = shares
        self._cost = cost
        self._states: dict[str, RequestState] = {}

    @staticmethod
    def lane(state: RequestState) -> Lane:
        """Return the lane of a request."""
        return state.prompt_class, state.req.model

    def add(self, state: RequestState) -> None:
        """Add a request. A retry keeps the rank of the first attempt."""
        req = state.req
        # A long prompt ranks by its arrival plus a multiple of its own time to first token, so a
        # shorter prompt overtakes a longer one, and every prompt moves up while it waits.
        rank = float(req.arrived_ms)
        if state.prompt_class >= PromptClass.LONG:
            rank += RANK_TTFT_FACTOR * self._cost.idle_ttft_ms(req)
        self._queue.add(self.lane(state), req.neighbour, req.request_id, state.cost_ms, rank)
        self._states[req.request_id] = state
        state.queued = True

    def is_full(self, neighbour: str) -> bool:
        """Return whether the neighbour's queue has no place."""
        return self._queue.is_full(neighbour)

    def remove(self, state: RequestState) -> None:
        """Remove a request and release its place in the neighbour's queue, if it has one."""
        req = state.req
        if state.queued:
            del self._states[req.request_id]
            self._queue.remove(self.lane(state), req.neighbour, req.request_id, state.cost_ms)
        elif state.reserving:
            self._queue.release_slot(req.neighbour)
        state.queued = state.reserving = False

    def move_to_reserving(self, state: RequestState) -> None:
        """Remove a request that starts to reserve memory from its lane but keep its place."""
        req = state.req
        del self._states[req.request_id]
        self._queue.detach(self.lane(state), req.neighbour, req.request_id, state.cost_ms)
        state.queued, state.reserving = False, True

    def candidates(self, lane: Lane, min_consumption: float) -> Iterator[tuple[RequestState, bool]]:
        """Yield the requests to try, and whether each may use only idle capacity.

        `min_consumption` is the lowest normalised consumption of a backlogged neighbour.
        """
        depth = MAX_LONG_PER_NEIGHBOUR if lane[0] is PromptClass.LONG else 1
        heads = self._queue.heads(lane, self._shares.normalised, depth)
        for neighbour, request_id in islice(heads, depth * MAX_BLOCKED_PER_LANE):
            idle_only = self._shares.normalised(neighbour) > min_consumption * (1 + SHARE_TOLERANCE)
            yield self._states[request_id], idle_only

    def min_consumption(self, now_ms: int) -> float:
        """Return the lowest normalised consumption of a backlogged neighbour."""
        waiting = {
            neighbour
            for lane in self._queue.lanes()
            for neighbour in self._queue.neighbours(lane)
            if self._states[self._queue.first(lane, neighbour)].req.arrived_ms
            <= now_ms - BACKLOGGED_AFTER_MS[lane[0]]
        }
        return min(map(self._shares.normalised, waiting), default=float("inf"))
