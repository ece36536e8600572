"""Tests of the server with callers that read or send slowly, and a budget that they reach together."""

import socket
import time
import unittest

from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock, SystemClock
from ibispaddle_core.forwarding import MemoryBudget
from ibispaddle_core.settings import FleetConfig
from ibispaddle_daemon.http_server import HttpServer
from ibispaddle_daemon.slow_readers import SlowReaders
from ibispaddle_daemon.timers import TimerQueue

from tests.support.event_loop import RootComponent
from tests.support.waiting import wait_until

ANSWER = b"z" * 2_000_000
BUDGET = MemoryBudget.from_memory(
    200_000_000, unread_responses=3 * len(ANSWER), request_bodies=1_000_000
)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class Answers(BaseComponent):
    """Respond to each request with the same long body."""

    channel = "answers"

    @handler("exchange_started")
    def _on_exchange_started(self, exchange):
        exchange.respond(200, (), ANSWER)


class SlowCallersTest(unittest.TestCase):
    def setUp(self):
        clock = SystemClock()
        timers = TimerQueue(clock)
        self.server = HttpServer(
            "127.0.0.1:0",
            clock,
            timers,
            FleetConfig().limits,
            channel_of=lambda exchange: "answers",
            budget=BUDGET,
        )
        self.enterContext(RootComponent(timers, self.server, Answers()))

    def connect(self, data):
        host, _, port = self.server.address.rpartition(":")
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.settimeout(10)
        sock.connect((host, int(port)))
        sock.sendall(data)
        return sock

    def read_all(self, sock):
        size = 0
        while size < len(ANSWER):
            data = sock.recv(65_536)
            if not data:
                break
            size += len(data)
        return size

    def test_caller_that_has_read_nothing_for_the_longest_time_is_given_up_first(self):
        """Guard against one slow caller too many that costs the others their responses."""
        stopped = self.connect(REQUEST)
        wait_until(lambda: self.server.unsent_bytes, "unread response")
        time.sleep(1.2)
        others = [self.connect(REQUEST) for _ in range(3)]
        wait_until(lambda: self.server.given_up_callers, "given up caller")
        for sock in others:
            self.assertGreaterEqual(self.read_all(sock), len(ANSWER))
        with self.assertRaises(ConnectionError):
            self.read_all(stopped)
        self.assertEqual(self.server.given_up_callers, 1)
        wait_until(lambda: self.server.unsent_bytes == 0, "no unread responses")

    def test_body_of_a_caller_that_stopped_sending_makes_room(self):
        """Guard against requests that are refused because of callers that do not go on."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
        stopped = self.connect(head + b"x" * 600_000)
        wait_until(lambda: self.server.request_body_bytes >= 600_000, "body")
        early = self.connect(head + b"x" * 900_000)
        self.assertIn(b" 503 ", early.recv(100))  # The other one may still go on.
        time.sleep(1.1)
        self.assertIn(b" 200 ", self.connect(head + b"x" * 900_000).recv(100))
        refusal = stopped.recv(65_536).lower()
        self.assertIn(b" 503 ", refusal)
        self.assertIn(b"retry-after: 1\r\n", refusal)
        self.assertIn(b"x-run-state: not_run", refusal)

    def test_incomplete_heads_are_bounded(self):
        """Guard against connections whose heads are never complete and take all the memory."""
        self.enterContext(self.assertLogs("absl"))
        line = b"GET / HTTP/1.1\r\nX: " + b"y" * 50_000
        socks = [self.connect(line) for _ in range(200)]
        limit = BUDGET.request_heads
        wait_until(lambda: self.server.request_head_bytes > limit - 60_000, "full budget")
        self.assertLessEqual(self.server.request_head_bytes, limit)
        self.assertIn(b" 503 ", socks[-1].recv(100))
        self.assertGreater(self.read_all(self.connect(REQUEST)), len(ANSWER) - 1)


class FakeConnection:
    """A connection whose caller has not read a part of its response."""

    is_closed = False
    has_written = False

    def __init__(self, unsent_bytes):
        self.unsent_bytes = unsent_bytes
        self.sock, _ = socket.socketpair()
        self.http = type("Protocol", (), {"exchange": None})


class SuspensionTest(unittest.TestCase):
    def test_callers_are_not_blamed_for_a_suspension_of_the_process(self):
        """Guard against callers that are given up because this process could not send to them."""
        clock = ManualClock()
        readers = SlowReaders(clock)
        conn = FakeConnection(1_000)
        self.addCleanup(conn.sock.close)
        readers.observe([conn])
        clock.advance(60_000)
        readers.observe([conn])
        self.assertEqual(readers.stopped(clock.now_ms()), [])
        for _ in range(31):
            clock.advance(1_000)
            readers.observe([conn])
        self.assertEqual(readers.stopped(clock.now_ms()), [conn])


if __name__ == "__main__":
    unittest.main()
