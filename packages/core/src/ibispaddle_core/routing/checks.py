"""Validation that involves several routes and workspaces."""

from collections.abc import Collection, Iterator

from ..checks import CheckMessage, Severity
from .base import RoutingConfig
from .homes import DataCentreRegions, Home, common_regions

_HINT = "Requests that have no region in which they may run are refused."


def check_homes(config: RoutingConfig, regions: DataCentreRegions) -> Iterator[CheckMessage]:
    """Yield a warning for each route or workspace whose requests can run nowhere."""
    homes = [("routes", route.name, route.regions) for route in config.routes]
    homes += [("workspaces", name, allowed) for name, allowed in config.homes.items()]
    for kind, name, allowed in homes:
        if allowed is not None and regions.data_centres(allowed) == frozenset():
            names = ", ".join(repr(region) for region in sorted(allowed)) or "no region"
            text = f"The home {names} has no data centre."
            yield _warning("routing.W001", text, f"$.{kind}.{name}")
    # Routes and workspaces outnumber the different homes that they name.
    by_route = {route.regions for route in config.routes if not route.public}
    by_workspace = {config.homes.get(name) for name in config.workspaces.values()}
    for route in config.routes:
        if not route.public and not _meets_any(route.regions, by_workspace):
            text = "The route shares no region with any workspace."
            yield _warning("routing.W002", text, f"$.routes.{route.name}")
    for name, allowed in config.homes.items():
        if not _meets_any(allowed, by_route):
            text = "The workspace shares no region with any route."
            yield _warning("routing.W002", text, f"$.workspaces.{name}")


def check_routes(config: RoutingConfig) -> Iterator[CheckMessage]:
    """Yield a warning for each route that no request can match, or that can never be served."""
    newest = {(route.host.lower(), route.path_prefix): route for route in config.routes}
    for route in config.routes:
        path = f"$.routes.{route.name}"
        other = newest[route.host.lower(), route.path_prefix]
        if other is not route:
            text = f"The route is hidden by '{other.name}', which has the same host and prefix."
            yield _warning("routing.W003", text, path, "Give them different prefixes.")
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            text = f"No path matches the prefix '{route.path_prefix}'."
            yield _warning("routing.W004", text, path, "Prefixes begin and end with '/'.")
        if route.max_silence_ms >= route.timeout_ms:
            text = (
                f"Requests end after {route.timeout_ms} ms, so a silence of {route.max_silence_ms} ms"
                " is never noticed."
            )
            yield _warning("routing.W005", text, path, "Raise the time-out.")


def _meets_any(home: Home, others: Collection[Home]) -> bool:
    return not others or any(common_regions(home, other) != frozenset() for other in others)


def _warning(check_id: str, text: str, path: str, hint: str = _HINT) -> CheckMessage:
    return CheckMessage(check_id, Severity.WARNING, text, hint, "", path)
