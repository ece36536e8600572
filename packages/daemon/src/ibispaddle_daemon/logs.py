"""Numbered log events, written as JSON lines.

Events are written through absl.logging or, after `write_events_to`, directly to a stream. The
second way does not import absl; it is meant for instances of which many are started at once.
"""

from typing import Any

from ibispaddle_core import logevents
from ibispaddle_core.logevents import LogEvent

from .log_lines import JsonEventWriter, NonBlockingStream

# The text of an exception may contain the input that failed, such as a request body.
MAX_EXCEPTION_CHARACTERS = 500

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
