"""Records of the `config` stream and the state that results from them."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import xxhash

from .exceptions import RecordError

# Revision and as-of offset while no change was accepted.
NO_REVISION = -1

# Change ids that the state remembers. The bound is counted in records and not in time, so that it is
# the same at every reader. 1,024 are half a day at 2,000 changes a day.
RECENT_CHANGES = 1_024

Document = Mapping[str, Any]


class LogRecord(NamedTuple):
    """One record of a stream of the platform's log."""

    offset: int
    time_ms: int
    data: Mapping[str, Any]


@dataclass(frozen=True)
class Change:
    """A proposed replacement of one layer's document."""

    change_id: str
    expected_revision: int
    layer: str
    document: Document
    author: str

    @classmethod
    def from_record(cls, data: Mapping[str, Any]) -> "Change":
        """Return the change in a record; raise `RecordError` if a field is missing or wrong."""
        change = cls(
            data.get("change_id", ""),
            data.get("expected_revision", None),
            data.get("layer", ""),
            data.get("document", None),
            data.get("author", ""),
        )
        if not isinstance(change.change_id, str) or not 0 < len(change.change_id) <= 128:
            raise RecordError("'change_id' is not a text of 1 to 128 characters")
        if type(change.expected_revision) is not int or change.expected_revision < NO_REVISION:
            raise RecordError(f"'expected_revision' is not an integer of at least {NO_REVISION}")
        if not isinstance(change.layer, str) or not is_layer_name(change.layer):
            raise RecordError("'layer' is neither 'base' nor 'site:NAME'")
        if not isinstance(change.document, Mapping):
            raise RecordError("'document' is not a JSON object")
        if not isinstance(change.author, str):
            raise RecordError("'author' is not a text")
        return change

    def to_record(self) -> dict[str, Any]:
        """Return the JSON object that is appended to the stream."""
        return {
            "change_id": self.change_id,
            "expected_revision": self.expected_revision,
            "layer": self.layer,
            "document": self.document,
            "author": self.author,
        }

    def digest(self) -> str:
        """Return a hash that tells two changes with the same id apart."""
        text = json.dumps([self.layer, self.document], sort_keys=True, separators=(",", ":"))
        return xxhash.xxh3_64_hexdigest(text.encode())


class ProcessedChange(NamedTuple):
    """What became of a change whose id the state remembers."""

    change_id: str
    offset: int
    accepted: bool
    digest: str


class LastChange(NamedTuple):
    """The change that made the current revision; its document is in the state's layers."""

    change_id: str
    layer: str
    author: str


@dataclass(frozen=True)
class ConfigState:
    """The result of folding the stream up to and including offset `as_of`."""

    as_of: int = NO_REVISION
    revision: int = NO_REVISION
    layers: Mapping[str, Document] = field(default_factory=dict)
    recent: tuple[ProcessedChange, ...] = ()
    last_change: LastChange | None = None

    def find_processed(self, change_id: str) -> ProcessedChange | None:
        """Return what became of a change id, if the state remembers it."""
        return next((seen for seen in reversed(self.recent) if seen.change_id == change_id), None)

    def layers_for(self, site: str) -> dict[str, Document]:
        """Return the layers in force at a site, lowest first."""
        names = ("base", f"site:{site}")
        return {name: self.layers[name] for name in names if name in self.layers}

    def to_record(self) -> dict[str, Any]:
        """Return the snapshot record of this state."""
        return {
            "snapshot": {
                "as_of": self.as_of,
                "revision": self.revision,
                "layers": dict(self.layers),
                "recent_change_ids": [list(seen) for seen in self.recent],
                "last_change": list(self.last_change) if self.last_change else None,
            }
        }

    @classmethod
    def from_record(cls, data: Mapping[str, Any]) -> "ConfigState":
        """Return the state in a snapshot record; raise `RecordError` if it is malformed."""
        try:
            snapshot = data["snapshot"]
            last = snapshot.get("last_change")
            state = cls(
                int(snapshot["as_of"]),
                int(snapshot["revision"]),
                dict(snapshot["layers"]),
                tuple(ProcessedChange(*seen) for seen in snapshot["recent_change_ids"]),
                LastChange(*last) if last else None,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise RecordError(f"the snapshot is malformed: {exc}") from exc
        if not NO_REVISION <= state.revision <= state.as_of:
            raise RecordError("the snapshot's revision lies after its 'as_of'")
        return state


def is_layer_name(name: str) -> bool:
    """Return whether `name` is the base layer or the overlay of a site."""
    return name == "base" or (name.startswith("site:") and len(name) > len("site:"))
