"""Routing of requests to services by host and path, and the API keys of workspaces."""

from .base import Route, RoutingConfig, Target
from .checks import check_homes, check_routes
from .freshness import ConfigFreshness
from .homes import DataCentreRegions, common_regions
from .table import RouteTable, choose_service

__all__ = [
    "ConfigFreshness",
    "DataCentreRegions",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "Target",
    "check_homes",
    "check_routes",
    "choose_service",
    "common_regions",
]
