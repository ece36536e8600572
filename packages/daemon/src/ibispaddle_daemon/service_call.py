"""State of one call to a plain service, and the headers that are passed on."""

from dataclasses import dataclass, field
from typing import Any

from ibispaddle_core.runstate import RunState
from ibispaddle_core.settings import ServiceConfig

from .callers import TIMEOUT_HEADER, Caller
from .events import Headers
from .http_exchange import Exchange
from .timers import TimerHandle

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)
# The bearer key is the caller's secret with this system, not with the service.
_NOT_FORWARDED = _HOP_BY_HOP | {
    "authorization",
    TIMEOUT_HEADER.lower(),
    "x-request-id",
    "traceparent",
    "tracestate",
}
_NOT_RETURNED = _HOP_BY_HOP | {"x-request-id"}


def forwarded_request_headers(headers: Headers) -> Headers:
    """Return the headers of a caller that a service receives."""
    return tuple((name, value) for name, value in headers if name.lower() not in _NOT_FORWARDED)


def forwarded_response_headers(headers: Headers) -> Headers:
    """Return the headers of a service that its caller receives."""
    return tuple((name, value) for name, value in headers if name.lower() not in _NOT_RETURNED)


@dataclass(eq=False)
class ServiceCall:
    """Hold one call from its arrival to its answer."""

    call_id: str
    caller: Caller
    service: str
    config: ServiceConfig
    exchange: Exchange
    target: str
    deadline_ms: int
    key: str
    span: Any
    tried_ids: set[str] = field(default_factory=set)
    attempts: int = 0
    attempt_id: str = ""
    attempt_span: Any = None
    upstream_id: str = ""
    unconfirmed_attempts: int = 0
    is_claimed: bool = False
    claim_run_state: RunState | None = None  # Stated by the claims component in a refusal.
    timer: TimerHandle | None = None

    @property
    def is_repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.exchange.method in self.config.repeatable_methods

    @property
    def run_state(self) -> RunState:
        """Return what is known about the run."""
        if self.claim_run_state is not None:
            return self.claim_run_state
        return RunState.UNKNOWN if self.unconfirmed_attempts else RunState.NOT_RUN
