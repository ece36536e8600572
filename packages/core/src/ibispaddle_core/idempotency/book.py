"""All sessions of one instance with the messages to the committers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..runstate import RunState
from .bodies import BodyFetcher, LongBodyStore
from .courier import CommitterClient
from .keys import KeyAge, hash_key, key_age, key_created_ms
from .messages import (
    BodyReply,
    ClaimRequest,
    ClaimResponse,
    ClaimUpdate,
    ClaimUpdateAck,
    ClaimVerdict,
    CommitterResponse,
    OutgoingMessage,
)
from .partitions import partition_of
from .records import Claim, Release, Settlement
from .session import (
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
)

CallDecision = Send | Replay | Refuse
_NO_BODY = Refuse(RunState.UNKNOWN, Reason.BODY_UNAVAILABLE)
SendResult = CallCompleted | CallNotSent | CallUnknown


@dataclass(frozen=True)
class DecidedCall:
    """The decision about a call."""

    call_id: str
    decision: CallDecision


@dataclass
class _Call:
    call_id: str
    session: Session
    claims: list[str] = field(default_factory=list)
    holder: str = ""  # The claim whose outcome was recorded.
    is_contested: bool = False  # A committer has seen another claim that holds the key.


class ClaimManager:
    """Decide for each call whether it is sent, answered from the log, or refused.

    `prefix` identifies the instance and its boot, so that claim ids are never used again. The claims
    go to the committers that `choices` returns for a partition, best first; the caller delivers what
    `due_messages` returns.
    """

    def __init__(
        self, prefix: str, window_ms: int, choices: Callable[[int], Sequence[str]]
    ) -> None:
        self.committer_client = CommitterClient(choices)
        self._prefix = prefix
        self._window_ms = window_ms
        self._sequence = 0
        self._calls: dict[str, _Call] = {}
        self._by_claim: dict[str, _Call] = {}
        self.long_bodies = LongBodyStore()
        self._fetches = BodyFetcher()

    def start_call(
        self,
        call_id: str,
        key: str,
        request_hash: str,
        deadline_ms: int,
        now_ms: int,
        wall_ms: int,
        key_time_required: bool = True,
    ) -> list[DecidedCall]:
        """Begin a call; times are monotonic except for `wall_ms`."""
        created_ms, key_hash = key_created_ms(key), hash_key(key)
        refusal = self._check_key(created_ms, wall_ms, key_time_required)
        if refusal is not None:
            return [DecidedCall(call_id, refusal)]
        self._sequence += 1
        deadline_ms = min(deadline_ms, now_ms + self._window_ms)
        session = Session(
            f"{self._prefix}/{self._sequence}", key_hash, request_hash, created_ms, deadline_ms
        )
        call = self._calls[call_id] = _Call(call_id, session)
        self._ask(call, now_ms)
        return []

    def receive(
        self, instance_id: str, message: CommitterResponse, now_ms: int
    ) -> list[DecidedCall]:
        """Handle a message of a committer."""
        if isinstance(message, ClaimUpdateAck):
            if message.in_stream:
                self.committer_client.remove(message.claim_id)
            else:
                self.committer_client.record_response(message.claim_id, instance_id, now_ms)
            return []
        call = self._by_claim.get(message.claim_id)
        if call is None or call.session.claim_id != message.claim_id:
            return []
        self.committer_client.record_response(message.claim_id, instance_id, now_ms)
        call.holder = message.holder
        call.is_contested = message.verdict is ClaimVerdict.CONTESTED
        decided: list[DecidedCall] = []
        for event in self._events(message, now_ms):
            if call.session.state is not State.DONE:
                decided += self._feed(call, event, now_ms)
        return decided

    def receive_body(self, instance_id: str, reply: BodyReply) -> list[DecidedCall]:
        """Answer the calls that waited for a long body."""
        outcome = reply.outcome
        is_whole = outcome is not None and outcome.body is not None
        decision = Replay(outcome) if outcome is not None and is_whole else _NO_BODY
        return [
            DecidedCall(call_id, decision) for call_id in self._fetches.receive(instance_id, reply)
        ]

    def due_messages(self, now_ms: int) -> list[OutgoingMessage]:
        """Return the messages to send now."""
        return self._fetches.take_outgoing() + self.committer_client.due_messages(now_ms)

    def _events(self, message: ClaimResponse, now_ms: int) -> tuple[Event, ...]:
        # A claim that was sent more than once may wait in the queue of another committer.
        is_sole = self.committer_client.sent(message.claim_id) == 1
        is_final = message.is_read or is_sole
        match message.verdict:
            case ClaimVerdict.WON:
                return (ClaimWon(now_ms),)
            case ClaimVerdict.LOST:
                return (ClaimLost(True, None, is_final),)
            case ClaimVerdict.SETTLED if message.outcome is not None:
                return (ClaimLost(True, message.outcome), KeySettled(message.outcome))
            case ClaimVerdict.OTHER_REQUEST:
                return (ClaimLost(False, None, is_final),)
            case ClaimVerdict.FREED:
                # The answer that the claim had lost may itself have been lost.
                return (ClaimLost(True, None, is_final), KeyFreed())
            case ClaimVerdict.VOID:
                return (ClaimVoid(),)
            case ClaimVerdict.REFUSED:
                return (ClaimRefused(is_sole),)
        return ()

    def finish_call(self, call_id: str, result: SendResult, now_ms: int) -> None:
        """Record how a call ended that was to be sent."""
        call = self._calls.get(call_id)
        if call is not None:
            self._feed(call, result, now_ms)

    def tick(self, now_ms: int) -> list[DecidedCall]:
        """Refuse the calls whose deadline has passed; sent calls are ended by their sender."""
        decided = [DecidedCall(call_id, _NO_BODY) for call_id in self._fetches.expire(now_ms)]
        for call in list(self._calls.values()):
            session = call.session
            if now_ms >= session.deadline_ms and session.state is not State.SENDING:
                has_other_holder = call.is_contested or self._is_running(session.key_hash)
                decided += self._feed(call, DeadlinePassed(has_other_holder), now_ms)
        return decided

    def _is_running(self, key_hash: str) -> bool:
        return any(
            call.session.key_hash == key_hash and call.session.state is State.SENDING
            for call in self._calls.values()
        )

    def next_deadline_ms(self) -> int | None:
        """Return the next deadline of a call that is not being sent."""
        deadlines = [
            call.session.deadline_ms
            for call in self._calls.values()
            if call.session.state is not State.SENDING
        ]
        fetch_ms = self._fetches.next_due_ms()
        return min(deadlines if fetch_ms is None else [*deadlines, fetch_ms], default=None)

    def _check_key(self, created_ms: int | None, wall_ms: int, required: bool) -> Refuse | None:
        match key_age(created_ms, wall_ms, self._window_ms):
            case KeyAge.MISSING if required:
                return Refuse(RunState.NOT_RUN, Reason.KEY_TIME_MISSING)
            case KeyAge.EXPIRED:
                return Refuse(RunState.UNKNOWN, Reason.KEY_EXPIRED)
            case KeyAge.FUTURE:
                return Refuse(RunState.NOT_RUN, Reason.KEY_FUTURE)
        return None

    def _feed(self, call: _Call, event: Event, now_ms: int) -> list[DecidedCall]:
        session = call.session
        call.session, decisions = advance(session, event)
        decided = []
        for decision in decisions:
            match decision:
                case AppendClaim():
                    self._ask(call, now_ms)
                case AppendRelease():
                    self._release(session, event, now_ms)
                case AppendOutcome(outcome):
                    self.long_bodies.add(session.key_hash, session.claim_id, outcome)
                    settlement = Settlement(session.claim_id, session.key_hash, outcome.logged())
                    self._note(ClaimUpdate(settlement), now_ms)
                case Refuse(_, Reason.BODY_UNAVAILABLE):
                    decided += self._find_body(call, now_ms)
                case Send() | Replay() | Refuse():
                    decided.append(DecidedCall(call.call_id, decision))
        is_noted = any(isinstance(item, AppendRelease | AppendOutcome) for item in decisions)
        has_moved = call.session.claim_id != session.claim_id
        if not is_noted and (has_moved or call.session.state in (State.SENDING, State.DONE)):
            self.committer_client.remove(session.claim_id)
        elif call.session.state is State.WAITING:
            self.committer_client.replace(ClaimRequest(_claim_of(session), is_query=True))
        if call.session.state is State.DONE:
            self._forget(call)
        return decided

    def _ask(self, call: _Call, now_ms: int) -> None:
        session = call.session
        call.claims.append(session.claim_id)
        self._by_claim[session.claim_id] = call
        partition = partition_of(session.key_hash)
        self.committer_client.add(
            partition, ClaimRequest(_claim_of(session)), now_ms, now_ms + self._window_ms
        )

    def _release(self, session: Session, event: Event, now_ms: int) -> None:
        """Send the release, unless the claim itself has not left this instance."""
        sent = self.committer_client.sent(session.claim_id)
        is_unread = isinstance(event, DeadlinePassed) and session.state is State.CLAIMING
        if is_unread and not sent:
            self.committer_client.remove(session.claim_id)
            return
        release = Release(session.claim_id, session.key_hash)
        self._note(ClaimUpdate(release, sent_once=is_unread and sent == 1), now_ms)

    def _find_body(self, call: _Call, now_ms: int) -> list[DecidedCall]:
        """Replay a long body of this instance, or fetch it from the one that ran the call."""
        session = call.session
        outcome = self.long_bodies.get(session.key_hash)
        if outcome is not None:
            return [DecidedCall(call.call_id, Replay(outcome))]
        if call.holder.partition("/")[0] in ("", self._prefix.partition("/")[0]):
            return [DecidedCall(call.call_id, _NO_BODY)]
        self._fetches.begin(
            call.call_id, call.holder, session.key_hash, now_ms, session.deadline_ms
        )
        return []

    def _note(self, note: ClaimUpdate, now_ms: int) -> None:
        partition = partition_of(note.entry.key_hash)
        self.committer_client.add(partition, note, now_ms, now_ms + self._window_ms)

    def _forget(self, call: _Call) -> None:
        del self._calls[call.call_id]
        for claim_id in call.claims:
            del self._by_claim[claim_id]


def _claim_of(session: Session) -> Claim:
    return Claim(session.claim_id, session.key_hash, session.request_hash, session.created_ms)
