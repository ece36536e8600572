"""Tests of the HTTP client with upstreams that send raw bytes."""

import socket
import struct
import time
import unittest

from ibispaddle_core.clock import SystemClock
from ibispaddle_daemon.events import (
    CallFailure,
    HttpCall,
    http_call,
    http_cancel,
    http_pause,
    http_resume,
)
from ibispaddle_daemon.http_client import HttpClient

from tests.support.event_loop import RootComponent
from tests.support.upstreams import RawUpstream, read_request
from tests.support.waiting import wait_until

from .support import Recorder

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class HttpClientTest(unittest.TestCase):
    def setUp(self):
        self.client = HttpClient()
        self.recorder = Recorder()
        self.root = self.enterContext(RootComponent(self.client, self.recorder))

    def upstream(self, script):
        upstream = RawUpstream(script)
        self.addCleanup(upstream.close)
        return upstream

    def call(
        self,
        address,
        call_id,
        *,
        stream=False,
        timeout_ms=8_000,
        body=b"",
        method="POST",
        **values,
    ):
        deadline = SystemClock().now_ms() + timeout_ms
        url = f"http://{address}/path?x=1"
        headers = (("X-A", "b"),)
        call = HttpCall(call_id, method, url, headers, body, deadline, "test", stream, **values)
        self.root.fire(http_call(call), "http_client")

    def final_event(self, call_id):
        """Wait for the final_event event of a call and return it."""
        names = ("call_completed", "call_ended")
        wait_until(lambda: any(e[0] in names for e in self.recorder.events_of(call_id)), call_id)
        return [e for e in self.recorder.events_of(call_id) if e[0] in names][0]

    def test_connection_is_reused_after_a_complete_response(self):
        """Guard against a new connection for each request."""

        def script(conn, number):
            while read_request(conn)[0]:
                conn.sendall(OK)

        upstream = self.upstream(script)
        for call_id in ("a", "b", "c"):
            self.call(upstream.address, call_id, body=b"x" * 300_000)
            name, status, _, body, error = self.final_event(call_id)
            self.assertEqual((name, status, body, error), ("call_completed", 200, b"hi", None))
        self.assertEqual(upstream.connections, 1)

    def test_request_is_sent_unchanged(self):
        """Guard against a lost query, header or body."""
        seen = []

        def script(conn, number):
            seen.append(read_request(conn))
            conn.sendall(OK)

        self.call(self.upstream(script).address, "a", body=b"content")
        self.final_event("a")
        head, body = seen[0]
        self.assertTrue(head.startswith(b"POST /path?x=1 HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-A: b", head)
        self.assertEqual(body, b"content")

    def test_streamed_response_received_byte_by_byte(self):
        """Guard against body bytes that are lost between two reads."""

        def script(conn, number):
            read_request(conn)
            for byte in CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n":
                conn.sendall(bytes([byte]))

        self.call(self.upstream(script).address, "a", stream=True)
        self.assertEqual(self.final_event("a"), ("call_ended", None))
        events = self.recorder.events_of("a")
        self.assertEqual([e[0] for e in events[:2]], ["call_sent", "call_head"])
        self.assertEqual(b"".join(e[1] for e in events if e[0] == "call_data"), b"abcde")

    def test_refused_connection_reports_no_byte_sent(self):
        """Guard against an unknown run state when the request cannot have run."""
        with socket.create_server(("127.0.0.1", 0)) as sock:
            address = "{}:{}".format(*sock.getsockname())
        self.call(address, "a")
        error = self.final_event("a")[4]
        self.assertEqual((error.failure, error.byte_sent), (CallFailure.UNREACHABLE, False))

    def test_reset_after_the_request_reports_bytes_sent(self):
        """Guard against `not_run` for a request that the upstream may have received."""

        def script(conn, number):
            read_request(conn)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        self.call(self.upstream(script).address, "a", stream=True)
        error = self.final_event("a")[1]
        self.assertEqual((error.failure, error.byte_sent), (CallFailure.CLOSED, True))

    def test_connection_closed_within_the_body_is_an_error(self):
        """Guard against a truncated response that is taken for complete."""

        def script(conn, number):
            read_request(conn)
            conn.sendall(CHUNKED + b"3\r\nabc\r\n")

        self.call(self.upstream(script).address, "a", stream=True)
        self.assertEqual(self.final_event("a")[1].failure, CallFailure.CLOSED)
        self.assertIn(("call_data", b"abc"), self.recorder.events_of("a"))

    def endless_upstream(self, head=b"HTTP/1.1 200 OK\r\n\r\n"):
        """Return an upstream that sends a body until the connection is closed."""

        def script(conn, number):
            read_request(conn)
            conn.sendall(head)
            while True:
                conn.sendall(b"z" * 65_536)

        return self.upstream(script)

    def test_response_larger_than_the_limit_of_the_call(self):
        """Guard against a response without end that is kept until the deadline (review/2)."""
        for head in (
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 500 X\r\nContent-Length: 9999999\r\n\r\n",
        ):
            with self.subTest(head):
                call_id = head.decode()
                self.call(self.endless_upstream(head).address, call_id, max_body_bytes=100_000)
                _, _, _, body, error = self.final_event(call_id)
                self.assertEqual((error.failure, body), (CallFailure.TOO_LARGE, b""))

    def test_total_size_of_the_responses_of_all_calls(self):
        """Guard against many calls that together exceed the memory of the process (review/2)."""
        upstream = self.endless_upstream()
        names = [f"c{number}" for number in range(12)]
        for name in names:
            self.call(upstream.address, name)
        errors = [self.final_event(name)[4] for name in names]
        self.assertEqual({error.failure for error in errors}, {CallFailure.TOO_LARGE})
        self.assertTrue(any("all calls" in error.text for error in errors), errors)

    def test_endless_interim_responses_are_a_protocol_error(self):
        """Guard against a call that processes interim responses until its deadline."""

        def script(conn, number):
            read_request(conn)
            while True:
                conn.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)

        self.call(self.upstream(script).address, "a")
        self.assertEqual(self.final_event("a")[4].failure, CallFailure.PROTOCOL)

    def test_response_of_many_small_chunks(self):
        """Guard against bytes that are lost or reordered when processing is interrupted, also by a pause."""
        content = bytes(range(256)) * 40
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in content)

        def script(conn, number):
            read_request(conn)
            conn.sendall(CHUNKED + chunks + b"0\r\n\r\n")

        address = self.upstream(script).address
        self.call(address, "plain")
        self.assertEqual(self.final_event("plain")[3], content)
        self.call(address, "paused", stream=True)
        wait_until(lambda: self.recorder.events_of("paused"), "data")
        self.root.fire(http_pause("paused"), "http_client")
        time.sleep(0.2)
        self.root.fire(http_resume("paused"), "http_client")
        self.assertEqual(self.final_event("paused"), ("call_ended", None))
        data = [e[1] for e in self.recorder.events_of("paused") if e[0] == "call_data"]
        self.assertEqual(b"".join(data), content)
        self.assertGreater(len(data), 1)

    def test_many_small_chunks_do_not_delay_other_calls(self):
        """Guard against a process that is held by one upstream's chunks of a single byte."""

        def endless(conn, number):
            read_request(conn)
            conn.sendall(CHUNKED)
            while True:
                conn.sendall(b"1\r\nx\r\n" * 10_922)

        def sound(conn, number):
            while read_request(conn)[0]:
                conn.sendall(OK)

        upstream = self.upstream(endless)
        for number in range(4):
            self.call(upstream.address, f"e{number}", stream=True)
        wait_until(lambda: self.recorder.events_of("e3"), "data")
        address = self.upstream(sound).address
        for number in range(5):
            started_s = time.monotonic()
            self.call(address, f"s{number}")
            self.final_event(f"s{number}")
            # Three turns of the event loop, each with a part of all four streams.
            self.assertLess(time.monotonic() - started_s, 0.6)
        for number in range(4):
            self.root.fire(http_cancel(f"e{number}"), "http_client")

    def test_invalid_response_is_a_protocol_error(self):
        """Guard against an unhandled error when an upstream does not speak HTTP."""

        def script(conn, number):
            read_request(conn)
            conn.sendall(b"\x00\x01garbage\r\n\r\n")

        self.call(self.upstream(script).address, "a")
        self.assertEqual(self.final_event("a")[4].failure, CallFailure.PROTOCOL)

    def test_late_response_does_not_reach_the_next_call(self):
        """Guard against reuse of a connection on which a response to an expired call arrives."""

        def script(conn, number):
            while read_request(conn)[0]:
                if number == 0:
                    time.sleep(0.2)
                    conn.sendall(OK.replace(b"hi", b"no"))
                else:
                    conn.sendall(OK)

        upstream = self.upstream(script)
        self.call(upstream.address, "late", timeout_ms=50)
        error = self.final_event("late")[4]
        self.assertEqual((error.failure, error.byte_sent), (CallFailure.TIMEOUT, True))
        self.call(upstream.address, "next")
        self.assertEqual(self.final_event("next")[3], b"hi")
        self.assertEqual(upstream.connections, 2)

    def test_cancelled_call_closes_its_connection(self):
        """Guard against an upstream that continues to work for a cancelled call."""
        closed = []

        def script(conn, number):
            read_request(conn)
            conn.sendall(CHUNKED)
            closed.append(conn.recv(1))

        self.call(self.upstream(script).address, "a", stream=True)
        wait_until(lambda: len(self.recorder.events_of("a")) >= 2, "head")
        self.root.fire(http_cancel("a"), "http_client")
        self.assertEqual(self.final_event("a")[1].failure, CallFailure.CANCELLED)
        wait_until(lambda: closed == [b""], "close")
        self.assertEqual(self.client.calls_in_flight, 0)

    def test_closed_idle_connection_is_not_reused(self):
        """Guard against a request on a connection that the upstream closed while it was idle."""

        def script(conn, number):
            read_request(conn)
            conn.sendall(OK)

        upstream = self.upstream(script)
        for call_id in ("a", "b"):
            self.call(upstream.address, call_id)
            self.assertIsNone(self.final_event(call_id)[4])
            wait_until(lambda: self.client.open_connections == 0, "closed connection")
        self.assertEqual(upstream.connections, 2)

    def test_bytes_after_a_response_do_not_reach_the_next_call(self):
        """Guard against a second response that an upstream sends without a request."""

        def script(conn, number):
            while read_request(conn)[0]:
                conn.sendall(OK + (OK.replace(b"hi", b"no") if number == 0 else b""))

        upstream = self.upstream(script)
        self.call(upstream.address, "a")
        self.assertEqual(self.final_event("a")[3], b"hi")
        self.call(upstream.address, "b")
        self.assertEqual(self.final_event("b")[3], b"hi")
        self.assertEqual(upstream.connections, 2)

    def test_pause_stops_reading(self):
        """Guard against unlimited buffering when a caller reads slowly."""
        sent = [0]

        def script(conn, number):
            read_request(conn)
            conn.sendall(CHUNKED)
            conn.settimeout(0.3)
            chunk = b"%x\r\n%s\r\n" % (65_536, b"x" * 65_536)
            try:
                while sent[0] < 400:
                    conn.sendall(chunk)
                    sent[0] += 1
            except TimeoutError:
                sent.append(0)
                time.sleep(10)

        self.call(self.upstream(script).address, "a", stream=True)
        wait_until(lambda: len(self.recorder.events_of("a")) >= 2, "head")
        self.root.fire(http_pause("a"), "http_client")
        wait_until(lambda: len(sent) > 1, "blocked upstream")
        before = len(self.recorder.events_of("a"))
        self.root.fire(http_resume("a"), "http_client")
        wait_until(lambda: len(self.recorder.events_of("a")) > before, "data after resume")

    def test_upstream_that_does_not_read_the_request(self):
        """Guard against a body that is held until the deadline because its upstream does not read it."""

        def script(conn, number):
            time.sleep(10)

        address = self.upstream(script).address
        body = b"x" * 30_000_000
        started = time.monotonic()
        self.call(address, "a", body=body, write_timeout_ms=300)
        error = self.final_event("a")[-1]
        self.assertEqual((error.failure, error.byte_sent), (CallFailure.TIMEOUT, True))
        self.assertLess(time.monotonic() - started, 3)

    def test_upstream_that_reads_the_request_slowly(self):
        """Guard against a sound call that fails because its upstream takes the body bit by bit."""

        def script(conn, number):
            left = 20_000_000
            while left > 0:
                left -= len(conn.recv(1_000_000))
                time.sleep(0.01)
            conn.sendall(OK)

        body = bytes(range(256)) * 80_000
        self.call(self.upstream(script).address, "a", body=body, write_timeout_ms=400)
        self.assertIsNone(self.final_event("a")[-1])

    def test_concurrent_calls_get_their_own_responses(self):
        """Guard against responses that are delivered to the wrong call."""

        def script(conn, number):
            while True:
                head, body = read_request(conn)
                if not head:
                    return
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

        upstream = self.upstream(script)
        for number in range(200):
            self.call(upstream.address, f"c{number}", body=b"%d" % number)
        for number in range(200):
            self.assertEqual(self.final_event(f"c{number}")[3], b"%d" % number)


if __name__ == "__main__":
    unittest.main()
