"""Committer of one partition: batches the claims of all instances and reads what became of them."""

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

# An instance asks again every 500 ms, so an older ask is of an instance or call that has ended.
ASK_KEEP_MS = 10_000
USER_KEEP_MS = 10_000
# From this number of users on, the interval between two appends doubles: 8 partitions then take at
# most 80 appends a second of the log's 300. Fewer users keep the shorter wait.
MANY_USERS = 10


@dataclass
class _Ask:
    instance_id: str
    claim: Claim
    asked_ms: int
    is_query: bool = False
    queued: bool = False
    lost: bool = False  # The instance was told that another claim came first.


class Committer:
    """Append claims and answer what the order of the stream says about them.

    Several instances can be committer of a partition at the same time, and a committer may be paused
    for any time. This does no harm: it declares a claim the winner only after it has read that claim
    as the first of its key, and every reader of the stream finds the same first claim.
    """

    def __init__(self, prefix: str, window_ms: int, retention_ms: int, interval_ms: int) -> None:
        self.table = ClaimTable(window_ms, retention_ms)
        self.queue = AppendQueue(prefix, interval_ms, window_ms)
        self.is_ready = False
        self._prefix = prefix
        self._interval_ms = interval_ms
        self._asks: dict[str, _Ask] = {}
        self._by_key: defaultdict[str, set[str]] = defaultdict(set)
        self._notes: defaultdict[str, set[str]] = defaultdict(set)  # Instances by claim id.
        self._users: dict[str, int] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is to be appended or answered."""
        return not (self._asks or self._notes or len(self.queue))

    def receive(
        self, instance_id: str, message: CommitterRequest, now_ms: int, log_available: bool
    ) -> list[OutgoingMessage]:
        """Handle a message of an instance with calls."""
        self._count_user(instance_id, now_ms)
        match message:
            case ClaimRequest():
                return self._receive_ask(instance_id, message, now_ms, log_available)
            case ClaimUpdate():
                return self._receive_note(instance_id, message, now_ms)

    def _receive_ask(
        self, instance_id: str, message: ClaimRequest, now_ms: int, log_available: bool
    ) -> list[OutgoingMessage]:
        claim = message.claim
        ask = self._asks.setdefault(claim.claim_id, _Ask(instance_id, claim, now_ms))
        ask.asked_ms, ask.instance_id = now_ms, instance_id
        ask.is_query = ask.is_query or message.is_query
        self._by_key[claim.key_hash].add(claim.claim_id)
        if self.is_ready:
            return self._decide(ask, now_ms, log_available)
        return [self._answer(ask, ClaimVerdict.PENDING if log_available else ClaimVerdict.REFUSED)]

    def _decide(self, ask: _Ask, now_ms: int, log_available: bool) -> list[OutgoingMessage]:
        claim = ask.claim
        notice = self.table.verdict(claim)
        if ask.queued and not self.table.has_read(claim):
            # Its place in the stream decides, also when another claim of the key was read before.
            is_contested = isinstance(notice, Lost)
            return [
                self._answer(ask, ClaimVerdict.CONTESTED if is_contested else ClaimVerdict.PENDING)
            ]
        if notice is not None:
            return [self._answer_notice(ask, notice)]
        if ask.is_query:
            return [self._answer(ask, ClaimVerdict.FREED)]
        if not log_available:
            return [self._answer(ask, ClaimVerdict.REFUSED)]
        if claim.created_ms is not None and not self.table.covers(claim.created_ms):
            return [self._answer(ask, ClaimVerdict.VOID)]
        if not self.queue.contains(claim.claim_id):
            self.queue.add(claim, now_ms)
        ask.queued = True
        return []

    def _receive_note(
        self, instance_id: str, note: ClaimUpdate, now_ms: int
    ) -> list[OutgoingMessage]:
        claim_id = note.claim_id
        self._forget(claim_id)
        if self.table.includes(note.entry):
            return [OutgoingMessage(instance_id, ClaimUpdateAck(claim_id, True))]
        is_repeated = claim_id in self._notes
        if is_repeated:
            self._notes[claim_id].add(instance_id)
            return [OutgoingMessage(instance_id, ClaimUpdateAck(claim_id, False))]
        if not self.queue.add(note.entry, now_ms, may_cancel=note.sent_once):
            return [OutgoingMessage(instance_id, ClaimUpdateAck(claim_id, True))]
        self._notes[claim_id].add(instance_id)
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
        """Fold a page of the stream; `next_offset` is the end of the stream when it was read."""
        notices = self.table.read_page(first_offset, records, wall_ms)
        outgoing: list[OutgoingMessage] = []
        for record in records:
            batch_id = record.data.get("batch")
            if isinstance(batch_id, str) and batch_id.startswith(f"{self._prefix}/"):
                outgoing += self.appended(batch_id)
        for notice in notices:
            outgoing += self._apply(notice)
        if not self.is_ready and self.table.position >= next_offset:
            self.is_ready = True
            for ask in list(self._asks.values()):
                outgoing += self._decide(ask, now_ms, log_available)
        return outgoing

    def appended(self, batch_id: str) -> list[OutgoingMessage]:
        """Record that a batch is in the stream."""
        return self._confirm(self.queue.appended(batch_id))

    def append_refused(self, batch_id: str, now_ms: int, outage: bool) -> list[OutgoingMessage]:
        """Record a refused append; in an outage its claims are refused."""
        return [
            self._answer(ask, ClaimVerdict.REFUSED)
            for claim_id in self.queue.refused(batch_id, now_ms, drop_claims=outage)
            if (ask := self._asks.get(claim_id)) is not None
        ]

    def tick(self, now_ms: int) -> None:
        """Forget asks that were not repeated, and notes that left the queue because of their age."""
        for claim_id, ask in list(self._asks.items()):
            if now_ms - ask.asked_ms > ASK_KEEP_MS:
                self._forget(claim_id)
        for claim_id in list(self._notes):
            if not self.queue.contains(claim_id):
                del self._notes[claim_id]

    def _count_user(self, instance_id: str, now_ms: int) -> None:
        self._users.pop(instance_id, None)
        self._users[instance_id] = now_ms
        while now_ms - next(iter(self._users.values())) > USER_KEEP_MS:
            del self._users[next(iter(self._users))]
        factor = 2 if len(self._users) >= MANY_USERS else 1
        self.queue.interval_ms = factor * self._interval_ms

    def _confirm(self, entries: list[Entry]) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(instance_id, ClaimUpdateAck(entry.claim_id, True))
            for entry in entries
            if not isinstance(entry, Claim)
            for instance_id in sorted(self._notes.pop(entry.claim_id, ()))
        ]

    def _apply(self, notice: TableEvent) -> list[OutgoingMessage]:
        match notice:
            case Won(claim_id) | Lost(claim_id) | Void(claim_id):
                ask = self._asks.get(claim_id)
                return [] if ask is None else [self._answer_notice(ask, notice)]
            case Freed(key_hash) | Settled(key_hash):
                asks = [self._asks[item] for item in sorted(self._by_key.get(key_hash, ()))]
                return [self._answer_notice(ask, notice) for ask in asks if ask.lost]

    def _answer_notice(self, ask: _Ask, notice: TableEvent) -> OutgoingMessage:
        match notice:
            case Won():
                return self._answer(ask, ClaimVerdict.WON)
            case Void():
                return self._answer(ask, ClaimVerdict.VOID)
            case Freed():
                return self._answer(ask, ClaimVerdict.FREED)
            case Lost(_, _, False, _):
                return self._answer(ask, ClaimVerdict.OTHER_REQUEST)
            case Lost(_, _, True, None):
                ask.lost = True
                return self._answer(ask, ClaimVerdict.LOST)
            case Lost(_, _, _, outcome) | Settled(_, outcome):
                return self._answer(ask, ClaimVerdict.SETTLED, outcome)

    def _answer(
        self, ask: _Ask, verdict: ClaimVerdict, outcome: Outcome | None = None
    ) -> OutgoingMessage:
        if verdict not in (ClaimVerdict.PENDING, ClaimVerdict.CONTESTED, ClaimVerdict.LOST):
            self._forget(ask.claim.claim_id)
        is_read = self.table.has_read(ask.claim)
        entry = self.table.get(ask.claim.key_hash)
        holder = entry.holder or "" if entry is not None and outcome is not None else ""
        answer = ClaimResponse(ask.claim.claim_id, verdict, outcome, is_read, holder)
        return OutgoingMessage(ask.instance_id, answer)

    def _forget(self, claim_id: str) -> None:
        ask = self._asks.pop(claim_id, None)
        if ask is not None:
            waiting = self._by_key[ask.claim.key_hash]
            waiting.discard(claim_id)
            if not waiting:
                del self._by_key[ask.claim.key_hash]
