"""Tests of homes with two data centres in two regions."""

import json
import unittest

from tests.support.http import HttpResponse
from tests.support.waiting import wait_until

from .processes import KEY, Platform, configuration, route

REQUESTS = 6


class HomeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(Platform(runners=3, services=2))
        self.north, *self.south = self.platform.runners
        for runner in self.south:
            self.platform.register_at(runner.name, runner.address, "llm", zone="b")
        self.shop_north, self.shop_south = self.platform.services
        self.platform.register_at(self.shop_south.name, self.shop_south.address, "shop", zone="b")

    def configure(self, route_home: list[str] | None, tenant_home: list[str] | None) -> None:
        home = {"allowed_regions": route_home}
        routes = [
            route("stream", "streaming", "llm", resumable=True, attempts=4, **home),
            route("read", "idempotent", "shop", **home),
            route("long", "streaming", "llm", timeout_ms=15_000, slo_ms=2_500, **home),
        ]
        tenant = {"name": "blue", "api_keys": [KEY], "allowed_regions": tenant_home}
        self.platform.configure(configuration(2, routes=routes, tenants=[tenant]))
        wait_until(lambda: self.platform.instance.events("config_in_force")[1:], "version")

    def wait_until_served(self) -> None:
        """Wait until the instance has read that the upstreams are in the south."""
        instance = self.platform.instance
        wait_until(lambda: instance.stream().status == 200, "stream")
        wait_until(lambda: instance.call("GET", "/read/x").status == 200, "read")

    def send_all(self) -> list[HttpResponse]:
        """Send requests of each kind, and prompts that one runner cannot hold."""
        answers = []
        for number in range(REQUESTS):
            names = {"Attempt_Id": f"a{number}"}
            answers.append(self.platform.instance.stream(**names))
            answers.append(self.platform.instance.call("GET", "/read/x", **names))
        names = {"Token_Count": "300000,700", "Attempt_Id": "long", "Deadline_Ms": "15000"}
        answers.append(self.platform.instance.call("POST", "/long/x", b"prompt", **names))
        return answers

    def check_nothing_reached_the_north(self) -> None:
        for process in (self.north, self.shop_north):
            state = process.state()
            self.assertEqual((state["runs"], state["arrivals"], state["reserved"]), ([], {}, {}))

    def test_requests_stay_in_the_home_of_their_route(self) -> None:
        """Guards against requests, helpers and memory outside of the home, also while it fails."""
        self.configure(["south"], None)
        self.wait_until_served()
        self.assertEqual({answer.status for answer in self.send_all()}, {200})
        self.south[0].set_faults(lose_answer=True)
        self.shop_south.set_faults(shed=True)
        self.assertEqual({answer.status for answer in self.send_all()[1::2]}, {503})
        self.check_nothing_reached_the_north()

    def test_homes_of_route_and_tenant_both_bind(self) -> None:
        self.configure(["north", "south"], ["south"])
        self.wait_until_served()
        self.assertEqual({answer.status for answer in self.send_all()}, {200})
        self.check_nothing_reached_the_north()

    def test_homes_without_a_common_region_refuse_at_once(self) -> None:
        """Guards against a request that waits, or runs, although it may run nowhere."""
        self.configure(["north"], ["south"])
        for answer in self.send_all():
            self.assertEqual(answer.status, 503)
            self.assertEqual(json.loads(answer.body)["error"]["code"], "no_upstream_in_home")
        self.assertEqual(list(self.platform.runs()), [])
        warnings = self.platform.instance.events("config_warning")
        self.assertIn("routing.W002", {event["id"] for event in warnings})


if __name__ == "__main__":
    unittest.main()
