"""Tests of requests that may run only in some regions."""

import json
import unittest

from ibispaddle_core import logevents
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.routing import RoutingConfig
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_core.settings import DataCentreConfig, FleetConfig
from ibispaddle_daemon.events import CallFailure, HttpCallError, list_changed

from tests.support.exchanges import FakeExchange

from .fakes import ForwarderFixture, streams

FLEET = FleetConfig(
    data_centres={
        "dc1": DataCentreConfig(region="north"),
        "dc2": DataCentreConfig(region="south"),
    }
)
SOUTH = frozenset({"south"})
REFUSED = HttpCallError(CallFailure.UNREACHABLE, "refused", byte_sent=False, is_refused=True)


class HomeTest(unittest.TestCase):
    def start(self, regions: frozenset[str] | None, data_centres: dict[str, str]) -> None:
        route = streams(RetryPolicy.ANY_TIME, max_runs=8, regions=regions)
        self.fixture = ForwarderFixture(route, ())
        self.fixture.forwarder.replace_config(RoutingConfig(2, (route,)), FLEET)
        entries = tuple(
            ListEntry(name, MemberKind.RUNNER, f"{name}:1", at, ListedState.LIVE, models=("s",))
            for name, at in data_centres.items()
        )
        self.fixture.fire(list_changed(entries), "*")

    def hosts(self) -> set[str]:
        """Return the hosts that were called."""
        return {call.url.split("/")[2] for call in self.fixture.client.calls}

    def check_refusal(self, exchange: FakeExchange) -> None:
        self.assertEqual((exchange.status, exchange.ended), (503, 1))
        self.assertEqual(json.loads(exchange.sent)["error"]["code"], "no_upstream_in_home")

    def test_requests_and_retries_stay_in_their_home(self) -> None:
        """Guards against a retry that leaves the home because upstreams there fail."""
        self.start(SOUTH, {"n1": "dc1", "n2": "dc1", "s1": "dc2", "s2": "dc2", "x": "dc3"})
        self.fixture.send()
        for _ in range(4):
            call = self.fixture.client.calls[-1]
            call.sink.call_ended(call.call_id, REFUSED)
            self.fixture.flush()
            self.fixture.advance(100)
        self.assertEqual(self.hosts(), {"s1:1", "s2:1"})

    def test_home_without_an_upstream_refuses_at_once(self) -> None:
        """Guards against a request that waits until its deadline for a region without upstreams."""
        self.start(SOUTH, {"n1": "dc1", "x": "dc3"})
        self.fixture.forwarder.before_selection = lambda then, service: self.fail("asked a hub")
        self.check_refusal(self.fixture.send())
        self.assertEqual(self.fixture.client.calls, [])

    def test_data_centre_without_a_region_is_outside_of_every_home(self) -> None:
        self.start(frozenset({"north", "south"}), {"x": "dc3"})
        self.check_refusal(self.fixture.send())

    def test_homes_change_nothing_where_none_is_named(self) -> None:
        """Guards against other upstreams for earlier deployments because regions are known."""
        self.start(None, {"n1": "dc1"})
        self.fixture.send()
        self.assertEqual(self.hosts(), {"n1:1"})
        req = next(iter(self.fixture.forwarder._requests.values())).req
        self.assertIsNone(req.data_centres)

    def test_region_without_a_data_centre_is_logged(self) -> None:
        with self.assertLogs("absl") as logs:
            self.start(frozenset({"suoth"}), {"n1": "dc1"})
        record = logs.records[-1]
        self.assertIs(record.event, logevents.CONFIG_WARNING)
        self.assertEqual(record.fields["id"], "routing.W001")


if __name__ == "__main__":
    unittest.main()
