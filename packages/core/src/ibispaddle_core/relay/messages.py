"""Events into an attempt and effects out of it."""

from dataclasses import dataclass
from enum import StrEnum

from ..runstate import RunState
from ..scheduling.messages import Outcome


@dataclass(frozen=True)
class FirstByteSent:
    """Report that at least one byte of the request was written to the upstream's socket."""


@dataclass(frozen=True)
class HeadReceived:
    """Report the head of the upstream's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class DataReceived:
    """Report a part of the response's body."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnded:
    """Report the end of the response.

    `complete` is true after a whole HTTP response; `byte_sent` repeats what the client knows.
    """

    complete: bool
    byte_sent: bool
    text: str = ""
    timed_out: bool = False


@dataclass(frozen=True)
class ReadingPaused:
    """Report that the response is not read because the caller is slow."""


@dataclass(frozen=True)
class ReadingResumed:
    """Report that the response is read again."""


@dataclass(frozen=True)
class CancelRequested:
    """End the attempt, because the caller left or the scheduler wants it."""


@dataclass(frozen=True)
class TimePassed:
    """Report the time, so that a stall is noticed."""


AttemptEvent = (
    FirstByteSent
    | HeadReceived
    | DataReceived
    | ResponseEnded
    | ReadingPaused
    | ReadingResumed
    | CancelRequested
    | TimePassed
)


@dataclass(frozen=True)
class RelayData:
    """Pass bytes of the answer on to the caller; they contain so many tokens."""

    data: bytes
    tokens: int


class FinalAnswer(StrEnum):
    """Tell whether a finished attempt answers its caller."""

    STREAM = "stream"  # All events were passed on.
    BODY = "whole"  # `status` and `body` are the answer.
    NONE = "none"


@dataclass(frozen=True)
class AttemptFinished:
    """End the attempt.

    `answer` tells whether the caller has an answer. `status` and `body` are the upstream's, where
    they may be passed on. `text` describes a failure for the log.
    """

    outcome: Outcome
    run_state: RunState
    answer: FinalAnswer = FinalAnswer.NONE
    status: int = 0
    body: bytes = b""
    text: str = ""


Effect = RelayData | AttemptFinished
