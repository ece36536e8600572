"""Forwarding of requests, independent of the wire format: attempts, and admission while draining."""

from .attempt import STATUS_MISDIRECTED, ForwardedAttempt
from .memory_budget import (
    MemoryBudget,
    Pauses,
    SlowPeer,
    callers_to_give_up,
    has_stopped_reading,
    pause_limit,
    resume_limit,
    senders_to_give_up,
)
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
    "MemoryBudget",
    "Pauses",
    "ResponseHead",
    "SlowPeer",
    "callers_to_give_up",
    "has_stopped_reading",
    "pause_limit",
    "resume_limit",
    "senders_to_give_up",
]
