"""Hubs: the few instances that aggregate the state of the fleet for all others."""

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
