"""Base class of readers that read a stream of the platform's log in pages."""

from collections.abc import Iterable, Iterator
from typing import Protocol, TypeVar


class _HasOffset(Protocol):
    @property
    def offset(self) -> int: ...


R = TypeVar("R", bound=_HasOffset)


class LogPageReader:
    """Track the position in a stream and detect gaps.

    A block is a contiguous range of records. A new block starts if retention removed records before
    they were read.
    """

    def __init__(self) -> None:
        self.position = 0  # Offset of the next record to read.
        self._block_start = 0
        self._first_offset = 0

    def _new_records(self, first_offset: int, records: Iterable[R]) -> Iterator[R]:
        """Yield the records of a page from `position` on, advancing `position` past each record."""
        self._first_offset = max(self._first_offset, first_offset)
        if first_offset > self.position:
            self._start_block(first_offset)
        for record in records:
            if record.offset < self.position:
                continue
            if record.offset > self.position:
                self._start_block(record.offset)
            self.position = record.offset + 1
            yield record

    def _start_block(self, offset: int) -> None:
        self._block_start = self.position = offset

    def _is_retained_after(self, as_of: int) -> bool:
        """Return whether all records after an offset are known to be retained."""
        return as_of + 1 >= self._first_offset
