"""State of one caller's request for a model."""

from dataclasses import dataclass, field
from typing import Any

from ibispaddle_core.chat import CompletionRequest, ProtocolError, error_event
from ibispaddle_core.relay import Attempt
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import Request

from .callers import Caller
from .events import Headers
from .http_exchange import Exchange
from .responses import EVENT_STREAM, JSON, respond_error
from .timers import TimerHandle


@dataclass(eq=False)
class RunningAttempt:
    """Bind the state machine of an attempt to the HTTP call that carries it.

    `engine_request_id` is the id by which the engine knows the request; a resumed attempt keeps it.
    """

    call_id: str
    upstream_id: str
    base_url: str
    engine_request_id: str
    state_machine: Attempt
    span: Any
    timer: TimerHandle | None = None
    timer_due_ms: int = 0
    is_paused: bool = False
    is_resumed: bool = False
    upstream_boot: str = ""  # Last known boot of the upstream when the attempt began.

    @property
    def may_still_run(self) -> bool:
        """Return whether the engine may still work on the request after the attempt.

        An attempt that resumes a stream may end before its first byte, but the request was sent.
        """
        return self.state_machine.byte_sent or self.is_resumed


@dataclass(eq=False)
class ModelRequest:
    """Hold a request from its admission to its end."""

    req: Request
    parsed: CompletionRequest
    caller: Caller
    exchange: Exchange
    span: Any
    body: bytes
    attempt: RunningAttempt | None = None
    attempts: int = 0
    last_outcome: str = ""  # Of the attempt before.
    resumes: int = 0
    unconfirmed_attempts: int = 0  # Attempts that may have run: bytes were sent and no proof came.
    tokens: int = 0
    unreported_tokens: int = 0
    is_first_token_reported: bool = False  # The scheduler knows of the first token.
    prompt_tokens: int = 0
    first_token_ms: int | None = None
    timers: list[TimerHandle] = field(default_factory=list)

    @property
    def request_id(self) -> str:
        """Return the id that the caller and the logs see."""
        return self.req.request_id

    @property
    def has_relayed_output(self) -> bool:
        """Return whether a part of the answer was passed to the caller."""
        return self.exchange.is_response_started

    @property
    def run_state(self) -> RunState:
        """Return what is known about the run, from what this instance wrote and was told."""
        running = self.attempt is not None and self.attempt.state_machine.byte_sent
        return RunState.UNKNOWN if running or self.unconfirmed_attempts else RunState.NOT_RUN

    @property
    def _id_header(self) -> Headers:
        return (("X-Request-Id", self.request_id),)

    def relay(self, data: bytes) -> None:
        """Write a part of a streamed answer."""
        if not self.exchange.is_response_started:
            self.exchange.start(200, EVENT_STREAM + self._id_header)
        self.exchange.write(data)

    def send_response(self, status: int, body: bytes) -> None:
        """Write a whole answer."""
        self.exchange.respond(status, JSON + self._id_header, body)

    def send_error(self, error: ProtocolError) -> None:
        """Write an error: as a response, or as the last event of a stream that has begun."""
        if self.exchange.is_response_started:
            self.exchange.write(error_event(error))
            self.exchange.end()
        else:
            respond_error(self.exchange, error, self._id_header)
