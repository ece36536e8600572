"""Attempts of forwarded requests: HTTP calls, streaming, flow control and stall detection."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent
from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding import (
    AttemptResult,
    BodyReceived,
    CallEnded,
    ForwardData,
    ForwardedAttempt,
    ForwardHead,
    ForwardingEvent,
    HeadReceived,
    ResponseHead,
)
from ibispaddle_core.scheduling import Outcome, RetryPolicy

from ..buffer_limit import BufferLimit
from ..events import CallFailure, Headers, HttpCall, HttpCallError, http_pause, http_resume
from ..http_client import HttpClient
from ..timers import TimerHandle, TimerQueue
from .codec import ForwardingCodec, UpstreamCall
from .requests import AttemptState, ForwardedRequest

# Upstreams accept a connection within a few milliseconds. TCP retransmits a lost SYN only after a
# second, so it is faster to try another upstream.
CONNECT_TIMEOUT_MS = 250
# The forwarder enforces the request's deadline. The HTTP call's own deadline is later, as a backstop.
DEADLINE_MARGIN_MS = 250
# Fractions of `max_unsent_bytes` at which reading from the upstream is paused and resumed.
PAUSE_FRACTION = 0.5
RESUME_FRACTION = 0.25
# Maximum size of the data that all attempts together buffer until a response or an event is complete.
# Complete responses have kilobytes, and an instance has at least 200 MB.
MAX_TOTAL_BUFFERED_BYTES = 33_554_432
# Interval at which a stalled stream that no other upstream can resume is checked again.
STALL_RECHECK_MS = 500
_NUMBERS = itertools.count(1)


@dataclass(eq=False)
class _RunningAttempt:
    request: ForwardedRequest
    attempt: AttemptState
    call_id: str
    state_machine: ForwardedAttempt
    is_paused: bool = False
    stall_timer: TimerHandle | None = None


class ForwardedAttempts(BaseComponent):
    """Run attempts and report the end of each exactly once.

    If two attempts of a request are in flight, the first output of either ends the other at once, so that
    outputs are never joined. `on_race` is called with the winner and the loser then. `on_head` is called with the head of each response before it is processed, `on_output` with the
    number of events sent to the caller since the previous call, `on_stall` while a stream that may be
    resumed has stalled, and `on_result` with the result of an attempt.
    """

    channel = "forwarded_attempts"

    def __init__(
        self,
        client: HttpClient,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        on_head: Callable[[str, ResponseHead], None],
        on_race: Callable[[ForwardedRequest, AttemptState, AttemptState], None],
        on_output: Callable[[ForwardedRequest, AttemptState, int], None],
        on_stall: Callable[[ForwardedRequest, AttemptState], None],
        on_result: Callable[[ForwardedRequest, AttemptState, AttemptResult], None],
    ) -> None:
        super().__init__()
        self._client, self._codec = client, codec
        self._clock, self._timers = clock, timers
        self._on_head, self._on_race, self._on_output = on_head, on_race, on_output
        self._on_stall, self._on_result = on_stall, on_result
        self._running: dict[str, _RunningAttempt] = {}
        self._buffered = BufferLimit(MAX_TOTAL_BUFFERED_BYTES)
        self.max_unsent_bytes = 262_144
        self.stall_timeout_ms = 5_000

    def start(
        self, request: ForwardedRequest, attempt: AttemptState, address: str, call: UpstreamCall
    ) -> None:
        """Start an attempt at an upstream."""
        call_id = f"forward-{next(_NUMBERS)}"
        state_machine = ForwardedAttempt(
            request.route.streams, request.is_response_started, request.last_event_id
        )
        running = _RunningAttempt(request, attempt, call_id, state_machine)
        attempt.last_event_ms = self._clock.now_ms()
        self._running[call_id] = running
        attempt.cancel = lambda: self._cancel(running)
        request.in_flight[attempt.upstream_id] = attempt
        exchange = request.exchange
        self._client.start_call(
            HttpCall(
                call_id,
                exchange.method,
                f"http://{address}{exchange.target}",
                self._codec.upstream_headers(exchange.headers, call),
                exchange.body,
                request.req.deadline_ms + DEADLINE_MARGIN_MS,
                self.channel,
                stream=True,
                sink=self,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                may_reuse_connection=False,
            )
        )

    def _cancel(self, running: _RunningAttempt) -> None:
        """End the attempt without calling `on_result`."""
        self._release(running)
        self._client.cancel_call(running.call_id)

    def _release(self, running: _RunningAttempt) -> None:
        self._running.pop(running.call_id, None)
        self._buffered.release(running.call_id)
        running.state_machine.is_ended = True
        running.attempt.cancel = None
        running.request.in_flight.pop(running.attempt.upstream_id, None)
        if running.stall_timer is not None:
            running.stall_timer.cancel()

    # Callbacks of the HTTP client

    def call_sent(self, call_id: str) -> None:
        """Ignore that the first byte of the request was written."""

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Handle the head of a response."""
        running = self._running.get(call_id)
        if running is not None:
            head = self._codec.read_head(status, headers, running.request.caller.attempt_id)
            self._on_head(running.attempt.upstream_id, head)
            self._handle_event(running, HeadReceived(head))

    def call_data(self, call_id: str, data: bytes) -> None:
        """Handle a part of a response's body."""
        running = self._running.get(call_id)
        if running is None:
            return
        self._handle_event(running, BodyReceived(data))
        if self._running.get(call_id) is not running:
            return
        if not self._buffered.update(call_id, running.state_machine.buffered_bytes):
            text = f"the responses of all attempts exceed {self._buffered.max_bytes} bytes"
            self._handle_event(running, CallEnded(False, True, text))

    def call_ended(self, call_id: str, error: HttpCallError | None) -> None:
        """Handle the end of a call."""
        running = self._running.get(call_id)
        if running is None:
            return
        if error is None:
            self._handle_event(running, CallEnded(is_complete=True))
            return
        request_sent = error.byte_sent and error.failure is not CallFailure.UNREACHABLE
        is_closed = error.failure is CallFailure.CLOSED
        text = f"{error.failure}: {error.text}"
        self._handle_event(running, CallEnded(False, request_sent, text, is_closed))

    def _handle_event(self, running: _RunningAttempt, event: ForwardingEvent) -> None:
        request, exchange = running.request, running.request.exchange
        for effect in running.state_machine.handle(event):
            match effect:
                case ForwardHead(status, headers):
                    exchange.start(status, headers)
                    self._end_rivals(running)
                case ForwardData(data, events):
                    exchange.write(data)
                    request.last_event_id = running.state_machine.last_event_id
                    self._limit_unsent_bytes(running)
                    # Only complete events with content count as progress: a stalled upstream may
                    # still send single bytes or comments.
                    if events:
                        running.attempt.last_event_ms = self._clock.now_ms()
                        self._on_output(request, running.attempt, events)
                    self._schedule_stall_check(running)
                case AttemptResult():
                    self._release(running)
                    self._client.cancel_call(running.call_id)
                    if effect.outcome is Outcome.COMPLETED:
                        self._end_rivals(running)
                    self._on_result(request, running.attempt, effect)

    def _end_rivals(self, running: _RunningAttempt) -> None:
        """Cancel the other attempt of the request, because this one has the first output."""
        for rival in list(running.request.in_flight.values()):
            if rival is not running.attempt and rival.cancel is not None:
                rival.cancel()
                self._on_race(running.request, running.attempt, rival)

    # Stall detection

    def _schedule_stall_check(self, running: _RunningAttempt) -> None:
        if (
            running.stall_timer is not None
            or running.request.req.retry_policy is not RetryPolicy.ANY_TIME
        ):
            return
        if running.state_machine.is_ended:
            return

        limit_ms = max(self.stall_timeout_ms, running.request.route.max_silence_ms)

        def check() -> None:
            running.stall_timer = None
            if running.is_paused:
                return  # Scheduled again when reading is resumed.
            if self._clock.now_ms() - running.attempt.last_event_ms < limit_ms:
                self._schedule_stall_check(running)
                return
            running.stall_timer = self._timers.after(STALL_RECHECK_MS, check)
            self._on_stall(running.request, running.attempt)

        due_ms = running.attempt.last_event_ms + limit_ms
        running.stall_timer = self._timers.at(due_ms, check)

    # Flow control

    def _limit_unsent_bytes(self, running: _RunningAttempt) -> None:
        limit = self.max_unsent_bytes * PAUSE_FRACTION
        if not running.is_paused and running.request.exchange.unsent_bytes > limit:
            running.is_paused = True
            self.fire(http_pause(running.call_id), "http_client")

    def resume_reading(self, request: ForwardedRequest) -> None:
        """Resume reading from the upstream once most of the buffered response was sent."""
        for running in self._running.values():
            if running.request is not request or not running.is_paused:
                continue
            if request.exchange.unsent_bytes <= self.max_unsent_bytes * RESUME_FRACTION:
                running.is_paused = False
                running.attempt.last_event_ms = self._clock.now_ms()
                self._schedule_stall_check(running)
                self.fire(http_resume(running.call_id), "http_client")
