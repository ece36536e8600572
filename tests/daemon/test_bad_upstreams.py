"""Tests with runners that respond incorrectly, with errors or not at all."""

import json
import socket
import struct
import time
import unittest

import openai
from ibispaddle_bench.processes import call_json

from tests.support.broken_heads import BROKEN_HEADS
from tests.support.entries import runner_entry
from tests.support.upstreams import RawUpstream, read_request
from tests.support.waiting import wait_until

from .processes import KEY, Fleet, fleet_document

LOAD = {
    "boot_id": "b",
    "seq": 1,
    "time_ms": 0,
    "running": 0,
    "waiting": 0,
    "queued_prefill_tokens": 0,
    "kv_tokens_used": 0,
    "kv_tokens_total": 1_000_000,
    "prefill_tokens_per_s": 25_000.0,
    "decode_tokens_per_s": 60.0,
    "models": ["m"],
    "role": "mixed",
    "state": "live",
}
TOKEN = {
    "id": "c",
    "choices": [{"index": 0, "token_index": 0, "text": "a", "finish_reason": "stop"}],
}
ERROR = b'{"error": {"message": "text of the engine", "code": "%s"}}'


def response(status: bytes, body: bytes, headers: bytes = b"") -> bytes:
    """Return the bytes of a complete response."""
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)


def matching_headers(head: bytes) -> bytes:
    """Return the headers that match a response to its request."""
    request_id = next(
        line.split(b": ")[1]
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"x-request-id")
    )
    return b"X-Request-Id: %s\r\nX-Engine-Boot: b\r\n" % request_id


