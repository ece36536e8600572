"""Calls to a compacted topic and their responses.

Each response states the era of the store in which its offsets were given out. A store that was restored from
a copy begins a new era: it lacks the last records of the one before and gives out their offsets again. Era 0
is that of a store that states none.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


class TopicFormatError(Exception):
    """A response of the store cannot be decoded."""


@dataclass(frozen=True, order=True)
class TopicPosition:
    """The offset of the next record, in the era in which it was given out.

    Each position of an era is before those of all later ones.

    >>> TopicPosition(era=1, offset=9) < TopicPosition(era=2, offset=4)
    True
    """

    era: int
    offset: int


@dataclass(frozen=True)
class KeyedRecord:
    """One record; a value of None deletes the key."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class ReadNewest:
    """Request the newest record of each key that sorts after `after`."""

    after: str | None = None


@dataclass(frozen=True)
class ReadChanges:
    """Request the records from an offset on; wait up to `wait_ms` for the first one."""

    offset: int
    wait_ms: int
    era: int = 0

    @property
    def position(self) -> TopicPosition:
        """Return the position from which on the records are requested."""
        return TopicPosition(self.era, self.offset)


@dataclass(frozen=True)
class NewestPage:
    """Response to `ReadNewest`; `end` is the offset after the newest record."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int
    era: int = 0

    @property
    def position(self) -> TopicPosition:
        """Return the position after the newest record."""
        return TopicPosition(self.era, self.end)


@dataclass(frozen=True)
class ChangesPage:
    """Response to `ReadChanges`; `next_offset` is the offset after the last of the records."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    era: int = 0

    @property
    def position(self) -> TopicPosition:
        """Return the position after the last of the records."""
        return TopicPosition(self.era, self.next_offset)


@dataclass(frozen=True)
class OffsetExpired:
    """Response to `ReadChanges` if the records are no longer retained, or not yet written."""

    era: int = 0


@dataclass(frozen=True)
class TopicUpdate:
    """Changed values: of all keys if `is_snapshot`, otherwise only of the keys in `values`.

    The snapshot of a store that was restored since the last update (`is_restored`) may lack what has been
    written, and have what has been removed, until it is written or removed again.
    """

    values: Mapping[str, bytes | None] = field(default_factory=dict)
    is_snapshot: bool = False
    is_restored: bool = False


@dataclass(frozen=True)
class ReaderStep:
    """The next call, and the update from the last one unless more pages are needed for it.

    A hub is behind if all its keys are older than what the reader has read.
    """

    call: ReadNewest | ReadChanges
    update: TopicUpdate | None = None
    is_hub_behind: bool = False
