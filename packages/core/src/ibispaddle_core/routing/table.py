"""Lookup of routes by host and longest path prefix."""

from random import Random

from .base import Route, RoutingConfig


class RouteTable:
    """Look up the route of a request.

    >>> from ibispaddle_core.routing import Route, RoutingConfig, Target
    >>> routes = tuple(
    ...     Route(prefix, "shop.example", prefix, (Target("s"),), 1_000, 100)
    ...     for prefix in ("/a/", "/a/b/")
    ... )
    >>> table = RouteTable.from_config(RoutingConfig(1, routes))
    >>> table.match("shop.example:80", "/a/b/c").name
    '/a/b/'
    >>> table.match("shop.example", "/b/") is None
    True
    """

    def __init__(self, routes: dict[str, dict[str, Route]]) -> None:
        self._routes = routes

    @classmethod
    def from_config(cls, config: RoutingConfig) -> "RouteTable":
        """Build the table from a configuration."""
        routes: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        return cls(routes)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        The cost depends on the depth of the path, not on the number of routes.
        """
        prefixes = self._routes.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, rng: Random) -> str:
    """Return a service of the route, selected at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if sum(weights) <= 0:
        return route.targets[0].service
    return rng.choices(route.targets, weights)[0].service
