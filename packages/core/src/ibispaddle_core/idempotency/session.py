"""State machine of a call that must run at most once."""

from dataclasses import dataclass, replace
from enum import StrEnum

from ..runstate import RunState
from .records import Outcome

RETRY_AFTER_MS = 1_000


class State(StrEnum):
    """State of a call."""

    CLAIMING = "claiming"  # Its claim is queued or appended, but not yet read from the stream.
    WAITING = "waiting"  # Another claim came first; waits for its outcome.
    SENDING = "sending"  # The call may be sent once.
    DONE = "done"


class Reason(StrEnum):
    """Reason for the refusal of a call."""

    LOG_UNAVAILABLE = "log_unavailable"
    DEADLINE = "deadline_passed"
    OTHER_REQUEST = "key_used_for_another_request"
    KEY_EXPIRED = "key_older_than_window"
    KEY_FUTURE = "key_from_the_future"
    KEY_TIME_MISSING = "key_without_creation_time"
    NOT_COVERED = "earlier_claims_not_read"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BODY_UNAVAILABLE = "recorded_body_unavailable"


@dataclass(frozen=True)
class Session:
    """A call and its current claim."""

    base_id: str
    key_hash: str
    request_hash: str
    created_ms: int | None
    deadline_ms: int
    state: State = State.CLAIMING
    attempt: int = 0
    # The current claim has lost, but was not read and may still be appended to the stream.
    may_still_arrive: bool = False

    @property
    def claim_id(self) -> str:
        """Return the id of the current claim; each attempt has its own claim id."""
        return f"{self.base_id}.{self.attempt}"


# Events


@dataclass(frozen=True)
class ClaimWon:
    """The session's claim was read and holds its key."""

    now_ms: int


@dataclass(frozen=True)
class ClaimLost:
    """Another claim came first.

    Unless `is_final`, the session's claim was not read and may still be appended to the stream; it
    would then hold the key if the other claim is released.
    """

    same_request: bool
    outcome: Outcome | None
    is_final: bool = True


@dataclass(frozen=True)
class ClaimVoid:
    """The session's claim was read and is not valid."""


@dataclass(frozen=True)
class ClaimRefused:
    """The log refused to append the claim.

    Unless `is_certain`, another committer may have appended it.
    """

    is_certain: bool = True


@dataclass(frozen=True)
class KeyFreed:
    """The claim that held the key was released."""


@dataclass(frozen=True)
class KeySettled:
    """The outcome of the claim that holds the key is recorded."""

    outcome: Outcome


@dataclass(frozen=True)
class DeadlinePassed:
    """The call's deadline has passed; `has_other_holder` is set if another claim holds the key."""

    has_other_holder: bool


@dataclass(frozen=True)
class CallCompleted:
    """The upstream returned a complete response."""

    outcome: Outcome


@dataclass(frozen=True)
class CallNotSent:
    """No byte of the call was written to any upstream socket, and none will be."""


@dataclass(frozen=True)
class CallUnknown:
    """Bytes of the call were written, but no complete response was received."""


Event = (
    ClaimWon
    | ClaimLost
    | ClaimVoid
    | ClaimRefused
    | KeyFreed
    | KeySettled
    | DeadlinePassed
    | CallCompleted
    | CallNotSent
    | CallUnknown
)


# Decisions


@dataclass(frozen=True)
class AppendClaim:
    """Append the session's claim."""


@dataclass(frozen=True)
class AppendRelease:
    """Append a release of the session's claim."""


@dataclass(frozen=True)
class AppendOutcome:
    """Append the outcome of the session's claim."""

    outcome: Outcome


@dataclass(frozen=True)
class Send:
    """Send the call once, unless the deadline has passed before its first byte is written."""

    deadline_ms: int


@dataclass(frozen=True)
class Replay:
    """Respond with the recorded outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class Refuse:
    """Refuse the call; this session did not send it and never will."""

    run_state: RunState
    reason: Reason
    retry_after_ms: int | None = None


Decision = AppendClaim | AppendRelease | AppendOutcome | Send | Replay | Refuse


def transition(session: Session, event: Event) -> tuple[Session, tuple[Decision, ...]]:
    """Apply an event; return the new session and the decisions. Inapplicable events are ignored."""
    done = replace(session, state=State.DONE)
    # If the claim were appended after the holder's release, it would block the key.
    pending_release: tuple[Decision, ...] = (AppendRelease(),) if session.may_still_arrive else ()
    match session.state, event:
        case State.CLAIMING | State.WAITING, ClaimWon(now_ms):
            if now_ms >= session.deadline_ms:
                return done, (AppendRelease(), Refuse(RunState.NOT_RUN, Reason.DEADLINE, 0))
            return replace(session, state=State.SENDING), (Send(session.deadline_ms),)
        case State.CLAIMING, ClaimLost(same_request, outcome, is_final):
            if not same_request:
                refusal = Refuse(RunState.NOT_RUN, Reason.OTHER_REQUEST)
                return done, (refusal,) if is_final else (AppendRelease(), refusal)
            if outcome is not None:
                return done, (decision_for_outcome(outcome),)
            return replace(session, state=State.WAITING, may_still_arrive=not is_final), ()
        case State.CLAIMING, ClaimVoid():
            refusal = Refuse(RunState.UNKNOWN, Reason.NOT_COVERED)
            return done, (AppendRelease(), refusal)
        case State.CLAIMING, ClaimRefused(is_certain):
            refusal = Refuse(RunState.NOT_RUN, Reason.LOG_UNAVAILABLE, RETRY_AFTER_MS)
            return done, (refusal,) if is_certain else (AppendRelease(), refusal)
        case State.CLAIMING, DeadlinePassed(has_other_holder):
            # The claim may still be appended; the release prevents it from blocking the key.
            run_state = RunState.UNKNOWN if has_other_holder else RunState.NOT_RUN
            return done, (AppendRelease(), Refuse(run_state, Reason.DEADLINE, RETRY_AFTER_MS))
        case State.WAITING, KeyFreed():
            claiming = replace(
                session, state=State.CLAIMING, attempt=session.attempt + 1, may_still_arrive=False
            )
            return claiming, (*pending_release, AppendClaim())
        case State.WAITING, KeySettled(outcome):
            return done, (decision_for_outcome(outcome),)
        case State.WAITING, DeadlinePassed():
            return done, (*pending_release, Refuse(RunState.UNKNOWN, Reason.OUTCOME_UNKNOWN))
        case State.SENDING, CallCompleted(outcome):
            return done, (AppendOutcome(outcome),)
        case State.SENDING, CallNotSent():
            return done, (AppendRelease(),)
        case State.SENDING, CallUnknown():
            return done, (AppendOutcome(Outcome(None)),)
    return session, ()


def decision_for_outcome(outcome: Outcome) -> Replay | Refuse:
    """Return the decision that corresponds to a recorded outcome."""
    if outcome.status is None:
        return Refuse(RunState.UNKNOWN, Reason.OUTCOME_UNKNOWN)
    if outcome.body is None:
        return Refuse(RunState.UNKNOWN, Reason.BODY_UNAVAILABLE)
    return Replay(outcome)
