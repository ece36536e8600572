"""Tests of the route lookup by host and longest path prefix."""

import unittest
from random import Random

from ibispaddle_core.routing import Route, RouteTable, RoutingConfig, Target, choose_service


def route(prefix: str, host: str = "a.example", *targets: Target) -> Route:
    """Return a route whose name is its prefix."""
    return Route(prefix, host, prefix, targets or (Target("s"),), 1_000, 100)


class RouteTableTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self) -> None:
        """Guards against requests that are sent to the service of a less specific route."""
        table = RouteTable.from_config(RoutingConfig(1, (route("/a/"), route("/a/b/"))))
        self.assertEqual(table.match("a.example", "/a/b/c/d").name, "/a/b/")
        self.assertEqual(table.match("a.example", "/a/bc").name, "/a/")

    def test_hosts_are_separate_and_compared_without_case_and_port(self) -> None:
        """Guards against requests that reach another host's service."""
        table = RouteTable.from_config(RoutingConfig(1, (route("/a/"),)))
        self.assertIsNone(table.match("b.example", "/a/x"))
        self.assertIsNotNone(table.match("A.Example:80", "/a/x"))

    def test_paths_without_a_route(self) -> None:
        """Guards against prefixes that match within a path segment, and against malformed paths."""
        table = RouteTable.from_config(RoutingConfig(1, (route("/a/"),)))
        for path in ("/ab/", "/", "", "*", "a/", "/b/a/"):
            self.assertIsNone(table.match("a.example", path), path)

    def test_services_are_selected_by_weight(self) -> None:
        """Guards against a traffic split that ignores the weights."""
        split = route("/a/", "a.example", Target("x", 90), Target("y", 10), Target("z", 0))
        rng = Random(3)
        drawn = [choose_service(split, rng) for _ in range(2_000)]
        self.assertNotIn("z", drawn)
        self.assertAlmostEqual(drawn.count("y") / len(drawn), 0.1, delta=0.03)


if __name__ == "__main__":
    unittest.main()
