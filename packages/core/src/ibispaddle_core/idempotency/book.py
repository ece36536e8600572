"""All sessions of one instance with the claim table and the append queue."""

from collections import defaultdict
from dataclasses import dataclass, field

from ..configuration import LogRecord
from ..runstate import RunState
from .keys import KeyAge, hash_key, key_age, key_created_ms
from .queue import AppendQueue
from .records import MAX_LOGGED_BODY_BYTES, Claim, Outcome, Release, Settlement
from .session import (
    RETRY_AFTER_MS,
    AppendClaim,
    AppendOutcome,
    AppendRelease,
    CallCompleted,
    CallNotSent,
    CallUnknown,
    ClaimLost,
    ClaimRefused,
    ClaimVoid,
    ClaimWon,
    DeadlinePassed,
    Event,
    KeyFreed,
    KeySettled,
    Reason,
    Refuse,
    Replay,
    Send,
    Session,
    State,
    advance,
    answer,
)
from .table import ClaimTable, Freed, Lost, Notice, Settled, Void, Won

CallDecision = Send | Replay | Refuse
Result = CallCompleted | CallNotSent | CallUnknown
# Long bodies that the instance keeps for its own outcomes.
MAX_LONG_BODY_BYTES = 8_388_608


@dataclass(frozen=True)
class Decided:
    """The decision about a call."""

    call_id: str
    decision: CallDecision


@dataclass
class _Call:
    call_id: str
    session: Session
    claims: list[str] = field(default_factory=list)


