"""Reader of the `config` stream that can start at any offset."""

from collections import deque
from collections.abc import Iterable

from ..log_pages import LogPageReader
from .base import RECENT_CHANGES, ConfigState, LogRecord
from .exceptions import RecordError
from .fold import FoldResult, fold, is_snapshot
from .restarts import restart_in_effect

# Number of record times kept to determine how long a snapshot stays usable: two days at 2,000 changes
# a day.
_MAX_RECORD_TIMES = 4_096
_MAX_SNAPSHOTS = 16


class ConfigReader(LogPageReader):
    """Fold pages of the stream into a state.

    The `as_of` of a state or snapshot is the offset of the last record that it includes. Retention may
    have removed records that the reader has not read. Folding can start only

    - at offset 0,
    - at a restart record that is in effect, because it replaces the whole state, or
    - from a snapshot or a peer's state after whose `as_of` no record is missing.

    Until it has one of these, a new reader has no state, and a reader that finds a gap later keeps its
    last state unchanged.
    """

    def __init__(self, recent_changes: int = RECENT_CHANGES) -> None:
        super().__init__()
        self.state: ConfigState | None = None
        self._unfolded: list[LogRecord] = []
        self._recent_changes = recent_changes
        self._times: deque[tuple[int, int]] = deque(maxlen=_MAX_RECORD_TIMES)
        self._snapshots: list[tuple[int, int]] = (
            []
        )  # `as_of` and offset of recent snapshot records.
        self._pages_read = 0

    @property
    def is_current(self) -> bool:
        """Return whether the state includes every record that was read."""
        return (
            self._pages_read > 0
            and self.state is not None
            and self.state.as_of + 1 >= max(self.position, self._block_start)
        )

    @property
    def is_confirmed_empty(self) -> bool:
        """Return whether the log was read from its start and contains no accepted change."""
        return self.is_current and self.state is not None and self.state.revision < 0

    def read_page(self, first_offset: int, records: Iterable[LogRecord]) -> list[FoldResult]:
        """Process a page that was read from `position` on; return the results of the folded records.

        `first_offset` is the offset of the oldest record that the log retains.
        """
        self._pages_read += 1
        for record in self._new_records(first_offset, records):
            self._times.append((record.offset, record.time_ms))
            self._unfolded.append(record)
            self._add_snapshot(record)
        return self._fold_pending()

    def adopt(self, state: ConfigState) -> list[FoldResult]:
        """Adopt a peer's state if it is newer; return the results of the folded records."""
        if self.state is None or state.as_of > self.state.as_of:
            self.state = state
        return self._fold_pending()

    def newest_snapshot_time_ms(self) -> int | None:
        """Return the log time of the first record after the newest usable snapshot's `as_of`.

        A snapshot stays usable as long as the record after its `as_of` is retained. The time of
        that record is used instead of the time of the snapshot record, because a paused instance
        can append an old snapshot late, which must not be treated as a new one.
        """
        times = dict(self._times)
        usable = [
            times[as_of + 1]
            for as_of, _ in self._snapshots
            if self._is_retained_after(as_of) and as_of + 1 in times
        ]
        return max(usable, default=None)

    def oldest_time_ms(self) -> int | None:
        """Return the log time of the oldest record known to be retained."""
        known = (time_ms for offset, time_ms in self._times if offset >= self._first_offset)
        return next(known, None)

    def _start_block(self, offset: int) -> None:
        super()._start_block(offset)
        self._unfolded.clear()

    def _add_snapshot(self, record: LogRecord) -> None:
        if is_snapshot(record):
            try:
                as_of = ConfigState.from_record(record.data).as_of
            except RecordError:
                return
            if as_of < record.offset:
                self._snapshots = [*self._snapshots[1 - _MAX_SNAPSHOTS :], (as_of, record.offset)]

    def _fold_pending(self) -> list[FoldResult]:
        if self.state is None or self.state.as_of + 1 < self._block_start:
            self._find_initial_state()
        if self.state is None or self.state.as_of + 1 < self._block_start:
            return []
        results = []
        for record in self._unfolded:
            if record.offset > self.state.as_of:
                self.state, result = self._fold(self.state, record)
                if result:
                    results.append(result)
        self._unfolded.clear()
        return results

    def _fold(self, state: ConfigState, record: LogRecord) -> tuple[ConfigState, FoldResult | None]:
        return fold(state, record, self._recent_changes)

    def _find_initial_state(self) -> None:
        """Set a state from which the pending records can be folded without a gap, if there is one."""
        if self._block_start == 0 and self._pages_read:
            self.state = ConfigState()
            return
        for record in self._unfolded:
            if restart_in_effect(record) is not None:
                self.state = ConfigState(record.offset - 1)  # The restart replaces the whole state.
                return
            if not is_snapshot(record):
                continue
            try:
                snapshot = ConfigState.from_record(record.data)
            except RecordError:
                continue
            if self._block_start - 1 <= snapshot.as_of < record.offset:
                self.state = snapshot
                return
