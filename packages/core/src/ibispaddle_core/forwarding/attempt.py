"""State machine of a forwarded attempt: data for the caller, and the outcome."""

from ..relay.event_blocks import EventSplitter
from ..relay.exceptions import RelayError
from ..scheduling import Outcome
from .messages import (
    AttemptResult,
    BodyReceived,
    CallEnded,
    CompleteResponse,
    Effect,
    ForwardData,
    ForwardHead,
    ForwardingEvent,
    HeadReceived,
    ResponseHead,
)

# Limit of a response that is buffered until it is complete. Responses of services have a few kilobytes,
# and dozens of this size fit in the memory of a small instance.
MAX_BUFFERED_BODY_BYTES = 4_194_304
# An upstream that resumes a stream may repeat some events; one that repeats more is looping.
MAX_REPEATED_EVENTS = 512
STATUS_OK = 200
# The address belongs to a different upstream than the requested one.
STATUS_MISDIRECTED = 421
# Statuses with which a caller concludes that its request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class ForwardedAttempt:
    """Validate the response to one attempt and determine the attempt's outcome.

    A stream is forwarded event by event, without events that the caller has already received. Its
    head is held back until the first event, so that an attempt that fails before it can be retried.
    Any other response is forwarded only when it is complete. Events after `AttemptResult` are ignored.

    >>> attempt = ForwardedAttempt(streams=False)
    >>> attempt.handle(HeadReceived(ResponseHead(200, (), is_authentic=True)))
    []
    >>> attempt.handle(BodyReceived(b"ok"))
    []
    >>> attempt.handle(CallEnded(is_complete=True))[0].answer.body
    b'ok'
    """

    def __init__(
        self, streams: bool, is_resumed: bool = False, last_event_id: int | None = None
    ) -> None:
        self.last_event_id = last_event_id
        self.is_ended = False
        self._streams = streams
        self._head_forwarded = is_resumed
        self._head: ResponseHead | None = None
        self._splitter: EventSplitter | None = None
        self._body = bytearray()
        self._repeated_events = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the received data that has not been forwarded."""
        pending = self._splitter.buffered_bytes if self._splitter is not None else 0
        return len(self._body) + pending

    def handle(self, event: ForwardingEvent) -> list[Effect]:
        """Return the effects of an event, in order."""
        if self.is_ended:
            return []
        match event:
            case HeadReceived(head):
                return self._on_head(head)
            case BodyReceived(data):
                return self._on_body(data)
            case CallEnded():
                return self._on_end(event)

    def _finish(
        self, outcome: Outcome, text: str = "", answer: CompleteResponse | None = None
    ) -> list[Effect]:
        self.is_ended = True
        self._body, self._splitter = bytearray(), None
        address = self._head.faulty_address if self._head is not None else None
        return [AttemptResult(outcome, text, answer, address)]

    def _on_head(self, head: ResponseHead) -> list[Effect]:
        self._head = head
        if head.is_for_other_request:
            return self._finish(Outcome.FAILED, "the response belongs to another request")
        if head.not_run:
            is_wrong_upstream = head.status == STATUS_MISDIRECTED and head.faulty_address is None
            outcome = Outcome.WRONG_UPSTREAM if is_wrong_upstream else Outcome.REJECTED
            return self._finish(outcome, f"status {head.status}, request not run")
        if self._streams and self._is_stream(head.status):
            if not head.is_authentic:
                return self._finish(Outcome.FAILED, f"status {head.status} without proof of origin")
            self._splitter = EventSplitter()
        return []

    def _is_stream(self, status: int) -> bool:
        """Return whether the response is a stream; a continuation has the status of the beginning."""
        return status == STATUS_OK if self._head_forwarded else 200 <= status < 300

    def _on_body(self, data: bytes) -> list[Effect]:
        if self._splitter is None:
            self._body += data
            if len(self._body) > MAX_BUFFERED_BODY_BYTES:
                return self._finish(Outcome.FAILED, "the response body exceeds the buffer limit")
            return []
        try:
            events = self._splitter.feed(data)
        except RelayError as exc:
            return self._finish(Outcome.FAILED, str(exc))
        parts = []
        count = 0
        for event in events:
            if event.event_id is not None:
                if self.last_event_id is not None and event.event_id <= self.last_event_id:
                    self._repeated_events += 1
                    continue
                self.last_event_id = event.event_id
            parts.append(event.data)
            count += not event.is_empty
        if self._repeated_events > MAX_REPEATED_EVENTS:
            return self._finish(Outcome.FAILED, "the stream repeats too many events")
        if not parts:
            return []
        return [*self._forward_head(), ForwardData(b"".join(parts), count)]

    def _forward_head(self) -> list[Effect]:
        if self._head_forwarded or self._head is None:
            return []
        self._head_forwarded = True
        return [ForwardHead(self._head.status, self._head.headers)]

    def _on_end(self, event: CallEnded) -> list[Effect]:
        if not event.is_complete:
            outcome = Outcome.FAILED if event.byte_sent else Outcome.NOT_SENT
            self.is_ended = True
            closed = event.connection_closed
            return [AttemptResult(outcome, event.text, connection_closed=closed)]
        head = self._head
        if head is None:
            return self._finish(Outcome.FAILED, "the call ended without a response head")
        if self._splitter is not None:
            if self._splitter.has_incomplete_event:
                return self._finish(Outcome.FAILED, "the stream ended with an incomplete event")
            return [*self._forward_head(), *self._finish(Outcome.COMPLETED)]
        if self._head_forwarded:
            # The caller has received the head of the stream, so this response is not for it.
            text = f"status {head.status} in place of the rest of the stream"
            return self._finish(Outcome.ERROR, text)
        answer = CompleteResponse(head.status, head.headers, bytes(self._body))
        if head.is_final:
            return self._finish(Outcome.COMPLETED, answer=answer)
        if 200 <= head.status < 300 and not head.is_authentic:
            return self._finish(Outcome.FAILED, f"status {head.status} without proof of origin")
        if head.status in NOT_RUN_STATUSES:
            return self._finish(
                Outcome.FAILED, f"status {head.status} without proof that it did not run"
            )
        if head.status >= 500:
            return self._finish(Outcome.ERROR, f"status {head.status}", answer)
        return self._finish(Outcome.COMPLETED, answer=answer)
