"""Rules for delegated requests: which may be delegated, and what follows a failed hop."""

from dataclasses import dataclass, replace
from enum import Enum, auto

from ..runstate import RunState
from ..scheduling import RetryPolicy

# Time left below which no delegate could answer before the deadline.
MIN_TIME_LEFT_MS = 50


@dataclass(frozen=True)
class DelegationState:
    """What of a request decides whether it may be delegated now.

    `runs` counts the attempts that may have run, and `max_runs` is the route's limit of them.
    """

    retry_policy: RetryPolicy
    deadline_ms: int
    max_runs: int
    runs: int = 0
    is_delegated: bool = False  # Whether it came from another instance.
    is_in_flight: bool = False  # Whether an attempt is at an upstream that has not stalled.
    has_output: bool = False  # Whether a part of the response has been sent to the caller.


class HopFailure(Enum):
    """Why a hop ended without a response that the caller gets."""

    # No byte of the request was sent.
    NOT_SENT = auto()
    # The delegate answered that the request did not run and may be sent elsewhere.
    REFUSED = auto()
    # The connection broke or the response is missing; the request may have run.
    LOST = auto()


@dataclass(frozen=True)
class TryAgain:
    """Try another delegate, or wait for upstreams of the own; `is_run` if this hop counts as a run."""

    is_run: bool


@dataclass(frozen=True)
class EndRequest:
    """Refuse the request, or cut its response."""

    run_state: RunState


def may_delegate(state: DelegationState, now_ms: int) -> bool:
    """Return whether a request may be sent to a delegate now.

    Only new requests, those that provably have not run, and those whose route allows another run.

    >>> state = DelegationState(RetryPolicy.PROVED_NOT_RUN, deadline_ms=1_000, max_runs=2)
    >>> may_delegate(state, now_ms=0), may_delegate(state, now_ms=990)
    (True, False)
    """
    if state.is_delegated or state.is_in_flight:
        return False
    return state.deadline_ms - now_ms >= MIN_TIME_LEFT_MS and _may_run(state)


def after_failed_hop(
    failure: HopFailure, state: DelegationState, now_ms: int
) -> TryAgain | EndRequest:
    """Return what follows a failed hop; `state` is the request's, without this hop.

    >>> state = DelegationState(RetryPolicy.PROVED_NOT_RUN, deadline_ms=1_000, max_runs=2)
    >>> after_failed_hop(HopFailure.REFUSED, state, now_ms=0)
    TryAgain(is_run=False)
    >>> after_failed_hop(HopFailure.LOST, state, now_ms=0)
    EndRequest(run_state=<RunState.UNKNOWN: 'unknown'>)
    """
    is_run = failure is HopFailure.LOST
    runs = state.runs + is_run
    has_time = state.deadline_ms - now_ms >= MIN_TIME_LEFT_MS
    if has_time and _may_run(replace(state, runs=runs)):
        return TryAgain(is_run)
    return EndRequest(RunState.UNKNOWN if runs else RunState.NOT_RUN)


def _may_run(state: DelegationState) -> bool:
    """Return whether the route allows another run, given those that there may have been."""
    if state.has_output:
        return state.retry_policy is RetryPolicy.ANY_TIME and state.runs < state.max_runs
    if not state.runs:
        return True
    return state.retry_policy is not RetryPolicy.PROVED_NOT_RUN and state.runs < state.max_runs
