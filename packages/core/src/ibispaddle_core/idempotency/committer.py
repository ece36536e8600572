"""Committer of a partition: appends claims in batches and reads the result from the stream."""

from collections import defaultdict
from dataclasses import dataclass

from ..configuration import LogRecord
from .messages import (
    ClaimRequest,
    ClaimResponse,
    ClaimUpdate,
    ClaimUpdateAck,
    ClaimVerdict,
    CommitterRequest,
    OutgoingMessage,
)
from .queue import AppendQueue
from .records import Claim, Entry, Outcome
from .table import ClaimTable, Freed, Lost, Settled, TableEvent, Void, Won

# Instances repeat a request every 500 ms; the instance or call of an older one has ended.
REQUEST_TTL_MS = 10_000
CLIENT_TTL_MS = 10_000
# From this number of client instances on, the interval between appends doubles: 8 partitions then
# use at most 80 of the 300 appends per second that the log accepts. Smaller fleets keep the lower
# latency.
MANY_CLIENTS = 10


@dataclass
class _PendingRequest:
    instance_id: str
    claim: Claim
    requested_ms: int
    is_query: bool = False
    is_queued: bool = False
    lost_sent: bool = False  # A LOST response was sent.


class Committer:
    """Append claims and report which claim of each key comes first in the stream.

    Several instances can act as committer of a partition at the same time, and a committer can be
    paused for any time. Both are safe: a claim wins only after the committer has read it from the
    stream as the first of its key, and all readers of the stream find the same first claim.
    """

    def __init__(self, prefix: str, window_ms: int, retention_ms: int, interval_ms: int) -> None:
        self.table = ClaimTable(window_ms, retention_ms)
        self.queue = AppendQueue(prefix, interval_ms, window_ms)
        self.is_ready = False
        self._prefix = prefix
        self._interval_ms = interval_ms
        self._requests: dict[str, _PendingRequest] = {}
        self._claims_by_key: defaultdict[str, set[str]] = defaultdict(set)
        self._updates: defaultdict[str, set[str]] = defaultdict(set)  # Maps claim id to instances.
        self._clients: dict[str, int] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no entry is queued and no response is outstanding."""
        return not (self._requests or self._updates or len(self.queue))

    def receive(
        self, instance_id: str, message: CommitterRequest, now_ms: int, log_available: bool
    ) -> list[OutgoingMessage]:
        """Handle a message of a client instance."""
        self._record_client(instance_id, now_ms)
        match message:
            case ClaimRequest():
                return self._receive_request(instance_id, message, now_ms, log_available)
            case ClaimUpdate():
                return self._receive_update(instance_id, message, now_ms)

    def _receive_request(
        self, instance_id: str, message: ClaimRequest, now_ms: int, log_available: bool
    ) -> list[OutgoingMessage]:
        claim = message.claim
        request = self._requests.setdefault(
            claim.claim_id, _PendingRequest(instance_id, claim, now_ms)
        )
        request.requested_ms, request.instance_id = now_ms, instance_id
        request.is_query = request.is_query or message.is_query
        self._claims_by_key[claim.key_hash].add(claim.claim_id)
        if self.is_ready:
            return self._decide(request, now_ms, log_available)
        return [
            self._respond(request, ClaimVerdict.PENDING if log_available else ClaimVerdict.REFUSED)
        ]

    def _decide(
        self, request: _PendingRequest, now_ms: int, log_available: bool
    ) -> list[OutgoingMessage]:
        claim = request.claim
        event = self.table.verdict(claim)
        if request.is_queued and not self.table.has_read(claim):
            # Wait for its position in the stream, even if another claim of the key was read before.
            is_contested = isinstance(event, Lost)
            return [
                self._respond(
                    request, ClaimVerdict.CONTESTED if is_contested else ClaimVerdict.PENDING
                )
            ]
        if event is not None:
            return [self._respond_to_event(request, event)]
        if request.is_query:
            return [self._respond(request, ClaimVerdict.FREED)]
        if not log_available:
            return [self._respond(request, ClaimVerdict.REFUSED)]
        if claim.created_ms is not None and not self.table.covers(claim.created_ms):
            return [self._respond(request, ClaimVerdict.VOID)]
        if not self.queue.contains(claim.claim_id):
            self.queue.add(claim, now_ms)
        request.is_queued = True
        return []

    def _receive_update(
        self, instance_id: str, update: ClaimUpdate, now_ms: int
    ) -> list[OutgoingMessage]:
        claim_id = update.claim_id
        self._remove_request(claim_id)
        if self.table.includes(update.entry):
            return [OutgoingMessage(instance_id, ClaimUpdateAck(claim_id, True))]
        is_repeated = claim_id in self._updates
        if is_repeated:
            self._updates[claim_id].add(instance_id)
            return [OutgoingMessage(instance_id, ClaimUpdateAck(claim_id, False))]
        if not self.queue.add(update.entry, now_ms, may_cancel=update.sent_once):
            return [OutgoingMessage(instance_id, ClaimUpdateAck(claim_id, True))]
        self._updates[claim_id].add(instance_id)
        return []

    def read_page(
        self,
        first_offset: int,
        records: list[LogRecord],
        next_offset: int,
        now_ms: int,
        wall_ms: int,
        log_available: bool = True,
    ) -> list[OutgoingMessage]:
        """Apply a page of the stream; `next_offset` was the end of the stream when it was read."""
        events = self.table.read_page(first_offset, records, wall_ms)
        outgoing: list[OutgoingMessage] = []
        for record in records:
            batch_id = record.data.get("batch")
            if isinstance(batch_id, str) and batch_id.startswith(f"{self._prefix}/"):
                outgoing += self.appended(batch_id)
        for event in events:
            outgoing += self._apply_event(event)
        if not self.is_ready and self.table.position >= next_offset:
            self.is_ready = True
            for request in list(self._requests.values()):
                outgoing += self._decide(request, now_ms, log_available)
        return outgoing

    def appended(self, batch_id: str) -> list[OutgoingMessage]:
        """Record that a batch was appended to the stream."""
        return self._acknowledge(self.queue.appended(batch_id))

    def append_refused(self, batch_id: str, now_ms: int, outage: bool) -> list[OutgoingMessage]:
        """Record a refused append; during an outage, its claims are refused."""
        return [
            self._respond(request, ClaimVerdict.REFUSED)
            for claim_id in self.queue.refused(batch_id, now_ms, drop_claims=outage)
            if (request := self._requests.get(claim_id)) is not None
        ]

    def refuse_unread(self) -> list[OutgoingMessage]:
        """Refuse all requests if the stream has not been read, so that no claim is queued."""
        if self.is_ready:
            return []
        return [
            self._respond(request, ClaimVerdict.REFUSED)
            for request in list(self._requests.values())
        ]

    def tick(self, now_ms: int) -> None:
        """Remove requests that are no longer repeated, and updates that expired in the queue."""
        for claim_id, request in list(self._requests.items()):
            if now_ms - request.requested_ms > REQUEST_TTL_MS:
                self._remove_request(claim_id)
        for claim_id in list(self._updates):
            if not self.queue.contains(claim_id):
                del self._updates[claim_id]

    def _record_client(self, instance_id: str, now_ms: int) -> None:
        self._clients.pop(instance_id, None)
        self._clients[instance_id] = now_ms
        while now_ms - next(iter(self._clients.values())) > CLIENT_TTL_MS:
            del self._clients[next(iter(self._clients))]
        factor = 2 if len(self._clients) >= MANY_CLIENTS else 1
        self.queue.interval_ms = factor * self._interval_ms

    def _acknowledge(self, entries: list[Entry]) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(instance_id, ClaimUpdateAck(entry.claim_id, True))
            for entry in entries
            if not isinstance(entry, Claim)
            for instance_id in sorted(self._updates.pop(entry.claim_id, ()))
        ]

    def _apply_event(self, event: TableEvent) -> list[OutgoingMessage]:
        match event:
            case Won(claim_id) | Lost(claim_id) | Void(claim_id):
                request = self._requests.get(claim_id)
                return [] if request is None else [self._respond_to_event(request, event)]
            case Freed(key_hash) | Settled(key_hash):
                requests = [
                    self._requests[item] for item in sorted(self._claims_by_key.get(key_hash, ()))
                ]
                return [
                    self._respond_to_event(request, event)
                    for request in requests
                    if request.lost_sent
                ]

    def _respond_to_event(self, request: _PendingRequest, event: TableEvent) -> OutgoingMessage:
        match event:
            case Won():
                return self._respond(request, ClaimVerdict.WON)
            case Void():
                return self._respond(request, ClaimVerdict.VOID)
            case Freed():
                return self._respond(request, ClaimVerdict.FREED)
            case Lost(_, _, False, _):
                return self._respond(request, ClaimVerdict.OTHER_REQUEST)
            case Lost(_, _, True, None):
                request.lost_sent = True
                return self._respond(request, ClaimVerdict.LOST)
            case Lost(_, _, _, outcome) | Settled(_, outcome):
                return self._respond(request, ClaimVerdict.SETTLED, outcome)

    def _respond(
        self, request: _PendingRequest, verdict: ClaimVerdict, outcome: Outcome | None = None
    ) -> OutgoingMessage:
        if verdict not in (ClaimVerdict.PENDING, ClaimVerdict.CONTESTED, ClaimVerdict.LOST):
            self._remove_request(request.claim.claim_id)
        is_read = self.table.has_read(request.claim)
        entry = self.table.get(request.claim.key_hash)
        holder = entry.holder or "" if entry is not None and outcome is not None else ""
        response = ClaimResponse(request.claim.claim_id, verdict, outcome, is_read, holder)
        return OutgoingMessage(request.instance_id, response)

    def _remove_request(self, claim_id: str) -> None:
        request = self._requests.pop(claim_id, None)
        if request is not None:
            claim_ids = self._claims_by_key[request.claim.key_hash]
            claim_ids.discard(claim_id)
            if not claim_ids:
                del self._claims_by_key[request.claim.key_hash]
