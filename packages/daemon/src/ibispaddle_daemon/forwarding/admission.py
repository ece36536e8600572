"""Admission of callers' requests, and their form for the scheduler."""

from ibispaddle_core.forwarding import DrainAdmission
from ibispaddle_core.routing import Route
from ibispaddle_core.scheduling import Request, RetryPolicy, Scheduler

from ..http_exchange import Exchange
from .codec import CallerRequest


def build_request(
    request_id: str,
    exchange: Exchange,
    caller: CallerRequest,
    route: Route,
    workspace: str,
    service: str,
    data_centres: frozenset[str] | None,
) -> Request:
    """Return the scheduler's view of a caller's request.

    `data_centres` are those in which it may run, None for all. Of a request that another instance has
    sent, the runs that its route allows are those that are left.
    """
    allowed_ms = route.timeout_ms
    if caller.time_left_ms is not None:
        allowed_ms = min(allowed_ms, caller.time_left_ms)
    max_runs = route.max_runs
    if exchange.delegated_call is not None:
        max_runs = min(max_runs, exchange.delegated_call.runs_left)
    return Request(
        request_id=request_id,
        workspace=workspace,
        neighbour=workspace,
        model=service,  # The scheduler's term for a service.
        prompt_tokens=caller.prompt_tokens,
        max_output_tokens=max(1, caller.max_output_tokens),
        arrived_ms=exchange.arrived_ms,
        deadline_ms=exchange.arrived_ms + allowed_ms,
        retry_policy=route.retry_policy,
        ttft_objective_ms=route.ttft_objective_ms,
        max_runs=max_runs,
        max_silence_ms=route.max_silence_ms,
        patience_ms=route.patience_ms,
        streams=route.streams,
        data_centres=data_centres,
        may_hedge=True,
    )


def has_home(scheduler: Scheduler, req: Request) -> bool:
    """Return whether an upstream may run the request; checked only for requests with a home.

    An evacuation of the home is left to the scheduler, which knows when the caller may return.
    """
    if req.data_centres is None or scheduler.runners.live_for(req):
        return True
    return scheduler.evacuations.count_withheld(req) > 0


def may_admit(
    scheduler: Scheduler, drain_admission: DrainAdmission | None, req: Request, now_ms: int
) -> bool:
    """Return whether the request can be admitted; during a drain it must end in time.

    A request that may not be repeated could not be sent again if it took longer than predicted.
    """
    if drain_admission is None:
        return True
    max_duration_ms = float(req.deadline_ms - now_ms)
    if req.retry_policy is not RetryPolicy.PROVED_NOT_RUN:
        max_duration_ms = min(max_duration_ms, scheduler.cost.max_duration_ms(req))
    return drain_admission.may_admit(now_ms, max_duration_ms)
