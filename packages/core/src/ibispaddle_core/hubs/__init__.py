"""Hubs: the few instances through which all others know the fleet."""

from .attempts import AttemptBoard
from .board import FLEET, WorkBoard
from .ranking import HUBS, Candidate, HubRanking
from .turns import Turns

__all__ = ["FLEET", "HUBS", "AttemptBoard", "Candidate", "HubRanking", "Turns", "WorkBoard"]
