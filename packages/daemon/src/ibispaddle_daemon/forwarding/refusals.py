"""Responses that an instance makes itself, when a request gets none of an upstream."""

import msgspec
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.delegation import may_ask_another
from ibispaddle_core.forwarding import CompleteResponse
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import RefusalReason, Refuse

from ..delegated_call import answer_headers
from ..events import Headers
from ..http_exchange import Exchange
from ..logs import log_event
from ..responses import JSON
from .codec import CallerRequest, ForwardingCodec
from .requests import ForwardedRequest

# Retry-After time when the scheduler gives none: about the time it takes to notice changes in the
# fleet.
DEFAULT_RETRY_AFTER_MS = 500
# Upper limit of the Retry-After time, as a fraction of the time left until the caller's deadline. The
# rest of the time is left for the retry.
MAX_RETRY_AFTER_FRACTION = 0.3
# Status codes of responses that the instance generates, besides 401 and 404 at admission. Of these three,
# only 503 states that the request did not run.
STATUS_NOT_RUN, STATUS_FAILED, STATUS_TIMED_OUT = 503, 502, 504
CODE_OUTDATED = "outdated_configuration"


def reject(
    exchange: Exchange,
    caller: CallerRequest,
    codec: ForwardingCodec,
    status: int,
    code: str,
    retry_after_ms: int,
    version: int | None,
    config_age_ms: int | None,
) -> None:
    """Respond to a request that is not admitted.

    `version` and `config_age_ms` are those of the configuration in force, for the log.
    """
    log_event(
        logevents.REQUEST_REFUSED,
        request=caller.attempt_id,
        code=code,
        status=status,
        version=version,
        config_age_ms=config_age_ms,
    )
    headers = _headers(codec, retry_after_ms if status == STATUS_NOT_RUN else 0)
    headers += _origin(exchange, code, RunState.NOT_RUN, is_certain=status != STATUS_NOT_RUN)
    if code == CODE_OUTDATED:
        # On a persistent connection, the caller's next request would reach this instance again.
        headers = (*headers, ("Connection", "close"))
    exchange.respond(status, headers, error_body(code))


def refuse(request: ForwardedRequest, refusal: Refuse, codec: ForwardingCodec, clock: Clock) -> int:
    """Respond to an admitted request that gets no further attempt, and return the status.

    If an upstream has answered with a failure, its response is sent.
    """
    exchange, response = request.exchange, request.failed_response
    if request.is_response_started:
        # Only a closed connection can show the caller that the response is incomplete.
        exchange.abort()
        return exchange.status
    if response is not None:
        exchange.respond(response.status, response.headers, response.body)
        return response.status
    status = _status_code(refusal)
    retry_after_ms = 0
    if status == STATUS_NOT_RUN:
        retry_after_ms = _retry_after_ms(refusal, request.req.deadline_ms - clock.now_ms())
    code = str(refusal.reason)
    headers = _headers(codec, retry_after_ms)
    headers += _origin(exchange, code, refusal.run_state)
    exchange.respond(status, headers, error_body(code))
    return status


def respond(exchange: Exchange, response: CompleteResponse | None) -> None:
    """Send a complete response, or the end of a stream without one."""
    if response is not None:
        exchange.respond(response.status, response.headers, response.body)
    else:
        exchange.end()


def _retry_after_ms(refusal: Refuse, left_ms: int) -> int:
    if refusal.reason is RefusalReason.QUARANTINED:
        return refusal.retry_after_ms  # An earlier retry would be refused as well.
    return int(
        min(refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS, left_ms * MAX_RETRY_AFTER_FRACTION)
    )


def _status_code(refusal: Refuse) -> int:
    if refusal.run_state is RunState.NOT_RUN:
        return STATUS_NOT_RUN
    return STATUS_TIMED_OUT if refusal.reason is RefusalReason.DEADLINE else STATUS_FAILED


def _headers(codec: ForwardingCodec, retry_after_ms: int) -> Headers:
    return (*JSON, *codec.refusal_headers(retry_after_ms))


def _origin(
    exchange: Exchange, code: str, run_state: RunState, is_certain: bool = False
) -> Headers:
    """Return the headers that tell another instance, which sent the request, what it may do."""
    if exchange.delegated_call is None:
        return ()
    return answer_headers(run_state, may_ask_another(code, run_state, is_certain))


def error_body(code: str) -> bytes:
    """Return the body of a response that an instance makes itself."""
    return msgspec.json.encode({"error": {"code": code}})
