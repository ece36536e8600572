"""Tests of the connections between instances, with real sockets on loopback."""

import socket
import time
import unittest

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from ibispaddle_core.clock import SystemClock
from ibispaddle_core.gossip import Consumption, Digest, Hello, RunnerReport, StateRequest
from ibispaddle_core.membership import MembershipView, MemberState
from ibispaddle_daemon.events import drain_started, peer_broadcast, peer_send
from ibispaddle_daemon.peer_codec import HEADER, decode, encode
from ibispaddle_daemon.peers import PeerNetwork, gossip_put
from ibispaddle_daemon.timers import TimerQueue

from tests.support.waiting import wait_until

from .support import instance, listing, make_settings, runner
from .test_codec import make_handshake

WAIT_S = 10.0


class Node(BaseComponent):
    """Run one `PeerNetwork` component in a thread."""

    channel = "node"

    def __init__(self, name, secret=b"secret", data_centre="v.1", boot=1, port=0):
        super().__init__()
        self.instance_id, self.data_centre = name, data_centre
        EPoll().register(self)
        clock = SystemClock()
        timers = TimerQueue(clock).register(self)
        self.view = MembershipView(name)
        settings = make_settings(
            name, data_centre, gossip_interval_ms=50, peer_listen=f"127.0.0.1:{port}"
        )
        self.clock = clock
        self.peers = PeerNetwork(settings, secret, self.view, boot, clock, timers, seed=1).register(
            self
        )
        self.entry = instance(name, data_centre, self.peers.transport.address)
        self.seen = []

    @handler(
        "peer_received",
        "peer_connected",
        "peer_lost",
        "gossip_received",
        "load_reported",
        "runner_failed",
        channel="*",
        priority=10,
    )
    def _on_any(self, event, *args):
        self.seen.append((event.name, args))

    def events(self, name):
        return [args for found, args in list(self.seen) if found == name]

    def start_node(self, *entries, version=1):
        self.view.apply_list(listing(version, *entries), self.clock.now_ms())
        self.thread, _ = self.start()

    def stop_node(self):
        self.stop()
        self.thread.join(WAIT_S)
        # The test may need the port of the listener again.
        self.peers.transport.close_all()


class PeersTest(unittest.TestCase):
    def start(self, *nodes, extra=()):
        for node in nodes:
            node.start_node(*(n.entry for n in nodes), *extra)
            self.addCleanup(node.stop_node)

    def test_heartbeats_reach_all_instances(self):
        """Guard against instances that do not get to know each other."""
        nodes = [Node(name, data_centre=dc) for name, dc in (("a", "x"), ("b", "x"), ("c", "y"))]
        self.start(*nodes)
        for node in nodes:
            others = {other.instance_id for other in nodes} - {node.instance_id}
            wait_until(
                lambda node=node, others=others: all(node.view.boot(o) == 1 for o in others),
                f"heartbeats at {node.instance_id}",
            )

    def test_entries_and_messages_are_delivered(self):
        """Guard against lost reports and messages between connected instances."""
        a, b = Node("a"), Node("b")
        self.start(a, b, extra=(runner("r1"),))
        a.fire(gossip_put(Consumption("n", 1, 5)), "*")
        a.fire(gossip_put(RunnerReport("r1", True, False, "boot", 3, running=2)), "*")
        a.fire(peer_send("b", StateRequest("configuration", 7, b"x")), "*")
        a.fire(peer_broadcast(StateRequest("all", 8)), "*")
        wait_until(lambda: len(b.events("peer_received")) >= 2, "messages")
        wait_until(lambda: b.events("gossip_received"), "consumption")
        wait_until(lambda: b.events("load_reported"), "load")
        messages = [args for args in b.events("peer_received") if type(args[1]) is StateRequest]
        self.assertEqual(
            messages,
            [("a", StateRequest("configuration", 7, b"x")), ("a", StateRequest("all", 8))],
        )
        self.assertEqual(b.events("load_reported")[0][0].running, 2)
        a.fire(gossip_put(RunnerReport("r1", False)), "*")
        wait_until(lambda: b.events("runner_failed"), "failure")
        a.fire(gossip_put(RunnerReport("r1", True, False, "boot", 3, running=2)), "*")
        wait_until(lambda: len(b.events("load_reported")) == 2, "return of the runner")

    def test_leaving_instance_is_announced_immediately(self):
        """Guard against tasks that remain assigned to a stopping instance."""
        a, b = Node("a"), Node("b")
        self.start(a, b)
        wait_until(lambda: b.view.boot("a") == 1, "heartbeat")
        a.fire(drain_started(), "*")
        wait_until(
            lambda: b.view.state("a", b.clock.now_ms()) is MemberState.LEAVING, "leaving state"
        )

    def test_peer_with_another_secret_is_refused(self):
        """Guard against gossip with an unauthenticated peer."""
        a, stranger = Node("a"), Node("b", secret=b"other")
        self.start(a, stranger)
        wait_until(lambda: a.peers._peers["b"].failures >= 3, "attempts")
        self.assertEqual(a.peers.connected_peers, ())
        self.assertEqual(stranger.peers.connected_peers, ())
        self.assertEqual(a.events("peer_received"), [])

    def test_restarted_instance_is_reconnected(self):
        """Guard against a peer that stays unreachable after its restart."""
        a, b = Node("a"), Node("b")
        self.start(a)
        a.view.apply_list(listing(2, a.entry, b.entry), a.clock.now_ms())
        b.start_node(a.entry, b.entry)
        port = int(b.entry.peer_address.rpartition(":")[2])
        wait_until(lambda: a.view.boot("b") == 1, "first heartbeat")
        b.stop_node()
        wait_until(lambda: a.events("peer_lost"), "loss of the connection")
        restarted = Node("b", boot=2, port=port)
        restarted.start_node(a.entry, restarted.entry)
        self.addCleanup(restarted.stop_node)
        wait_until(lambda: a.view.boot("b") == 2, "heartbeat after the restart")


