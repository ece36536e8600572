"""Attempts of forwarded requests: HTTP calls, relay, flow control and silence."""

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
)
from ibispaddle_core.scheduling import Outcome, RetryPolicy

from ..events import CallFailure, Headers, HttpCall, HttpCallError, http_pause, http_resume
from ..http_client import HttpClient
from ..timers import TimerHandle, TimerQueue
from .codec import ForwardingCodec, UpstreamCall
from .requests import ForwardedRequest

# Upstreams answer a connection request within a few milliseconds. A packet that is lost is sent
# again after a second, when another upstream has long been reached.
CONNECT_TIMEOUT_MS = 250
# The forwarder ends a request at its deadline; the HTTP call only follows.
DEADLINE_MARGIN_MS = 250
# Part of the unsent bytes a caller may have from which its upstream is not read any further.
PAUSE_PART = 0.5
RESUME_PART = 0.25
_NUMBERS = itertools.count(1)


@dataclass(eq=False)
class _Running:
    request: ForwardedRequest
    call_id: str
    upstream_id: str
    machine: ForwardedAttempt
    sent_ms: int
    heard_ms: int
    is_paused: bool = False
    stall_timer: TimerHandle | None = None


class ForwardedAttempts(BaseComponent):
    """Carry out attempts and report each end once.

    `on_output` is told of events passed on, `on_over` of the end of an attempt.
    """

    channel = "forwarded_attempts"

    def __init__(
        self,
        client: HttpClient,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        on_output: Callable[[ForwardedRequest, int], None],
        on_over: Callable[[ForwardedRequest, str, AttemptResult], None],
    ) -> None:
        super().__init__()
        self._client, self._codec = client, codec
        self._clock, self._timers = clock, timers
        self._on_output, self._on_over = on_output, on_over
        self._running: dict[str, _Running] = {}
        self.max_unsent_bytes = 262_144
        self.stall_timeout_ms = 5_000

    def start(self, request: ForwardedRequest, address: str, call: UpstreamCall) -> None:
        """Send the request to an upstream."""
        now_ms = self._clock.now_ms()
        call_id = f"forward-{next(_NUMBERS)}"
        machine = ForwardedAttempt(request.route.streams, request.is_begun, request.last_event_id)
        running = _Running(request, call_id, call.upstream_id, machine, now_ms, now_ms)
        self._running[call_id] = running
        request.cancel_attempt = lambda: self._cancel(running)
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

    def _cancel(self, running: _Running) -> None:
        """End the attempt without a report of its own."""
        self._release(running)
        self._client.cancel_call(running.call_id)

    def _release(self, running: _Running) -> None:
        self._running.pop(running.call_id, None)
        running.machine.is_ended = True
        running.request.cancel_attempt = None
        if running.stall_timer is not None:
            running.stall_timer.cancel()

    # Reports of the HTTP client

    def call_sent(self, call_id: str) -> None:
        """Take the news that the first byte was written."""

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Take the head of a response."""
        running = self._running.get(call_id)
        if running is not None:
            attempt_id = running.request.caller.attempt_id
            self._feed(running, HeadReceived(self._codec.read_head(status, headers, attempt_id)))

    def call_data(self, call_id: str, data: bytes) -> None:
        """Take a part of a response."""
        running = self._running.get(call_id)
        if running is not None:
            self._feed(running, BodyReceived(data))

    def call_ended(self, call_id: str, error: HttpCallError | None) -> None:
        """Take the end of a call."""
        running = self._running.get(call_id)
        if running is None:
            return
        if error is None:
            self._feed(running, CallEnded(is_complete=True))
            return
        sent = error.byte_sent and error.failure is not CallFailure.UNREACHABLE
        self._feed(running, CallEnded(False, sent, f"{error.failure}: {error.text}"))

    def _feed(self, running: _Running, event: ForwardingEvent) -> None:
        request, exchange = running.request, running.request.exchange
        for effect in running.machine.handle(event):
            match effect:
                case ForwardHead(status, headers):
                    exchange.start(status, headers)
                case ForwardData(data, events):
                    # Only whole events count: a stalled upstream may send a byte now and then.
                    running.heard_ms = self._clock.now_ms()
                    exchange.write(data)
                    request.last_event_id = running.machine.last_event_id
                    self._limit_unsent(running)
                    self._on_output(request, events)
                    self._watch_silence(running)
                case AttemptResult():
                    self._release(running)
                    self._client.cancel_call(running.call_id)
                    self._on_over(request, running.upstream_id, effect)

    # Silence within a stream

    def _watch_silence(self, running: _Running) -> None:
        if (
            running.stall_timer is not None
            or running.request.req.retry_policy is not RetryPolicy.ANY_TIME
        ):
            return
        if running.machine.is_ended:
            return

        limit_ms = max(self.stall_timeout_ms, running.request.route.max_silence_ms)

        def check() -> None:
            running.stall_timer = None
            silent_ms = self._clock.now_ms() - running.heard_ms
            if running.is_paused or silent_ms < limit_ms:
                self._watch_silence(running)
                return
            self._cancel(running)
            over = AttemptResult(Outcome.STALLED, f"no event for {silent_ms} ms")
            self._on_over(running.request, running.upstream_id, over)

        due_ms = running.heard_ms + limit_ms
        running.stall_timer = self._timers.at(due_ms, check)

    # Flow control

    def _limit_unsent(self, running: _Running) -> None:
        limit = self.max_unsent_bytes * PAUSE_PART
        if not running.is_paused and running.request.exchange.unsent_bytes > limit:
            running.is_paused = True
            self.fire(http_pause(running.call_id), "http_client")

    def caller_has_read(self, request: ForwardedRequest) -> None:
        """Continue to read from the upstream when the caller has taken most of the answer."""
        for running in self._running.values():
            if running.request is not request or not running.is_paused:
                continue
            if request.exchange.unsent_bytes <= self.max_unsent_bytes * RESUME_PART:
                running.is_paused = False
                running.heard_ms = self._clock.now_ms()
                self.fire(http_resume(running.call_id), "http_client")
