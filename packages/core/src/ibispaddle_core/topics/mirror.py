"""Copy of a topic that an instance serves to others, so that they need not read the store."""

from collections import deque
from collections.abc import Callable

from .messages import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicUpdate,
)

# Changes retained for followers; a follower that is further behind reads all keys again.
MAX_CHANGES = 1_024


class TopicMirror:
    """Answer the calls of a `TopicReader` with the data that another reader has read.

    A change is not passed on if `is_same` returns true for the known and the new value of the key, for
    example for a heartbeat of an upstream without any new information.

    >>> mirror = TopicMirror()
    >>> mirror.apply(TopicUpdate({"a": b"1"}, is_snapshot=True), position=5)
    >>> mirror.apply(TopicUpdate({"a": b"2"}), position=7)
    >>> mirror.answer(ReadChanges(offset=5, wait_ms=0)).records[0].value
    b'2'
    >>> mirror.answer(ReadChanges(offset=4, wait_ms=0))
    OffsetExpired()
    """

    def __init__(self, is_same: Callable[[str, bytes, bytes], bool] | None = None) -> None:
        self._is_same = is_same or (lambda key, old, new: old == new)
        self._newest: dict[str, bytes] = {}
        # Each with the position after the read that returned it.
        self._changes: deque[tuple[int, str, bytes | None]] = deque(maxlen=MAX_CHANGES)
        self._first_position = 0  # Changes after this position are retained.
        self.position: int | None = None

    def apply(self, update: TopicUpdate, position: int) -> None:
        """Apply an update that was read; `position` is the offset of the next record."""
        if update.is_snapshot or self.position is None or position < self.position:
            self._changes.clear()
            self._newest = {k: v for k, v in update.values.items() if v is not None}
            self._first_position = self.position = position
            return
        for key, value in update.values.items():
            old = self._newest.get(key)
            if value is None:
                if old is None:
                    continue
                del self._newest[key]
            else:
                if old is not None and self._is_same(key, old, value):
                    continue
                self._newest[key] = value
            if len(self._changes) == MAX_CHANGES:
                self._first_position = self._changes[0][0]
            self._changes.append((position, key, value))
        self.position = position

    def has_changes_for(self, call: ReadNewest | ReadChanges) -> bool:
        """Return whether the answer to a call would be anything but an empty list of changes."""
        match call:
            case ReadNewest():
                return True
            case ReadChanges(offset):
                is_retained = (
                    self.position is not None and self._first_position <= offset <= self.position
                )
                return not is_retained or (bool(self._changes) and self._changes[-1][0] > offset)

    def answer(
        self, call: ReadNewest | ReadChanges
    ) -> NewestPage | ChangesPage | OffsetExpired | None:
        """Return the answer to a call, or None if the mirror is empty or behind the caller."""
        if self.position is None:
            return None
        match call:
            case ReadNewest(after):
                records = tuple(
                    KeyedRecord(key, value, self.position)
                    for key, value in sorted(self._newest.items())
                    if after is None or key > after
                )
                return NewestPage(records, has_more=False, end=self.position)
            case ReadChanges(offset):
                if offset > self.position:
                    return None
                if offset < self._first_position:
                    return OffsetExpired()
                records = tuple(
                    KeyedRecord(key, value, position)
                    for position, key, value in self._changes
                    if position > offset
                )
                return ChangesPage(records, self.position, self.position)
