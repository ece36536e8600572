"""Tests of instances that know no address: the first hub connects to them."""

import unittest

from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.topics import TopicMirror, TopicUpdate
from ibispaddle_daemon.fleet.topics import CONNECT_INTERVAL_MS, TopicRelay

from tests.topics.positions import at

from .fakes import FakeNetwork
from .test_topics import IN_FORCE_MS, FakeFollower

NAMES = "abcd"
# The longest pause of a search in a small fleet.
SEARCH_MS = 200


class StartedInstanceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = FakeNetwork(NAMES)
        self.followers = {}
        for name in NAMES:
            # The last one has just started, and could not read the list of instances.
            ranking = HubRanking(name) if name == NAMES[-1] else self.network.ranking(name)
            relay = TopicRelay(
                ranking,
                self.network.links[name],
                self.network.clock,
                self.network.timers,
                IN_FORCE_MS,
            )
            self.followers[name] = FakeFollower(relay)
            relay.add("t", self.followers[name])
            relay.start_reading()
        started = self.followers[NAMES[-1]]
        started.is_store_unavailable = True
        started._relay.notify_store_unavailable()
        mirror = TopicMirror()
        mirror.apply(TopicUpdate({"k": b"1"}, is_snapshot=True), at(5))
        hub = self.followers["a"]
        hub.confirmed_ms, hub.position = self.network.clock.now_ms(), at(5)
        hub._relay.publish("t", mirror, hub.confirmed_ms)

    def test_instance_gets_data_over_the_connection_of_the_first_hub(self) -> None:
        """Guards against an instance without data that all others know and nobody queries."""
        self.network.timers.advance(CONNECT_INTERVAL_MS + SEARCH_MS)
        self.assertEqual(self.followers["d"].values, {"k": b"1"})
        self.assertEqual(self.network.links["d"].connected_ids(), ("a",))

    def test_others_do_not_connect(self) -> None:
        self.network.timers.advance(3 * CONNECT_INTERVAL_MS)
        self.assertEqual(self.network.links["b"].connected_ids(), ("a",))


if __name__ == "__main__":
    unittest.main()
