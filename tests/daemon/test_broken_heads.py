"""Tests of the HTTP client with responses whose heads are not valid HTTP/1.1.

All calls use this client: requests, status checks, reports, orders, and calls to the store and the log.
"""

import contextlib
import ssl
import tempfile
import unittest
from collections.abc import Iterable
from pathlib import Path

from ibispaddle_core.clock import SystemClock
from ibispaddle_daemon.events import CallFailure, HttpCall, http_call
from ibispaddle_daemon.http_client import HttpClient

from tests.support.broken_heads import (
    FOREIGN_VERSION_HEADS,
    INVALID_FIELD_HEADS,
    INVALID_STATUS_HEADS,
)
from tests.support.certificates import upstream_contexts
from tests.support.event_loop import RootComponent
from tests.support.upstreams import RawUpstream, read_request
from tests.support.waiting import wait_until

from .support import Recorder

TIMEOUT_MS = 8_000
FINAL_EVENTS = ("call_completed", "call_ended")


class BrokenHeadTest(unittest.TestCase):
    server_context: ssl.SSLContext | None = None
    contexts: dict[str, ssl.SSLContext] = {}
    scheme = "http"

    def setUp(self) -> None:
        self.recorder = Recorder()
        self.root = self.enterContext(RootComponent(HttpClient(None, self.contexts), self.recorder))

    def events_after(
        self, sent: bytes, call_id: str, stream: bool, size: int = 65_536
    ) -> list[tuple]:
        """Call an upstream that sends the bytes in pieces of `size`, and return the call's events."""

        def script(conn, number):
            if self.server_context is not None:
                conn = self.server_context.wrap_socket(conn, server_side=True)
            read_request(conn)
            for start in range(0, len(sent), size):
                conn.sendall(sent[start : start + size])
            if self.server_context is not None:
                with contextlib.suppress(OSError):
                    conn.unwrap()
            conn.close()

        upstream = RawUpstream(script)
        self.addCleanup(upstream.close)
        url = f"{self.scheme}://{upstream.address}/x"
        deadline_ms = SystemClock().now_ms() + TIMEOUT_MS
        call = HttpCall(call_id, "GET", url, (), b"", deadline_ms, "test", stream)
        self.root.fire(http_call(call), "http_client")

        def is_final() -> bool:
            return any(event[0] in FINAL_EVENTS for event in self.recorder.events_of(call_id))

        wait_until(is_final, call_id)
        return self.recorder.events_of(call_id)

    def assert_rejected(self, heads: Iterable[bytes]) -> None:
        """Check that none of the responses reaches the component that made the call."""
        for head in heads:
            for stream in (False, True):
                with self.subTest(head, stream=stream):
                    events = self.events_after(head + b"\r\nhi", f"{head!r} {stream}", stream)
                    error = events[-1][-1]
                    self.assertIsNotNone(error, events)
                    self.assertEqual(error.failure, CallFailure.PROTOCOL)
                    self.assertFalse({"call_head", "call_data"} & {event[0] for event in events})

    def test_invalid_status(self) -> None:
        """Guard against a response with an invalid status, which looks like an answer."""
        self.assert_rejected(INVALID_STATUS_HEADS)

    def test_foreign_version(self) -> None:
        """Guard against a response in a protocol that the client does not speak."""
        self.assert_rejected(FOREIGN_VERSION_HEADS)

    def test_invalid_field(self) -> None:
        """Guard against a line that is passed on, and against a body whose length it hides."""
        self.assert_rejected(INVALID_FIELD_HEADS)

    def test_folded_line_byte_by_byte(self) -> None:
        """Guard against a line that is accepted because its first byte arrives separately."""
        for head in INVALID_FIELD_HEADS[-2:]:
            with self.subTest(head):
                events = self.events_after(head + b"\r\nhi", repr(head), False, size=1)
                self.assertEqual(events[-1][-1].failure, CallFailure.PROTOCOL)

    def test_valid_head(self) -> None:
        """Guard against the rejection of a response with the same bytes where they are allowed."""
        head = b"HTTP/1.1 599 X\r\nX-First: a  b\t c\r\nX-Empty:\r\nX-Blank:  a \t\r\n"
        cases = {
            "length": head + b"Content-Length: 4\r\n\r\n\n hi",
            "chunks": head + b"Transfer-Encoding: chunked\r\n\r\n4\r\n\n hi\r\n0\r\n\r\n",
            "end": head + b"\r\n\n hi",
            "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + head + b"\r\n\n hi",
            "HTTP/1.0": head.replace(b"1.1", b"1.0") + b"\r\n\n hi",
        }
        for name, sent in cases.items():
            with self.subTest(name):
                _, status, headers, body, error = self.events_after(sent, name, False)[-1]
                self.assertEqual((status, body, error), (599, b"\n hi", None))
                self.assertEqual(dict(headers)["x-first"], "a  b\t c")


class BrokenHeadOverTlsTest(BrokenHeadTest):
    scheme = "https+runner"

    @classmethod
    def setUpClass(cls) -> None:
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.server_context, client_context = upstream_contexts(folder)
        cls.contexts = {cls.scheme: client_context}


if __name__ == "__main__":
    unittest.main()
