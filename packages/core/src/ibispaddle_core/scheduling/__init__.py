"""Admission, fair queueing, placement, deadlines, retries and prompts divided among engines.

Terms used in this package:

- A `LONG` prompt fits the memory of one engine; a `SPANNING` prompt needs the memory of several.
- A divided prompt is prefilled by several engines, each of which computes a *part* of the prefill.
- With reservations, the prompt consists of *segments*. Each engine of its *group* keeps the KV memory
  of one segment, which is reserved before the prompt is sent.
- In a *joint prefill*, only the engine that answers keeps the memory. The others are its *helpers* and
  need no reservation.
- A *claim* is an instance's announcement to the other instances that a waiting prompt needs memory of
  a runner. A *reservation* is made at the runner itself, under a *handle*.
"""

from .base import Scheduler
from .exceptions import DuplicateRequestError, SchedulingError
from .messages import (
    AttemptCounts,
    AttemptEnded,
    AttemptSilent,
    CallerDisconnected,
    CancelAttempt,
    ColdOffer,
    ConfigurationReplaced,
    ConfirmListing,
    ConfirmSilence,
    Decision,
    Dispatch,
    EvacuationsChanged,
    Event,
    FirstToken,
    FleetAttempts,
    FleetPaces,
    FreeMemory,
    LoadReported,
    Outcome,
    PaceReport,
    PeerConsumption,
    PeerMemoryClaims,
    PeerWaitingPrompts,
    PeerWork,
    RefusalReason,
    Refuse,
    Request,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReservationRenewed,
    ReserveMemory,
    RetryPolicy,
    RunnerLoad,
    SentCounts,
    Tick,
    TokensRelayed,
    Upstream,
    UpstreamPace,
    UpstreamResponded,
    UpstreamsChanged,
    UpstreamState,
    UpstreamWork,
    WaitingPrompt,
)
from .reservations import HANDLE_PREFIX

__all__ = [
    "AttemptCounts",
    "AttemptEnded",
    "AttemptSilent",
    "CallerDisconnected",
    "CancelAttempt",
    "ConfigurationReplaced",
    "ConfirmListing",
    "ConfirmSilence",
    "Decision",
    "Dispatch",
    "DuplicateRequestError",
    "EvacuationsChanged",
    "Event",
    "FirstToken",
    "FleetAttempts",
    "ColdOffer",
    "FleetPaces",
    "FreeMemory",
    "HANDLE_PREFIX",
    "LoadReported",
    "Outcome",
    "PaceReport",
    "PeerMemoryClaims",
    "PeerConsumption",
    "PeerWaitingPrompts",
    "PeerWork",
    "RefusalReason",
    "RetryPolicy",
    "Refuse",
    "Request",
    "RequestArrived",
    "ReservationAnswered",
    "ReservationOutcome",
    "ReservationRenewed",
    "ReserveMemory",
    "RunnerLoad",
    "Scheduler",
    "SchedulingError",
    "SentCounts",
    "Tick",
    "TokensRelayed",
    "Upstream",
    "UpstreamPace",
    "UpstreamResponded",
    "UpstreamState",
    "UpstreamWork",
    "UpstreamsChanged",
    "WaitingPrompt",
]
