"""Tests of one caller's connection without sockets and in manual time."""

import unittest

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.http_listener import CallerConnection
from ibispaddle_daemon.http_protocol import IDLE_TIMEOUT_MS, REQUEST_TIMEOUT_MS, HttpServerProtocol

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"


class FakeServer:
    """Record what the connection's protocol reports and writes."""

    draining = False

    def __init__(self):
        self.clock = ManualClock()
        self.listener = self
        self.received, self.refused, self.ended = [], [], []
        self.written = b""
        self.held = 0
        self.reading = True
        self.dropped = False

    def max_body_bytes(self):
        return 10

    def reserve_body(self, size):
        self.held += size
        return self.held <= 15

    def release_body(self, size):
        self.held -= size

    def request_received(self, exchange):
        self.received.append(exchange)

    def request_refused(self, exchange, status, code, text):
        self.refused.append((status, code))
        exchange.respond(status, (), b"refused")

    def exchange_ended(self, exchange):
        self.ended.append(exchange)

    def after(self, delay_ms, callback):
        self.later = callback

    def send(self, conn, data):
        self.written += data

    def drop(self, conn):
        self.dropped = conn.is_closed = True

    def close_after_output(self, conn):
        self.drop(conn)

    def shutdown_write(self, conn):
        pass

    def set_reading(self, conn, reading):
        self.reading = reading


class ConnectionTest(unittest.TestCase):
    def setUp(self):
        self.server = FakeServer()
        self.http = HttpServerProtocol(CallerConnection(None, False), self.server, 1_000)

    def test_body_is_held_only_while_its_request_lives(self):
        """Guard against a memory account that grows with every request."""
        for _ in range(5):
            self.http.receive_data(REQUEST)
            self.assertEqual(self.server.held, 5)
            self.server.received[-1].respond(200, (), b"")
            self.assertEqual(self.server.held, 0)
        self.http.receive_data(REQUEST[:-2])
        self.http.connection_lost()
        self.assertEqual(self.server.held, 0)

    def test_bodies_of_all_callers_are_bounded(self):
        """Guard against many callers that fill the memory together."""
        self.server.held = 12
        self.http.receive_data(REQUEST)
        self.assertEqual(self.server.refused, [(503, "overloaded")])

    def test_caller_that_never_completes_its_request_is_overdue(self):
        """Guard against connections that are held by a few bytes."""
        self.assertFalse(self.http.is_timed_out(IDLE_TIMEOUT_MS))
        self.assertTrue(self.http.is_timed_out(IDLE_TIMEOUT_MS + 1))
        self.http.receive_data(REQUEST[:-1])
        self.assertTrue(self.http.is_timed_out(REQUEST_TIMEOUT_MS + 1))
        self.http.receive_data(REQUEST[-1:])
        self.assertFalse(self.http.is_timed_out(10 * REQUEST_TIMEOUT_MS))

    def test_bytes_of_later_requests_are_bounded(self):
        """Guard against a caller that fills the memory while its first request runs."""
        self.http.receive_data(REQUEST)
        self.http.receive_data(b"x" * 200_000)
        self.assertFalse(self.server.reading)

    def test_short_response_is_cut_instead_of_completed(self):
        """Guard against an answer that looks whole although bytes are missing."""
        self.http.receive_data(REQUEST)
        exchange = self.server.received[0]
        exchange.start(200, (("Content-Length", "9"),))
        exchange.write(b"four")
        exchange.end()
        self.assertTrue(self.server.dropped)

    def test_caller_that_leaves_is_reported_once(self):
        """Guard against work that goes on, or ends twice, for a caller that left."""
        left = []
        self.http.receive_data(REQUEST)
        exchange = self.server.received[0]
        exchange.on_closed = lambda: left.append(1)
        self.http.receive_data(b"")
        self.http.connection_lost()
        self.http.connection_lost()
        exchange.write(b"late")
        exchange.end()
        self.assertEqual((left, self.server.ended), ([1], [exchange]))


if __name__ == "__main__":
    unittest.main()
