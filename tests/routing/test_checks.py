"""Tests of the checks of routes that no request can match."""

import unittest

from ibispaddle_core.routing import Route, RouteTable, RoutingConfig, Target, check_routes


def route(name: str, prefix: str, host: str = "h", **values: int) -> Route:
    return Route(name, host, prefix, (Target("s"),), 1_000, 100, **values)


class RouteChecksTest(unittest.TestCase):
    def found(self, *routes: Route) -> list[tuple[str, str]]:
        return [(m.id, m.path.rpartition(".")[2]) for m in check_routes(RoutingConfig(1, routes))]

    def test_routes_that_can_match(self) -> None:
        """Guards against warnings about routes of other hosts, and about nested prefixes."""
        routes = (route("a", "/a/"), route("b", "/a/b/"), route("c", "/a/", "g"), route("d", "/"))
        self.assertEqual(self.found(*routes), [])

    def test_hidden_route(self) -> None:
        """Guards against a route whose requests all go to another one without a word."""
        routes = (route("a", "/a/"), route("b", "/a/", "H"))
        self.assertEqual(
            RouteTable.from_config(RoutingConfig(1, routes)).match("h", "/a/x").name, "b"
        )
        self.assertEqual(self.found(*routes), [("routing.W003", "a")])

    def test_prefix_that_no_path_matches(self) -> None:
        """Guards against a prefix without its slashes, which is never looked up."""
        table = RouteTable.from_config(RoutingConfig(1, (route("a", "/a"), route("b", "b/"))))
        self.assertEqual((table.match("h", "/a/x"), table.match("h", "/b/x")), (None, None))
        found = self.found(route("a", "/a"), route("b", "b/"))
        self.assertEqual(found, [("routing.W004", "a"), ("routing.W004", "b")])

    def test_silence_beyond_the_time_out(self) -> None:
        """Guards against a limit on silence that can never take effect."""
        self.assertEqual(self.found(route("a", "/a/", max_silence_ms=999)), [])
        found = self.found(route("a", "/a/", max_silence_ms=1_000))
        self.assertEqual(found, [("routing.W005", "a")])


if __name__ == "__main__":
    unittest.main()
