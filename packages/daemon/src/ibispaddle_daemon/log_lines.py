"""Log lines in JSON, and a stream that never blocks the process."""

import os
import time
from typing import Any

import msgspec
from ibispaddle_core.logevents import LogEvent

# Size of the buffer for a slow reader of the log. Lines that do not fit are dropped and counted.
MAX_PENDING_BYTES = 262_144


class NonBlockingStream:
    """Write lines to a file descriptor without blocking."""

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._pending = bytearray()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        data = text.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += data

    def close(self) -> None:
        """Flush the buffer; the file descriptor stays open."""
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        try:
            while self._pending:
                del self._pending[: os.write(self._fd, self._pending)]
        except BlockingIOError:
            return  # The pipe is full; the rest stays in the buffer.
        except OSError:
            # The reader is gone, so the failure can only be counted.
            self.dropped += 1
            self._pending.clear()


class JsonEventWriter:
    """Write events to a stream, one JSON object per line."""

    def __init__(self, instance_id: str, stream: NonBlockingStream) -> None:
        self._instance_id, self._stream = instance_id, stream

    def write(self, event: LogEvent, fields: dict[str, Any]) -> None:
        """Write one event."""
        line = build_log_line(self._instance_id, event.level, time.time(), event, fields)
        self._stream.write(encode_log_line(line) + "\n")
        self._stream.flush()


def build_log_line(
    instance_id: str, level: str, at_s: float, event: LogEvent, fields: dict[str, Any]
) -> dict[str, Any]:
    """Return the keys and values of an event's log line."""
    return {
        "time": round(at_s, 3),
        "level": level,
        "instance": instance_id,
        "number": event.number,
        "event": event.name,
        "text": event.text,
        **fields,
    }


def encode_log_line(line: dict[str, Any]) -> str:
    """Return a log line as JSON; values of unsupported types are converted to strings."""
    return msgspec.json.encode(line, enc_hook=str).decode()
