"""One attempt at an upstream: what may be passed on, and how the attempt ended."""

from ..relay.event_blocks import EventSplitter
from ..relay.exceptions import EventTooLargeError
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

# Bounds what is held of an answer that is passed on only when it is complete. Answers of services have a
# few kilobytes, and dozens of this size fit in the memory of a small instance.
MAX_BUFFERED_BODY_BYTES = 4_194_304
# An upstream that resumes a stream may repeat some events. One that repeats more sends without end.
MAX_REPEATED_EVENTS = 512
# Status of an upstream that is not the one that was asked for.
STATUS_MISDIRECTED = 421
# These statuses promise the caller that its request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class ForwardedAttempt:
    """Judge the response to one attempt.

    A stream is passed on event by event, without events that the caller has already got; its head
    waits for the first event, so that an attempt that fails before it can be repeated. Any other
    answer is passed on only when it is complete. After `AttemptResult` further events do nothing.

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
        self._head_passed = is_resumed
        self._head: ResponseHead | None = None
        self._blocks: EventSplitter | None = None
        self._body = bytearray()
        self._repeated = 0

    def handle(self, event: ForwardingEvent) -> list[Effect]:
        """Take an event and return what follows from it, in order."""
        if self.is_ended:
            return []
        match event:
            case HeadReceived(head):
                return self._take_head(head)
            case BodyReceived(data):
                return self._take_body(data)
            case CallEnded():
                return self._take_end(event)

    def _over(
        self, outcome: Outcome, text: str = "", answer: CompleteResponse | None = None
    ) -> list[Effect]:
        self.is_ended = True
        culprit = self._head.faulty_address if self._head is not None else None
        return [AttemptResult(outcome, text, answer, culprit)]

    def _take_head(self, head: ResponseHead) -> list[Effect]:
        self._head = head
        if head.is_for_other_request:
            return self._over(Outcome.FAILED, "the answer belongs to another request")
        if head.not_run:
            is_absent = head.status == STATUS_MISDIRECTED and head.faulty_address is None
            outcome = Outcome.ABSENT if is_absent else Outcome.REJECTED
            return self._over(outcome, f"status {head.status}, not run")
        if self._streams and 200 <= head.status < 300:
            if not head.is_authentic:
                return self._over(Outcome.FAILED, f"status {head.status} without a receipt")
            self._blocks = EventSplitter()
        return []

    def _take_body(self, data: bytes) -> list[Effect]:
        if self._blocks is None:
            self._body += data
            if len(self._body) > MAX_BUFFERED_BODY_BYTES:
                return self._over(Outcome.FAILED, "the answer is too large")
            return []
        try:
            blocks = self._blocks.feed(data)
        except EventTooLargeError as exc:
            return self._over(Outcome.FAILED, str(exc))
        parts = []
        for block in blocks:
            if block.event_id is not None:
                if self.last_event_id is not None and block.event_id <= self.last_event_id:
                    self._repeated += 1
                    continue
                self.last_event_id = block.event_id
            parts.append(block.data)
        if self._repeated > MAX_REPEATED_EVENTS:
            return self._over(Outcome.FAILED, "the stream repeats itself")
        if not parts:
            return []
        return [*self._pass_head(), ForwardData(b"".join(parts), len(parts))]

    def _pass_head(self) -> list[Effect]:
        if self._head_passed or self._head is None:
            return []
        self._head_passed = True
        return [ForwardHead(self._head.status, self._head.headers)]

    def _take_end(self, event: CallEnded) -> list[Effect]:
        if not event.is_complete:
            outcome = Outcome.FAILED if event.byte_sent else Outcome.NOT_SENT
            return self._over(outcome, event.text)
        head = self._head
        if head is None:
            return self._over(Outcome.FAILED, "no answer")
        if self._blocks is not None:
            if self._blocks.has_incomplete_event:
                return self._over(Outcome.FAILED, "the stream ended within an event")
            return [*self._pass_head(), *self._over(Outcome.COMPLETED)]
        if 200 <= head.status < 300 and not head.is_authentic:
            return self._over(Outcome.FAILED, f"status {head.status} without a receipt")
        answer = CompleteResponse(head.status, head.headers, bytes(self._body))
        if head.status in NOT_RUN_STATUSES:
            return self._over(Outcome.FAILED, f"status {head.status} without proof")
        if head.status >= 500:
            return self._over(Outcome.ERROR, f"status {head.status}", answer)
        return self._over(Outcome.COMPLETED, answer=answer)