class UnauthenticatedPeerTest(unittest.TestCase):
    def setUp(self):
        self.node = Node("a")
        self.node.start_node(self.node.entry)
        self.addCleanup(self.node.stop_node)

    def connect(self):
        host, _, port = self.node.entry.peer_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def assert_closed(self, sock):
        try:
            while sock.recv(4_096):
                pass
        except ConnectionResetError:
            pass

    def test_garbage_closes_the_connection(self):
        """Guard against memory or time spent on the bytes of an unauthenticated peer."""
        for data in (
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            HEADER.pack(2**31) + b"x",
            HEADER.pack(1_025),
            HEADER.pack(16) + b"\xff" * 16,
            encode(Digest(b"x")),
            encode(Hello(9, "b", 1, b"n" * 32)),
            encode(Hello(1, "b", 1, b"short")),
        ):
            sock = self.connect()
            sock.sendall(data)
            self.assert_closed(sock)
        wait_until(lambda: not self.node.peers.transport.links, "no links")

    def test_silent_connection_is_closed(self):
        """Guard against unauthenticated peers that keep connections open."""
        sock = self.connect()
        started = time.monotonic()
        self.assert_closed(sock)
        self.assertLess(time.monotonic() - started, 5)

    def test_number_of_silent_connections_is_limited(self):
        """Guard against unauthenticated peers that use up all connections."""
        socks = [self.connect() for _ in range(300)]
        wait_until(lambda: len(self.node.peers.transport.links) >= 200, "connections")
        self.assertLessEqual(len(self.node.peers.transport.links), 256)
        for sock in socks:
            sock.close()

    def test_authenticated_peer_that_sends_garbage_is_disconnected(self):
        """Guard against accepting malformed messages of an authenticated peer."""
        for bad in (HEADER.pack(2**30), HEADER.pack(8) + b"\xff" * 8, encode(Digest(b"\xc1"))):
            sock = self.authenticated("b")
            sock.sendall(bad)
            self.assert_closed(sock)

    def authenticated(self, name):
        handshake = make_handshake(name, secret=b"secret")
        sock = self.connect()
        (hello,) = handshake.start()
        sock.sendall(encode(hello))
        while not handshake.is_complete:
            (length,) = HEADER.unpack(self.read(sock, HEADER.size))
            for reply in handshake.receive(decode(self.read(sock, length)).ok_value):
                sock.sendall(encode(reply))
        return sock

    def read(self, sock, size):
        data = b""
        while len(data) < size:
            piece = sock.recv(size - len(data))
            self.assertTrue(piece, "connection closed")
            data += piece
        return data


if __name__ == "__main__":
    unittest.main()
