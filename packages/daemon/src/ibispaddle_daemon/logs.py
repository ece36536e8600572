"""Log records as JSON lines, written through absl.logging."""

import logging
import os
import sys
from typing import Any, TextIO

import msgspec
from absl import flags
from absl import logging as absl_logging
from ibispaddle_core import logevents
from ibispaddle_core.logevents import Level, LogEvent

# The text of an exception may repeat what could not be handled, such as a body.
MAX_EXCEPTION_CHARACTERS = 500

_LEVELS = {
    Level.INFO: absl_logging.INFO,
    Level.WARNING: absl_logging.WARNING,
    Level.ERROR: absl_logging.ERROR,
}


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


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def __init__(self, instance_id: str) -> None:
        super().__init__()
        self._instance_id = instance_id

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "instance": self._instance_id,
        }
        event = getattr(record, "event", None)
        if event is not None:
            line |= {"number": event.number, "event": event.name, "text": event.text}
            line |= getattr(record, "fields", {})
        else:
            line["text"] = record.getMessage()
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure(instance_id: str, stream: TextIO | NonBlockingStream = sys.stderr) -> None:
    """Write all records of this process as JSON lines to a stream."""
    # The command line is read by typer; absl only has to know that no flags follow.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    # Records from this level on also go to standard error, in addition to the stream.
    absl_logging.set_stderrthreshold("debug" if stream is sys.stderr else "fatal")
    absl_logging.set_verbosity(absl_logging.INFO)
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(instance_id))
    handler.python_handler.stream = stream


def log_event(event: LogEvent, **fields: Any) -> None:
    """Write a numbered event with its fields."""
    absl_logging.log(_LEVELS[event.level], event.text, extra={"event": event, "fields": fields})


def log_unreadable(stream: str, offset: int, reason: Exception) -> None:
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
