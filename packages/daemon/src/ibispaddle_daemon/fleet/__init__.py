"""Exchange of state between instances that forward requests, through a few hub instances.

A hub is an instance that collects the work in flight of all others and answers their queries about it.
It also relays the topics of the store. Every instance derives the hubs from the list of
instances (`HubRanking`).
"""

from .links import FleetLinks
from .quarantine import QuarantineExchange
from .topics import TopicRelay
from .work import WorkExchange

__all__ = ["FleetLinks", "QuarantineExchange", "TopicRelay", "WorkExchange"]
