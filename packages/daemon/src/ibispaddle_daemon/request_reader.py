"""Authentication and validation of model requests before their admission."""

# ruff: noqa: N801

from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent, Event, handler
from ibispaddle_core import logevents
from ibispaddle_core.chat import (
    CompletionRequest,
    Kind,
    ProtocolError,
    Steps,
    fingerprint_steps,
    models_body,
    parse_steps,
    part_steps,
)
from ibispaddle_core.runstate import RunState
from ibispaddle_core.settings import FleetConfig
from result import Err, Ok, Result

from .callers import Caller, CallerDirectory, read_timeout_ms
from .http_exchange import Exchange
from .logs import log_event
from .metrics import Metrics
from .responses import JSON, respond_error, respond_method_not_allowed, respond_not_found
from .suspects import SuspectTracker

_KINDS = {"/v1/chat/completions": Kind.CHAT, "/v1/completions": Kind.TEXT}
# Bodies up to this size are validated in one event loop iteration, which takes less than 2 ms.
MAX_SINGLE_STEP_BODY_BYTES = 262_144


@dataclass(frozen=True)
class ValidatedRequest:
    """Hold a validated request with its caller, limits, fingerprint and the hashes of its parts."""

    exchange: Exchange
    caller: Caller
    parsed: CompletionRequest
    output_tokens: int
    timeout_ms: int
    fingerprint: str
    parts: tuple[str, ...] = ()


ValidationSteps = Steps[Result[ValidatedRequest, ProtocolError]]


class validation_continued(Event):
    """Run the next validation step of a long request: `validation_continued(exchange, steps)`."""


class RequestReader(BaseComponent):
    """Authenticate the caller, validate the request and compute its hashes.

    Validating a prompt of several megabytes takes tens of milliseconds. It is done in steps, one
    per iteration of the event loop, so that it does not delay short prompts and running streams.
    """

    channel = "request_reader"

    def __init__(
        self,
        config: FleetConfig,
        fingerprint_key: bytes,
        suspects: SuspectTracker,
        metrics: Metrics,
        admit: Callable[[ValidatedRequest], None],
    ) -> None:
        super().__init__()
        self._config = config
        self._callers = CallerDirectory(config)
        self._fingerprint_key = fingerprint_key[:64]
        self._suspects = suspects
        self._metrics = metrics
        self._admit = admit

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._config = config
        self._callers = CallerDirectory(config)

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        kind = _KINDS.get(exchange.path)
        if kind is None and exchange.path != "/v1/models":
            respond_not_found(exchange)
            return
        allowed = "POST" if kind else "GET"
        if exchange.method != allowed:
            respond_method_not_allowed(exchange, allowed)
            return
        caller = self._callers.identify(exchange)
        if caller.is_err():
            self._reject(exchange, caller.unwrap_err())
        elif kind is None:
            body = models_body(caller.unwrap().workspace.models, caller.unwrap().neighbour)
            exchange.respond(200, JSON, body)
        else:
            self._advance(exchange, self._validate(exchange, kind, caller.unwrap()))

    @handler("validation_continued")
    def _on_validation_continued(self, exchange: Exchange, steps: ValidationSteps) -> None:
        if not exchange.is_closed:
            self._advance(exchange, steps)

    def _advance(self, exchange: Exchange, steps: ValidationSteps) -> None:
        is_stepwise = len(exchange.body) > MAX_SINGLE_STEP_BODY_BYTES
        try:
            next(steps)
            while not is_stepwise:
                next(steps)
        except StopIteration as end:
            self._finish(exchange, end.value)
            return
        self.fire(validation_continued(exchange, steps))

    def _finish(self, exchange: Exchange, result: Result[ValidatedRequest, ProtocolError]) -> None:
        if result.is_err():
            self._reject(exchange, result.unwrap_err())
        else:
            self._admit(result.unwrap())

    def _reject(self, exchange: Exchange, error: ProtocolError) -> None:
        self._metrics.requests.inc({"code": error.code})
        log_event(logevents.REQUEST_REFUSED, path=exchange.path, code=error.code)
        respond_error(exchange, error)

    def _validate(self, exchange: Exchange, kind: Kind, caller: Caller) -> ValidationSteps:
        timeout = read_timeout_ms(exchange, caller.workspace.request_timeout_ms)
        if timeout.is_err():
            return Err(timeout.unwrap_err())
        result = yield from parse_steps(kind, exchange.body)
        if result.is_err():
            return Err(result.unwrap_err())
        parsed = result.unwrap()
        output_tokens = self._output_tokens(parsed, caller)
        if output_tokens.is_err():
            return Err(output_tokens.unwrap_err())
        steps = fingerprint_steps(str(kind), parsed.document, self._fingerprint_key)
        fingerprint = yield from steps
        parts = yield from part_steps(parsed.document, self._fingerprint_key)
        refusal = self._suspects.quarantine_error(fingerprint, parts, RunState.NOT_RUN)
        if refusal is not None:
            return Err(refusal)
        return Ok(
            ValidatedRequest(
                exchange,
                caller,
                parsed,
                output_tokens.unwrap(),
                timeout.unwrap(),
                fingerprint,
                parts,
            )
        )

    def _output_tokens(
        self, parsed: CompletionRequest, caller: Caller
    ) -> Result[int, ProtocolError]:
        """Return the output token limit, or an error if the model cannot serve the request."""
        model = self._config.models.get(parsed.model)
        if model is None or parsed.model not in caller.workspace.models:
            text = f"The model '{parsed.model[:100]}' does not exist or is not available to this API key."
            return Err(ProtocolError(404, "model_not_found", text, param="model"))
        output_tokens = parsed.max_output_tokens or model.default_max_output_tokens
        if parsed.prompt_tokens + output_tokens > model.context_tokens:
            text = (
                f"The prompt of {parsed.prompt_tokens} tokens and an output of {output_tokens}"
                f" tokens exceed the model's context of {model.context_tokens} tokens."
            )
            return Err(ProtocolError(400, "context_length_exceeded", text))
        return Ok(output_tokens)
