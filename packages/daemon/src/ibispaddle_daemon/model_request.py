"""State of a model request and of its current attempt."""

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
    """Hold the state machine of an attempt and the HTTP call that carries it.

    `engine_request_id` is the request id sent to the engine; a resumed attempt keeps it.
    """

    call_id: str
    upstream_id: str
    base_url: str
    engine_request_id: str
    state_machine: Attempt
    span: Any
    timer: TimerHandle | None = None
    timer_due_ms: int = 0
    last_cancel_timer: TimerHandle | None = None  # Set while the attempt is silent.
    is_paused: bool = False
    is_resumed: bool = False
    upstream_boot: str = ""  # Last known boot id of the upstream when the attempt started.

    @property
    def may_still_run(self) -> bool:
        """Return whether the engine may still run the request after the attempt has ended.

        A resumed attempt may end before its first byte is sent, but the engine has received the
        request with the original attempt.
        """
        return self.state_machine.byte_sent or self.is_resumed


@dataclass(eq=False)
class ModelRequest:
    """Hold the state of a model request from its admission to its end."""

    req: Request
    parsed: CompletionRequest
    caller: Caller
    exchange: Exchange
    span: Any
    body: bytes
    attempt: RunningAttempt | None = None
    attempts: int = 0
    last_outcome: str = ""  # Outcome of the previous attempt.
    resumes: int = 0
    unconfirmed_attempts: int = 0  # Attempts that sent bytes and may have run.
    tokens: int = 0
    unreported_tokens: int = 0
    is_first_token_reported: bool = False  # Whether the scheduler knows of the first token.
    prompt_tokens: int = 0
    first_token_ms: int | None = None
    timers: list[TimerHandle] = field(default_factory=list)

    @property
    def request_id(self) -> str:
        """Return the request id that appears in responses and logs."""
        return self.req.request_id

    @property
    def has_relayed_output(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self.exchange.is_response_started

    @property
    def run_state(self) -> RunState:
        """Return whether the request may have run, as far as this instance knows."""
        running = self.attempt is not None and self.attempt.state_machine.byte_sent
        return RunState.UNKNOWN if running or self.unconfirmed_attempts else RunState.NOT_RUN

    @property
    def _id_header(self) -> Headers:
        return (("X-Request-Id", self.request_id),)

    def relay(self, data: bytes) -> None:
        """Send a part of a streamed response to the caller."""
        if not self.exchange.is_response_started:
            self.exchange.start(200, EVENT_STREAM + self._id_header)
        self.exchange.write(data)

    def send_response(self, status: int, body: bytes) -> None:
        """Send a complete response to the caller."""
        self.exchange.respond(status, JSON + self._id_header, body)

    def send_error(self, error: ProtocolError) -> None:
        """Send an error as the response, or as the last event of a stream that has started."""
        if self.exchange.is_response_started:
            self.exchange.write(error_event(error))
            self.exchange.end()
        else:
            respond_error(self.exchange, error, self._id_header)
