"""Execution of attempts on runners: HTTP calls, relay of responses and flow control."""

import itertools

import msgspec
from circuits import BaseComponent
from ibispaddle_core.chat import Kind
from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding.memory_budget import MAX_INCOMPLETE_RESPONSES_BYTES
from ibispaddle_core.relay import (
    Attempt,
    AttemptEvent,
    AttemptFinished,
    CancelRequested,
    DataReceived,
    FinalAnswer,
    FirstByteSent,
    HeadReceived,
    ReadingPaused,
    ReadingResumed,
    RelayData,
    ResponseEnded,
    TimePassed,
)
from ibispaddle_core.scheduling import AttemptSilent, Dispatch, Outcome
from opentelemetry.trace import Status, StatusCode

from .attempt_coordinator import AttemptCoordinator
from .attempt_ends import CANCEL_TIMEOUT_MS, AttemptEndHandler
from .buffer_limit import BufferLimit
from .events import (
    CallFailure,
    Headers,
    HttpCall,
    HttpCallError,
    http_cancel,
    runner_failed,
)
from .http_client import HttpClient
from .metrics import Metrics
from .model_request import ModelRequest, RunningAttempt
from .responses import JSON
from .suspects import SuspectTracker
from .timers import TimerQueue
from .tracing import Tracing

# The HTTP call times out this long after the deadline of its request. The coordinator ends the
# request first, so that the caller's error has the code `deadline` and no retry starts then.
DEADLINE_MARGIN_MS = 250
# Time for the upstream to end its HTTP response after the end marker of the stream.
RESPONSE_END_TIMEOUT_MS = 1_000
# Interval at which a stalled attempt that nothing can replace is checked again.
STALL_RECHECK_MS = 500
# Time before the deadline at which an attempt that is still silent is cancelled on its engine, whose response
# states whether the request has run.
LAST_CANCEL_MS = CANCEL_TIMEOUT_MS + 100
_ENGINE_PATHS = {Kind.CHAT: "/v1/chat/completions", Kind.TEXT: "/v1/completions"}
_CALL_NUMBERS = itertools.count(1)


