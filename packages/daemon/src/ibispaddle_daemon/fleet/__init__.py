"""Exchange of state between instances that forward requests, through a few hub instances."""

from .links import FleetLinks
from .topics import TopicRelay
from .work import WorkExchange

__all__ = ["FleetLinks", "TopicRelay", "WorkExchange"]
