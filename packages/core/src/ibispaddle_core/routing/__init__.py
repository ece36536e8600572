"""Routes from hosts and paths to services, and the workspaces that hold keys for them."""

from .base import Route, RoutingConfig, Target
from .freshness import ConfigFreshness
from .table import RouteTable, choose_service

__all__ = [
    "Freshness",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "Target",
    "choose_service",
]
