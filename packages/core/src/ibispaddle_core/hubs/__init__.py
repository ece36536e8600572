"""Hubs: the few instances that aggregate the state of the fleet for all others."""

from .attempts import AttemptAggregator
from .pacing import PaceAggregator
from .pending_choices import PendingChoices
from .ranking import HUB_COUNT, Candidate, HubRanking
from .sources import SourceSelection
from .work import FLEET_INSTANCE_ID, WorkAggregator

__all__ = [
    "FLEET_INSTANCE_ID",
    "HUB_COUNT",
    "AttemptAggregator",
    "Candidate",
    "HubRanking",
    "PaceAggregator",
    "PendingChoices",
    "SourceSelection",
    "WorkAggregator",
]
