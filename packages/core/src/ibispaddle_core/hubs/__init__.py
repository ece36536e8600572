"""Hubs: the few instances through which all others know the fleet."""

from .board import FLEET, WorkBoard
from .ranking import HUBS, Candidate, HubRanking

__all__ = ["FLEET", "HUBS", "Candidate", "HubRanking", "WorkBoard"]
