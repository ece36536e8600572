"""Reading of a compacted topic: the newest record of each key, then all changes."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from .messages import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReaderStep,
    ReadNewest,
    TopicPosition,
    TopicUpdate,
)


@dataclass(frozen=True)
class _Page:
    """A page that was read: it has all records before `end` of the keys up to `last_key`."""

    last_key: str | None  # None for the last page, which has all further keys.
    end: TopicPosition


@dataclass
class _NewestRead:
    """The pages of the newest records that have been read so far."""

    position: TopicPosition | None = None  # End of the topic as of the first page.
    values: dict[str, bytes | None] = field(default_factory=dict)
    after: str | None = None
    pages: list["_Page"] = field(default_factory=list)


@dataclass(frozen=True)
class _NamedEnd:
    """An end of the topic and the start of the call whose answer named it."""

    end: TopicPosition
    started_ms: int


class TopicReader:
    """Follow a topic; performs no I/O and uses no timers.

    The reader is up to date as of a time if it has applied all records before an end that the store
    named at or after that time. An answer may hold fewer records than there are before the end that it
    names, so `confirmed_ms` is the start of the latest call whose end has been reached, however many
    answers that takes.

    The pages of the newest records are not a consistent snapshot: changes made while they are read may
    or may not be included. Changes are therefore read from the end of the first page, and those that a
    later page already has are skipped.

    An offset holds only in its era. After an answer of another one, all newest records are read; until then
    the reader keeps its position, and whoever applies its updates the values.

    >>> reader = TopicReader(wait_ms=0)
    >>> reader.next_call()
    ReadNewest(after=None)
    >>> page = NewestPage((KeyedRecord("a", b"1", 4),), has_more=False, end=5)
    >>> reader.handle_answer(page, started_ms=100).call
    ReadChanges(offset=5, wait_ms=0, era=0)
    >>> reader.handle_answer(ChangesPage((), next_offset=6, end=8), started_ms=200).call
    ReadNewest(after=None)
    >>> reader.confirmed_ms, reader.missing_records
    (100, 2)
    """

    def __init__(self, wait_ms: int) -> None:
        self._wait_ms = wait_ms
        self._position: TopicPosition | None = None
        self._newest_read: _NewestRead | None = _NewestRead()  # None while changes are read.
        self._newest_pages = 1  # Calls that the last read of all newest records took.
        self._pages: list[_Page] = []  # Those that have changes beyond the position.
        self._pending_ends: deque[_NamedEnd] = deque()  # Ends beyond the position, ascending.
        self._needs_all_keys_from_hub = False
        self.confirmed_ms: int | None = None

    @property
    def position(self) -> TopicPosition | None:
        """Return the position up to which all records are applied, or None before the first."""
        return self._position

    @property
    def settled_position(self) -> TopicPosition | None:
        """Return the position before which all applied records are; higher only after several pages."""
        return max((page.end for page in self._pages), default=self._position)

    @property
    def relayed_position(self) -> TopicPosition | None:
        """Return the position from which a hub is queried for changes, or None to get all keys."""
        return None if self._needs_all_keys_from_hub else self._position

    @property
    def is_behind(self) -> bool:
        """Return whether more calls are needed to reach the ends that the store has named."""
        return self._newest_read is not None or bool(self._pending_ends)

    @property
    def missing_records(self) -> int:
        """Return the number of records before the last named end that are not applied."""
        if not self._pending_ends:
            return 0
        end, position = self._pending_ends[-1].end, self._position
        if position is None or position.era != end.era:
            return end.offset
        return end.offset - position.offset

    def next_call(self) -> ReadNewest | ReadChanges:
        """Return the call to make; after a failure this is the same call again."""
        if self._newest_read is not None or self._position is None:
            return ReadNewest(self._newest_read.after if self._newest_read is not None else None)
        return ReadChanges(self._position.offset, self._wait_ms, self._position.era)

    def handle_answer(
        self, answer: NewestPage | ChangesPage | OffsetExpired, started_ms: int
    ) -> ReaderStep:
        """Process the store's answer to the last call, which was sent at `started_ms`."""
        update: TopicUpdate | None = None
        match answer:
            case NewestPage():
                update = self._handle_newest_page(answer, started_ms)
            case ChangesPage() if self._is_valid(answer):
                update = self._handle_changes(answer, started_ms)
            case _:
                self._newest_read = _NewestRead()
        return ReaderStep(self.next_call(), update)

    def _is_valid(self, answer: ChangesPage) -> bool:
        """Return whether changes continue at the position; they do not if the store was restored."""
        if self._position is None or self._position.era != answer.era:
            return False
        return answer.next_offset <= answer.end

    def handle_relayed(
        self, answer: NewestPage | ChangesPage | OffsetExpired, confirmed_ms: int
    ) -> ReaderStep:
        """Process a hub's answer, which was up to date as of `confirmed_ms`.

        The answer stands alone: it is not combined with pages that were read from the store.
        """
        known = self._position
        if known is not None and not answer.era:
            answer = replace(answer, era=known.era)  # The hub runs an earlier release.
        match answer:
            case OffsetExpired():
                self._needs_all_keys_from_hub = True
                if self._newest_read is None:
                    self._newest_read = _NewestRead()
                return ReaderStep(self.next_call())
            case NewestPage(records):
                settled_position = self.settled_position
                if settled_position is not None and answer.position < settled_position:
                    # Between two pages, it has no changes from this reader's position on.
                    self._needs_all_keys_from_hub = known is not None and answer.position >= known
                    return ReaderStep(self.next_call(), is_hub_behind=True)
                self._needs_all_keys_from_hub = False
                self._newest_read = None
                update = self._snapshot(_newest(records), answer.position)
            case ChangesPage(records):
                if known is not None and answer.era != known.era:
                    self._needs_all_keys_from_hub = answer.position > known
                    return ReaderStep(self.next_call(), is_hub_behind=answer.position < known)
                if answer.position != known:
                    self._newest_read = None
                update = self._newer_than_pages(records)
        self._move_to(answer.position)
        self._confirm(confirmed_ms)
        return ReaderStep(self.next_call(), update)

    def _handle_newest_page(self, answer: NewestPage, started_ms: int) -> TopicUpdate | None:
        read = self._newest_read or _NewestRead()
        if read.position is not None and read.position.era != answer.era:
            # The store was restored between two pages.
            self._newest_read = _NewestRead()
            return None
        self._newest_read = read
        if read.position is None:
            read.position = answer.position
        self._add_end(answer.position, started_ms)
        read.values |= _newest(answer.records)
        read.after = answer.records[-1].key if answer.has_more else None
        read.pages.append(_Page(read.after, answer.position))
        if answer.has_more:
            return None
        self._newest_read, self._newest_pages = None, len(read.pages)
        self._needs_all_keys_from_hub = False
        update = self._snapshot(read.values, read.position)
        self._pages = read.pages
        self._move_to(read.position)
        return update

    def _snapshot(self, values: Mapping[str, bytes | None], position: TopicPosition) -> TopicUpdate:
        """Return the update from all newest records, whose position replaces the known one."""
        known = self._position
        if known is None:
            is_restored = False
        elif known.era == position.era:
            is_restored = position < known
        else:
            # An era that was not stated before, or is not stated now, does not show a restoration.
            is_restored = bool(known.era and position.era)
        return TopicUpdate(values, is_snapshot=True, is_restored=is_restored)

    def _handle_changes(self, answer: ChangesPage, started_ms: int) -> TopicUpdate:
        update = self._newer_than_pages(answer.records)
        count = answer.next_offset - (self._position.offset if self._position is not None else 0)
        missing = answer.end - answer.next_offset
        self._add_end(TopicPosition(answer.era, answer.end), started_ms)
        self._move_to(answer.position)
        # Reading the newest records takes fewer calls than the changes, or as many of less data.
        if missing > (self._newest_pages - 1) * count:
            self._newest_read = _NewestRead()
        return update

    def _newer_than_pages(self, records: Iterable[KeyedRecord]) -> TopicUpdate:
        """Return the update from changes, without those that a page already has.

        The records of a hub bear its position. A hub that has passed the end of a page has the newest
        records of the page's keys as well.
        """
        return TopicUpdate(_newest(record for record in records if not self._is_in_page(record)))

    def _is_in_page(self, record: KeyedRecord) -> bool:
        """Return whether the page that has the key was read after the record was written."""
        for page in self._pages:
            if page.last_key is None or record.key <= page.last_key:
                return record.offset < page.end.offset
        return False

    def _add_end(self, end: TopicPosition, started_ms: int) -> None:
        # A later call makes the same end more recent. Higher ends are those of a store that was
        # restored since and states no era.
        while self._pending_ends and self._pending_ends[-1].end >= end:
            self._pending_ends.pop()
        self._pending_ends.append(_NamedEnd(end, started_ms))

    def _move_to(self, position: TopicPosition) -> None:
        """Record that all records before a position are applied."""
        self._position = position
        if all(page.end <= position for page in self._pages):
            self._pages = []
        while self._pending_ends and self._pending_ends[0].end <= position:
            self._confirm(self._pending_ends.popleft().started_ms)

    def _confirm(self, confirmed_ms: int) -> None:
        if self.confirmed_ms is None or confirmed_ms > self.confirmed_ms:
            self.confirmed_ms = confirmed_ms


def _newest(records: Iterable[KeyedRecord]) -> dict[str, bytes | None]:
    return {record.key: record.value for record in records}
