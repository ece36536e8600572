"""State of a call to a plain HTTP service, and filters for the forwarded headers."""

from dataclasses import dataclass, field
from typing import Any

from ibispaddle_core.runstate import RunState
from ibispaddle_core.settings import ServiceConfig

from .callers import TIMEOUT_HEADER, Caller
from .events import Headers
from .http_exchange import Exchange
from .timers import TimerHandle

_HOP_BY_HOP_HEADERS = frozenset(
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
# The bearer key authenticates the caller to this system and must not reach the service.
_NOT_FORWARDED_HEADERS = _HOP_BY_HOP_HEADERS | {
    "authorization",
    TIMEOUT_HEADER.lower(),
    "x-request-id",
    "traceparent",
    "tracestate",
}
_NOT_RETURNED_HEADERS = _HOP_BY_HOP_HEADERS | {"x-request-id"}


def forwarded_request_headers(headers: Headers) -> Headers:
    """Return the caller's request headers that are forwarded to the service."""
    return tuple(
        (name, value) for name, value in headers if name.lower() not in _NOT_FORWARDED_HEADERS
    )


def forwarded_response_headers(headers: Headers) -> Headers:
    """Return the service's response headers that are forwarded to the caller."""
    return tuple(
        (name, value) for name, value in headers if name.lower() not in _NOT_RETURNED_HEADERS
    )


@dataclass(eq=False)
class ServiceCall:
    """Hold the state of a service call."""

    call_id: str
    caller: Caller
    service: str
    config: ServiceConfig
    exchange: Exchange
    target: str
    deadline_ms: int
    key: str
    span: Any
    data_centres: frozenset[str] | None = None  # Where the call may run; None: anywhere.
    tried_ids: set[str] = field(default_factory=set)
    attempts: int = 0
    attempt_id: str = ""
    attempt_span: Any = None
    upstream_id: str = ""
    unconfirmed_attempts: int = 0
    is_claimed: bool = False
    # From a refused claim; takes precedence over `unconfirmed_attempts`.
    claim_run_state: RunState | None = None
    timer: TimerHandle | None = None

    @property
    def is_repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return self.exchange.method in self.config.repeatable_methods

    @property
    def run_state(self) -> RunState:
        """Return whether the call may have run."""
        if self.claim_run_state is not None:
            return self.claim_run_state
        return RunState.UNKNOWN if self.unconfirmed_attempts else RunState.NOT_RUN
