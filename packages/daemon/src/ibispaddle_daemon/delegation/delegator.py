"""Hops: requests that this instance, which reaches no upstream, sends to a delegate."""

from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from typing import Protocol

from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.delegation import (
    Delegate,
    DelegateSelection,
    EndRequest,
    HopFailure,
    TryAgain,
    after_failed_hop,
)
from ibispaddle_core.forwarding import AttemptResult, ResponseHead
from ibispaddle_core.hubs import Candidate
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import Outcome

from ..delegated_call import DelegatedCall, call_headers, read_origin, without_hop_headers
from ..events import Headers
from ..forwarding import ForwardingCodec
from ..forwarding.attempts import ForwardedAttempts
from ..forwarding.hand_over import delegation_state
from ..forwarding.requests import AttemptState, ForwardedRequest
from ..logs import log_event
from ..timers import TimerQueue

# Part of the time left that is kept for the way there and back, so that the delegate's refusal, which states
# whether the request has run, arrives before the deadline.
HOP_MARGIN_MS = 20
# Hops of one request; a delegate may refuse at once.
MAX_HOPS = 12
# Delay after which a request is offered again that all delegates have refused, for example because they
# have not read the newest configuration yet.
RETRY_DELAY_MS = 100


class DelegationOwner(Protocol):
    """The component that holds the requests."""

    attempts: ForwardedAttempts
    config_version: int | None

    def complete_delegated(self, request: ForwardedRequest, result: AttemptResult) -> None:
        """Respond to a request with the delegate's response."""

    def schedule_again(self, request: ForwardedRequest) -> None:
        """Offer a request to delegates again, or let it wait for the own upstreams."""

    def end_delegated(self, request: ForwardedRequest, run_state: RunState) -> None:
        """Refuse a request, or cut its response."""


class Delegator:
    """Choose delegates, send them requests and decide what follows a hop that has failed.

    A hop is an attempt whose upstream is an instance, so that streams, slow readers, cancellation and the
    limits of memory are handled as at an upstream.
    """

    def __init__(
        self,
        instance_id: str,
        owner: DelegationOwner,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        selection: DelegateSelection,
    ) -> None:
        self._instance_id, self._owner = instance_id, owner
        self._codec, self._clock, self._timers = codec, clock, timers
        self._selection = selection

    def replace_instances(self, candidates: Iterable[Candidate]) -> None:
        """Replace the listed instances."""
        self._selection.replace(
            Delegate(item.instance_id, item.delegate_address, item.data_centre, item.capacity)
            for item in candidates
            if item.delegate_address and item.instance_id != self._instance_id
        )

    def choose(self, request: ForwardedRequest) -> Delegate | None:
        """Return the instance that a request is to be sent to, or None."""
        if request.hops >= MAX_HOPS:
            return None
        return self._selection.choose(
            request.req.data_centres, request.tried_delegates, self._clock.now_ms()
        )

    def send(self, request: ForwardedRequest, delegate: Delegate) -> None:
        """Send a request to an instance."""
        name = delegate.instance_id
        request.hops += 1
        request.tried_delegates.add(name)
        request.upstream_id = name
        left_ms = max(1, request.req.deadline_ms - self._clock.now_ms() - HOP_MARGIN_MS)
        headers = self._codec.delegated_headers(
            without_hop_headers(request.exchange.headers), left_ms, request.last_event_id
        )
        runs_left = max(1, request.route.max_runs - request.runs)
        call = DelegatedCall(self._instance_id, self._owner.config_version, runs_left)
        log_event(
            logevents.REQUEST_DELEGATED,
            request=request.caller.attempt_id,
            id=request.request_id,
            delegate=name,
            left_ms=left_ms,
            hops=request.hops,
        )
        self._selection.begin(name)
        attempt = AttemptState(name, request.hops, is_hop=True)
        attempt.on_released = lambda: self._selection.end(name)
        self._owner.attempts.start(
            request,
            attempt,
            delegate.address,
            (*headers, *call_headers(call)),
            partial(self._read_head, attempt),
        )

    def _read_head(
        self, attempt: AttemptState, status: int, headers: Headers, attempt_id: str
    ) -> ResponseHead:
        """Parse the head of a delegate's response, which the delegate has validated."""
        origin = attempt.origin = read_origin(headers)
        if origin.upstream_id:
            self._selection.record_served(attempt.upstream_id)
        head = self._codec.read_head(status, without_hop_headers(headers), attempt_id)
        return replace(
            head,
            is_for_other_request=False,
            not_run=origin.run_state is RunState.NOT_RUN and origin.may_ask_another,
            is_authentic=True,
            is_final=True,
            faulty_address=None,
            upstream_id=origin.upstream_id,
        )

    def handle_result(
        self, request: ForwardedRequest, attempt: AttemptState, result: AttemptResult
    ) -> None:
        """Handle the end of a hop."""
        match result.outcome:
            case Outcome.COMPLETED:
                self._owner.complete_delegated(request, result)
                return
            case Outcome.NOT_SENT:
                failure = HopFailure.NOT_SENT
            case Outcome.REJECTED | Outcome.WRONG_UPSTREAM:
                failure = HopFailure.REFUSED
            case _:
                failure = HopFailure.LOST
        now_ms = self._clock.now_ms()
        if attempt.origin is None:
            self._selection.suspect(attempt.upstream_id, now_ms)
        elif not attempt.origin.takes_requests:
            self._selection.exclude(attempt.upstream_id, now_ms)
        log_event(
            logevents.HOP_FAILED,
            request=request.caller.attempt_id,
            id=request.request_id,
            delegate=attempt.upstream_id,
            outcome=str(result.outcome),
            reason=result.text,
        )
        request.failures += (f"{attempt.upstream_id}: {result.outcome}: {result.text}",)
        match after_failed_hop(failure, delegation_state(request), now_ms):
            case TryAgain(is_run):
                request.runs += is_run
                delegate = self.choose(request)
                if delegate is not None:
                    self.send(request, delegate)
                else:
                    self._timers.after(RETRY_DELAY_MS, lambda: self._owner.schedule_again(request))
            case EndRequest(run_state):
                self._owner.end_delegated(request, run_state)
