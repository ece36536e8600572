"""Tests of homes and of their checks."""

import unittest

from ibispaddle_core.routing import DataCentreRegions, Route, RoutingConfig, Target, check_homes

REGIONS = DataCentreRegions({"a1": "north", "a2": "north", "b1": "south", "x": ""})
NORTH, SOUTH, EAST = (frozenset({name}) for name in ("north", "south", "east"))


def route(name: str, regions: frozenset[str] | None, public: bool = False) -> Route:
    targets = (Target("s"),)
    return Route(name, "h", f"/{name}/", targets, 1_000, 100, public=public, regions=regions)


class HomeTest(unittest.TestCase):
    def test_without_homes_requests_may_run_anywhere(self) -> None:
        self.assertIsNone(REGIONS.data_centres(None, None))

    def test_home_of_either_side_binds(self) -> None:
        """Guards against a request that runs in a region that its route or workspace doesn't allow."""
        self.assertEqual(REGIONS.data_centres(NORTH, None), {"a1", "a2"})
        self.assertEqual(REGIONS.data_centres(None, SOUTH), {"b1"})
        self.assertEqual(REGIONS.data_centres(NORTH | SOUTH, SOUTH | EAST), {"b1"})
        self.assertEqual(REGIONS.data_centres(NORTH, SOUTH), frozenset())

    def test_data_centre_without_a_region_is_outside_of_every_home(self) -> None:
        """Guards against data that leaves its home for a data centre that nobody has described."""
        everywhere = NORTH | SOUTH | EAST | {""}
        self.assertEqual(REGIONS.data_centres(everywhere), {"a1", "a2", "b1"})
        self.assertEqual(DataCentreRegions({}).data_centres(NORTH), frozenset())


class CheckTest(unittest.TestCase):
    def check(self, routes: list[Route], homes: dict[str, frozenset[str]]) -> list[tuple[str, str]]:
        workspaces = {f"key-{name}": name for name in ("blue", "red")}
        config = RoutingConfig(1, tuple(routes), workspaces, True, homes=homes)
        return [(message.id, message.path) for message in check_homes(config, REGIONS)]

    def test_nothing_is_reported_without_homes(self) -> None:
        self.assertEqual(self.check([route("r", None)], {}), [])

    def test_region_without_a_data_centre(self) -> None:
        """Guards against a misspelt region that refuses all requests of a route without a hint."""
        found = self.check([route("r", EAST), route("s", EAST | NORTH)], {"blue": EAST})
        self.assertIn(("routing.W001", "$.routes.r"), found)
        self.assertIn(("routing.W001", "$.workspaces.blue"), found)
        self.assertNotIn(("routing.W001", "$.routes.s"), found)

    def test_homes_that_exclude_each_other(self) -> None:
        found = self.check([route("r", NORTH)], {"blue": SOUTH})
        self.assertEqual(found, [("routing.W002", "$.workspaces.blue")])
        found = self.check([route("r", NORTH)], {"blue": SOUTH, "red": SOUTH})
        self.assertIn(("routing.W002", "$.routes.r"), found)
        self.assertEqual(self.check([route("r", NORTH, public=True)], {"blue": SOUTH}), [])


if __name__ == "__main__":
    unittest.main()
