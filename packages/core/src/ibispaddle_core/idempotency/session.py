"""State machine of one call that must run at most once."""

from dataclasses import dataclass, replace
from enum import StrEnum

from ..runstate import RunState
from .records import Outcome

RETRY_AFTER_MS = 1_000


class State(StrEnum):
    """Where the call stands."""

    CLAIMING = "claiming"  # Its claim is queued or appended and was not read yet.
    WAITING = "waiting"  # Another claim came first; its outcome is awaited.
    SENDING = "sending"  # The call may be sent, once.
    DONE = "done"


class Reason(StrEnum):
    """Why a call was refused."""

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
    """One call with the claim that is its own."""

    base_id: str
    key_hash: str
    request_hash: str
    created_ms: int | None
    deadline_ms: int
    state: State = State.CLAIMING
    attempt: int = 0
    # Whether the latest claim has lost before it was read, and may still arrive in the stream.
    is_loose: bool = False

    @property
    def claim_id(self) -> str:
        """Return the id of the latest claim; each claim has an id of its own."""
        return f"{self.base_id}.{self.attempt}"


# Events.


@dataclass(frozen=True)
class ClaimWon:
    """The own claim was read and is the first."""

    now_ms: int


@dataclass(frozen=True)
class ClaimLost:
    """Another claim came first.

    Unless `is_final`, the own claim was not read but may still arrive in the stream, and would come
    first if the other one is released.
    """

    same_request: bool
    outcome: Outcome | None
    is_final: bool = True


@dataclass(frozen=True)
class ClaimVoid:
    """The own claim was read and does not count."""


@dataclass(frozen=True)
class ClaimRefused:
    """The log refused the append.

    Unless `certain`, another committer may have appended the claim.
    """

    certain: bool = True


@dataclass(frozen=True)
class KeyFreed:
    """The first claim of the key was released."""


@dataclass(frozen=True)
class KeySettled:
    """The outcome of the key's first claim is recorded."""

    outcome: Outcome


@dataclass(frozen=True)
class DeadlinePassed:
    """The call's deadline has passed; `has_other_holder` tells whether another claim is first."""

    has_other_holder: bool


@dataclass(frozen=True)
class CallCompleted:
    """The upstream answered the call."""

    outcome: Outcome


@dataclass(frozen=True)
class CallNotSent:
    """No byte of the call was written to any upstream socket, and none will be."""


@dataclass(frozen=True)
class CallUnknown:
    """Bytes of the call were written and no whole answer came back."""


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


# Decisions.


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
    """Send the call once, if the deadline has not passed when its first byte is written."""

    deadline_ms: int


@dataclass(frozen=True)
class Replay:
    """Answer with the recorded outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class Refuse:
    """Refuse the call; it was not sent and never will be under this session."""

    run_state: RunState
    reason: Reason
    retry_after_ms: int | None = None


Decision = AppendClaim | AppendRelease | AppendOutcome | Send | Replay | Refuse


def advance(session: Session, event: Event) -> tuple[Session, tuple[Decision, ...]]:
    """Return the session after the event and what to do; an event that does not apply is ignored."""
    done = replace(session, state=State.DONE)
    # A loose claim that arrives after the first one was released would block the key.
    loose_end: tuple[Decision, ...] = (AppendRelease(),) if session.is_loose else ()
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
                return done, (answer(outcome),)
            return replace(session, state=State.WAITING, is_loose=not is_final), ()
        case State.CLAIMING, ClaimVoid():
            refusal = Refuse(RunState.UNKNOWN, Reason.NOT_COVERED)
            return done, (AppendRelease(), refusal)
        case State.CLAIMING, ClaimRefused(certain):
            refusal = Refuse(RunState.NOT_RUN, Reason.LOG_UNAVAILABLE, RETRY_AFTER_MS)
            return done, (refusal,) if certain else (AppendRelease(), refusal)
        case State.CLAIMING, DeadlinePassed(has_other_holder):
            # The claim can still arrive in the stream; the release keeps it from blocking the key.
            run_state = RunState.UNKNOWN if has_other_holder else RunState.NOT_RUN
            return done, (AppendRelease(), Refuse(run_state, Reason.DEADLINE, RETRY_AFTER_MS))
        case State.WAITING, KeyFreed():
            claiming = replace(
                session, state=State.CLAIMING, attempt=session.attempt + 1, is_loose=False
            )
            return claiming, (*loose_end, AppendClaim())
        case State.WAITING, KeySettled(outcome):
            return done, (answer(outcome),)
        case State.WAITING, DeadlinePassed():
            return done, (*loose_end, Refuse(RunState.UNKNOWN, Reason.OUTCOME_UNKNOWN))
        case State.SENDING, CallCompleted(outcome):
            return done, (AppendOutcome(outcome),)
        case State.SENDING, CallNotSent():
            return done, (AppendRelease(),)
        case State.SENDING, CallUnknown():
            return done, (AppendOutcome(Outcome(None)),)
    return session, ()


def answer(outcome: Outcome) -> Replay | Refuse:
    """Return the answer that a recorded outcome stands for."""
    if outcome.status is None:
        return Refuse(RunState.UNKNOWN, Reason.OUTCOME_UNKNOWN)
    if outcome.body is None:
        return Refuse(RunState.UNKNOWN, Reason.BODY_UNAVAILABLE)
    return Replay(outcome)
