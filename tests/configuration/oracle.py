"""Reference implementation of the fold and an in-memory log with retention."""

import operator

from ibispaddle_core.configuration import Change, LogRecord


class FakeLog:
    """Keep records in memory and allow the oldest ones to be removed."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first_offset = 0

    @property
    def next_offset(self) -> int:
        return len(self.records)

    def append(self, data: dict, time_ms: int | None = None) -> int:
        offset = len(self.records)
        self.records.append(LogRecord(offset, offset if time_ms is None else time_ms, data))
        return offset

    def read(self, start: int, limit: int) -> list[LogRecord]:
        return self.records[max(start, self.first_offset) :][:limit]

    def cut(self, first_offset: int) -> None:
        self.first_offset = max(self.first_offset, min(first_offset, self.next_offset))


class Oracle:
    """Compute revisions, layers and accepted changes from all records ever appended."""

    def __init__(self, recent_changes: int, is_at_expected_offset=operator.eq) -> None:
        self.recent_changes = recent_changes
        # Takes the actual and the expected offset of a restart.
        self.is_at_expected_offset = is_at_expected_offset
        self.restarts: list[int] = []
        self.views = [(-1, {})]  # Revision and layers after n records.
        self.accepted: list[tuple[int, str]] = []
        self._ids: list[str] = []

    def add(self, record: LogRecord) -> None:
        revision, layers = self.views[-1]
        restart = record.data.get("restart")
        if restart and self.is_at_expected_offset(record.offset, restart["expected_offset"]):
            revision, layers = record.offset, restart["layers"]
            self.restarts.append(record.offset)
            self._ids = [restart["restart_id"]]
        if "change_id" in record.data and record.data.get("layer"):
            change = Change.from_record(record.data)
            if change.change_id not in self._ids[-self.recent_changes :]:
                self._ids.append(change.change_id)
                if change.expected_revision == revision:
                    revision, layers = record.offset, {**layers, change.layer: change.document}
                    self.accepted.append((record.offset, change.change_id))
        self.views.append((revision, layers))

    def view(self, as_of: int) -> tuple[int, dict]:
        return self.views[as_of + 1]
