"""Membership view of instances and upstreams, merged from list, heartbeats and observations."""

from .entries import InstanceList, ListedState, ListEntry, MemberKind, parse_list
from .exceptions import ListFormatError, MembershipError
from .hashing import (
    PROBERS_PER_RUNNER,
    rank,
    rendezvous_score,
    rendezvous_select,
    representative,
    successors,
)
from .registrations import ColdCountdowns, Registration, RegistrationTable
from .view import ListOutcome, Member, MembershipView, MemberState

__all__ = [
    "ColdCountdowns",
    "PROBERS_PER_RUNNER",
    "InstanceList",
    "MemberKind",
    "ListEntry",
    "ListFormatError",
    "ListOutcome",
    "ListedState",
    "Member",
    "MemberState",
    "MembershipError",
    "MembershipView",
    "Registration",
    "RegistrationTable",
    "rendezvous_select",
    "parse_list",
    "rank",
    "representative",
    "rendezvous_score",
    "successors",
]
