"""Reading of a compacted topic: the newest record of each key, then all changes."""

from .messages import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReaderStep,
    ReadNewest,
    TopicUpdate,
)


class TopicReader:
    """Follow a topic; performs no I/O and uses no timers.

    The pages of the newest records are not a consistent snapshot: changes made while they are read may
    or may not be included. Changes are therefore read from the end offset of the first page, which
    repeats some records and skips none.

    >>> reader = TopicReader(wait_ms=0)
    >>> reader.next_call()
    ReadNewest(after=None)
    >>> page = NewestPage((KeyedRecord("a", b"1", 4),), has_more=False, end=5)
    >>> reader.handle_answer(page).call
    ReadChanges(offset=5, wait_ms=0)
    """

    def __init__(self, wait_ms: int) -> None:
        self._wait_ms = wait_ms
        self._offset: int | None = None  # None until all pages of the newest records are read.
        self._pages: dict[str, bytes | None] = {}
        self._pages_end: int | None = None
        self._after: str | None = None

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record, or None until all keys have been read."""
        return self._offset

    def next_call(self) -> ReadNewest | ReadChanges:
        """Return the call to make; after a failure this is the same call again."""
        if self._offset is None:
            return ReadNewest(self._after)
        return ReadChanges(self._offset, self._wait_ms)

    def handle_answer(self, answer: NewestPage | ChangesPage | OffsetExpired) -> ReaderStep:
        """Process the answer to the last call."""
        update: TopicUpdate | None = None
        match answer:
            case NewestPage():
                update = self._on_newest_page(answer)
            case ChangesPage():
                update = TopicUpdate(_newest(answer.records))
                self._offset = answer.next_offset
                # An end before the next offset means that the store was restored; the known offsets
                # are no longer valid.
                if answer.end < answer.next_offset:
                    self._restart()
            case OffsetExpired():
                self._restart()
        return ReaderStep(self.next_call(), update)

    def _on_newest_page(self, answer: NewestPage) -> TopicUpdate | None:
        if self._pages_end is None:
            self._pages_end = answer.end
        self._pages |= _newest(answer.records)
        if answer.has_more and answer.records:
            self._after = answer.records[-1].key
            return None
        update = TopicUpdate(self._pages, is_snapshot=True)
        self._offset = self._pages_end
        self._pages, self._pages_end, self._after = {}, None, None
        return update

    def _restart(self) -> None:
        self._offset = None
        self._pages, self._pages_end, self._after = {}, None, None


def _newest(records: tuple[KeyedRecord, ...]) -> dict[str, bytes | None]:
    return {record.key: record.value for record in records}
