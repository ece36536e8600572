"""Tests with upstreams that repeat, cut or mix up their responses."""

import re
import socket
import unittest
from collections.abc import Sequence
from http.client import HTTPException, IncompleteRead

from tests.support.broken_heads import (
    FOREIGN_VERSION_HEADS,
    INVALID_FIELD_HEADS,
    INVALID_STATUS_HEADS,
)
from tests.support.http import HttpResponse
from tests.support.waiting import wait_until

from .processes import Platform
from .raw_server import RawServer

# `ID` is replaced by the request's attempt id.
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nAttempt-Id: ID\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: ID\r\nContent-Length: 4\r\n\r\nbusy"
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class ScriptedUpstream(RawServer):
    """A server that answers the n-th request with the n-th response, and then closes its connection.

    A connection is kept for `requests_per_connection` requests.
    """

    def __init__(self, responses: Sequence[bytes], requests_per_connection: int = 1) -> None:
        self._responses = list(responses)
        self._requests_per_connection = requests_per_connection
        self.runs = 0
        super().__init__()
        self.name = f"scripted-{self.address.rpartition(':')[2]}"

    def serve(self, sock: socket.socket) -> None:
        with sock:
            for _ in range(self._requests_per_connection):
                request = sock.recv(65_536)
                if not request:
                    return
                if b"/report" in request.partition(b"\r\n")[0]:
                    sock.sendall(REPORT)
                    continue
                found = re.search(rb"(?i)attempt-id: *(\S+)", request)
                response = self._responses[min(self.runs, len(self._responses) - 1)]
                self.runs += 1
                sock.sendall(response.replace(b"ID", found[1] if found else b""))


class FaultyUpstreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=0, services=0)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance

    def register(self, service: str, *responses: bytes, keep: int = 1) -> ScriptedUpstream:
        upstream = ScriptedUpstream(responses, keep)
        self.addCleanup(upstream.close)
        self.platform.register(upstream, service)
        self.instance.wait_for_upstream(upstream.name)
        return upstream

    def remove(self, upstream: ScriptedUpstream) -> None:
        """Remove an upstream from the store, and wait until the instance has removed it."""
        self.platform.put("keyed.servers", upstream.name, None)

        def is_gone() -> bool:
            lines = self.instance.events("upstream_removed")
            return any(line["upstream"] == upstream.name for line in lines)

        wait_until(is_gone, "the removal of the upstream")

    def stream(self) -> HttpResponse | None:
        """Send a request for a stream; return None if the response is visibly incomplete."""
        try:
            return self.instance.stream()
        except (HTTPException, OSError):
            return None

    def test_refusal_that_is_repeated_on_a_kept_connection(self) -> None:
        """Guards against the next caller getting an earlier refusal for a request that ran."""
        success = HEAD + b"Content-Length: 2\r\n\r\nok"
        upstream = self.register("shop", REFUSAL + REFUSAL, success, keep=2)
        # The first response proves that nothing ran, so the call is sent again.
        response = self.instance.call("POST", "/once/x")
        self.assertEqual((response.status, response.body), (200, b"ok"))
        self.assertEqual(upstream.runs, 2)

    def test_error_in_place_of_the_rest_of_a_stream(self) -> None:
        """Guards against an error that the caller finds in its stream, and against a stream that a
        failed continuation ends as complete or leaves open."""
        begun = STREAM_HEAD + b"\r\nid: 1\ndata: a\n\nid: 2\ndata: b"
        for status in (b"404 Unknown", b"500 Failed", b"302 Found", b"204 Empty"):
            error = b"HTTP/1.1 " + status + b"\r\nServer-Stamp: x\r\nAttempt-Id: ID\r\n"
            error += b"\r\n" if status.startswith(b"204") else b"Content-Length: 6\r\n\r\nfailed"
            with self.subTest(status):
                upstream = self.register("llm", begun, error)
                try:
                    response = self.instance.stream()
                    self.fail(f"complete response: {response}")
                except IncompleteRead as exc:
                    self.assertNotIn(b"failed", exc.partial)
                    self.assertNotIn(b"HTTP", exc.partial)
                self.remove(upstream)

    def test_head_that_ends_in_the_middle(self) -> None:
        """Guards against an empty or short success after a head that broke off."""
        for cut in (b"HTTP/1.1 200", HEAD, HEAD + b"Content-Length: 2", STREAM_HEAD + b"X-More: "):
            with self.subTest(cut):
                upstream = self.register("shop", cut)
                self.assertEqual(self.instance.call("POST", "/once/x").status, 502)
                self.assertEqual(upstream.runs, 1)
                self.remove(upstream)

    def assert_rejected(self, heads: Sequence[bytes]) -> None:
        """Check that callers get none of the responses, which look like a success or a failure."""
        fields = b"Server-Stamp: x\r\nAttempt-Id: ID\r\n"
        responses = [head + fields + b"\r\nwhole" for head in heads]
        upstream = self.register("shop", *responses)
        for number, head in enumerate(heads):
            with self.subTest(head):
                response = self.instance.call("POST", "/once/x")
                self.assertEqual((response.status, upstream.runs), (502, number + 1))
                self.assertNotIn("server-stamp", response.headers)
                self.assertNotIn(b"whole", response.body)
        self.remove(upstream)
        # Repeatable requests are sent more than once, so a call is not one response of the upstream.
        upstream = self.register("shop", *responses)
        while upstream.runs < len(heads):
            response = self.instance.call("GET", "/read/x", Deadline_Ms="300")
            self.assertGreaterEqual(response.status, 500)
            self.assertNotIn(b"whole", response.body)
        fields += b"Content-Type: text/event-stream\r\n"
        upstream = self.register("llm", *(h + fields + b"\r\nid: 1\ndata: a\n\n" for h in heads))
        while upstream.runs < len(heads):
            response = self.instance.stream(Deadline_Ms="300")
            self.assertGreaterEqual(response.status, 500)
            self.assertNotIn(b"data: a", response.body)

    def test_invalid_status(self) -> None:
        """Guards against a response with an invalid status, which callers get as an answer."""
        self.assert_rejected(INVALID_STATUS_HEADS)

    def test_foreign_version(self) -> None:
        """Guards against a response in a protocol that the instance does not speak."""
        self.assert_rejected(FOREIGN_VERSION_HEADS)

    def test_invalid_field(self) -> None:
        """Guards against a line that callers get, and against a body whose length it hides."""
        self.assert_rejected(INVALID_FIELD_HEADS)

    def test_stream_that_ends_with_its_connection(self) -> None:
        """Guards against a stream without a length that is cut within an event and looks complete."""
        whole = STREAM_HEAD + b"\r\nid: 1\ndata: a\n\n"
        upstream = self.register("llm", whole)
        response = self.stream()
        assert response is not None
        self.assertEqual(response.body, b"id: 1\ndata: a\n\n")
        self.remove(upstream)
        self.register("llm", whole + b"id: 2\nda")
        self.assertIsNone(self.stream())


if __name__ == "__main__":
    unittest.main()
