"""Timers of admitted requests for deadlines and first-token timeouts."""

import heapq
from collections.abc import Iterator, Mapping

from .requests import RequestState


class Timers:
    """Yield the requests whose deadline, start deadline or first-token timeout has passed.

    Entries of requests that have ended are removed when they reach the top of the heap.
    """

    def __init__(self, states: Mapping[str, RequestState]) -> None:
        self._states = states
        self._deadlines: list[tuple[int, str]] = []
        self._start_deadlines: list[tuple[int, str]] = []
        self._first_tokens: list[tuple[int, str]] = []
        self._hedges: list[tuple[int, str]] = []

    def add_deadline(self, state: RequestState) -> None:
        """Add a timer for the deadline of a request."""
        heapq.heappush(self._deadlines, (state.req.deadline_ms, state.req.request_id))

    def add_start_deadline(self, state: RequestState, due_ms: int) -> None:
        """Add a timer for the time until which a request must be sent."""
        heapq.heappush(self._start_deadlines, (due_ms, state.req.request_id))

    def add_first_token(self, state: RequestState) -> None:
        """Add a timer for the first token of the attempt that has just started."""
        heapq.heappush(self._first_tokens, (state.first_token_due_ms, state.req.request_id))

    def add_hedge(self, state: RequestState) -> None:
        """Add a timer for the hedge of the attempt that has just started."""
        heapq.heappush(self._hedges, (state.hedge_due_ms, state.req.request_id))

    def past_deadline(self, now_ms: int) -> Iterator[RequestState]:
        """Yield the requests whose deadline has passed; the caller must end each of them."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            state = self._states.get(heapq.heappop(self._deadlines)[1])
            if state is not None and state.req.deadline_ms <= now_ms:
                yield state

    def past_start_deadline(self, now_ms: int) -> Iterator[RequestState]:
        """Yield the requests that have not been sent in time; the caller must end each of them."""
        while self._start_deadlines and self._start_deadlines[0][0] <= now_ms:
            state = self._states.get(heapq.heappop(self._start_deadlines)[1])
            if state is not None and not state.attempts:
                yield state

    def without_first_token(self, now_ms: int) -> Iterator[RequestState]:
        """Yield the requests whose attempt has had no first token before its timeout."""
        while self._first_tokens and self._first_tokens[0][0] <= now_ms:
            due_ms, request_id = heapq.heappop(self._first_tokens)
            state = self._states.get(request_id)
            if state is not None and self._waits_for_first_token(state, due_ms):
                yield state

    def past_hedge_delay(self, now_ms: int) -> Iterator[RequestState]:
        """Yield the requests that may be hedged now."""
        while self._hedges and self._hedges[0][0] <= now_ms:
            due_ms, request_id = heapq.heappop(self._hedges)
            state = self._states.get(request_id)
            if state is not None and self._waits_for_hedge(state, due_ms):
                yield state

    def next_ms(self) -> int | None:
        """Return the time of the next timer, or None if there is none."""
        while self._deadlines and self._deadlines[0][1] not in self._states:
            heapq.heappop(self._deadlines)
        while self._start_deadlines:
            state = self._states.get(self._start_deadlines[0][1])
            if state is not None and not state.attempts:
                break
            heapq.heappop(self._start_deadlines)
        while self._first_tokens:
            due_ms, request_id = self._first_tokens[0]
            state = self._states.get(request_id)
            if state is not None and self._waits_for_first_token(state, due_ms):
                break
            heapq.heappop(self._first_tokens)
        while self._hedges:
            due_ms, request_id = self._hedges[0]
            state = self._states.get(request_id)
            if state is not None and self._waits_for_hedge(state, due_ms):
                break
            heapq.heappop(self._hedges)
        heaps = (self._deadlines, self._start_deadlines, self._first_tokens, self._hedges)
        return min((heap[0][0] for heap in heaps if heap), default=None)

    @staticmethod
    def _waits_for_first_token(state: RequestState, due_ms: int) -> bool:
        in_flight = state.upstream_id is not None and state.first_token_due_ms == due_ms
        return in_flight and not state.first_token and not state.cancelling

    @staticmethod
    def _waits_for_hedge(state: RequestState, due_ms: int) -> bool:
        return state.hedge_due_ms == due_ms and state.may_be_hedged
