"""A reader of the `config` stream that can start at any time."""

from collections import deque
from collections.abc import Iterable

from ..log_pages import LogPageReader
from .base import RECENT_CHANGES, ConfigState, LogRecord
from .exceptions import RecordError
from .fold import FoldResult, fold, is_snapshot
from .restarts import restart_in_effect

# Record times that a reader remembers to find out how long a snapshot stays usable. Two days of
# changes.
_KNOWN_TIMES = 4_096


class ConfigReader(LogPageReader):
    """Fold pages of the stream into a state.

    The reader has no state until the pages read without a gap either begin at offset 0 or contain a
    usable snapshot or a restart in effect, or until a peer's state that reaches up to them was adopted. When retention
    removes records that were not read yet, the last state is kept and not advanced until a snapshot
    or a peer's state bridges the gap.
    """

    def __init__(self, recent_changes: int = RECENT_CHANGES) -> None:
        super().__init__()
        self.state: ConfigState | None = None
        self._unfolded: list[LogRecord] = []
        self._recent_changes = recent_changes
        self._times: deque[tuple[int, int]] = deque(maxlen=_KNOWN_TIMES)
        self._snapshots: list[tuple[int, int]] = []  # as_of, offset of the snapshot record
        self._pages = 0

    @property
    def current(self) -> bool:
        """Return whether the state includes every record that was read."""
        return (
            self._pages > 0
            and self.state is not None
            and self.state.as_of + 1 >= max(self.position, self._block_start)
        )

    @property
    def is_confirmed_empty(self) -> bool:
        """Return whether the log was read from its beginning and holds no accepted change."""
        return self.current and self.state is not None and self.state.revision < 0

    def read_page(self, first_offset: int, records: Iterable[LogRecord]) -> list[FoldResult]:
        """Take a page that was read from `position` on; return the verdicts it led to."""
        self._pages += 1
        for record in self._new_records(first_offset, records):
            self._times.append((record.offset, record.time_ms))
            self._unfolded.append(record)
            self._note_snapshot(record)
        return self._advance()

    def adopt(self, state: ConfigState) -> list[FoldResult]:
        """Take a peer's state if it is ahead of the own one; return the verdicts it led to."""
        if self.state is None or state.as_of > self.state.as_of:
            self.state = state
        return self._advance()

    def snapshot_time_ms(self) -> int | None:
        """Return since when the best usable snapshot covers the stream, in the log's time.

        A snapshot stays usable as long as the record after its `as_of` is retained. The time of that
        record counts, not the time of the snapshot record: a paused instance can append an old
        snapshot late, and it must not pass for a new one.
        """
        times = dict(self._times)
        usable = [
            times[as_of + 1]
            for as_of, _ in self._snapshots
            if self._is_retained_after(as_of) and as_of + 1 in times
        ]
        return max(usable, default=None)

    def oldest_time_ms(self) -> int | None:
        """Return the time of the oldest record known to be retained."""
        known = (time_ms for offset, time_ms in self._times if offset >= self._first_offset)
        return next(known, None)

    def _start_block(self, offset: int) -> None:
        super()._start_block(offset)
        self._unfolded.clear()

    def _note_snapshot(self, record: LogRecord) -> None:
        if is_snapshot(record):
            try:
                as_of = ConfigState.from_record(record.data).as_of
            except RecordError:
                return
            if as_of < record.offset:
                self._snapshots = [*self._snapshots[-15:], (as_of, record.offset)]

    def _advance(self) -> list[FoldResult]:
        if self.state is None or self.state.as_of + 1 < self._block_start:
            self._bridge()
        if self.state is None or self.state.as_of + 1 < self._block_start:
            return []
        verdicts = []
        for record in self._unfolded:
            if record.offset > self.state.as_of:
                self.state, verdict = self._fold(self.state, record)
                if verdict:
                    verdicts.append(verdict)
        self._unfolded.clear()
        return verdicts

    def _fold(self, state: ConfigState, record: LogRecord) -> tuple[ConfigState, FoldResult | None]:
        return fold(state, record, self._recent_changes)

    def _bridge(self) -> None:
        """Find a state from which the unfolded records can be folded without a gap."""
        if self._block_start == 0 and self._pages:
            self.state = ConfigState()
            return
        for record in self._unfolded:
            if restart_in_effect(record) is not None:
                self.state = ConfigState(record.offset - 1)  # The restart replaces all of it.
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
