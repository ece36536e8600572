"""Attempts at runners: HTTP calls, relay and flow control."""

import itertools
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent
from ibispaddle_core.chat import Kind
from ibispaddle_core.clock import Clock
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
from ibispaddle_core.scheduling import Dispatch, Outcome
from opentelemetry.trace import Status, StatusCode

from .attempt_ends import AttemptEnds
from .events import (
    CallFailure,
    Headers,
    HttpCall,
    HttpCallError,
    http_cancel,
    http_pause,
    http_resume,
    runner_failed,
)
from .http_client import HttpClient
from .metrics import Metrics
from .model_request import ModelRequest, RunningAttempt
from .responses import JSON
from .suspects import Suspects
from .timers import TimerQueue
from .tracing import Tracing

if TYPE_CHECKING:
    from .entry import Entry

# The entry ends a request at its deadline; the HTTP call only follows, so that the caller's error
# states the deadline and no retry begins at that moment.
DEADLINE_MARGIN_MS = 250
# Time for the upstream to complete its HTTP response after the end marker.
TRAILER_TIMEOUT_MS = 1_000
_PATHS = {Kind.CHAT: "/v1/chat/completions", Kind.TEXT: "/v1/completions"}
_NUMBERS = itertools.count(1)


class Attempts(BaseComponent):
    """Carry out attempts and report their end to the entry."""

    channel = "attempts"

    def __init__(
        self,
        entry: "Entry",
        client: HttpClient,
        clock: Clock,
        timers: TimerQueue,
        metrics: Metrics,
        tracing: Tracing,
        suspects: Suspects,
    ) -> None:
        super().__init__()
        self._suspects = suspects
        self._entry = entry
        self._client = client
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._tracing = tracing
        self._running: dict[str, tuple[ModelRequest, RunningAttempt]] = {}
        ends = AttemptEnds(entry, clock, suspects, self._resume, self.fingerprints)
        self._ends = ends.register(self)

    # Start, cancel, resume

    def start(self, request: ModelRequest, decision: Dispatch) -> None:
        """Send the request to a runner."""
        request.attempts += 1
        self._metrics.count_retry(request.attempts, request.last_outcome)
        now_ms = self._clock.now_ms()
        cfg = self._entry.config.scheduling
        model = self._entry.scheduler.cost.model(request.req.model)
        prefill_ms = 1000 * request.req.prompt_tokens / model.prefill_tokens_per_s
        engine_id = f"{request.request_id}.{request.attempts}"
        headers: Headers = (("X-Priority", str(decision.priority)),)
        if decision.segments:
            headers += (("X-KV-Segments", ",".join(decision.segments)),)
        machine = Attempt(
            engine_id,
            request.parsed.stream,
            now_ms=now_ms,
            first_token_ms=int(prefill_ms) + cfg.first_token_timeout_ms,
            stall_ms=cfg.stall_timeout_ms,
        )
        path = _PATHS[request.parsed.kind]
        self._send(request, decision.upstream_id, engine_id, machine, path, headers, request.body)

    def _resume(self, request: ModelRequest, failed: RunningAttempt) -> None:
        """Continue a stream on the same engine at the next token."""
        request.resumes += 1
        request.unproved_attempts += 1
        stall_ms = self._entry.config.scheduling.stall_timeout_ms
        machine = Attempt(
            failed.engine_request_id,
            True,
            now_ms=self._clock.now_ms(),
            first_token_ms=stall_ms,
            stall_ms=stall_ms,
            next_index=failed.machine.next_index,
            completion_id=failed.machine.completion_id,
            boot_id=failed.machine.boot_id,
        )
        body = msgspec.json.encode(
            {
                "request_id": failed.engine_request_id,
                "from_token": machine.next_index,
                "chat": request.parsed.kind is Kind.CHAT,
            }
        )
        engine_id = failed.engine_request_id
        self._send(request, failed.upstream_id, engine_id, machine, "/v1/resume", (), body)

    def _send(
        self,
        request: ModelRequest,
        upstream_id: str,
        engine_id: str,
        machine: Attempt,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        base_url = self._entry.base_url(upstream_id)
        span = self._tracing.start_call(request.span, f"POST {path}")
        span.set_attribute("ibispaddle.upstream", upstream_id)
        call_id = f"attempt-{next(_NUMBERS)}"
        running = RunningAttempt(call_id, upstream_id, base_url, engine_id, machine, span)
        running.is_resumed = path == "/v1/resume"
        reported_boot = self._entry.boot_of(upstream_id)
        running.upstream_boot = self._suspects.boot_in_use(upstream_id, reported_boot)
        request.attempt = running
        self._running[call_id] = (request, running)
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
        self._watch(request, running)

    def cancel(self, request: ModelRequest) -> None:
        """End the running attempt and report it."""
        if request.attempt is not None:
            self._feed(request, request.attempt, CancelRequested())

    def abandon(self, request: ModelRequest) -> None:
        """End the running attempt of a request that is being refused."""
        if request.attempt is not None:
            running = request.attempt
            running.machine.handle(CancelRequested(), self._clock.now_ms())
            self._release(request, running)
            self._ends.ask_to_stop(request, running, is_awaited=False)

    def _watch(self, request: ModelRequest, running: RunningAttempt) -> None:
        """Wait until the attempt may have stalled."""
        due_ms = running.machine.stall_deadline_ms
        if due_ms is None:
            return
        if running.timer is not None:
            # Each token moves the time later, which the check notices by itself; only the first
            # token can move it earlier, because the first one may take longer than the others.
            if running.timer_due_ms <= due_ms:
                return
            running.timer.cancel()

        def check() -> None:
            running.timer = None
            self._feed(request, running, TimePassed())
            self._watch(request, running)

        running.timer_due_ms = due_ms
        running.timer = self._timers.at(due_ms, check)

    # Reports of the HTTP client

    def call_sent(self, call_id: str) -> None:
        """Take the news that the first byte was written."""
        self._feed_call(call_id, FirstByteSent())

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Take the head of a response."""
        self._feed_call(call_id, HeadReceived(status, headers))

    def call_data(self, call_id: str, data: bytes) -> None:
        """Take a part of a response."""
        self._feed_call(call_id, DataReceived(data))

    def call_ended(self, call_id: str, error: HttpCallError | None) -> None:
        """Take the end of a call."""
        if error is None:
            self._feed_call(call_id, ResponseEnded(complete=True, byte_sent=True))
            return
        if error.failure is CallFailure.UNREACHABLE and (found := self._running.get(call_id)):
            self.fire(runner_failed(found[1].upstream_id), "*")
        timed_out = error.failure is CallFailure.TIMEOUT
        event = ResponseEnded(False, error.byte_sent, f"{error.failure}: {error.text}", timed_out)
        self._feed_call(call_id, event)

    def _feed_call(self, call_id: str, event: AttemptEvent) -> None:
        found = self._running.get(call_id)
        if found is not None:
            self._feed(*found, event)

    def _feed(self, request: ModelRequest, running: RunningAttempt, event: AttemptEvent) -> None:
        for effect in running.machine.handle(event, self._clock.now_ms()):
            match effect:
                case RelayData(data, tokens):
                    request.pass_on(data)
                    self._entry.count_tokens(request, tokens)
                    self._limit_unsent(request, running)
                    self._watch(request, running)
                case AttemptFinished():
                    self._release(request, running)
                    self._ends.finished(request, running, effect)
        self._entry.report_tokens(request)

    # Flow control

    def _limit_unsent(self, request: ModelRequest, running: RunningAttempt) -> None:
        limit = self._entry.config.limits.max_unsent_bytes // 2
        if not running.is_paused and request.exchange.unsent_bytes > limit:
            running.is_paused = True
            running.machine.handle(ReadingPaused(), self._clock.now_ms())
            self.fire(http_pause(running.call_id), "http_client")

    def caller_has_read(self, request: ModelRequest) -> None:
        """Continue to read from the runner when the caller has taken most of the answer."""
        running = request.attempt
        if running is None or not running.is_paused:
            return
        if request.exchange.unsent_bytes <= self._entry.config.limits.max_unsent_bytes // 4:
            running.is_paused = False
            running.machine.handle(ReadingResumed(), self._clock.now_ms())
            self.fire(http_resume(running.call_id), "http_client")
            self._watch(request, running)

    # End of an attempt

    def _release(self, request: ModelRequest, running: RunningAttempt) -> None:
        """Detach the attempt from its HTTP call."""
        end = running.machine.finished
        assert end is not None
        self._running.pop(running.call_id, None)
        request.attempt = None
        if running.timer is not None:
            running.timer.cancel()
        if end.answer is FinalAnswer.STREAM:
            # The connection can be reused if the response ends soon after its end marker.
            cancel = http_cancel(running.call_id)
            self._timers.after(TRAILER_TIMEOUT_MS, lambda: self.fire(cancel, "http_client"))
        else:
            self.fire(http_cancel(running.call_id), "http_client")
        if running.machine.dropped_events:
            self._metrics.dropped.add({}, running.machine.dropped_events)
        self._metrics.attempts.inc({"outcome": str(end.outcome)})
        if end.outcome is not Outcome.COMPLETED:
            running.span.set_status(Status(StatusCode.ERROR, end.text))
        running.span.set_attribute("ibispaddle.outcome", str(end.outcome))
        running.span.end()

    def fingerprints(self) -> dict[str, set[str]]:
        """Return the fingerprints in flight, by upstream."""
        found: dict[str, set[str]] = {}
        for request, running in self._running.values():
            found.setdefault(running.upstream_id, set()).add(request.req.fingerprint)
        return found
