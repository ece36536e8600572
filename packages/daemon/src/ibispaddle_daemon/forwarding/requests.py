"""State of one forwarded request."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

from ibispaddle_core.forwarding import CompleteResponse
from ibispaddle_core.quarantine import part_key
from ibispaddle_core.routing import Route
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import Request

from ..delegated_call import ResponseOrigin
from ..http_exchange import Exchange
from ..timers import TimerHandle
from .codec import CallerRequest

FINGERPRINT_BYTES = 16


@dataclass(eq=False)
class AttemptState:
    """The state of one attempt; two may be in flight until the first output of either."""

    upstream_id: str
    number: int = 1  # Counted from 1 within the request.
    is_hedge: bool = False
    is_hop: bool = False  # The upstream is another instance, to which the request is delegated.
    on_released: Callable[[], None] | None = None  # Called when it is no longer in flight.
    cancel: Callable[[], None] | None = None  # Set while the attempt is in flight.
    last_event_ms: int = 0  # Time of its last event, or of its start.
    boot_ms: int | None = None  # Start of its upstream, if known.
    boot_id: str = ""  # Identifies the process of its upstream.
    output_ms: int | None = None  # Time of its first output.
    # Who made the response to a hop, once its head has arrived.
    origin: ResponseOrigin | None = None
    output_sequence: int = 0  # Crashes known at that time.
    is_output_settled: bool = False  # Whether its upstream has survived the start of the output.


@dataclass(eq=False)
class ForwardedRequest:
    """A forwarded request, from its admission to its end."""

    req: Request
    route: Route
    caller: CallerRequest
    exchange: Exchange
    attempts: int = 0  # At upstreams.
    runs: int = 0  # Ended attempts and hops without proof that the request did not run.
    hops: int = 0  # Times that it was sent to another instance.
    # Since it was taken out of the scheduler.
    tried_delegates: set[str] = field(default_factory=set)
    is_scheduled: bool = False  # Whether the scheduler knows it.
    is_ended: bool = False
    upstream_id: str = ""  # Upstream of the last attempt.
    first_output_ms: int | None = None
    last_output_ms: int | None = None
    longest_gap_ms: int = 0  # Longest time between two parts of the response.
    event_count: int = 0  # Events sent to the caller.
    last_event_id: int | None = None
    # Response of the last failed attempt; sent to the caller if there is no further attempt.
    failed_response: CompleteResponse | None = None
    deadline_timer: TimerHandle | None = None
    failures: tuple[str, ...] = ()  # Reasons of failed attempts, for the log.
    has_settled_output: bool = False  # Whether an upstream of any attempt has survived it.
    in_flight: dict[str, AttemptState] = field(default_factory=dict)  # By upstream.

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.req.request_id

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """Return the keys of the parts that other requests may have as well."""
        return tuple(part_key(part) for part in self.caller.prompt_parts)

    @cached_property
    def fingerprint(self) -> str:
        """Return the hash of the whole request; the same request sent again has the same one.

        Callers may describe the same prompt with other parts, so those count only without a body.
        """
        exchange = self.exchange
        parts = () if exchange.body else self.parts
        head = (exchange.method, exchange.target, self.req.workspace, *parts)
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for text in head:
            digest.update(text.encode("utf-8", "surrogatepass") + b"\0")
        digest.update(exchange.body)
        return digest.hexdigest()

    @property
    def is_response_started(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self.exchange.is_response_started

    @property
    def run_state(self) -> RunState:
        """Return whether the request may have run."""
        return RunState.UNKNOWN if self.runs or self.in_flight else RunState.NOT_RUN

    def record_output(self, now_ms: int, event_count: int) -> None:
        """Record that events were sent to the caller."""
        self.event_count += event_count
        if self.first_output_ms is None:
            self.first_output_ms = now_ms
        if self.last_output_ms is not None:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_output_ms)
        self.last_output_ms = now_ms

    def cancel_attempts(self) -> None:
        """Cancel the attempts in flight without reporting their ends."""
        for attempt in list(self.in_flight.values()):
            if attempt.cancel is not None:
                attempt.cancel()
                self.runs += 1
