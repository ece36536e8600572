"""What the instances that forward requests tell each other, through a few of them."""

from .links import FleetLinks
from .topics import TopicRelay
from .work import WorkExchange

__all__ = ["FleetLinks", "TopicRelay", "WorkExchange"]
