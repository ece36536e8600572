"""Routing of requests to services by host and path, and the API keys of workspaces."""

from .base import Route, RoutingConfig, Target
from .freshness import ConfigFreshness
from .table import RouteTable, choose_service

__all__ = [
    "ConfigFreshness",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "Target",
    "choose_service",
]
