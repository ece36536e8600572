"""State of one forwarded request."""

from collections.abc import Callable
from dataclasses import dataclass

from ibispaddle_core.forwarding import CompleteResponse
from ibispaddle_core.routing import Route
from ibispaddle_core.scheduling import Request

from ..http_exchange import Exchange
from ..timers import TimerHandle
from .codec import CallerRequest


@dataclass(eq=False)
class ForwardedRequest:
    """A forwarded request, from its admission to its end."""

    req: Request
    route: Route
    caller: CallerRequest
    exchange: Exchange
    attempts: int = 0
    upstream_id: str = ""  # Upstream of the last attempt.
    first_output_ms: int | None = None
    last_output_ms: int | None = None
    longest_gap_ms: int = 0  # Longest time between two parts of the response.
    event_count: int = 0  # Events sent to the caller.
    last_event_id: int | None = None
    # Response of the last failed attempt; sent to the caller if there is no further attempt.
    failed_response: CompleteResponse | None = None
    cancel_attempt: Callable[[], None] | None = None  # Set while an attempt is in flight.
    deadline_timer: TimerHandle | None = None
    failures: tuple[str, ...] = ()  # Reasons of failed attempts, for the log.

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.req.request_id

    @property
    def is_response_started(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self.exchange.is_response_started
