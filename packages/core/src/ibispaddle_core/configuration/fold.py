"""Fold function of the `config` stream, shared by all readers."""

from dataclasses import dataclass, replace
from enum import StrEnum

from .base import RECENT_CHANGES, Change, ConfigState, LastChange, LogRecord, ProcessedChange
from .exceptions import RecordError
from .restarts import ConfigRestart, inquiry_id, is_at_expected_offset, is_restart


class Status(StrEnum):
    """Result of folding a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"  # The expected revision was not the current one.
    DUPLICATE = "duplicate"  # The change id was processed before.
    MALFORMED = "malformed"
    RESTARTED = "restarted"  # The configuration was restarted from files.


@dataclass(frozen=True)
class FoldResult:
    """Result of folding one change, with the change that was current before it."""

    offset: int
    time_ms: int
    status: Status
    change: Change | None
    revision: int
    winner: LastChange | None


def is_snapshot(record: LogRecord) -> bool:
    """Return whether the record is a snapshot."""
    return "snapshot" in record.data


def fold(
    state: ConfigState, record: LogRecord, recent_changes: int = RECENT_CHANGES
) -> tuple[ConfigState, FoldResult | None]:
    """Return the state after one record, and the result unless it is a snapshot or an inquiry.

    The record must be the one directly after `state.as_of`.

    >>> record = LogRecord(0, 0, Change("c1", -1, "base", {}, "ann").to_record())
    >>> state, result = fold(ConfigState(), record)
    >>> state.revision, str(result.status)
    (0, 'accepted')
    """
    if record.offset != state.as_of + 1:
        raise ValueError(f"record {record.offset} does not follow offset {state.as_of}")
    state = replace(state, as_of=record.offset)
    if is_snapshot(record) or inquiry_id(record) is not None:
        return state, None
    if is_restart(record):
        return _fold_restart(state, record)
    try:
        change = Change.from_record(record.data)
    except RecordError:
        return state, _result(state, record, Status.MALFORMED, None)
    if state.find_processed(change.change_id):
        return state, _result(state, record, Status.DUPLICATE, change)
    accepted = change.expected_revision == state.revision
    result = _result(state, record, Status.ACCEPTED if accepted else Status.CONFLICT, change)
    processed = ProcessedChange(change.change_id, record.offset, accepted, change.digest())
    state = replace(state, recent=(*state.recent, processed)[-recent_changes:])
    if accepted:
        state = replace(
            state,
            revision=record.offset,
            layers={**state.layers, change.layer: change.document},
            last_change=LastChange(change.change_id, change.layer, change.author),
        )
        result = replace(result, revision=record.offset)
    return state, result


def _fold_restart(state: ConfigState, record: LogRecord) -> tuple[ConfigState, FoldResult]:
    try:
        restart = ConfigRestart.from_record(record.data)
    except RecordError:
        return state, _result(state, record, Status.MALFORMED, None)
    if not is_at_expected_offset(restart, record.offset):
        return state, _result(state, record, Status.CONFLICT, restart.as_change())
    result = _result(state, record, Status.RESTARTED, restart.as_change())
    return restart.state_at(record.offset), replace(result, revision=record.offset)


def _result(
    state: ConfigState, record: LogRecord, status: Status, change: Change | None
) -> FoldResult:
    return FoldResult(
        record.offset, record.time_ms, status, change, state.revision, state.last_change
    )
