"""Hubs: the few instances through which all others know the fleet."""

from .attempts import AttemptAggregator
from .board import FLEET_INSTANCE_ID, WorkAggregator
from .ranking import HUB_COUNT, Candidate, HubRanking
from .turns import PendingChoices

__all__ = [
    "FLEET_INSTANCE_ID",
    "HUB_COUNT",
    "AttemptAggregator",
    "Candidate",
    "HubRanking",
    "PendingChoices",
    "WorkAggregator",
]
