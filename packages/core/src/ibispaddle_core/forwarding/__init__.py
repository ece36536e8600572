"""Forwarding of requests, free of any wire format: attempts, and admission during a stop."""

from .attempt import ForwardedAttempt
from .messages import (
    AttemptResult,
    BodyReceived,
    CallEnded,
    CompleteResponse,
    Effect,
    ForwardData,
    ForwardHead,
    ForwardingEvent,
    HeadReceived,
    ResponseHead,
)
from .stopping import DrainAdmission

__all__ = [
    "CompleteResponse",
    "AttemptResult",
    "BodyReceived",
    "CallEnded",
    "Effect",
    "ForwardedAttempt",
    "ForwardingEvent",
    "HeadReceived",
    "ForwardData",
    "ForwardHead",
    "DrainAdmission",
    "ResponseHead",
]