class AttemptExecutor(BaseComponent):
    """Run attempts and report their end to the request coordinator."""

    channel = "attempts"

    def __init__(
        self,
        coordinator: AttemptCoordinator,
        client: HttpClient,
        clock: Clock,
        timers: TimerQueue,
        metrics: Metrics,
        tracing: Tracing,
        suspects: SuspectTracker,
        max_buffered_bytes: int = MAX_INCOMPLETE_RESPONSES_BYTES,
    ) -> None:
        super().__init__()
        self._suspects = suspects
        self._coordinator = coordinator
        self._client = client
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._tracing = tracing
        self._buffered = BufferLimit(max_buffered_bytes)
        self._attempts_by_call: dict[str, tuple[ModelRequest, RunningAttempt]] = {}
        end_handler = AttemptEndHandler(
            coordinator, clock, suspects, self._resume, self.requests_at
        )
        self._end_handler = end_handler.register(self)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the responses and events that are not complete."""
        return self._buffered.total_bytes

    # Start, cancel, resume

    def start(self, request: ModelRequest, decision: Dispatch) -> None:
        """Start an attempt on the runner that the scheduler chose."""
        request.attempts += 1
        self._metrics.count_retry(request.attempts, request.last_outcome)
        now_ms = self._clock.now_ms()
        cfg = self._coordinator.config.scheduling
        model = self._coordinator.scheduler.cost.model(request.req.model)
        prefill_ms = 1000 * request.req.prompt_tokens / model.prefill_tokens_per_s
        engine_id = f"{request.request_id}.{request.attempts}"
        headers: Headers = (("X-Priority", str(decision.priority)),)
        if decision.segments:
            headers += (("X-KV-Segments", ",".join(decision.segments)),)
        state_machine = Attempt(
            engine_id,
            request.parsed.stream,
            now_ms=now_ms,
            first_token_ms=int(prefill_ms) + cfg.first_token_timeout_ms,
            stall_ms=cfg.stall_timeout_ms,
        )
        path = _ENGINE_PATHS[request.parsed.kind]
        self._start_call(
            request, decision.upstream_id, engine_id, state_machine, path, headers, request.body
        )

    def _resume(self, request: ModelRequest, failed: RunningAttempt) -> None:
        """Resume a stream on the same engine at the next token."""
        request.resumes += 1
        request.unconfirmed_attempts += 1
        stall_ms = self._coordinator.config.scheduling.stall_timeout_ms
        state_machine = Attempt(
            failed.engine_request_id,
            True,
            now_ms=self._clock.now_ms(),
            first_token_ms=stall_ms,
            stall_ms=stall_ms,
            next_index=failed.state_machine.next_index,
            completion_id=failed.state_machine.completion_id,
            boot_id=failed.state_machine.boot_id,
        )
        body = msgspec.json.encode(
            {
                "request_id": failed.engine_request_id,
                "from_token": state_machine.next_index,
                "chat": request.parsed.kind is Kind.CHAT,
            }
        )
        engine_id = failed.engine_request_id
        self._start_call(
            request, failed.upstream_id, engine_id, state_machine, "/v1/resume", (), body
        )

    def _start_call(
        self,
        request: ModelRequest,
        upstream_id: str,
        engine_id: str,
        state_machine: Attempt,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        base_url = self._coordinator.base_url(upstream_id)
        span = self._tracing.start_call(request.span, f"POST {path}")
        span.set_attribute("ibispaddle.upstream", upstream_id)
        call_id = f"attempt-{next(_CALL_NUMBERS)}"
        running = RunningAttempt(call_id, upstream_id, base_url, engine_id, state_machine, span)
        running.is_resumed = path == "/v1/resume"
        reported_boot = self._coordinator.last_boot_id(upstream_id)
        running.upstream_boot = self._suspects.current_boot_id(upstream_id, reported_boot)
        request.attempt = running
        self._attempts_by_call[call_id] = (request, running)
        headers = (
            *JSON,
            ("X-Request-Id", engine_id),
            *headers,
            *self._tracing.trace_headers(span),
        )
        call = HttpCall(
            call_id,
            "POST",
            base_url + path,
            headers,
            body,
            request.req.deadline_ms + DEADLINE_MARGIN_MS,
            self.channel,
            stream=True,
            sink=self,
        )
        self._client.start_call(call)
        self._schedule_stall_check(request, running)

    def cancel(self, request: ModelRequest, is_silent: bool = False) -> None:
        """Cancel the running attempt and report its end, as a stall if `is_silent`."""
        if request.attempt is None:
            return
        if is_silent:
            self._handle_event(request, request.attempt, TimePassed())
        if request.attempt is not None:
            self._handle_event(request, request.attempt, CancelRequested())

    def abort(self, request: ModelRequest) -> None:
        """Cancel the running attempt of a refused request without reporting its end."""
        if request.attempt is not None:
            running = request.attempt
            running.state_machine.handle(CancelRequested(), self._clock.now_ms())
            self._detach(request, running)
            self._end_handler.cancel_on_engine(request, running, report_end=False)

    def _schedule_stall_check(self, request: ModelRequest, running: RunningAttempt) -> None:
        """Schedule a check at the time after which the attempt counts as stalled."""
        due_ms = running.state_machine.stall_deadline_ms
        if due_ms is None:
            return
        if running.timer is not None:
            # Each token postpones the stall deadline, and the pending check reschedules itself.
            # Only the first token can bring it forward, because more time is allowed before the
            # first token than between later ones.
            if running.timer_due_ms <= due_ms:
                return
            running.timer.cancel()

        def check() -> None:
            running.timer = None
            stall_ms = running.state_machine.stall_deadline_ms
            if stall_ms is None or self._clock.now_ms() < stall_ms:
                self._schedule_stall_check(request, running)
                return
            running.timer_due_ms = self._clock.now_ms() + STALL_RECHECK_MS
            running.timer = self._timers.at(running.timer_due_ms, check)
            self._handle_stall(request, running)

        running.timer_due_ms = due_ms
        running.timer = self._timers.at(due_ms, check)

    def _handle_stall(self, request: ModelRequest, running: RunningAttempt) -> None:
        """End a stalled attempt, or one without output only if another engine takes over.

        An engine that has not begun to answer may only be slow, so its attempt goes on until the deadline.
        """
        if running.state_machine.next_index > 0:
            self._handle_event(request, running, TimePassed())
        else:
            self.report_silence(request)

    def report_silence(self, request: ModelRequest) -> None:
        """Report that the running attempt has had no output for too long."""
        running = request.attempt
        if running is None:
            return
        if running.last_cancel_timer is None:
            due_ms = request.req.deadline_ms - LAST_CANCEL_MS
            running.last_cancel_timer = self._timers.at(
                due_ms, lambda: self._cancel_if_silent(request, running)
            )
        silent = AttemptSilent(request.request_id, running.upstream_id, has_output=False)
        self._coordinator.handle_event(silent)

    def _cancel_if_silent(self, request: ModelRequest, running: RunningAttempt) -> None:
        if request.attempt is running and running.state_machine.next_index == 0:
            self._handle_event(request, running, CancelRequested())

    # Callbacks of the HTTP client

    def call_sent(self, call_id: str) -> None:
        """Handle the first written byte of a request."""
        self._handle_call_event(call_id, FirstByteSent())

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Handle the head of a response."""
        self._handle_call_event(call_id, HeadReceived(status, headers))

    def call_data(self, call_id: str, data: bytes) -> None:
        """Handle a part of a response's body."""
        self._handle_call_event(call_id, DataReceived(data))
        found = self._attempts_by_call.get(call_id)
        if found is None:
            return
        if not self._buffered.update(call_id, found[1].state_machine.buffered_bytes):
            text = f"the responses of all attempts exceed {self._buffered.max_bytes} bytes"
            self._handle_event(*found, ResponseEnded(False, True, text))

    def call_ended(self, call_id: str, error: HttpCallError | None) -> None:
        """Handle the end of a call."""
        if error is None:
            self._handle_call_event(call_id, ResponseEnded(complete=True, byte_sent=True))
            return
        if error.failure is CallFailure.UNREACHABLE and (
            found := self._attempts_by_call.get(call_id)
        ):
            self.fire(runner_failed(found[1].upstream_id), "*")
        timed_out = error.failure is CallFailure.TIMEOUT
        event = ResponseEnded(False, error.byte_sent, f"{error.failure}: {error.text}", timed_out)
        self._handle_call_event(call_id, event)

    def _handle_call_event(self, call_id: str, event: AttemptEvent) -> None:
        found = self._attempts_by_call.get(call_id)
        if found is not None:
            self._handle_event(*found, event)

    def _handle_event(
        self, request: ModelRequest, running: RunningAttempt, event: AttemptEvent
    ) -> None:
        for effect in running.state_machine.handle(event, self._clock.now_ms()):
            match effect:
                case RelayData(data, tokens):
                    request.relay(data)
                    if tokens:
                        request.resumes = 0  # Only stalls without progress in between are limited.
                    self._coordinator.count_tokens(request, tokens)
                    self._pause_if_caller_is_slow(request, running)
                    self._schedule_stall_check(request, running)
                case AttemptFinished():
                    self._detach(request, running)
                    self._end_handler.handle_finished(request, running, effect)
        self._coordinator.report_tokens(request)

    # Flow control

    def _pause_if_caller_is_slow(self, request: ModelRequest, running: RunningAttempt) -> None:
        limit = self._coordinator.config.limits.max_unsent_bytes
        if not running.is_paused and request.exchange.must_pause(limit):
            running.is_paused = request.exchange.is_upstream_waiting = True
            running.state_machine.handle(ReadingPaused(), self._clock.now_ms())
            self._client.pause_call(running.call_id)

    def resume_reading(self, request: ModelRequest) -> None:
        """Resume reading from the runner once the caller has read most of the buffered output."""
        running = request.attempt
        if running is None or not running.is_paused:
            return
        if request.exchange.may_resume(self._coordinator.config.limits.max_unsent_bytes):
            running.is_paused = request.exchange.is_upstream_waiting = False
            running.state_machine.handle(ReadingResumed(), self._clock.now_ms())
            self._client.resume_call(running.call_id)
            self._schedule_stall_check(request, running)

    # End of an attempt

    def _detach(self, request: ModelRequest, running: RunningAttempt) -> None:
        """Detach the attempt from its HTTP call."""
        end = running.state_machine.finished
        assert end is not None
        self._attempts_by_call.pop(running.call_id, None)
        self._buffered.release(running.call_id)
        request.attempt = None
        request.exchange.is_upstream_waiting = False
        for timer in (running.timer, running.last_cancel_timer):
            if timer is not None:
                timer.cancel()
        if end.answer is FinalAnswer.STREAM:
            # The connection can be reused if the response ends soon after the stream's end marker.
            cancel = http_cancel(running.call_id)
            self._timers.after(RESPONSE_END_TIMEOUT_MS, lambda: self.fire(cancel, "http_client"))
        else:
            self.fire(http_cancel(running.call_id), "http_client")
        if running.state_machine.dropped_events:
            self._metrics.dropped.add({}, running.state_machine.dropped_events)
        self._metrics.attempts.inc({"outcome": str(end.outcome)})
        if end.outcome is not Outcome.COMPLETED:
            running.span.set_status(Status(StatusCode.ERROR, end.text))
        running.span.set_attribute("ibispaddle.outcome", str(end.outcome))
        running.span.end()

    def fingerprints(self) -> dict[str, set[str]]:
        """Return the fingerprints of the requests in flight, by upstream."""
        found: dict[str, set[str]] = {}
        for request, running in self._attempts_by_call.values():
            found.setdefault(running.upstream_id, set()).add(request.req.fingerprint)
        return found

    def requests_at(self, upstream_id: str) -> dict[str, tuple[str, ...]]:
        """Return the requests in flight at an upstream: their parts by fingerprint."""
        return {
            request.req.fingerprint: request.req.parts
            for request, running in self._attempts_by_call.values()
            if running.upstream_id == upstream_id
        }
