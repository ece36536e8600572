"""Schedule of the snapshots that live instances append."""

import random

from .reader import ConfigReader

# A snapshot must be renewed long before the log drops it, even after a long log outage.
_SNAPSHOTS_PER_RETENTION = 4
# Each rank waits longer than the one before, so that usually only one instance appends. The delay
# is longer than the 4 s in which a record reaches all readers.
_DELAY_PER_RANK_MS = 10_000
_JITTER_MS = 5_000


def snapshot_due_ms(reader: ConfigReader, rank: int, retention_ms: int, seed: int) -> int | None:
    """Return the log time at which the instance with this rank appends a snapshot.

    Returns `None` if there is nothing to save or the state is not current. Duplicate snapshots are
    harmless, so the rank may come from an outdated view.
    """
    state = reader.state
    if state is None or state.as_of < 0 or not reader.is_current:
        return None
    covered_ms = reader.newest_snapshot_time_ms()
    since_ms = covered_ms if covered_ms is not None else reader.oldest_time_ms()
    delay_ms = rank * _DELAY_PER_RANK_MS + random.Random(f"{seed}-{since_ms}").randrange(_JITTER_MS)
    if since_ms is None:
        return delay_ms  # No retained record is known; the snapshot is overdue.
    return since_ms + retention_ms // _SNAPSHOTS_PER_RETENTION + delay_ms
