"""Copy of a topic that an instance serves to others, so that they need not read the store."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .messages import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicPosition,
    TopicUpdate,
)

# Changes retained for followers; a follower that is further behind reads all keys again.
MAX_CHANGES = 1_024
# Reads of which the records without a change are retained as well, and positions that are.
MAX_READS = 8
MAX_POSITIONS = 1_024


@dataclass(frozen=True)
class _Read:
    """The records of a read, from `start` to before `end`, that changed nothing here."""

    start: TopicPosition
    end: TopicPosition
    unchanged: dict[str, bytes | None] = field(default_factory=dict)


class TopicMirror:
    """Answer the calls of a `TopicReader` with the data that another reader has read.

    A change is not passed on if `is_same` returns true for the known and the new value of the key, for
    example for a heartbeat of an upstream without any new information. A caller whose position is within
    one of the reads may know another value, so it gets all records of that read.

    >>> mirror = TopicMirror()
    >>> mirror.apply(TopicUpdate({"a": b"1"}, is_snapshot=True), TopicPosition(era=2, offset=5))
    >>> mirror.apply(TopicUpdate({"a": b"2"}), TopicPosition(era=2, offset=7))
    >>> mirror.answer(ReadChanges(offset=5, wait_ms=0, era=2)).records[0].value
    b'2'
    >>> mirror.answer(ReadChanges(offset=7, wait_ms=0, era=1))
    OffsetExpired(era=2)
    """

    def __init__(self, is_same: Callable[[str, bytes, bytes], bool] | None = None) -> None:
        self._is_same = is_same or (lambda key, old, new: old == new)
        self._newest: dict[str, bytes] = {}
        # Each with the position after the read that returned it.
        self._changes: deque[tuple[TopicPosition, str, bytes | None]] = deque(maxlen=MAX_CHANGES)
        self._first_position = TopicPosition(0, 0)  # Changes after this position are retained.
        self._positions: dict[TopicPosition, None] = {}  # Those after each read, in order.
        self._reads: deque[_Read] = deque(maxlen=MAX_READS)
        self.position: TopicPosition | None = None

    def apply(
        self,
        update: TopicUpdate,
        position: TopicPosition,
        settled_position: TopicPosition | None = None,
        is_relayed: bool = False,
    ) -> None:
        """Apply an update that was read; `position` is that of the next record.

        A snapshot may have some of the later records, all of which are before `settled_position`; nothing
        is served until that is reached. An update that another mirror has relayed lacks the records that
        changed nothing there.
        """
        if update.is_snapshot or self.position is None or position < self.position:
            self._changes.clear()
            self._reads.clear()
            self._positions.clear()
            self._newest = {k: v for k, v in update.values.items() if v is not None}
            self._first_position = max(position, settled_position or position)
            self._move_to(position)
            return
        unchanged: dict[str, bytes | None] = {}
        for key, value in update.values.items():
            old = self._newest.get(key)
            if value is None:
                if old is None:
                    unchanged[key] = value
                    continue
                del self._newest[key]
            else:
                if old is not None and self._is_same(key, old, value):
                    unchanged[key] = value
                    continue
                self._newest[key] = value
            if len(self._changes) == MAX_CHANGES:
                self._first_position = self._changes[0][0]
            self._changes.append((position, key, value))
        if not is_relayed and position > self.position:
            self._reads.append(_Read(self.position, position, unchanged))
        self._move_to(position)

    def _move_to(self, position: TopicPosition) -> None:
        self.position = position
        self._positions[position] = None
        if len(self._positions) > MAX_POSITIONS:
            del self._positions[next(iter(self._positions))]

    @property
    def _is_settled(self) -> bool:
        return self.position is not None and self.position >= self._first_position

    def _read_around(self, position: TopicPosition) -> _Read | None:
        """Return the read within which a position is, or None if it is not retained."""
        return next((read for read in self._reads if read.start < position < read.end), None)

    def _is_retained(self, position: TopicPosition) -> bool:
        """Return whether all changes since a caller's position are known."""
        if self.position is None or not self._first_position <= position <= self.position:
            return False
        return position in self._positions or self._read_around(position) is not None

    def has_changes_for(self, call: ReadNewest | ReadChanges) -> bool:
        """Return whether the answer to a call would be anything but an empty list of changes."""
        if not self._is_settled:
            return False
        match call:
            case ReadNewest():
                return True
            case ReadChanges():
                position = call.position
                if not self._is_retained(position) or position not in self._positions:
                    return True
                return bool(self._changes) and self._changes[-1][0] > position

    def answer(
        self, call: ReadNewest | ReadChanges
    ) -> NewestPage | ChangesPage | OffsetExpired | None:
        """Return the answer to a call, or None if the mirror has no data or is behind the caller."""
        if self.position is None or not self._is_settled:
            return None
        era, end = self.position.era, self.position.offset
        match call:
            case ReadNewest(after):
                records = tuple(
                    KeyedRecord(key, value, end)
                    for key, value in sorted(self._newest.items())
                    if after is None or key > after
                )
                return NewestPage(records, has_more=False, end=end, era=era)
            case ReadChanges():
                position = call.position
                if position > self.position:
                    return None
                if not self._is_retained(position):
                    return OffsetExpired(era)
                read = self._read_around(position)
                unchanged = read.unchanged.items() if read is not None else ()
                records = tuple(
                    KeyedRecord(key, value, position.offset) for key, value in unchanged
                ) + tuple(
                    KeyedRecord(key, value, changed.offset)
                    for changed, key, value in self._changes
                    if changed > position
                )
                return ChangesPage(records, end, end, era)
