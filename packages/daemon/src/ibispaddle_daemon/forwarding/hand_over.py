"""Hand-over of requests to other instances while this one reaches no upstream."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

from ibispaddle_core.clock import Clock
from ibispaddle_core.delegation import Delegate, DelegationState, may_delegate
from ibispaddle_core.forwarding import AttemptResult
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import CallerDisconnected, Event

from ..timers import TimerHandle, TimerQueue
from .requests import AttemptState, ForwardedRequest

# Interval at which waiting requests are offered to delegates again.
OFFER_INTERVAL_MS = 250


class RequestDelegator(Protocol):
    """Send requests to other instances."""

    def choose(self, request: ForwardedRequest) -> Delegate | None:
        """Return the instance that a request is to be sent to, or None."""

    def send(self, request: ForwardedRequest, delegate: Delegate) -> None:
        """Send a request to an instance."""

    def handle_result(
        self, request: ForwardedRequest, attempt: AttemptState, result: AttemptResult
    ) -> None:
        """Handle the end of a hop."""


def delegation_state(request: ForwardedRequest) -> DelegationState:
    """Return what of a request decides whether it may be delegated."""
    return DelegationState(
        request.req.retry_policy,
        request.req.deadline_ms,
        request.route.max_runs,
        request.runs,
        request.exchange.delegated_call is not None,
        bool(request.in_flight),
        request.is_response_started,
    )


class HandOver:
    """Take requests out of the scheduler and send them to delegates.

    `is_isolated` returns whether this instance reaches no upstream; `handle_event` passes an event to the
    scheduler, `waiting_requests` returns those without an attempt in flight, and `return_request` refuses
    one that another instance has sent.
    """

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        handle_event: Callable[[Event], None],
        waiting_requests: Callable[[], Sequence[ForwardedRequest]],
        return_request: Callable[[ForwardedRequest], None],
    ) -> None:
        self._clock, self._timers, self._handle_event = clock, timers, handle_event
        self._waiting_requests, self._return_request = waiting_requests, return_request
        self._timer: TimerHandle | None = None
        self.is_isolated: Callable[[], bool] = lambda: False
        self.delegator: RequestDelegator | None = None

    def begin_isolation(self) -> None:
        """Delegate the waiting requests, and offer those again that find no delegate."""
        # Not now, because decisions about waiting requests may be in the course of execution.
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.after(0, self._take_waiting)

    def _take_waiting(self) -> None:
        self._timer = None
        if not self.is_isolated():
            return
        self._timer = self._timers.after(OFFER_INTERVAL_MS, self._take_waiting)
        for request in self._waiting_requests():
            self.take(request)

    def handle_result(
        self, request: ForwardedRequest, attempt: AttemptState, result: AttemptResult
    ) -> None:
        """Handle the end of a hop."""
        assert self.delegator is not None  # It has started the hop.
        self.delegator.handle_result(request, attempt, result)

    def take(self, request: ForwardedRequest) -> bool:
        """Delegate a request without an attempt in flight; return False if it stays here.

        One that another instance has sent is refused as not run, so that it finds another delegate.
        """
        if self.delegator is None or not self.is_isolated() or request.is_ended:
            return False
        is_delegated = request.exchange.delegated_call is not None
        if is_delegated and request.run_state is RunState.NOT_RUN:
            self._return_request(request)
            return True
        delegate = self._find_delegate(self.delegator, request, delegation_state(request))
        if delegate is None:
            return False
        self._send(self.delegator, request, delegate)
        return True

    def take_silent(self, request: ForwardedRequest, attempt: AttemptState) -> bool:
        """Cancel a silent attempt and delegate its request, if the route allows another run."""
        if self.delegator is None or not self.is_isolated() or len(request.in_flight) != 1:
            return False
        state = delegation_state(request)
        following = replace(state, runs=state.runs + 1, is_in_flight=False)
        delegate = self._find_delegate(self.delegator, request, following)
        if delegate is None or attempt.cancel is None:
            return False
        attempt.cancel()
        request.runs += 1
        self._send(self.delegator, request, delegate)
        return True

    def _find_delegate(
        self, delegator: RequestDelegator, request: ForwardedRequest, state: DelegationState
    ) -> Delegate | None:
        """Return an instance for a request, or None if there is none or it may not be delegated."""
        if not may_delegate(state, self._clock.now_ms()):
            return None
        request.tried_delegates.clear()
        return delegator.choose(request)

    def _send(
        self, delegator: RequestDelegator, request: ForwardedRequest, delegate: Delegate
    ) -> None:
        """Send a request, which the delegate's scheduler counts; the own one forgets it first."""
        request.is_scheduled = False
        self._handle_event(CallerDisconnected(request.request_id))
        delegator.send(request, delegate)
