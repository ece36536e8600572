"""Attempts of forwarded requests: HTTP calls, streaming, flow control and stall detection."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from circuits import BaseComponent
from ibispaddle_core import logevents
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
from ibispaddle_core.forwarding.memory_budget import MAX_INCOMPLETE_RESPONSES_BYTES, Pauses
from ibispaddle_core.scheduling import Outcome, RetryPolicy

from ..buffer_limit import BufferLimit
from ..contacts import MAX_LOOP_DELAY_MS, UncheckedContacts, UpstreamContacts
from ..delegated_call import relayed_headers
from ..events import CallFailure, Headers, HttpCall, HttpCallError
from ..http_client import HttpClient
from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .codec import ForwardingCodec
from .requests import AttemptState, ForwardedRequest

# Upstreams accept a connection within a few milliseconds. TCP retransmits a lost SYN only after a
# second, so it is faster to try another upstream.
CONNECT_TIMEOUT_MS = 250
# The forwarder enforces the request's deadline. The HTTP call's own deadline is later, as a backstop.
DEADLINE_MARGIN_MS = 250
# Upstreams read a request within milliseconds; one that reads nothing for so long can't be waiting for memory.
WRITE_TIMEOUT_MS = 3_000
# Interval at which a stalled stream that no other upstream can resume is checked again.
STALL_RECHECK_MS = 500
_NUMBERS = itertools.count(1)

# Parses the status and headers of a response; the last argument is the caller's id of the request.
HeadReader = Callable[[int, Headers, str], ResponseHead]


@dataclass(eq=False)
class _RunningAttempt:
    request: ForwardedRequest
    attempt: AttemptState
    call_id: str
    state_machine: ForwardedAttempt
    started_ms: int
    is_paused: bool = False
    pauses: Pauses = Pauses()
    stall_timer: TimerHandle | None = None
    read_head: HeadReader | None = None


class ForwardedAttempts(BaseComponent):
    """Run attempts and report the end of each exactly once.

    If two attempts of a request are in flight, the first output of either ends the other at once, so that
    outputs are never joined. `on_race` is called with the winner and the loser then. `on_head` is called with the head of each response before it is processed, `on_output` with the
    number of events sent to the caller since the previous call, `on_stall` while a stream that may be
    resumed has stalled, and `on_result` with the result of an attempt. `max_buffered_bytes` is the size of
    what all attempts together hold until a response or an event is complete.
    """

    channel = "forwarded_attempts"

    def __init__(
        self,
        client: HttpClient,
        codec: ForwardingCodec,
        clock: Clock,
        timers: TimerQueue,
        on_head: Callable[[AttemptState, ResponseHead], None],
        on_race: Callable[[ForwardedRequest, AttemptState, AttemptState], None],
        on_output: Callable[[ForwardedRequest, AttemptState, int], None],
        on_stall: Callable[[ForwardedRequest, AttemptState], None],
        on_result: Callable[[ForwardedRequest, AttemptState, AttemptResult], None],
        max_buffered_bytes: int = MAX_INCOMPLETE_RESPONSES_BYTES,
        contacts: UpstreamContacts | None = None,
    ) -> None:
        super().__init__()
        self._client, self._codec = client, codec
        self._clock, self._timers = clock, timers
        self._on_head, self._on_race, self._on_output = on_head, on_race, on_output
        self._on_stall, self._on_result = on_stall, on_result
        self._running: dict[str, _RunningAttempt] = {}
        self._buffered = BufferLimit(max_buffered_bytes)
        self._contacts = contacts or UncheckedContacts()
        self.max_unsent_bytes = 262_144
        self.stall_timeout_ms = 5_000

    def start(
        self,
        request: ForwardedRequest,
        attempt: AttemptState,
        address: str,
        headers: Headers,
        read_head: HeadReader | None = None,
    ) -> None:
        """Start an attempt at an upstream; `read_head` replaces the parser of its response's head."""
        call_id = f"forward-{next(_NUMBERS)}"
        state_machine = ForwardedAttempt(
            request.route.streams, request.is_response_started, request.last_event_id
        )
        attempt.last_event_ms = now_ms = self._clock.now_ms()
        running = _RunningAttempt(
            request, attempt, call_id, state_machine, now_ms, read_head=read_head
        )
        self._running[call_id] = running
        attempt.cancel = lambda: self._cancel(running)
        request.in_flight[attempt.upstream_id] = attempt
        exchange = request.exchange
        self._client.start_call(
            HttpCall(
                call_id,
                exchange.method,
                f"http://{address}{exchange.target}",
                headers,
                exchange.body,
                request.req.deadline_ms + DEADLINE_MARGIN_MS,
                self.channel,
                stream=True,
                sink=self,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                may_reuse_connection=False,
                write_timeout_ms=WRITE_TIMEOUT_MS,
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
        if running.attempt.on_released is not None:
            running.attempt.on_released()
        running.request.in_flight.pop(running.attempt.upstream_id, None)
        running.request.exchange.is_upstream_waiting = False
        if running.stall_timer is not None:
            running.stall_timer.cancel()

    # Callbacks of the HTTP client

    def call_sent(self, call_id: str) -> None:
        """Ignore that the first byte of the request was written."""

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Handle the head of a response."""
        running = self._running.get(call_id)
        if running is None:
            return
        if not running.attempt.is_hop:
            self._contacts.record_contact(running.attempt.upstream_id, running.started_ms)
        read_head = running.read_head or self._codec.read_head
        head = read_head(status, headers, running.request.caller.attempt_id)
        if running.request.exchange.delegated_call is not None:
            kept = relayed_headers(head.headers, running.attempt.upstream_id)
            head = replace(head, headers=kept)
        self._on_head(running.attempt, head)
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
        self._record_failure(running, error)
        request_sent = error.byte_sent and error.failure is not CallFailure.UNREACHABLE
        is_closed = error.failure is CallFailure.CLOSED
        text = f"{error.failure}: {error.text}"
        self._handle_event(running, CallEnded(False, request_sent, text, is_closed))

    def _record_failure(self, running: _RunningAttempt, error: HttpCallError) -> None:
        """Record whether the failure of a call shows that nobody was found at the upstream."""
        upstream_id, started_ms = running.attempt.upstream_id, running.started_ms
        if running.attempt.is_hop:
            return
        if error.failure is CallFailure.CLOSED:
            self._contacts.record_unreachable(upstream_id, error.text)
        elif error.failure is CallFailure.UNREACHABLE:
            limit_ms = CONNECT_TIMEOUT_MS + MAX_LOOP_DELAY_MS
            if error.is_refused or self._clock.now_ms() - started_ms <= limit_ms:
                self._contacts.record_unreachable(upstream_id, error.text, started_ms)
            else:
                self._contacts.seek_contact()

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
                    result = self._keep_answer(request, self._without_blame(running, effect))
                    if result.outcome is Outcome.COMPLETED:
                        self._end_rivals(running)
                    self._on_result(request, running.attempt, result)

    def _end_rivals(self, running: _RunningAttempt) -> None:
        """Cancel the other attempt of the request, because this one has the first output."""
        for rival in list(running.request.in_flight.values()):
            if rival is not running.attempt and rival.cancel is not None:
                rival.cancel()
                self._on_race(running.request, running.attempt, rival)

    def _without_blame(self, running: _RunningAttempt, result: AttemptResult) -> AttemptResult:
        """Return the result of an attempt; a cut because of a pause is no failure of the upstream."""
        now_ms = self._clock.now_ms()
        if result.outcome is not Outcome.FAILED or not running.pauses.may_have_caused_cut(now_ms):
            return result
        log_event(
            logevents.RESPONSE_CUT_WHILE_PAUSED,
            request=running.request.caller.attempt_id,
            id=running.request.request_id,
            upstream=running.attempt.upstream_id,
            reason=result.text,
            events=running.request.event_count,
        )
        return replace(result, outcome=Outcome.CANCELLED, connection_closed=False)

    def _keep_answer(self, request: ForwardedRequest, result: AttemptResult) -> AttemptResult:
        """Count the response of a failed attempt, which is kept for the caller, as buffered data."""
        if result.answer is None or result.outcome is Outcome.COMPLETED:
            return result
        if self._buffered.update(request.request_id, len(result.answer.body)):
            return result
        self._buffered.release(request.request_id)
        return replace(result, answer=None)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the responses and events that are not complete."""
        return self._buffered.total_bytes

    def forget(self, request: ForwardedRequest) -> None:
        """Remove what is kept for an ended request."""
        self._buffered.release(request.request_id)

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
        exchange = running.request.exchange
        if not running.is_paused and exchange.must_pause(self.max_unsent_bytes):
            running.is_paused = exchange.is_upstream_waiting = True
            running.pauses = running.pauses.paused(self._clock.now_ms())
            self._client.pause_call(running.call_id)

    def resume_reading(self, request: ForwardedRequest) -> None:
        """Resume reading from the upstream once most of the buffered response was sent."""
        exchange = request.exchange
        if not exchange.is_upstream_waiting or not exchange.may_resume(self.max_unsent_bytes):
            return
        exchange.is_upstream_waiting = False
        now_ms = self._clock.now_ms()
        for running in self._running.values():
            if running.request is request and running.is_paused:
                running.is_paused = False
                running.pauses = running.pauses.resumed(now_ms)
                running.attempt.last_event_ms = now_ms
                self._schedule_stall_check(running)
                self._client.resume_call(running.call_id)
