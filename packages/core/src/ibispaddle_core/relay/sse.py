"""Incremental parser of server-sent events."""

import re

from .exceptions import EventTooLargeError, TooManyEmptyEventsError

MAX_EVENT_BYTES = 1_048_576
# Upstreams send single comments to keep a connection open. One that sends more than this without an
# event in between does not answer.
MAX_EMPTY_EVENTS = 4_096
_BOM = b"\xef\xbb\xbf"
# The empty line that ends an event, with the empty lines that follow it.
_END = re.compile(rb"\n\n+")


class EmptyEventLimit:
    """Count the empty events of a stream since the last one that was not empty."""

    def __init__(self) -> None:
        self._count = 0

    def record(self, is_empty: bool) -> None:
        """Count an event; raise `TooManyEmptyEventsError` after `MAX_EMPTY_EVENTS` in a row."""
        self._count = self._count + 1 if is_empty else 0
        if self._count > MAX_EMPTY_EVENTS:
            raise TooManyEmptyEventsError(f"more than {MAX_EMPTY_EVENTS} empty events in a row")


class SseParser:
    """Parse a byte stream into the data of its events.

    Lines may end in LF, CRLF or CR. The events do not depend on how the stream is split into calls,
    and an event is returned as soon as its last byte is received. Memory use is bounded by
    `MAX_EVENT_BYTES` plus the size of one call's data.

    >>> parser = SseParser()
    >>> parser.feed(b"data: a\\n\\nda"), parser.feed(b"ta: b\\r\\n\\r\\n")
    ([b'a'], [b'b'])
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched = 0
        self._after_cr = False
        self._at_start = True
        self._empty_events = EmptyEventLimit()  # Those without data.

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events that `data` completes.

        Raises `EventTooLargeError` if an incomplete event exceeds `MAX_EVENT_BYTES`, and
        `TooManyEmptyEventsError` after `MAX_EMPTY_EVENTS` events without data in a row.
        """
        if not data:
            return []
        self._pending += self._with_line_feeds(data)
        if self._at_start and not self._skip_bom():
            return []
        pending = self._pending
        events: list[bytes] = []
        begin = 0
        while (match := _END.search(pending, max(begin, self._searched))) is not None:
            value = _event_data(bytes(pending[begin : match.start()]))
            if value is not None:
                events.append(value)
            self._empty_events.record(value is None)
            # The last line feed is kept; it acts as an empty line before the next event.
            begin = self._searched = match.end() - 1
        del pending[:begin]
        self._searched = max(0, len(pending) - 1)
        if len(pending) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._pending)

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an event is buffered whose end has not been received."""
        return bool(self._pending.strip(b"\n"))

    def _with_line_feeds(self, data: bytes) -> bytes:
        if self._after_cr and data.startswith(b"\n"):
            data = data[1:]
            self._after_cr = False
            if not data:
                return data
        if b"\r" not in data:
            self._after_cr = False
            return data
        self._after_cr = data.endswith(b"\r")
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def _skip_bom(self) -> bool:
        """Remove a byte order mark; return false if more bytes are needed to detect it."""
        head = bytes(self._pending[:3])
        if len(head) < 3 and _BOM.startswith(head):
            return False
        if head == _BOM:
            del self._pending[:3]
        self._at_start = False
        return True


def _event_data(block: bytes) -> bytes | None:
    """Return the joined data lines of an event, or None if it has none."""
    values = []
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if name == b"data":
            values.append(value[1:] if value[:1] == b" " else value)
    return b"\n".join(values) if values else None