class BadRunner:
    """Report valid load, but respond to prompts with the function `behave` that the test sets."""

    def __init__(self) -> None:
        self.behave = None
        self.cancel_answer = {"cancelled": False, "ran": True}
        self.load_head = b"HTTP/1.1 200 OK\r\n"
        self.prompts = self.load_calls = 0
        self.upstream = RawUpstream(self._script)

    def _script(self, conn: socket.socket, number: int) -> None:
        while True:
            head, _ = read_request(conn)
            if not head:
                return
            path = head.split(b" ")[1]
            if path == b"/load":
                self.load_calls += 1
                body = json.dumps(LOAD).encode()
                conn.sendall(self.load_head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            elif path == b"/v1/cancel":
                conn.sendall(response(b"200 OK", json.dumps(self.cancel_answer).encode()))
            elif path.startswith(b"/kv"):
                conn.sendall(response(b"200 OK", b"{}"))
            else:
                self.prompts += 1
                if self.behave(conn, head):
                    return


class BadUpstreamTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        document = fleet_document(
            scheduling={"stall_timeout_ms": 300, "max_attempts": 1, "retry_budget": 0.0}
        )
        cls.fleet = cls.enterClassContext(Fleet(0, document=document))
        cls.runner = BadRunner()
        cls.addClassCleanup(cls.runner.upstream.close)
        entries = [runner_entry("bad", cls.runner.upstream.address)]
        call_json(f"{cls.fleet.list.url}/admin/entries", {"entries": entries}, method="PUT")
        wait_until(lambda: cls.runner.upstream.connections, "probe")
        cls.client = openai.OpenAI(
            api_key=KEY, base_url=f"{cls.fleet.instance.url}/v1", max_retries=0, timeout=10
        )
        cls.addClassCleanup(cls.client.close)

    def tearDown(self):
        metric = self.fleet.instance.metric
        wait_until(lambda: metric("ibispaddle_requests_in_flight") == 0, "ended requests")
        wait_until(lambda: metric("ibispaddle_upstream_calls") <= 1, "ended calls")
        self.assertEqual(self.fleet.instance.problems(), [])
        self.runner.cancel_answer = {"cancelled": False, "ran": True}

    def failure(self, behave, stream: bool, timeout_ms: int = 3_000):
        """Return status, code and run state of the error that the caller receives."""
        self.runner.behave = behave
        # After the previous test, the runner may still be marked as down for a moment.
        limit = time.monotonic() + 5
        while True:
            try:
                answer = self.client.completions.create(
                    model="m",
                    prompt="x",
                    stream=stream,
                    extra_headers={"X-Request-Timeout-Ms": str(timeout_ms)},
                )
                if stream:
                    for _ in answer:
                        pass
            except openai.APIStatusError as exc:
                if exc.code == "no_upstream" and time.monotonic() < limit:
                    time.sleep(0.02)
                    continue
                return exc.status_code, exc.code, exc.body["run_state"]
            except openai.APIError as exc:
                return 200, exc.code, exc.body["run_state"]
            raise AssertionError("expected an error, got a complete response")

    def test_responses_that_are_not_completions(self):
        """Guard against invalid data that reaches the caller, and against a wrong run state."""
        unknown, rejected = (502, "upstream_failed", "unknown"), "not_run"

        def respond_with(status, body, headers=b"", is_matching=True):
            def behave(conn, head):
                conn.sendall(
                    response(
                        status, body, headers + (matching_headers(head) if is_matching else b"")
                    )
                )

            return behave

        def send_bytes(data):
            def behave(conn, head):
                conn.sendall(data)
                return True

            return behave

        def reset(conn, head):
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return True

        sse = b"Content-Type: text/event-stream\r\n"
        endless = b"HTTP/1.1 200 OK\r\n" + sse
        for name, behave, expected in (
            ("reset", reset, unknown),
            ("close", lambda conn, head: True, unknown),
            ("garbage", send_bytes(b"\x00garbage\r\n\r\n"), unknown),
            (
                "large head",
                send_bytes(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 100_000 + b"\r\n\r\n"),
                unknown,
            ),
            ("500", respond_with(b"500 Error", ERROR % b"x"), unknown),
            ("404 page", respond_with(b"404 Not Found", b"<html>"), unknown),
            ("409", respond_with(b"409 Conflict", ERROR % b"duplicate"), unknown),
            ("429", respond_with(b"429 Busy", ERROR % b"busy"), (502, "upstream_failed", rejected)),
            ("422", respond_with(b"422 No", ERROR % b"bad_value"), (422, "bad_value", rejected)),
            (
                "not JSON",
                respond_with(b"200 OK", b"{", b"Content-Type: application/json\r\n"),
                unknown,
            ),
            (
                "foreign",
                respond_with(b"200 OK", b"{}", b"X-Request-Id: y\r\n", is_matching=False),
                unknown,
            ),
            ("cut event", respond_with(b"200 OK", b'data: {"id": "c"', sse), unknown),
            ("no chunk", respond_with(b"200 OK", b"data: {}\n\n", sse), unknown),
            ("length", send_bytes(endless + b"Content-Length: 99\r\n\r\ndata: "), unknown),
        ):
            for stream in (True, False):
                with self.subTest(name=name, stream=stream):
                    self.assertEqual(self.failure(behave, stream), expected)

    def test_completions_with_broken_heads(self):
        """Guard against a whole completion in a response that is not valid HTTP/1.1."""
        token = b"data: %s\n\ndata: [DONE]\n\n" % json.dumps(TOKEN).encode()

        def respond_after(broken):
            def behave(conn, head):
                sse = b"Content-Type: text/event-stream\r\n\r\n"
                conn.sendall(broken + matching_headers(head) + sse + token)
                return True

            return behave

        for broken in BROKEN_HEADS:
            for stream in (True, False):
                with self.subTest(broken, stream=stream):
                    expected = (502, "upstream_failed", "unknown")
                    self.assertEqual(self.failure(respond_after(broken), stream), expected)

    def test_status_checks_with_broken_heads(self):
        """Guard against a runner that counts as live by a response that is not valid HTTP/1.1."""
        metric = self.fleet.instance.metric

        def is_live():
            return metric("ibispaddle_runners_live") == 1

        sound_head = self.runner.load_head
        self.addCleanup(wait_until, is_live, "a live runner")
        self.addCleanup(setattr, self.runner, "load_head", sound_head)
        for broken in BROKEN_HEADS:
            with self.subTest(broken):
                self.runner.load_head = broken
                wait_until(lambda: not is_live(), "a runner that is down")
                calls = self.runner.load_calls
                wait_until(lambda calls=calls: self.runner.load_calls > calls + 1, "status checks")
                self.assertFalse(is_live())

    def test_failure_is_not_run_if_the_engine_confirms_it(self):
        """Guard against an unknown run state although the engine states that nothing ran."""
        self.runner.cancel_answer = {"cancelled": True, "ran": False}
        result = self.failure(lambda conn, head: True, stream=True)
        self.assertEqual(result, (502, "upstream_failed", "not_run"))

    def test_request_to_unresponsive_engine_ends_at_the_deadline(self):
        """Guard against a request that lives as long as a connection that neither side closes."""

        def keep_open(conn, head):
            conn.settimeout(5)
            conn.recv(1)
            return True

        started = time.monotonic()
        self.assertEqual(self.failure(keep_open, True, 400), (504, "deadline", "unknown"))
        self.assertLess(time.monotonic() - started, 1.5)

    def test_engine_that_sends_for_ever_is_bounded(self):
        """Guard against memory that an endless event fills."""

        def endless(conn, head):
            sse = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            conn.sendall(b"HTTP/1.1 200 OK\r\n" + matching_headers(head) + sse)
            while True:
                conn.sendall(b"10000\r\n" + b"x" * 65_536 + b"\r\n")

        self.assertEqual(self.failure(endless, True), (502, "upstream_failed", "unknown"))


if __name__ == "__main__":
    unittest.main()
