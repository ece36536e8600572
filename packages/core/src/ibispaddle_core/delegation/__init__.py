"""Delegation of requests by an instance that reaches no upstream to one that does."""

from .admission import DelegateAdmission, DelegateVerdict
from .answers import may_ask_another
from .reachability import UpstreamReachability
from .rules import (
    DelegationState,
    EndRequest,
    HopFailure,
    TryAgain,
    after_failed_hop,
    may_delegate,
)
from .selection import Delegate, DelegateSelection

__all__ = [
    "Delegate",
    "DelegateAdmission",
    "DelegateSelection",
    "DelegateVerdict",
    "DelegationState",
    "EndRequest",
    "HopFailure",
    "TryAgain",
    "UpstreamReachability",
    "after_failed_hop",
    "may_ask_another",
    "may_delegate",
]
