"""Tests of the connections between instances."""

import unittest
from types import SimpleNamespace
from unittest import mock

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.fleet import FleetLinks
from ibispaddle_daemon.fleet.links import MAX_BACKOFF_MS
from ibispaddle_daemon.fleet.messages import TopicQuery

from .fakes import FakeNetwork, FakeTimers

REFUSED = "connection refused"


class ConnectTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch("ibispaddle_daemon.fleet.links.log_event")
        patch.start()
        self.addCleanup(patch.stop)
        self.clock = ManualClock()
        settings = SimpleNamespace(instance_id="a", peer_listen="127.0.0.1:0")
        ranking = FakeNetwork("abc").ranking("a")
        self.links = FleetLinks(settings, 1, ranking, self.clock, FakeTimers(self.clock))
        self.links.transport._server.close()
        self.links.transport = mock.Mock()
        self.links.transport.dial.side_effect = lambda name, address: mock.Mock(peer_id=None)
        self.lost: list[str] = []
        self.links.on_peer_lost.append(self.lost.append)

    def fail(self) -> None:
        """Let the connection fail that is being opened."""
        self.links.link_closed(self.links._peers["b"].dialling_link, REFUSED)

    @property
    def dials(self) -> int:
        return self.links.transport.dial.call_count

    def test_one_connection_is_opened(self) -> None:
        self.links.connect("b")
        self.links.connect("b")
        link = self.links._peers["b"].dialling_link
        link.peer_id = "b"
        self.links.link_opened(link)
        self.links.connect("b")
        self.assertEqual(self.dials, 1)
        self.assertEqual(self.links.connected_ids(), ("b",))

    def test_attempts_that_fail(self) -> None:
        """Guards against attempts without a pause, and against counting them as lost connections."""
        self.links.connect("b")
        self.fail()
        self.links.connect("b")
        self.assertEqual(self.dials, 1)
        self.clock.advance(MAX_BACKOFF_MS)
        self.links.connect("b")
        self.assertEqual(self.dials, 2)
        self.assertEqual(self.lost, [])

    def test_message_on_a_connection_that_fails(self) -> None:
        """Guards against a query that waits for its timeout although it cannot be sent."""
        self.links.connect("b")
        self.links.send("b", TopicQuery(1, {}))
        self.assertEqual(self.dials, 1)
        self.fail()
        self.assertEqual(self.lost, ["b"])


if __name__ == "__main__":
    unittest.main()
