"""State machine of one attempt at an upstream."""

from collections.abc import Callable

from ..decoding import DECODE_ERRORS
from ..runstate import RunState
from ..scheduling.messages import Outcome
from .chunks import (
    CANCELLED,
    DONE,
    Chunk,
    Usage,
    decode_chunk,
    decode_completion,
    is_invalid_request,
    is_refusal,
)
from .exceptions import RelayError
from .messages import (
    AttemptEvent,
    AttemptFinished,
    CancelRequested,
    DataReceived,
    Effect,
    FinalAnswer,
    FirstByteSent,
    HeadReceived,
    ReadingPaused,
    ReadingResumed,
    RelayData,
    ResponseEnded,
    TimePassed,
)
from .sse import SseParser

MAX_BODY_BYTES = 33_554_432
MAX_ERROR_BYTES = 65_536


class Attempt:
    """Track one attempt from its first byte to its outcome.

    Only events of the request's own completion are relayed, in order and without gaps:
    `X-Request-Id` must match, all chunks must have the same completion id, and `token_index` must
    continue at `next_index`. Events after `AttemptFinished` are ignored. All times are monotonic
    milliseconds.
    """

    def __init__(
        self,
        request_id: str,
        stream: bool,
        *,
        now_ms: int,
        first_token_ms: int,
        stall_ms: int,
        next_index: int = 0,
        completion_id: str = "",
        boot_id: str = "",
    ) -> None:
        self.request_id = request_id
        self.stream = stream
        self.next_index = next_index
        self.completion_id = completion_id
        self.boot_id = boot_id
        self.usage: Usage | None = None
        self.byte_sent = False
        self.finished: AttemptFinished | None = None
        self.dropped_events = 0
        self._is_resumed = next_index > 0
        self._first_token_ms = first_token_ms
        self._stall_ms = stall_ms
        self._last_progress_ms = now_ms
        self._tokens = 0
        self._paused = False
        self._status = 0
        self._finish_seen = False
        self._parser = SseParser()
        self._body = bytearray()

    def handle(self, event: AttemptEvent, now_ms: int) -> list[Effect]:
        """Return the effects of an event."""
        if self.finished is not None:
            return []
        match event:
            case DataReceived(data):
                return self._on_data(data, now_ms)
            case FirstByteSent():
                self.byte_sent = True
            case HeadReceived():
                return self._on_head(event, now_ms)
            case ResponseEnded():
                return self._on_end(event)
            case ReadingPaused():
                self._paused = True
            case ReadingResumed():
                self._paused = False
                self._last_progress_ms = now_ms
            case CancelRequested():
                return self._finish(Outcome.CANCELLED, "the attempt was cancelled")
            case TimePassed():
                deadline_ms = self.stall_deadline_ms
                if deadline_ms is not None and now_ms >= deadline_ms:
                    idle_ms = now_ms - self._last_progress_ms
                    return self._finish(Outcome.STALLED, f"no token for {idle_ms} ms")
        return []

    @property
    def stall_deadline_ms(self) -> int | None:
        """Return when the upstream counts as stalled, or None if stalls are not detected.

        A response that is not streamed sends no tokens until it is complete, and a paused response is
        not read. Both are ended by the request's deadline instead.
        """
        if self.finished is not None or self._paused or not self.stream:
            return None
        limit_ms = self._stall_ms if self._tokens else self._first_token_ms
        return self._last_progress_ms + limit_ms

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the received data that has not been relayed."""
        return len(self._body) + self._parser.buffered_bytes

    @property
    def run_state(self) -> RunState:
        """Return whether the request may have run, as far as known."""
        return RunState.UNKNOWN if self.byte_sent else RunState.NOT_RUN

    def _on_head(self, head: HeadReceived, now_ms: int) -> list[Effect]:
        self.byte_sent = True
        self._status = head.status
        if head.status != 200:
            return []
        headers = {name.lower(): value for name, value in head.headers}
        if headers.get("x-request-id") != self.request_id:
            return self._fail("the response belongs to another request")
        boot_id = headers.get("x-engine-boot", "")
        if self.boot_id and boot_id != self.boot_id:
            return self._fail("the engine was restarted")
        self.boot_id = boot_id
        if self.stream and "text/event-stream" not in headers.get("content-type", ""):
            return self._fail("the response is not an event stream")
        return []

    def _on_data(self, data: bytes, now_ms: int) -> list[Effect]:
        if self._status != 200 or not self.stream:
            self._body += data
            limit = MAX_BODY_BYTES if self._status == 200 else MAX_ERROR_BYTES
            if len(self._body) > limit:
                return self._fail(f"the response body exceeds {limit} bytes")
            return []
        try:
            events = self._parser.feed(data)
        except RelayError as exc:
            return self._fail(str(exc))
        relayed: list[bytes] = []
        tokens_before = self._tokens
        effects: list[Effect] = []
        for payload in events:
            final_effects = self._on_event(payload, relayed.append)
            if final_effects is not None:
                effects = final_effects
                break
        if relayed:
            if self._tokens > tokens_before:
                self._last_progress_ms = now_ms
            effects.insert(0, RelayData(b"".join(relayed), self._tokens - tokens_before))
        return effects

    def _on_event(self, payload: bytes, relay: Callable[[bytes], None]) -> list[Effect] | None:
        """Validate and relay one event; return effects if it ends the attempt."""
        if payload == DONE:
            if not self._finish_seen:
                return self._fail("the end marker arrived before a finish reason")
            relay(b"data: [DONE]\n\n")
            return self._finish(Outcome.COMPLETED, "", FinalAnswer.STREAM)
        try:
            chunk = decode_chunk(payload)
        except DECODE_ERRORS as exc:
            return self._fail(f"an event is not a valid completion chunk: {exc}")
        if self.completion_id and chunk.id != self.completion_id:
            self.dropped_events += 1
            return None
        if chunk.choices:
            accepted = self._accept_choice(chunk)
            if isinstance(accepted, list):
                return accepted
            if not accepted:
                self.dropped_events += 1
                return None
        self.completion_id = chunk.id
        self.usage = chunk.usage or self.usage
        relay(b"data: " + payload.replace(b"\n", b"\ndata: ") + b"\n\n")
        return None

    def _accept_choice(self, chunk: Chunk) -> bool | list[Effect]:
        """Return whether the chunk continues the answer, or the effects of an invalid chunk."""
        choice = chunk.choices[0]
        if choice.finish_reason == CANCELLED:
            return self._fail("the engine cancelled the request")
        if len(chunk.choices) > 1 or (choice.token_index is None and choice.has_content):
            return self._fail("a chunk does not have exactly one choice with a token index")
        if choice.token_index is not None:
            if choice.token_index < self.next_index or self._finish_seen:
                return False
            if choice.token_index > self.next_index:
                return self._fail(f"token {self.next_index} is missing")
            self.next_index += 1
            self._tokens += 1
        self._finish_seen = self._finish_seen or choice.finish_reason is not None
        return True

    def _on_end(self, end: ResponseEnded) -> list[Effect]:
        self.byte_sent = self.byte_sent or end.byte_sent
        if not end.complete:
            if not self.byte_sent:
                return self._finish(Outcome.NOT_SENT, end.text)
            outcome = Outcome.STALLED if end.timed_out else Outcome.FAILED
            return self._finish(outcome, end.text)
        body = bytes(self._body)
        if self._status != 200:
            return self._on_error_response(body)
        if self.stream:
            return self._fail("the stream ended before its end marker")
        try:
            completion = decode_completion(body)
        except DECODE_ERRORS as exc:
            return self._fail(f"the response is not a valid completion: {exc}")
        if not completion.choices or completion.choices[0].finish_reason in (None, CANCELLED):
            return self._fail("the completion is not finished")
        self.usage = completion.usage
        return self._finish(Outcome.COMPLETED, "", FinalAnswer.BODY, 200, body)

    def _on_error_response(self, body: bytes) -> list[Effect]:
        status = self._status
        text = f"the upstream responded with status {status}"
        if self._is_resumed or not is_refusal(status, body):
            return self._fail(text)
        answer = FinalAnswer.BODY if is_invalid_request(status) else FinalAnswer.NONE
        return self._finish(Outcome.REJECTED, text, answer, status, body)

    def _fail(self, text: str) -> list[Effect]:
        return self._finish(Outcome.FAILED, text)

    def _finish(
        self,
        outcome: Outcome,
        text: str,
        answer: FinalAnswer = FinalAnswer.NONE,
        status: int = 0,
        body: bytes = b"",
    ) -> list[Effect]:
        is_proved_not_run = outcome is Outcome.REJECTED
        run_state = RunState.NOT_RUN if is_proved_not_run else self.run_state
        self.finished = AttemptFinished(outcome, run_state, answer, status, body, text)
        self._body.clear()
        return [self.finished]
