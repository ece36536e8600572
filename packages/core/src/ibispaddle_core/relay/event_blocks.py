"""Splitting of an event stream into complete events without changing any byte."""

from dataclasses import dataclass

from .exceptions import EventTooLargeError
from .sse import MAX_EVENT_BYTES


@dataclass(frozen=True)
class RawEvent:
    """The bytes of one event with its terminating empty line, and its id if it has one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    r"""Split a byte stream after each event, so that only complete events are forwarded.

    >>> blocks = EventSplitter()
    >>> blocks.feed(b"id: 7\ndata: a\n\nid: 8\nda")
    [RawEvent(data=b'id: 7\ndata: a\n\n', event_id=7)]
    >>> blocks.has_incomplete_event
    True
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that `data` completes.

        Raises `EventTooLargeError` if an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        self._pending += data
        blocks: list[RawEvent] = []
        begin = 0
        while (end := self._end(begin)) is not None:
            raw = bytes(self._pending[begin:end])
            blocks.append(RawEvent(raw, _event_id(raw)))
            begin = self._searched = end
        del self._pending[:begin]
        self._searched = max(0, len(self._pending) - 3)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return blocks

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an event is buffered whose end has not been received."""
        return bool(self._pending)

    def _end(self, begin: int) -> int | None:
        """Return the end position of the first event after `begin`, or None."""
        start = max(begin, self._searched)
        ends = [
            found + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if (found := self._pending.find(mark, start)) >= 0
        ]
        return min(ends, default=None)


def _event_id(block: bytes) -> int | None:
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
