"""Tests of one client connection, whose socket events are delivered in an order that a test sets."""

import contextlib
import select
import socket
import ssl
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from circuits.core.pollers import Select
from ibispaddle_daemon.events import CallFailure
from ibispaddle_daemon.http_connection import HttpConnection

from tests.failures.scripted_engine import reset_connection
from tests.support.certificates import upstream_contexts

# More than the buffers of both sockets hold.
LONG_BODY = b"p" * 8_000_000
EARLY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
LIMIT_S = 10.0


class RecordingListener:
    """Record the body of the response and how the connection ended."""

    def __init__(self) -> None:
        self.body = b""
        self.end: CallFailure | str | None = None

    def socket_opened(self, conn):
        pass

    def socket_closed(self, conn):
        pass

    def request_sent(self, conn):
        pass

    def head_received(self, conn, status, headers):
        pass

    def data_received(self, conn, data):
        self.body += data

    def response_completed(self, conn):
        self.end = "complete"

    def processing_deferred(self, conn):
        pass

    def connection_failed(self, conn, failure, text):
        self.end = failure


class EarlyResponseTest(unittest.TestCase):
    """The upstream responds while the request is still being written."""

    context: ssl.SSLContext | None = None  # Of the client.

    def setUp(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.listener = RecordingListener()
        # The poller does not run; the tests deliver the events.
        self.conn = HttpConnection(self.listener, Select(), "test")
        self.addCleanup(self.conn.close_socket)
        self.conn.open((*self.server.getsockname(), "http"), self.context)
        self.conn.send_request(
            "POST", "/x", (("Host", "a"), ("Content-Length", str(len(LONG_BODY)))), LONG_BODY
        )
        self.upstream = self.accept()
        self.addCleanup(self.upstream.close)
        # A reset discards what the system has not sent yet.
        self.upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.write_until_blocked()

    def accept(self) -> socket.socket:
        """Return the upstream's side of the connection."""
        return self.server.accept()[0]

    def write_until_blocked(self) -> None:
        """Let the connection write until the upstream, which reads nothing, has no more room."""
        sock, limit = self.conn.sock, time.monotonic() + LIMIT_S
        while select.select((), (sock,), (), 0.1)[1]:
            self.assertLess(time.monotonic(), limit)
            self.conn.handle_writable()
        self.assertTrue(self.conn.has_unsent_data)

    def end_response(self) -> None:
        """Close the upstream's sending side."""
        self.upstream.shutdown(socket.SHUT_WR)

    def wait_for_input(self) -> None:
        """Wait until the connection's socket has received data, an end or a reset."""
        self.assertTrue(select.select((self.conn.sock,), (), (), LIMIT_S)[0])

    def receive(self, sent: bytes) -> None:
        """Let the connection read what the upstream sent."""
        self.upstream.sendall(sent)
        while not self.listener.body.endswith(sent[-1:]):
            self.wait_for_input()
            self.conn.handle_readable()

    def reset(self) -> None:
        """Reset the connection, as the system does if a process ends with unread data."""
        reset_connection(self.upstream)
        self.wait_for_reset()

    def wait_for_reset(self) -> None:
        """Wait until the reset has arrived, without taking the error from the connection's socket."""
        poll = select.poll()
        poll.register(self.conn.sock, 0)  # Errors and hangups are always reported.
        self.assertTrue(poll.poll(LIMIT_S * 1000))

    def test_reset_that_a_write_reports(self) -> None:
        """Guard against a part of a response without a length that is taken for complete."""
        self.receive(EARLY_HEAD + b"part")
        self.reset()
        self.conn.handle_writable()
        self.assertEqual((self.listener.body, self.listener.end), (b"part", CallFailure.CLOSED))

    def test_reset_that_a_read_reports(self) -> None:
        """Guard against a part of a response without a length that is taken for complete."""
        self.receive(EARLY_HEAD + b"part")
        self.reset()
        self.conn.handle_readable()
        self.assertEqual((self.listener.body, self.listener.end), (b"part", CallFailure.CLOSED))

    def test_close_with_unread_data(self) -> None:
        """Guard against the same after an upstream that closes without reading the request."""
        self.receive(EARLY_HEAD + b"part")
        self.upstream.close()
        self.wait_for_reset()
        self.conn.handle_writable()
        self.assertEqual((self.listener.body, self.listener.end), (b"part", CallFailure.CLOSED))

    def test_response_with_a_length_before_a_reset(self) -> None:
        """Guard against a complete response that is lost because the upstream reads no further."""
        self.upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
        self.reset()
        self.conn.handle_writable()
        self.assertEqual((self.listener.body, self.listener.end), (b"whole", "complete"))

    def test_end_before_the_request_is_read(self) -> None:
        """Guard against a sound response without a length that is taken for cut off."""
        self.receive(EARLY_HEAD + b"whole")
        self.end_response()
        self.wait_for_input()
        self.conn.handle_readable()
        self.assertEqual((self.listener.body, self.listener.end), (b"whole", "complete"))

    def test_reset_after_the_end(self) -> None:
        """Guard against the same if the upstream then resets the rest of the request."""
        self.receive(EARLY_HEAD + b"whole")
        self.end_response()
        self.wait_for_input()
        self.reset()
        self.conn.handle_writable()
        self.assertEqual((self.listener.body, self.listener.end), (b"whole", "complete"))


class EarlyResponseOverTlsTest(EarlyResponseTest):
    @classmethod
    def setUpClass(cls) -> None:
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.server_context, cls.context = upstream_contexts(folder)

    def accept(self) -> socket.socket:
        server_side = super().accept()
        with ThreadPoolExecutor(1) as pool:
            fut = pool.submit(self.server_context.wrap_socket, server_side, server_side=True)
            while not fut.done():
                if select.select((self.conn.sock,), (), (), 0.01)[0]:
                    self.conn.handle_readable()
                else:
                    self.conn.handle_writable()
            return fut.result()

    def end_response(self) -> None:
        self.upstream.settimeout(0.1)
        with contextlib.suppress(OSError):  # The rest of the request precedes the client's reply.
            self.upstream.unwrap()


if __name__ == "__main__":
    unittest.main()
