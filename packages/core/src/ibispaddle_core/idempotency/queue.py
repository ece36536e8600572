"""Queue of entries that a committer appends to one stream in batches."""

from dataclasses import dataclass

from .records import Claim, Entry, Release, Settlement, batch_record

MAX_BATCH_ENTRIES = 200
# Maximum delay of an outcome, in append intervals. With one interval, a load of 10 calls/s used up
# the append rate of an instance, and the median claim was delayed by 30 ms.
OUTCOME_INTERVALS = 4
MAX_UNCONFIRMED_BATCHES = 64
MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000


@dataclass
class _Queued:
    entry: Entry
    due_ms: int
    expires_ms: int
    # Whether an append without a response may have put the entry into the stream.
    was_attempted: bool = False


class AppendQueue:
    """Batch entries: at most one append in flight, and on average one per interval.

    Outcomes are not urgent and are delayed by a few intervals, so that they share a batch with
    later claims. Two batches may be appended back to back within an interval. Without both rules,
    the outcome of one call would delay the claim of the next.

    If the response to an append is lost, its entries are appended again until they are confirmed.
    Repeated entries have no effect, because entries are deduplicated by claim id.
    """

    def __init__(self, prefix: str, interval_ms: int, entry_ttl_ms: int) -> None:
        self._prefix = prefix
        self.interval_ms = interval_ms
        self._entry_ttl_ms = entry_ttl_ms
        self._queue: list[_Queued] = []
        self._in_flight: list[_Queued] = []
        # Batches without a response, which may be in the stream.
        self._unconfirmed_batches: dict[str, list[_Queued]] = {}
        self._batch_id = ""
        self._sequence = 0
        self._not_before_ms = 0
        self._paced_until_ms = 0
        self._retry_ms = MIN_RETRY_MS

    def __len__(self) -> int:
        return len(self._queue) + len(self._in_flight)

    def contains(self, claim_id: str) -> bool:
        """Return whether an entry about the claim is queued or in flight."""
        return any(q.entry.claim_id == claim_id for q in (*self._queue, *self._in_flight))

    def add(self, entry: Entry, now_ms: int, may_cancel: bool = True) -> bool:
        """Queue an entry; returns whether it was queued.

        A release removes its claim from the queue. If no append of that claim was attempted, the
        release is not queued either, unless `may_cancel` is false because another committer may
        have queued the claim too.
        """
        if isinstance(entry, Release):
            claims = [
                queued
                for queued in self._queue
                if isinstance(queued.entry, Claim) and queued.entry.claim_id == entry.claim_id
            ]
            self._queue = [queued for queued in self._queue if queued not in claims]
            if may_cancel and claims and not any(queued.was_attempted for queued in claims):
                return False
        wait_ms = OUTCOME_INTERVALS * self.interval_ms if isinstance(entry, Settlement) else 0
        self._queue.append(_Queued(entry, now_ms + wait_ms, now_ms + self._entry_ttl_ms))
        return True

    def next_due_ms(self) -> int | None:
        """Return the earliest time of the next batch, or None if no batch can be formed."""
        if not self._queue or self._in_flight:
            return None
        return max(self._not_before_ms, min(queued.due_ms for queued in self._queue))

    def next_batch(self, now_ms: int) -> tuple[str, dict] | None:
        """Return the id and the record of the next batch, or None if none is due."""
        self._queue = [queued for queued in self._queue if queued.expires_ms > now_ms]
        due_ms = self.next_due_ms()
        if due_ms is None or now_ms < due_ms:
            return None
        self._in_flight = self._queue[:MAX_BATCH_ENTRIES]
        self._queue = self._queue[MAX_BATCH_ENTRIES:]
        self._sequence += 1
        self._batch_id = f"{self._prefix}/{self._sequence}"
        self._paced_until_ms = (
            max(self._paced_until_ms, now_ms - self.interval_ms) + self.interval_ms
        )
        self._not_before_ms = self._paced_until_ms
        return self._batch_id, batch_record(self._batch_id, [q.entry for q in self._in_flight])

    def appended(self, batch_id: str) -> list[Entry]:
        """Record that a batch is in the stream, known from its response or from reading the stream.

        Returns its entries on the first call, and an empty list after that.
        """
        unconfirmed = self._unconfirmed_batches.pop(batch_id, [])
        confirmed = [queued.entry for queued in unconfirmed]
        if batch_id == self._batch_id and self._in_flight:
            confirmed += [queued.entry for queued in self._in_flight]
            self._in_flight = []
            self._retry_ms = MIN_RETRY_MS
        self._queue = [
            queued for queued in self._queue if not any(queued is q for q in unconfirmed)
        ]
        return confirmed

    def response_lost(self, batch_id: str, now_ms: int) -> None:
        """Queue the batch again; it may be in the stream already or may still be appended."""
        if batch_id == self._batch_id and self._in_flight:
            for queued in self._in_flight:
                queued.was_attempted = True
            self._unconfirmed_batches[batch_id] = list(self._in_flight)
            while len(self._unconfirmed_batches) > MAX_UNCONFIRMED_BATCHES:
                del self._unconfirmed_batches[next(iter(self._unconfirmed_batches))]
            self._requeue(now_ms)

    def refused(self, batch_id: str, now_ms: int, drop_claims: bool) -> list[str]:
        """Queue the batch again after the log refused it.

        With `drop_claims`, claims that are certainly not in the stream are removed instead; returns
        the ids of the removed claims.
        """
        if batch_id != self._batch_id or not self._in_flight:
            return []
        dropped = [
            queued
            for queued in self._in_flight
            if drop_claims and isinstance(queued.entry, Claim) and not queued.was_attempted
        ]
        self._in_flight = [queued for queued in self._in_flight if queued not in dropped]
        self._requeue(now_ms)
        return [queued.entry.claim_id for queued in dropped]

    def _requeue(self, now_ms: int) -> None:
        # Drop claims whose release has been queued in the meantime.
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
