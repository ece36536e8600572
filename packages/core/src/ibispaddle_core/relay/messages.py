"""Input events and output effects of an attempt."""

from dataclasses import dataclass
from enum import StrEnum

from ..runstate import RunState
from ..scheduling.messages import Outcome


@dataclass(frozen=True)
class FirstByteSent:
    """At least one byte of the request was written to the upstream's socket."""


@dataclass(frozen=True)
class HeadReceived:
    """The head of the upstream's response was received."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class DataReceived:
    """A part of the response's body was received."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnded:
    """The response ended.

    `complete` is true if the HTTP response was complete; `byte_sent` is true if the HTTP client has
    sent any byte of the request.
    """

    complete: bool
    byte_sent: bool
    text: str = ""
    timed_out: bool = False


@dataclass(frozen=True)
class ReadingPaused:
    """Reading of the response was paused because the caller is slow."""


@dataclass(frozen=True)
class ReadingResumed:
    """Reading of the response was resumed."""


@dataclass(frozen=True)
class CancelRequested:
    """The attempt is cancelled, because the caller disconnected or the scheduler decided so."""


@dataclass(frozen=True)
class TimePassed:
    """Time has passed; a stall may have to be detected."""


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
    """Send bytes of the answer to the caller; `tokens` is the number of tokens in them."""

    data: bytes
    tokens: int


class FinalAnswer(StrEnum):
    """The answer that a finished attempt provides for its caller."""

    STREAM = "stream"  # All events have been relayed.
    BODY = "whole"  # `status` and `body` are the answer.
    NONE = "none"


@dataclass(frozen=True)
class AttemptFinished:
    """The attempt finished.

    `status` and `body` are those of the upstream's response if it may be relayed. `text` describes a
    failure for the log.
    """

    outcome: Outcome
    run_state: RunState
    answer: FinalAnswer = FinalAnswer.NONE
    status: int = 0
    body: bytes = b""
    text: str = ""


Effect = RelayData | AttemptFinished
