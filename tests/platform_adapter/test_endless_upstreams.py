"""Tests with upstreams that send endless invalid responses until the connection is closed.

The load pattern is a malfunctioning server that keeps sending within a head or a body, at full speed or
with single bytes, on every connection.
"""

import re
import socket
import threading
import time
import unittest
from collections.abc import Callable
from http.client import HTTPException

from tests.support.memory import resident_kb
from tests.support.waiting import wait_until

from .processes import KEY, Platform
from .raw_server import RawServer

# `ID` is replaced by the request's attempt id.
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nAttempt-Id: ID\r\n"
STREAM_HEAD = RESPONSE_HEAD + b"Content-Type: text/event-stream\r\n\r\n"
CHUNKED_STREAM_HEAD = STREAM_HEAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
CALL_RESPONSES = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"y" * 200 + b"\r\n"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body": (RESPONSE_HEAD + b"\r\n", b"z" * 4_096),
    "chunked body": (
        RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"z" * 1024 + b"\r\n",
    ),
    "no HTTP": (b"", b"\x00\xff garbage " * 100),
    "failure": (b"HTTP/1.1 500 Failed\r\nServer-Stamp: x\r\nAttempt-Id: ID\r\n\r\n", b"z" * 4_096),
}
STREAM_RESPONSES = {
    "event": (STREAM_HEAD, b"data: " + b"z" * 4_096),
    "empty lines": (STREAM_HEAD, b"\n" * 65_536),
    "comments": (STREAM_HEAD, b":\n\n" * 16_384),
    "chunks of one byte": (CHUNKED_STREAM_HEAD, b"1\r\n:\r\n" * 8_192),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_048),
    "repeated event": (STREAM_HEAD + b"id: 1\ndata: a\n\n", b"id: 1\ndata: a\n\n" * 50),
}
# Maximum memory growth of an instance that may use 200 MB, relative to its idle state.
MAX_GROWTH_KB = 40_000
CLOSE_TIMEOUT_S = 4.0
CALLS = 8
LONG_TOKENS = "400000,700"  # Needs memory that is reserved at several runners.
STREAM_DEADLINE_S = 2.5
# Time within which a request ends after its deadline, by the users' rules.
DEADLINE_SLACK_S = 0.5
STREAMS = 4
# Time that calls to a sound service may take beside endless streams: the users' timeout of such a call.
SOUND_CALL_S = 0.6


class EndlessUpstream(RawServer):
    """A server that sends endlessly on each of its connections."""

    def __init__(self, first: bytes, repeated: bytes, pause_s: float = 0.0) -> None:
        self._first, self._repeated, self._pause_s = first, repeated, pause_s
        self.open = 0
        self.seen: set[str] = set()  # Attempt ids of the requests that were read.
        self._lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        with self._lock:
            self.open += 1
        try:
            with sock:
                found = re.search(rb"(?i)attempt-id: *(\S+)", sock.recv(65_536))
                attempt_id = found[1] if found else b""
                self.seen.add(attempt_id.decode())
                sock.sendall(self._first.replace(b"ID", attempt_id))
                while True:
                    sock.sendall(self._repeated)
                    time.sleep(self._pause_s)
        except OSError:
            pass
        finally:
            with self._lock:
                self.open -= 1


class EndlessUpstreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=0, services=0)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance

    def register(
        self, service: str, response: tuple[bytes, bytes], pause_s: float = 0.0
    ) -> EndlessUpstream:
        """Start and register an upstream, and wait until the instance lists it."""
        upstream = EndlessUpstream(*response, pause_s)
        self.addCleanup(upstream.close)
        upstream.name = f"{service}-{upstream.address.rpartition(':')[2]}"
        self.platform.register(upstream, service)
        self.instance.wait_for_upstream(upstream.name)
        return upstream

    def remove(self, upstream: EndlessUpstream) -> None:
        """Remove an upstream from the store, and wait until the instance has removed it."""
        upstream.close()
        self.platform.put("keyed.servers", upstream.name, None)

        def is_gone() -> bool:
            lines = self.instance.events("upstream_removed")
            return any(line["upstream"] == upstream.name for line in lines)

        wait_until(is_gone, "the removal of the upstream from the instance's list")

    def assert_bounded(self, upstream: EndlessUpstream, call: Callable[[str], int]) -> None:
        before = resident_kb(self.instance.proc.pid)
        statuses: dict[str, int] = {}

        def run(attempt_id: str) -> None:
            statuses[attempt_id] = call(attempt_id)

        threads = [threading.Thread(target=run, args=(f"a{number}",)) for number in range(CALLS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        self.assertEqual(len(statuses), CALLS)
        self.assertTrue(upstream.seen)
        self.assertNotIn(200, statuses.values())
        # Requests that were refused as not run must not have reached the upstream.
        refused = {name for name, status in statuses.items() if status in (408, 421, 429, 503)}
        self.assertEqual(refused & upstream.seen, set())
        self.assertLess(resident_kb(self.instance.proc.pid) - before, MAX_GROWTH_KB)
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while upstream.open and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertEqual(upstream.open, 0)

    def test_endless_responses_to_calls(self) -> None:
        """Guards against unbounded memory, a false success, and a call falsely reported as not run."""
        for name, response in CALL_RESPONSES.items():
            with self.subTest(name):
                upstream = self.register("shop", response)
                self.assert_bounded(upstream, self.call_status)
                self.remove(upstream)

    def call_status(self, attempt_id: str) -> int:
        return self.instance.call("POST", "/once/x", Attempt_Id=attempt_id).status

    def stream_status(self, attempt_id: str, tokens: str = "1000,200") -> int:
        try:
            return self.instance.stream(
                Token_Count=tokens,
                Deadline_Ms=str(round(1000 * STREAM_DEADLINE_S)),
                Attempt_Id=attempt_id,
            ).status
        except (OSError, HTTPException):
            return 0  # The connection closed during the response, so it is seen as incomplete.

    def test_endless_streams(self) -> None:
        """Guards against a stream that repeats the same event forever and is not detected as stalled."""
        for name, response in STREAM_RESPONSES.items():
            with self.subTest(name):
                upstream = self.register("llm", response)
                self.assert_bounded(upstream, self.stream_status)
                self.remove(upstream)

    def test_calls_to_sound_services_beside_endless_streams(self) -> None:
        """Guards against an instance that answers nobody while one upstream sends without end (review/3)."""
        self.platform.services.append(self.platform.start_runner("shop-sound", "shop"))
        for name in ("empty lines", "comments", "chunks of one byte", "interim heads"):
            with self.subTest(name):
                upstream = self.register("llm", STREAM_RESPONSES[name])
                threads = [
                    threading.Thread(target=self.stream_status, args=(f"s{number}",))
                    for number in range(STREAMS)
                ]
                for thread in threads:
                    thread.start()
                wait_until(lambda upstream=upstream: upstream.seen, "a stream at the upstream")
                for number in range(10):
                    started_s = time.monotonic()
                    self.assertEqual(self.call_status(f"c{number}"), 200)
                    self.assertLess(time.monotonic() - started_s, SOUND_CALL_S)
                    time.sleep(0.05)
                for thread in threads:
                    thread.join(10)
                self.remove(upstream)

    def test_endless_responses_to_status_checks_and_orders(self) -> None:
        """Guards against memory that grows with each order, status check and report (review/2)."""
        for _ in range(4):
            self.register("llm", (b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 65_536))
        before = resident_kb(self.instance.proc.pid)
        threads = [
            threading.Thread(target=self.stream_status, args=(f"l{number}", LONG_TOKENS))
            for number in range(CALLS)
        ]
        for thread in threads:
            thread.start()
        peak = 0
        while any(thread.is_alive() for thread in threads):
            peak = max(peak, resident_kb(self.instance.proc.pid))
            time.sleep(0.02)
        self.assertLess(peak - before, MAX_GROWTH_KB)

    def test_consumer_that_stops_reading_an_endless_stream(self) -> None:
        """Guards against an instance that hangs while reading from an upstream is paused (review/1)."""
        self.platform.services.append(self.platform.start_runner("shop-sound", "shop"))
        text = b"data: " + b"z" * 1_000 + b"\n\n"
        self.register("llm", (STREAM_HEAD, text * 64))
        conn = socket.create_connection(("127.0.0.1", self.instance.port))
        self.addCleanup(conn.close)
        head = f"POST /stream/x HTTP/1.1\r\nHost: a.example\r\nKey: {KEY}\r\nAttempt-Id: p1\r\n"
        head += "Token-Count: 1000,200\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        conn.sendall(head.encode())
        ends_s = time.monotonic() + 2.5
        number = 0
        while time.monotonic() < ends_s:
            number += 1
            started_s = time.monotonic()
            self.assertEqual(self.call_status(f"c{number}"), 200)
            self.assertLess(time.monotonic() - started_s, SOUND_CALL_S)
            time.sleep(0.1)
        self.assertTrue(self.instance.is_ready())

    def test_stream_of_single_bytes(self) -> None:
        """Guards against a stalled stream that never ends because it sends single bytes.

        It is resumed at the other upstream, and ends at the caller's deadline as that one stalls too.
        """
        for _ in range(2):
            self.register("llm", (STREAM_HEAD + b"id: 1\ndata: a\n\n", b":"), pause_s=0.05)
        started_s = time.monotonic()
        self.stream_status("slow")
        self.assertLess(time.monotonic() - started_s, STREAM_DEADLINE_S + DEADLINE_SLACK_S)
        failed = self.instance.events("attempt_failed")
        self.assertTrue(any("no event" in line["reason"] for line in failed), failed)


if __name__ == "__main__":
    unittest.main()
