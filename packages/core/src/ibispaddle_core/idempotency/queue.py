"""Queue of the entries that a committer appends to one stream in batches."""

from dataclasses import dataclass

from .records import Claim, Entry, Release, Settlement, batch_record

MAX_BATCH_ENTRIES = 200
# Longest wait of an outcome. With one interval, 10 calls/s took all appends of an instance and the
# median claim waited 30 ms.
OUTCOME_INTERVALS = 4
MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000


@dataclass
class _Queued:
    entry: Entry
    due_ms: int
    expires_ms: int
    # Whether an append of the entry may have taken effect although its answer is missing.
    attempted: bool = False


class AppendQueue:
    """Form batches: at most one append in flight, and on average one per interval.

    Outcomes wait for some intervals so that they travel with the claims of later calls, and two
    batches may follow each other at once. Otherwise the outcome of one call, which is not urgent,
    would make the claim of the next call wait.

    After a lost answer the entries are appended again until they are confirmed. A repeated entry has
    no second effect, because entries are recognised by the claim id.
    """

    def __init__(self, prefix: str, interval_ms: int, keep_ms: int) -> None:
        self._prefix = prefix
        self.interval_ms = interval_ms
        self._keep_ms = keep_ms
        self._queue: list[_Queued] = []
        self._in_flight: list[_Queued] = []
        self._batches: dict[str, list[_Queued]] = {}  # Without answer; may be read from the stream.
        self._batch_id = ""
        self._sequence = 0
        self._not_before_ms = 0
        self._slot_ms = 0
        self._retry_ms = MIN_RETRY_MS

    def __len__(self) -> int:
        return len(self._queue) + len(self._in_flight)

    def contains(self, claim_id: str) -> bool:
        """Return whether an entry about the claim waits or is in flight."""
        return any(q.entry.claim_id == claim_id for q in (*self._queue, *self._in_flight))

    def add(self, entry: Entry, now_ms: int, may_cancel: bool = True) -> bool:
        """Queue an entry. A release of a claim that was never appended removes the claim.

        The release itself is then needed only if the claim can be in another queue, that is without
        `may_cancel`; returns whether the entry was queued.
        """
        if isinstance(entry, Release):
            claims = [
                queued
                for queued in self._queue
                if isinstance(queued.entry, Claim) and queued.entry.claim_id == entry.claim_id
            ]
            self._queue = [queued for queued in self._queue if queued not in claims]
            if may_cancel and claims and not any(queued.attempted for queued in claims):
                return False
        wait_ms = OUTCOME_INTERVALS * self.interval_ms if isinstance(entry, Settlement) else 0
        self._queue.append(_Queued(entry, now_ms + wait_ms, now_ms + self._keep_ms))
        return True

    def next_due_ms(self) -> int | None:
        """Return the earliest time of the next batch, or None if there is none."""
        if not self._queue or self._in_flight:
            return None
        return max(self._not_before_ms, min(queued.due_ms for queued in self._queue))

    def next_batch(self, now_ms: int) -> tuple[str, dict] | None:
        """Return the id and the record of the next batch if one may be appended now."""
        self._queue = [queued for queued in self._queue if queued.expires_ms > now_ms]
        due_ms = self.next_due_ms()
        if due_ms is None or now_ms < due_ms:
            return None
        self._in_flight = self._queue[:MAX_BATCH_ENTRIES]
        self._queue = self._queue[MAX_BATCH_ENTRIES:]
        self._sequence += 1
        self._batch_id = f"{self._prefix}/{self._sequence}"
        self._slot_ms = max(self._slot_ms, now_ms - self.interval_ms) + self.interval_ms
        self._not_before_ms = self._slot_ms
        return self._batch_id, batch_record(self._batch_id, [q.entry for q in self._in_flight])

    def appended(self, batch_id: str) -> list[Entry]:
        """Record that the batch is in the stream, by its answer or because it was read.

        Returns its entries at the first time.
        """
        lost = self._batches.pop(batch_id, [])
        found = [queued.entry for queued in lost]
        if batch_id == self._batch_id and self._in_flight:
            found += [queued.entry for queued in self._in_flight]
            self._in_flight = []
            self._retry_ms = MIN_RETRY_MS
        self._queue = [queued for queued in self._queue if not any(queued is q for q in lost)]
        return found

    def response_lost(self, batch_id: str, now_ms: int) -> None:
        """Queue the batch again; it may already be in the stream or arrive later."""
        if batch_id == self._batch_id and self._in_flight:
            for queued in self._in_flight:
                queued.attempted = True
            self._batches[batch_id] = list(self._in_flight)
            while len(self._batches) > 64:
                del self._batches[next(iter(self._batches))]
            self._requeue(now_ms)

    def refused(self, batch_id: str, now_ms: int, drop_claims: bool) -> list[str]:
        """Queue the batch again after the log refused it.

        With `drop_claims`, claims that are certainly not in the stream are removed; returns their
        ids.
        """
        if batch_id != self._batch_id or not self._in_flight:
            return []
        dropped = [
            queued
            for queued in self._in_flight
            if drop_claims and isinstance(queued.entry, Claim) and not queued.attempted
        ]
        self._in_flight = [queued for queued in self._in_flight if queued not in dropped]
        self._requeue(now_ms)
        return [queued.entry.claim_id for queued in dropped]

    def _requeue(self, now_ms: int) -> None:
        # Claims whose release was queued in the meantime are not appended again.
        released = {q.entry.claim_id for q in self._queue if isinstance(q.entry, Release)}
        kept = [
            queued
            for queued in self._in_flight
            if not (isinstance(queued.entry, Claim) and queued.entry.claim_id in released)
        ]
        self._queue = kept + self._queue
        self._in_flight = []
        self._not_before_ms = max(self._not_before_ms, now_ms + self._retry_ms)
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)
