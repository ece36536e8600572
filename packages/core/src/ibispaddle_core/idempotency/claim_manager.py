"""All sessions of one instance and the messages that they exchange with the committers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..runstate import RunState
from .bodies import BodyFetcher, LongBodyStore
from .committer_client import CommitterClient
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
    transition,
)

CallDecision = Send | Replay | Refuse
_BODY_UNAVAILABLE = Refuse(RunState.UNKNOWN, Reason.BODY_UNAVAILABLE)
SendResult = CallCompleted | CallNotSent | CallUnknown


@dataclass(frozen=True)
class DecidedCall:
    """A call and the decision about it."""

    call_id: str
    decision: CallDecision


@dataclass
class _Call:
    call_id: str
    session: Session
    claim_ids: list[str] = field(default_factory=list)
    holder: str = ""  # Id of the claim whose outcome was recorded.
    is_contested: bool = False  # A committer reported that another claim holds the key.


class ClaimManager:
    """Decide for each call whether it is sent, answered from the log, or refused.

    `prefix` identifies the instance and its boot, which makes claim ids unique across restarts.
    `committers_for` returns the candidate committers of a partition in order of preference. The
    caller delivers the messages that `due_messages` returns.
    """

    def __init__(
        self, prefix: str, window_ms: int, committers_for: Callable[[int], Sequence[str]]
    ) -> None:
        own_id = prefix.partition("/")[0]
        self.committer_client = CommitterClient(committers_for, own_id)
        self._prefix = prefix
        self._window_ms = window_ms
        self._sequence = 0
        self._calls: dict[str, _Call] = {}
        self._calls_by_claim_id: dict[str, _Call] = {}
        self.long_bodies = LongBodyStore()
        self._body_fetcher = BodyFetcher()

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
        """Start a call; all times are monotonic except `wall_ms`."""
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
        self._request_claim(call, now_ms)
        return []

    def receive(
        self, instance_id: str, message: CommitterResponse, now_ms: int
    ) -> list[DecidedCall]:
        """Handle a response of a committer."""
        if isinstance(message, ClaimUpdateAck):
            if message.in_stream:
                self.committer_client.remove(message.claim_id)
            else:
                self.committer_client.record_response(message.claim_id, instance_id, now_ms)
            return []
        call = self._calls_by_claim_id.get(message.claim_id)
        if call is None or call.session.claim_id != message.claim_id:
            return []
        if message.verdict is ClaimVerdict.REFUSED:
            # The log may be available to another committer.
            if self.committer_client.record_refusal(message.claim_id, instance_id, now_ms):
                return []
        else:
            self.committer_client.record_response(message.claim_id, instance_id, now_ms)
            call.is_contested = message.verdict is ClaimVerdict.CONTESTED
        call.holder = message.holder
        decided: list[DecidedCall] = []
        for event in self._session_events(message, now_ms):
            if call.session.state is not State.DONE:
                decided += self._apply_event(call, event, now_ms)
        return decided

    def receive_body(self, instance_id: str, reply: BodyReply) -> list[DecidedCall]:
        """Complete the calls that were waiting for a long body."""
        outcome = reply.outcome
        has_body = outcome is not None and outcome.body is not None
        decision = Replay(outcome) if outcome is not None and has_body else _BODY_UNAVAILABLE
        return [
            DecidedCall(call_id, decision)
            for call_id in self._body_fetcher.receive(instance_id, reply)
        ]

    def due_messages(self, now_ms: int) -> list[OutgoingMessage]:
        """Return the messages that are due to be sent."""
        return self._body_fetcher.take_outgoing() + self.committer_client.due_messages(now_ms)

    def _session_events(self, message: ClaimResponse, now_ms: int) -> tuple[Event, ...]:
        # A claim that was sent more than once may still be queued at another committer.
        was_sent_once = self.committer_client.send_count(message.claim_id) == 1
        is_final = message.is_read or was_sent_once
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
                # The earlier LOST response may not have arrived.
                return (ClaimLost(True, None, is_final), KeyFreed())
            case ClaimVerdict.VOID:
                return (ClaimVoid(),)
            case ClaimVerdict.REFUSED:
                return (ClaimRefused(self.committer_client.is_unsent(message.claim_id)),)
        return ()

    def finish_call(self, call_id: str, result: SendResult, now_ms: int) -> None:
        """Record the result of a call for which `Send` was returned."""
        call = self._calls.get(call_id)
        if call is not None:
            self._apply_event(call, result, now_ms)

    def tick(self, now_ms: int) -> list[DecidedCall]:
        """Refuse the calls whose deadline has passed, except those that are being sent."""
        decided = [
            DecidedCall(call_id, _BODY_UNAVAILABLE) for call_id in self._body_fetcher.expire(now_ms)
        ]
        for call in list(self._calls.values()):
            session = call.session
            if now_ms >= session.deadline_ms and session.state is not State.SENDING:
                has_other_holder = call.is_contested or self._is_key_running(session.key_hash)
                decided += self._apply_event(call, DeadlinePassed(has_other_holder), now_ms)
        return decided

    def _is_key_running(self, key_hash: str) -> bool:
        return any(
            call.session.key_hash == key_hash and call.session.state is State.SENDING
            for call in self._calls.values()
        )

    def next_deadline_ms(self) -> int | None:
        """Return the next deadline of an unsent call or of a body fetch, or None."""
        deadlines = [
            call.session.deadline_ms
            for call in self._calls.values()
            if call.session.state is not State.SENDING
        ]
        fetch_ms = self._body_fetcher.next_due_ms()
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

    def _apply_event(self, call: _Call, event: Event, now_ms: int) -> list[DecidedCall]:
        session = call.session
        call.session, decisions = transition(session, event)
        decided = []
        for decision in decisions:
            match decision:
                case AppendClaim():
                    self._request_claim(call, now_ms)
                case AppendRelease():
                    self._release(session, event, now_ms)
                case AppendOutcome(outcome):
                    self.long_bodies.add(session.key_hash, session.claim_id, outcome)
                    settlement = Settlement(session.claim_id, session.key_hash, outcome.logged())
                    self._send_update(ClaimUpdate(settlement), now_ms)
                case Refuse(_, Reason.BODY_UNAVAILABLE):
                    decided += self._resolve_long_body(call, now_ms)
                case Send() | Replay() | Refuse():
                    decided.append(DecidedCall(call.call_id, decision))
        sends_update = any(isinstance(item, AppendRelease | AppendOutcome) for item in decisions)
        has_new_claim = call.session.claim_id != session.claim_id
        if not sends_update and (
            has_new_claim or call.session.state in (State.SENDING, State.DONE)
        ):
            self.committer_client.remove(session.claim_id)
        elif call.session.state is State.WAITING:
            self.committer_client.replace(ClaimRequest(_claim_of(session), is_query=True))
        if call.session.state is State.DONE:
            self._remove_call(call)
        return decided

    def _request_claim(self, call: _Call, now_ms: int) -> None:
        session = call.session
        call.claim_ids.append(session.claim_id)
        self._calls_by_claim_id[session.claim_id] = call
        partition = partition_of(session.key_hash)
        self.committer_client.add(
            partition, ClaimRequest(_claim_of(session)), now_ms, now_ms + self._window_ms
        )

    def _release(self, session: Session, event: Event, now_ms: int) -> None:
        """Release the claim, unless it was never sent to a committer."""
        send_count = self.committer_client.send_count(session.claim_id)
        is_undecided = isinstance(event, DeadlinePassed) and session.state is State.CLAIMING
        if is_undecided and not send_count:
            self.committer_client.remove(session.claim_id)
            return
        release = Release(session.claim_id, session.key_hash)
        self._send_update(ClaimUpdate(release, sent_once=is_undecided and send_count == 1), now_ms)

    def _resolve_long_body(self, call: _Call, now_ms: int) -> list[DecidedCall]:
        """Replay a long body stored here, or fetch it from the instance that ran the call."""
        session = call.session
        outcome = self.long_bodies.get(session.key_hash)
        if outcome is not None:
            return [DecidedCall(call.call_id, Replay(outcome))]
        if call.holder.partition("/")[0] in ("", self._prefix.partition("/")[0]):
            return [DecidedCall(call.call_id, _BODY_UNAVAILABLE)]
        self._body_fetcher.begin(
            call.call_id, call.holder, session.key_hash, now_ms, session.deadline_ms
        )
        return []

    def _send_update(self, update: ClaimUpdate, now_ms: int) -> None:
        partition = partition_of(update.entry.key_hash)
        self.committer_client.add(partition, update, now_ms, now_ms + self._window_ms)

    def _remove_call(self, call: _Call) -> None:
        del self._calls[call.call_id]
        for claim_id in call.claim_ids:
            del self._calls_by_claim_id[claim_id]


def _claim_of(session: Session) -> Claim:
    return Claim(session.claim_id, session.key_hash, session.request_hash, session.created_ms)
