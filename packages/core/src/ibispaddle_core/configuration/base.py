"""Records of the `config` stream and the state derived from them."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import xxhash

from .exceptions import RecordError

# Revision and `as_of` offset before any change was accepted.
NO_REVISION = -1

# Number of change ids kept in the state for deduplication. The limit is a number of records rather
# than a time, so that it is the same for every reader. 1,024 ids cover half a day at 2,000 changes
# a day.
RECENT_CHANGES = 1_024

Document = Mapping[str, Any]


class LogRecord(NamedTuple):
    """A record of a stream of the platform's log."""

    offset: int
    time_ms: int
    data: Mapping[str, Any]


@dataclass(frozen=True)
class Change:
    """A proposed replacement for the document of one layer."""

    change_id: str
    expected_revision: int
    layer: str
    document: Document
    author: str

    @classmethod
    def from_record(cls, data: Mapping[str, Any]) -> "Change":
        """Parse a change record; raise `RecordError` if a field is missing or invalid."""
        change = cls(
            data.get("change_id", ""),
            data.get("expected_revision", None),
            data.get("layer", ""),
            data.get("document", None),
            data.get("author", ""),
        )
        if not isinstance(change.change_id, str) or not 0 < len(change.change_id) <= 128:
            raise RecordError("'change_id' is not a string of 1 to 128 characters")
        if type(change.expected_revision) is not int or change.expected_revision < NO_REVISION:
            raise RecordError(f"'expected_revision' is not an integer of at least {NO_REVISION}")
        if not isinstance(change.layer, str) or not is_layer_name(change.layer):
            raise RecordError("'layer' is neither 'base' nor 'site:NAME'")
        if not isinstance(change.document, Mapping):
            raise RecordError("'document' is not a JSON object")
        if not isinstance(change.author, str):
            raise RecordError("'author' is not a string")
        return change

    def to_record(self) -> dict[str, Any]:
        """Return the JSON object to append to the stream."""
        return {
            "change_id": self.change_id,
            "expected_revision": self.expected_revision,
            "layer": self.layer,
            "document": self.document,
            "author": self.author,
        }

    def digest(self) -> str:
        """Return a content hash that distinguishes two changes with the same id."""
        text = json.dumps([self.layer, self.document], sort_keys=True, separators=(",", ":"))
        return xxhash.xxh3_64_hexdigest(text.encode())


class ProcessedChange(NamedTuple):
    """Result of a change whose id is still kept in the state."""

    change_id: str
    offset: int
    accepted: bool
    digest: str


class LastChange(NamedTuple):
    """The change that created the current revision; its document is in the state's layers."""

    change_id: str
    layer: str
    author: str


@dataclass(frozen=True)
class ConfigState:
    """The configuration after folding the stream up to and including offset `as_of`."""

    as_of: int = NO_REVISION
    revision: int = NO_REVISION
    layers: Mapping[str, Document] = field(default_factory=dict)
    recent: tuple[ProcessedChange, ...] = ()
    last_change: LastChange | None = None

    def find_processed(self, change_id: str) -> ProcessedChange | None:
        """Return the result of a change, or `None` if its id is not kept in the state."""
        return next((item for item in reversed(self.recent) if item.change_id == change_id), None)

    def layers_for(self, site: str) -> dict[str, Document]:
        """Return the layers that apply to a site, in merge order."""
        names = ("base", f"site:{site}")
        return {name: self.layers[name] for name in names if name in self.layers}

    def to_record(self) -> dict[str, Any]:
        """Return the snapshot record of this state."""
        return {
            "snapshot": {
                "as_of": self.as_of,
                "revision": self.revision,
                "layers": dict(self.layers),
                "recent_change_ids": [list(item) for item in self.recent],
                "last_change": list(self.last_change) if self.last_change else None,
            }
        }

    @classmethod
    def from_record(cls, data: Mapping[str, Any]) -> "ConfigState":
        """Parse a snapshot record; raise `RecordError` if it is malformed."""
        try:
            snapshot = data["snapshot"]
            last = snapshot.get("last_change")
            state = cls(
                int(snapshot["as_of"]),
                int(snapshot["revision"]),
                dict(snapshot["layers"]),
                tuple(ProcessedChange(*item) for item in snapshot["recent_change_ids"]),
                LastChange(*last) if last else None,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise RecordError(f"the snapshot is malformed: {exc}") from exc
        if not NO_REVISION <= state.revision <= state.as_of:
            raise RecordError("the snapshot's 'revision' is greater than its 'as_of' offset")
        return state


def is_layer_name(name: str) -> bool:
    """Return whether `name` names the base layer or a site overlay."""
    return name == "base" or (name.startswith("site:") and len(name) > len("site:"))
