"""Tests of the HTTP server protocol without sockets, with a manual clock."""

import unittest

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.http_listener import CallerConnection
from ibispaddle_daemon.http_protocol import IDLE_TIMEOUT_MS, REQUEST_TIMEOUT_MS, HttpServerProtocol

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"


class FakeServer:
    """Record the callbacks and the output of the protocol."""

    draining = False

    def __init__(self):
        self.clock = ManualClock()
        self.listener = self
        self.received, self.refused, self.ended = [], [], []
        self.written = b""
        self.reserved = 0
        self.reading = True
        self.dropped = False

    def max_body_bytes(self):
        return 10

    def reserve_body(self, conn, size):
        self.reserved += size
        return self.reserved <= 15

    def release_body(self, conn):
        self.reserved = 0

    def reserve_head(self, conn, size):
        return True

    def response_room(self):
        return 1_000_000

    def request_received(self, exchange):
        self.received.append(exchange)

    def request_refused(self, exchange, status, code, text):
        self.refused.append((status, code))
        exchange.respond(status, (), b"refused")

    def exchange_ended(self, exchange):
        self.ended.append(exchange)

    def after(self, delay_ms, callback):
        self.scheduled = callback

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

    def test_body_memory_is_released_when_its_request_ends(self):
        """Guard against reserved memory that is never released."""
        for _ in range(5):
            self.http.receive_data(REQUEST)
            self.assertEqual(self.server.reserved, 5)
            self.server.received[-1].respond(200, (), b"")
            self.assertEqual(self.server.reserved, 0)
        self.http.receive_data(REQUEST[:-2])
        self.http.connection_lost()
        self.assertEqual(self.server.reserved, 0)

    def test_total_body_memory_is_limited(self):
        """Guard against many callers that exhaust the memory together."""
        self.server.reserved = 12
        self.http.receive_data(REQUEST)
        self.assertEqual(self.server.refused, [(503, "overloaded")])

    def test_incomplete_request_times_out(self):
        """Guard against connections that are kept open by sending only a few bytes."""
        self.assertFalse(self.http.is_timed_out(IDLE_TIMEOUT_MS))
        self.assertTrue(self.http.is_timed_out(IDLE_TIMEOUT_MS + 1))
        self.http.receive_data(REQUEST[:-1])
        self.assertTrue(self.http.is_timed_out(REQUEST_TIMEOUT_MS + 1))
        self.http.receive_data(REQUEST[-1:])
        self.assertFalse(self.http.is_timed_out(10 * REQUEST_TIMEOUT_MS))

    def test_pipelined_bytes_are_limited(self):
        """Guard against a caller that exhausts the memory with pipelined requests."""
        self.http.receive_data(REQUEST)
        self.http.receive_data(b"x" * 200_000)
        self.assertFalse(self.server.reading)

    def test_response_shorter_than_its_content_length_closes_the_connection(self):
        """Guard against an incomplete response that is taken for complete."""
        self.http.receive_data(REQUEST)
        exchange = self.server.received[0]
        exchange.start(200, (("Content-Length", "9"),))
        exchange.write(b"four")
        exchange.end()
        self.assertTrue(self.server.dropped)

    def test_disconnected_caller_is_reported_once(self):
        """Guard against work for a disconnected caller that continues or is ended twice."""
        disconnects = []
        self.http.receive_data(REQUEST)
        exchange = self.server.received[0]
        exchange.on_closed = lambda: disconnects.append(1)
        self.http.receive_data(b"")
        self.http.connection_lost()
        self.http.connection_lost()
        exchange.write(b"late")
        exchange.end()
        self.assertEqual((disconnects, self.server.ended), ([1], [exchange]))


if __name__ == "__main__":
    unittest.main()
