"""Splitting of an event stream into complete events without changing any byte."""

import re
from dataclasses import dataclass

from .exceptions import EventTooLargeError, InvalidEventIdError
from .sse import MAX_EVENT_BYTES, EmptyEventLimit

# The empty line that ends an event, with the empty lines that follow it.
_END = re.compile(rb"\n\r?\n[\r\n]*")

# Event ids are 64-bit integers.
MAX_EVENT_ID_BYTES = 20


@dataclass(frozen=True)
class RawEvent:
    """The bytes of one event with its terminating empty lines, and its id if it has one.

    An event that consists of comments only, or of nothing, is empty.
    """

    data: bytes
    event_id: int | None
    is_empty: bool = False


class EventSplitter:
    r"""Split a byte stream after each event, so that only complete events are forwarded.

    The time that it takes is proportional to the number of bytes.

    >>> blocks = EventSplitter()
    >>> blocks.feed(b"id: 7\ndata: a\n\nid: 8\nda")
    [RawEvent(data=b'id: 7\ndata: a\n\n', event_id=7, is_empty=False)]
    >>> blocks.has_incomplete_event
    True
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched = 0
        self._empty_events = EmptyEventLimit()

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that `data` completes.

        Raises `EventTooLargeError` if an incomplete event exceeds `MAX_EVENT_BYTES`,
        `TooManyEmptyEventsError` after `MAX_EMPTY_EVENTS` empty events in a row, and
        `InvalidEventIdError` for an id that is no 64-bit integer.
        """
        self._pending += data
        blocks: list[RawEvent] = []
        begin = 0
        while (match := _END.search(self._pending, max(begin, self._searched))) is not None:
            end = match.end()
            event = _parse(bytes(self._pending[begin:end]))
            begin = self._searched = end
            blocks.append(event)
            self._empty_events.record(event.is_empty)
        del self._pending[:begin]
        self._searched = max(0, len(self._pending) - 2)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return blocks

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._pending)

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an event is buffered whose end has not been received."""
        return bool(self._pending)


def _parse(block: bytes) -> RawEvent:
    is_empty = True
    for line in block.strip(b"\r\n").splitlines():
        name, _, value = line.partition(b":")
        is_empty = is_empty and not name
        if name == b"id" and value.strip().isdigit():
            if len(value) > MAX_EVENT_ID_BYTES:
                raise InvalidEventIdError(f"an event id exceeds {MAX_EVENT_ID_BYTES} bytes")
            return RawEvent(block, int(value))
    return RawEvent(block, None, is_empty)
