"""Log lines and metrics of forwarded requests and their attempts."""

from ibispaddle_core import logevents
from ibispaddle_core.forwarding import AttemptResult
from ibispaddle_core.scheduling import Dispatch

from ..logs import log_event
from ..metrics import Metrics, prompt_length_class
from .codec import UpstreamCall
from .requests import AttemptState, ForwardedRequest

# Parts of a prompt in a log line.
MAX_LOGGED_PARTS = 16


def log_forwarded(
    request: ForwardedRequest, decision: Dispatch, call: UpstreamCall, now_ms: int
) -> None:
    """Log that an attempt is sent to an upstream."""
    log_event(
        logevents.REQUEST_FORWARDED,
        request=request.caller.attempt_id,
        id=request.request_id,
        attempt=request.attempts,
        service=request.req.model,
        upstream=decision.upstream_id,
        waited_ms=now_ms - request.req.arrived_ms,
        left_ms=call.time_left_ms,
        prompt_tokens=request.req.prompt_tokens,
        parts=request.caller.prompt_parts[:MAX_LOGGED_PARTS],
        helpers=decision.helper_ids,
        holders=decision.segment_upstream_ids,
        expected_ms=round(decision.first_token_ms),
    )


def log_failed(
    request: ForwardedRequest, attempt: AttemptState, result: AttemptResult, culprit: str | None
) -> None:
    """Log that an attempt failed; `culprit` is another upstream that caused it."""
    log_event(
        logevents.ATTEMPT_FAILED,
        request=request.caller.attempt_id,
        id=request.request_id,
        attempt=attempt.number,
        upstream=attempt.upstream_id,
        culprit=culprit,
        outcome=str(result.outcome),
        reason=result.text,
        events=request.event_count,
        parts=request.caller.prompt_parts[:MAX_LOGGED_PARTS],
    )


def record_end(
    metrics: Metrics, request: ForwardedRequest, code: str, status: int, now_ms: int
) -> None:
    """Count and log the end of a request."""
    arrived_ms, prompt_tokens = request.req.arrived_ms, request.req.prompt_tokens
    metrics.requests.inc({"code": code})
    metrics.duration.observe({}, (now_ms - arrived_ms) / 1000)
    first_ms = None
    if request.first_output_ms is not None:
        first_ms = request.first_output_ms - arrived_ms
        labels = {"prompt": prompt_length_class(prompt_tokens)}
        metrics.first_token.observe(labels, first_ms / 1000)
    log_event(
        logevents.FORWARDING_ENDED,
        request=request.caller.attempt_id,
        id=request.request_id,
        route=request.route.name,
        service=request.req.model,
        workspace=request.req.workspace,
        prompt_tokens=prompt_tokens,
        code=code,
        status=status,
        upstream=request.upstream_id,
        attempts=request.attempts,
        hops=request.hops,
        first_ms=first_ms,
        duration_ms=now_ms - arrived_ms,
        longest_gap_ms=request.longest_gap_ms,
        events=request.event_count,
        failures=request.failures,
    )
