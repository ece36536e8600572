"""Forwarding of requests, independent of the wire format: attempts, and admission while draining."""

from .attempt import STATUS_MISDIRECTED, ForwardedAttempt
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
    "STATUS_MISDIRECTED",
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
