"""Log records as JSON lines, written through absl.logging."""

import logging
import sys
from typing import Any, TextIO

from absl import flags
from absl import logging as absl_logging
from ibispaddle_core.logevents import Level, LogEvent

from .log_lines import NonBlockingStream, build_log_line, encode_log_line

_LEVELS = {
    Level.INFO: absl_logging.INFO,
    Level.WARNING: absl_logging.WARNING,
    Level.ERROR: absl_logging.ERROR,
}


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def __init__(self, instance_id: str) -> None:
        super().__init__()
        self._instance_id = instance_id

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a record."""
        level = record.levelname.lower()
        event = getattr(record, "event", None)
        if event is not None:
            fields = getattr(record, "fields", {})
            line = build_log_line(self._instance_id, level, record.created, event, fields)
        else:
            line = {
                "time": round(record.created, 3),
                "level": level,
                "instance": self._instance_id,
                "text": record.getMessage(),
            }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return encode_log_line(line)


def configure(instance_id: str, stream: TextIO | NonBlockingStream = sys.stderr) -> None:
    """Write all records of this process as JSON lines to a stream."""
    # Typer parses the command line. absl requires its flags to be marked as parsed.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    # absl also writes records of this level and above to standard error.
    absl_logging.set_stderrthreshold("debug" if stream is sys.stderr else "fatal")
    absl_logging.set_verbosity(absl_logging.INFO)
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(instance_id))
    handler.python_handler.stream = stream


def log_record(event: LogEvent, fields: dict[str, Any]) -> None:
    """Write a numbered event with its fields."""
    absl_logging.log(_LEVELS[event.level], event.text, extra={"event": event, "fields": fields})
