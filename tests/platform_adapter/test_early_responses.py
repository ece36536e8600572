"""Tests with upstreams that respond to a long request before they have read it, and then reset it."""

import re
import socket
import unittest
from http.client import HTTPException

from tests.failures.scripted_engine import reset_connection
from tests.support.early_upstreams import limit_window

from .processes import Platform
from .raw_server import RawServer

# `ID` is replaced by the request's attempt id. Without a length, the body ends with the connection.
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nAttempt-Id: ID\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LONG_BODY = b"p" * 4_000_000
ATTEMPTS = 5


class EarlyUpstream(RawServer):
    """A server that responds to a request's head, and then resets or half-closes the connection."""

    def __init__(self, response: bytes, is_reset: bool) -> None:
        self._response, self._is_reset = response, is_reset
        self.runs = 0
        super().__init__()
        limit_window(self._server)
        self.name = f"early-{self.address.rpartition(':')[2]}"

    def serve(self, sock: socket.socket) -> None:
        with sock:
            request = sock.recv(65_536)
            if b"/report" in request.partition(b"\r\n")[0]:
                sock.sendall(REPORT)
                return
            found = re.search(rb"(?i)attempt-id: *(\S+)", request)
            if found is None:
                return
            self.runs += 1
            sock.sendall(self._response.replace(b"ID", found[1]))
            if self._is_reset:
                reset_connection(sock)
                return
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65_536):
                pass


class EarlyResponseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=0, services=0)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance

    def register(self, service: str, response: bytes, is_reset: bool) -> EarlyUpstream:
        """Start an upstream, and wait until the instance lists it."""
        upstream = EarlyUpstream(response, is_reset)
        self.addCleanup(upstream.close)
        self.platform.register(upstream, service)
        self.instance.wait_for_upstream(upstream.name)
        return upstream

    def outcomes(self, path: str, **headers: str) -> list[int | str]:
        """Send long requests; return their statuses, or "cut" for visibly incomplete responses."""
        found: list[int | str] = []
        for number in range(ATTEMPTS):
            try:
                attempt_id = f"a{number}"
                sent = {"Attempt_Id": attempt_id, "Deadline_Ms": "1000"} | headers
                response = self.instance.call("POST", path, LONG_BODY, **sent)
                found.append(response.status)
            except (HTTPException, OSError):
                found.append("cut")
        return found

    def test_reset_response_of_a_service(self) -> None:
        """Guards against a part of a response that the caller gets as a complete one."""
        for path in ("/once/x", "/read/x"):
            with self.subTest(path):
                upstream = self.register("shop", HEAD + b"\r\npart", is_reset=True)
                self.assertNotIn(200, self.outcomes(path))
                self.assertGreater(upstream.runs, 0)
                self.platform.put("keyed.servers", upstream.name, None)

    def test_reset_stream_of_an_engine(self) -> None:
        """Guards against a stream that ends as complete after a whole event, but before its last."""
        upstream = self.register("llm", STREAM_HEAD + b"id: 1\ndata: a\n\n", is_reset=True)
        self.assertNotIn(200, self.outcomes("/stream/x", Token_Count="1000,200"))
        self.assertGreater(upstream.runs, 0)

    def test_whole_response_of_a_service(self) -> None:
        """Guards against a sound early response that is refused."""
        self.register("shop", HEAD + b"\r\nwhole", is_reset=False)
        self.assertEqual(self.outcomes("/once/x"), [200] * ATTEMPTS)


if __name__ == "__main__":
    unittest.main()
