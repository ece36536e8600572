"""State machine of an attempt: data sent, data to relay to the caller, and the outcome."""

from .attempt import Attempt
from .exceptions import EventTooLargeError, RelayError, TooManyEmptyEventsError
from .messages import (
    AttemptEvent,
    AttemptFinished,
    CancelRequested,
    DataReceived,
    Effect,
    FinalAnswer,
    FirstByteSent,
    HeadReceived,
    ReadingPaused,
    ReadingResumed,
    RelayData,
    ResponseEnded,
    TimePassed,
)
from .sse import SseParser

__all__ = [
    "Attempt",
    "AttemptEvent",
    "AttemptFinished",
    "CancelRequested",
    "DataReceived",
    "Effect",
    "EventTooLargeError",
    "FinalAnswer",
    "FirstByteSent",
    "HeadReceived",
    "RelayData",
    "ReadingPaused",
    "ReadingResumed",
    "RelayError",
    "ResponseEnded",
    "SseParser",
    "TimePassed",
    "TooManyEmptyEventsError",
]
