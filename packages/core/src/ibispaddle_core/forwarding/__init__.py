"""State machine of one forwarded attempt, free of any wire format."""

from .attempt import ForwardedAttempt
from .messages import (
    AnswerWhole,
    AttemptOver,
    BodyReceived,
    CallEnded,
    Effect,
    ForwardingEvent,
    HeadReceived,
    PassData,
    PassHead,
    UpstreamHead,
)

__all__ = [
    "AnswerWhole",
    "AttemptOver",
    "BodyReceived",
    "CallEnded",
    "Effect",
    "ForwardedAttempt",
    "ForwardingEvent",
    "HeadReceived",
    "PassData",
    "PassHead",
    "UpstreamHead",
]
