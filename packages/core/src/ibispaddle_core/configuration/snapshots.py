"""When a live instance appends a snapshot."""

import random

from .reader import ConfigReader

# A snapshot has to be renewed long before the log drops it, also after a long log outage.
_RETENTION_PARTS = 4
# Each rank waits longer than the one before, so that usually one instance appends. The step is longer
# than a change needs to reach all readers (4 s).
_RANK_STEP_MS = 10_000
_JITTER_MS = 5_000


def snapshot_due_ms(reader: ConfigReader, rank: int, retention_ms: int, seed: int) -> int | None:
    """Return the log time at which the instance of this rank appends a snapshot.

    Returns None while there is nothing to save or the state is not current. Duplicates are harmless,
    so the rank may come from an outdated view.
    """
    state = reader.state
    if state is None or state.as_of < 0 or not reader.current:
        return None
    covered = reader.snapshot_time_ms()
    since = covered if covered is not None else reader.oldest_time_ms()
    delay = rank * _RANK_STEP_MS + random.Random(f"{seed}-{since}").randrange(_JITTER_MS)
    if since is None:
        return delay  # No retained record is known; the snapshot is overdue.
    return since + retention_ms // _RETENTION_PARTS + delay
