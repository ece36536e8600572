"""Numbered events as JSON lines.

They go through absl.logging, or with `write_events_to` straight to a stream. The second way is for instances
of which many are started at the same time: it does not load absl.
"""

import os
import time
from typing import Any

import msgspec
from ibispaddle_core import logevents
from ibispaddle_core.logevents import LogEvent

# The text of an exception may repeat what could not be handled, such as a body.
MAX_EXCEPTION_CHARACTERS = 500

# Lines that wait for a slow reader of the log; beyond it, lines are dropped and counted.
MAX_PENDING_BYTES = 262_144


class NonBlockingStream:
    """Write lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._pending = bytearray()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or as much as the reader takes now; the rest follows later lines."""
        data = text.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += data

    def close(self) -> None:
        """Hand over what the reader takes; the descriptor stays open for the process."""
        self.flush()

    def flush(self) -> None:
        """Hand over what the reader takes."""
        try:
            while self._pending:
                del self._pending[: os.write(self._fd, self._pending)]
        except BlockingIOError:
            return  # The reader is slow; the lines wait.
        except OSError:
            # Nobody reads any more, and there is nowhere to report it but the counter.
            self.dropped += 1
            self._pending.clear()


class JsonEventWriter:
    """Write events to a stream, one JSON object a line."""

    def __init__(self, instance_id: str, stream: NonBlockingStream) -> None:
        self._instance_id, self._stream = instance_id, stream

    def write(self, event: LogEvent, fields: dict[str, Any]) -> None:
        """Write one event."""
        line = build_log_line(self._instance_id, event.level, time.time(), event, fields)
        self._stream.write(encode_log_line(line) + "\n")
        self._stream.flush()


_lines: JsonEventWriter | None = None


def write_events_to(instance_id: str, stream: NonBlockingStream) -> None:
    """Write the events of this process to a stream from now on, without absl."""
    global _lines
    _lines = JsonEventWriter(instance_id, stream)


def log_event(event: LogEvent, **fields: Any) -> None:
    """Write a numbered event with its fields."""
    if _lines is not None:
        _lines.write(event, fields)
        return
    from .absl_logs import log_record

    log_record(event, fields)


def build_log_line(
    instance_id: str, level: str, at_s: float, event: LogEvent, fields: dict[str, Any]
) -> dict[str, Any]:
    """Return the line of an event."""
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
    """Return a line as JSON; values of other types are written as text."""
    return msgspec.json.encode(line, enc_hook=str).decode()


def log_unreadable_record(stream: str, offset: int, reason: Exception) -> None:
    """Write that a record of the log is ignored."""
    log_event(logevents.RECORD_UNREADABLE, stream=stream, offset=offset, reason=str(reason))


def log_exception(event: LogEvent, exc: BaseException, trace: str, **fields: Any) -> None:
    """Write an unexpected failure with its stack trace."""
    text = str(exc)[:MAX_EXCEPTION_CHARACTERS]
    log_event(event, exception=type(exc).__name__, reason=text, trace=trace, **fields)


def log_handler_failure(exc: BaseException, trace: list[str], fields: dict[str, Any]) -> None:
    """Write the failure of an event's handler, as circuits reports it in an `exception` event."""
    # No handler is given when a step of a generator failed.
    name = getattr(fields.get("handler"), "__qualname__", "")
    event = getattr(fields.get("fevent"), "name", "")
    log_exception(logevents.HANDLER_FAILED, exc, "".join(trace), handler=name, daemon_event=event)
