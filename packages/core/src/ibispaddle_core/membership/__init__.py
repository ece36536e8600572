"""View of instances and upstreams from the list, heartbeats and observations."""

from .entries import InstanceList, Kind, ListedState, ListEntry, parse_list
from .exceptions import ListFormatError, MembershipError
from .hashing import PROBERS_PER_RUNNER, choose, rank, representative, score, successors
from .registrations import Registration, RegistrationTable
from .view import ListOutcome, Member, MembershipView, MemberState

__all__ = [
    "PROBERS_PER_RUNNER",
    "InstanceList",
    "Kind",
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
    "choose",
    "parse_list",
    "rank",
    "representative",
    "score",
    "successors",
]
