"""Records that restart the configuration after the log has dropped all of its records."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .base import NO_REVISION, Change, ConfigState, Document, LastChange, LogRecord, ProcessedChange
from .exceptions import RecordError


@dataclass(frozen=True)
class ConfigRestart:
    """A configuration from files, appended if no reader can derive a state from the log.

    It takes effect only at `expected_offset`, the end of the stream as read by its writer. A copy
    that arrives late or twice, or the restart of a second operator, gets another offset.
    """

    restart_id: str
    expected_offset: int
    layers: Mapping[str, Document]
    author: str

    @classmethod
    def from_record(cls, data: Mapping[str, Any]) -> "ConfigRestart":
        """Parse a restart record; raise `RecordError` if a field is missing or invalid."""
        fields = data.get("restart")
        if not isinstance(fields, Mapping) or not isinstance(fields.get("layers"), Mapping):
            raise RecordError("'restart' is not an object with 'layers'")
        offset = fields.get("expected_offset")
        if type(offset) is not int or offset < 0:
            raise RecordError("'expected_offset' is not an offset")
        if "base" not in fields["layers"]:
            raise RecordError("the layer 'base' is missing")
        restart = cls(
            fields.get("restart_id", ""), offset, dict(fields["layers"]), fields.get("author", "")
        )
        for name in restart.layers:
            restart.as_change(name)
        return restart

    def to_record(self) -> dict[str, Any]:
        """Return the JSON object to append to the stream."""
        return {
            "restart": {
                "restart_id": self.restart_id,
                "expected_offset": self.expected_offset,
                "layers": dict(self.layers),
                "author": self.author,
            }
        }

    def as_change(self, layer: str = "base") -> Change:
        """Return one layer as a change; raise `RecordError` if a field is invalid."""
        return Change.from_record(
            {
                "change_id": self.restart_id,
                "expected_revision": NO_REVISION,
                "layer": layer,
                "document": self.layers[layer],
                "author": self.author,
            }
        )

    def state_at(self, offset: int) -> ConfigState:
        """Return the state after the restart at an offset; earlier records do not affect it."""
        change = self.as_change()
        processed = ProcessedChange(self.restart_id, offset, True, change.digest())
        last = LastChange(self.restart_id, "base", self.author)
        return ConfigState(offset, offset, dict(self.layers), (processed,), last)


def is_restart(record: LogRecord) -> bool:
    """Return whether the record is a restart, effective or not."""
    return "restart" in record.data


def is_at_expected_offset(restart: ConfigRestart, offset: int) -> bool:
    """Return whether a restart was appended at the offset that its writer expected."""
    return offset == restart.expected_offset


def restart_in_effect(record: LogRecord) -> ConfigRestart | None:
    """Return the restart in a record if it takes effect.

    >>> restart = ConfigRestart("r1", 7, {"base": {}}, "ann")
    >>> restart_in_effect(LogRecord(8, 0, restart.to_record())) is None
    True
    """
    if not is_restart(record):
        return None
    try:
        restart = ConfigRestart.from_record(record.data)
    except RecordError:
        return None
    return restart if is_at_expected_offset(restart, record.offset) else None


def inquiry_record(restart_id: str) -> dict[str, Any]:
    """Return the record that requests a snapshot from instances that have a state."""
    return {"inquiry": {"restart_id": restart_id}}


def inquiry_id(record: LogRecord) -> str | None:
    """Return the restart id of an inquiry record, or `None` for any other record."""
    inquiry = record.data.get("inquiry")
    return str(inquiry.get("restart_id")) if isinstance(inquiry, Mapping) else None