class ClaimBook:
    """Decide for each call whether it is sent, answered from the log, or refused.

    `prefix` identifies the instance and its boot, so that claim ids are never used again.
    """

    def __init__(
        self, prefix: str, window_ms: int, retention_ms: int, batch_interval_ms: int
    ) -> None:
        self.table = ClaimTable(window_ms, retention_ms)
        self.queue = AppendQueue(prefix, batch_interval_ms, window_ms)
        self._prefix = prefix
        self._window_ms = window_ms
        self._sequence = 0
        self._calls: dict[str, _Call] = {}
        self._by_claim: dict[str, _Call] = {}
        self._by_key: defaultdict[str, dict[str, _Call]] = defaultdict(dict)
        self._long_bodies: dict[str, Outcome] = {}
        self._long_body_bytes = 0

    def request(
        self,
        call_id: str,
        key: str,
        request_hash: str,
        deadline_ms: int,
        now_ms: int,
        wall_ms: int,
        log_available: bool,
        key_time_required: bool = True,
    ) -> list[Decided]:
        """Begin a call; times are monotonic except for `wall_ms`."""
        created_ms, key_hash = key_created_ms(key), hash_key(key)
        refusal = self._check_key(created_ms, wall_ms, key_time_required)
        if refusal is not None:
            return [Decided(call_id, refusal)]
        entry = self.table.get(key_hash)
        if entry is not None and entry.holder is not None:
            if entry.request_hash != request_hash:
                return [Decided(call_id, Refuse(RunState.NOT_RUN, Reason.OTHER_REQUEST))]
            if entry.outcome is not None:
                return [Decided(call_id, self._with_long_body(key_hash, answer(entry.outcome)))]
        elif not log_available:
            refusal = Refuse(RunState.NOT_RUN, Reason.LOG_UNAVAILABLE, RETRY_AFTER_MS)
            return [Decided(call_id, refusal)]
        elif not self.table.covers(created_ms):
            return [Decided(call_id, Refuse(RunState.UNKNOWN, Reason.NOT_COVERED, RETRY_AFTER_MS))]
        self._sequence += 1
        deadline_ms = min(deadline_ms, now_ms + self._window_ms)
        session = Session(
            f"{self._prefix}/{self._sequence}", key_hash, request_hash, created_ms, deadline_ms
        )
        call = self._calls[call_id] = _Call(call_id, session)
        self._by_key[key_hash][call_id] = call
        if entry is not None and entry.holder is not None:
            # The call waits without a claim; it claims when the first claim is released.
            return self._feed(call, ClaimLost(True, None), now_ms)
        self._append_claim(call, now_ms)
        return []

    def read_page(
        self, first_offset: int, records: list[LogRecord], now_ms: int, wall_ms: int
    ) -> list[Decided]:
        """Fold a page of the stream; return the decisions it led to."""
        notices = self.table.read_page(first_offset, records, wall_ms)
        for record in records:
            batch_id = record.data.get("batch")
            if isinstance(batch_id, str) and batch_id.startswith(f"{self._prefix}/"):
                self.queue.appended(batch_id)
        decided: list[Decided] = []
        for notice in notices:
            decided += self._apply(notice, now_ms)
        return decided

    def finished(self, call_id: str, result: Result, now_ms: int) -> None:
        """Record how a call ended that was to be sent."""
        call = self._calls.get(call_id)
        if call is not None:
            self._feed(call, result, now_ms)

    def append_refused(self, batch_id: str, now_ms: int, outage: bool) -> list[Decided]:
        """Record a refused append; in an outage the calls of its claims are refused."""
        decided = []
        for claim_id in self.queue.refused(batch_id, now_ms, drop_claims=outage):
            call = self._by_claim.get(claim_id)
            if call is not None and call.session.claim_id == claim_id:
                decided += self._feed(call, ClaimRefused(), now_ms)
        return decided

    def tick(self, now_ms: int) -> list[Decided]:
        """Refuse the calls whose deadline has passed; sent calls are ended by their sender."""
        decided = []
        for call in list(self._calls.values()):
            session = call.session
            if now_ms >= session.deadline_ms and session.state is not State.SENDING:
                entry = self.table.get(session.key_hash)
                other = entry is not None and entry.holder not in (None, session.claim_id)
                decided += self._feed(call, DeadlinePassed(other), now_ms)
        return decided

    def next_deadline_ms(self) -> int | None:
        """Return the next deadline of a call that is not being sent."""
        deadlines = (
            call.session.deadline_ms
            for call in self._calls.values()
            if call.session.state is not State.SENDING
        )
        return min(deadlines, default=None)

    def _check_key(self, created_ms: int | None, wall_ms: int, required: bool) -> Refuse | None:
        match key_age(created_ms, wall_ms, self._window_ms):
            case KeyAge.MISSING if required:
                return Refuse(RunState.NOT_RUN, Reason.KEY_TIME_MISSING)
            case KeyAge.EXPIRED:
                return Refuse(RunState.UNKNOWN, Reason.KEY_EXPIRED)
            case KeyAge.FUTURE:
                return Refuse(RunState.NOT_RUN, Reason.KEY_FUTURE)
        return None

    def _apply(self, notice: Notice, now_ms: int) -> list[Decided]:
        decided: list[Decided] = []
        match notice:
            case Won(claim_id):
                decided += self._feed_claim(claim_id, ClaimWon(now_ms), now_ms)
            case Lost(claim_id, _, same_request, outcome):
                decided += self._feed_claim(claim_id, ClaimLost(same_request, outcome), now_ms)
            case Void(claim_id):
                decided += self._feed_claim(claim_id, ClaimVoid(), now_ms)
            case Freed(key_hash):
                for call in list(self._by_key.get(key_hash, {}).values()):
                    decided += self._feed(call, KeyFreed(), now_ms)
            case Settled(key_hash, outcome):
                for call in list(self._by_key.get(key_hash, {}).values()):
                    decided += self._feed(call, KeySettled(outcome), now_ms)
        return decided

    def _feed_claim(self, claim_id: str, event: Event, now_ms: int) -> list[Decided]:
        call = self._by_claim.get(claim_id)
        if call is None or call.session.claim_id != claim_id:
            return []
        return self._feed(call, event, now_ms)

    def _feed(self, call: _Call, event: Event, now_ms: int) -> list[Decided]:
        session = call.session
        call.session, decisions = advance(session, event)
        decided = []
        for decision in decisions:
            match decision:
                case AppendClaim():
                    self._append_claim(call, now_ms)
                case AppendRelease():
                    self.queue.add(Release(session.claim_id, session.key_hash), now_ms)
                case AppendOutcome(outcome):
                    self._keep_long_body(session.key_hash, outcome)
                    settlement = Settlement(session.claim_id, session.key_hash, outcome)
                    self.queue.add(settlement, now_ms)
                case Send() | Replay() | Refuse():
                    reply = self._with_long_body(session.key_hash, decision)
                    decided.append(Decided(call.call_id, reply))
        if call.session.state is State.DONE:
            self._forget(call)
        return decided

    def _append_claim(self, call: _Call, now_ms: int) -> None:
        session = call.session
        call.claims.append(session.claim_id)
        self._by_claim[session.claim_id] = call
        claim = Claim(session.claim_id, session.key_hash, session.request_hash, session.created_ms)
        self.queue.add(claim, now_ms)

    def _forget(self, call: _Call) -> None:
        del self._calls[call.call_id]
        for claim_id in call.claims:
            del self._by_claim[claim_id]
        waiting = self._by_key[call.session.key_hash]
        del waiting[call.call_id]
        if not waiting:
            del self._by_key[call.session.key_hash]

    def _keep_long_body(self, key_hash: str, outcome: Outcome) -> None:
        size = len(outcome.body or b"")
        if not MAX_LOGGED_BODY_BYTES < size <= MAX_LONG_BODY_BYTES:
            return
        self._long_bodies[key_hash] = outcome
        self._long_body_bytes += size
        while self._long_body_bytes > MAX_LONG_BODY_BYTES:
            oldest = self._long_bodies.pop(next(iter(self._long_bodies)))
            self._long_body_bytes -= len(oldest.body or b"")

    def _with_long_body(self, key_hash: str, decision: CallDecision) -> CallDecision:
        if isinstance(decision, Refuse) and decision.reason is Reason.BODY_UNAVAILABLE:
            outcome = self._long_bodies.get(key_hash)
            if outcome is not None:
                return Replay(outcome)
        return decision
