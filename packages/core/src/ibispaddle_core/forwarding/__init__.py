"""Forwarding of requests, free of any wire format: attempts, and admission during a stop."""

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
from .stopping import PlannedStop

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
    "PlannedStop",
    "UpstreamHead",
]
