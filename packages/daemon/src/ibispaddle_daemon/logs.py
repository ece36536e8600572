"""Numbered log events, written as JSON lines.

Events are written through absl.logging or, after `write_events_to`, directly to a stream. The
second way does not import absl; it is meant for instances of which many are started at once.
"""

import os
import time
from typing import Any

import msgspec
from ibispaddle_core import logevents
from ibispaddle_core.logevents import LogEvent

# The text of an exception may contain the input that failed, such as a request body.
MAX_EXCEPTION_CHARACTERS = 500

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


_event_writer: JsonEventWriter | None = None


def write_events_to(instance_id: str, stream: NonBlockingStream) -> None:
    """Write all further events of this process to a stream, without absl."""
    global _event_writer
    _event_writer = JsonEventWriter(instance_id, stream)


def log_event(event: LogEvent, **fields: Any) -> None:
    """Write a numbered event with its fields."""
    if _event_writer is not None:
        _event_writer.write(event, fields)
        return
    from .absl_logs import log_record

    log_record(event, fields)


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


def log_unreadable_record(stream: str, offset: int, reason: Exception) -> None:
    """Log that a record of the platform log cannot be decoded and is ignored."""
    log_event(logevents.RECORD_UNREADABLE, stream=stream, offset=offset, reason=str(reason))


def log_exception(event: LogEvent, exc: BaseException, trace: str, **fields: Any) -> None:
    """Log an unexpected exception with its stack trace."""
    text = str(exc)[:MAX_EXCEPTION_CHARACTERS]
    log_event(event, exception=type(exc).__name__, reason=text, trace=trace, **fields)


def log_handler_failure(exc: BaseException, trace: list[str], fields: dict[str, Any]) -> None:
    """Log an exception of an event handler, as circuits reports it in an `exception` event."""
    # There is no handler if a step of a generator failed.
    name = getattr(fields.get("handler"), "__qualname__", "")
    event = getattr(fields.get("fevent"), "name", "")
    log_exception(logevents.HANDLER_FAILED, exc, "".join(trace), handler=name, daemon_event=event)
