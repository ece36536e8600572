"""Calls to a keyed topic and their answers."""

from collections.abc import Mapping
from dataclasses import dataclass, field


class TopicFormatError(Exception):
    """Raise when an answer of the store cannot be read."""


@dataclass(frozen=True)
class KeyedRecord:
    """Hold one record; a value of None removes the key."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class ReadNewest:
    """Ask for the newest record of each key that comes after `after`."""

    after: str | None = None


@dataclass(frozen=True)
class ReadChanges:
    """Ask for the records from an offset on, waiting for the first one."""

    offset: int
    wait_ms: int


@dataclass(frozen=True)
class NewestPage:
    """Answer `ReadNewest`; `end` is the offset after the newest record."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int


@dataclass(frozen=True)
class ChangesPage:
    """Answer `ReadChanges`; `next_offset` follows the last of the records."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@dataclass(frozen=True)
class OffsetExpired:
    """Answer `ReadChanges` when the records are no longer kept."""


@dataclass(frozen=True)
class TopicUpdate:
    """Tell what changed: all keys after a `snapshot`, otherwise only those of `values`."""

    values: Mapping[str, bytes | None] = field(default_factory=dict)
    is_snapshot: bool = False


@dataclass(frozen=True)
class ReaderStep:
    """Tell the next call and what the last one brought, if it brought the reader up to date."""

    call: ReadNewest | ReadChanges
    update: TopicUpdate | None = None
