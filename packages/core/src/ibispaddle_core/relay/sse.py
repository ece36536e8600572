"""Incremental parser of server-sent events."""

from .exceptions import EventTooLargeError

MAX_EVENT_BYTES = 1_048_576
_BOM = b"\xef\xbb\xbf"


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

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events that `data` completes.

        Raises `EventTooLargeError` if an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        if not data:
            return []
        self._pending += self._with_line_feeds(data)
        if self._at_start and not self._skip_bom():
            return []
        pending = self._pending
        events: list[bytes] = []
        begin = 0
        while (end := pending.find(b"\n\n", max(begin, self._searched))) >= 0:
            if (value := _event_data(bytes(pending[begin:end]))) is not None:
                events.append(value)
            # The second line feed is kept; it acts as an empty line before the next event.
            begin = self._searched = end + 1
        del pending[:begin]
        self._searched = max(0, len(pending) - 1)
        if len(pending) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

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
