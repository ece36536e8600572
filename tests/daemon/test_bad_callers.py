"""Tests with callers that send invalid requests, read slowly or disconnect."""

import json
import resource
import socket
import time
import unittest

from ibispaddle_standins.answers import find_answer_error

from tests.support.waiting import wait_until

from .processes import Fleet, fleet_document
from .raw_http import AUTH, PROMPT, chat_body, connect, post, read_all, read_response

LIMITS = {"max_body_bytes": 20_000, "max_header_bytes": 4_096, "max_unsent_bytes": 65_536}


class BadCallerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        document = fleet_document(limits=LIMITS)
        cls.fleet = cls.enterClassContext(Fleet(1, ("--time-scale", "400"), document=document))
        cls.metric = cls.fleet.instance.metric

    def tearDown(self):
        wait_until(lambda: self.metric("ibispaddle_requests_in_flight") == 0, "ended requests")
        wait_until(lambda: self.metric("ibispaddle_caller_connections") == 1, "closed connections")
        self.assertEqual(self.fleet.instance.problems(), [])

    def connect(self) -> socket.socket:
        return self.enterContext(connect(self.fleet.instance.address))

    def error_response(self, request: bytes) -> tuple[int, dict[str, str], dict]:
        with self.connect() as sock:
            sock.sendall(request)
            status, headers, body = read_response(sock)
        return status, headers, json.loads(body)["error"]

    def test_invalid_requests_get_api_errors(self):
        """Guard against a crash, a connection closed without a response, or an unspecific error."""
        path = "/v1/chat/completions"
        for request, status, code in (
            (post(path, b"{"), 400, "invalid_json"),
            (post(path, chat_body(model="other")), 404, "model_not_found"),
            (post(path, chat_body(), "Authorization: Bearer no\r\n"), 401, "invalid_api_key"),
            (post(path, chat_body(), "Authorization: Basic x\r\n"), 401, "missing_api_key"),
            (post(path, chat_body(), ""), 401, "missing_api_key"),
            (post(path, b"x" * 20_001), 413, "body_too_large"),
            (
                post(path, chat_body(), AUTH + "X-Request-Timeout-Ms: soon\r\n"),
                400,
                "invalid_value",
            ),
            (post(path, chat_body(), AUTH + "X-Request-Timeout-Ms: -1\r\n"), 400, "invalid_value"),
            (
                post(path, chat_body(), AUTH + "X: " + "y" * 70_000 + "\r\n"),
                431,
                "headers_too_large",
            ),
            (post("/v1/unknown", b""), 404, "unknown_path"),
            (post("/unknown", b""), 404, "unknown_path"),
            (post("/services/none/x", b""), 404, "service_not_found"),
            (post("/services/shop/x", b""), 400, "idempotency_key_required"),
            (post("/readyz", b""), 405, "method_not_allowed"),
            (b"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405, "method_not_allowed"),
            (
                b"POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n",
                400,
                "invalid_http",
            ),
            (b"\x16\x03\x01garbage\r\n\r\n", 400, "invalid_http"),
            (b"GET / HTTP/1.1\r\n\r\n", 400, "invalid_http"),
        ):
            with self.subTest(code=code, request=request[:80]):
                found, headers, error = self.error_response(request)
                self.assertEqual((found, error["code"]), (status, code))
                self.assertEqual((error["run_state"], headers["x-run-state"]), ("not_run",) * 2)

    def test_size_of_a_chunked_body_is_limited(self):
        """Guard against a body without Content-Length that exhausts the memory."""
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: a\r\n{AUTH}Transfer-Encoding: chunked\r\n\r\n"
        )
        chunk = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
        status, _, error = self.error_response(head.encode() + chunk * 8)
        self.assertEqual((status, error["code"]), (413, "body_too_large"))

    def test_large_body_is_refused_before_it_is_sent(self):
        """Guard against `100 Continue` for a body that will be refused."""
        head = f"POST /v1/completions HTTP/1.1\r\nHost: a\r\n{AUTH}Expect: 100-continue\r\n"
        status, _, _ = self.error_response(head.encode() + b"Content-Length: 999999999\r\n\r\n")
        self.assertEqual(status, 413)

    def test_requests_on_one_connection_are_answered_in_order(self):
        """Guard against pipelined requests that are lost."""
        with self.connect() as sock:
            body = chat_body()
            sock.sendall(
                post("/v1/chat/completions", body) * 3 + b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            for _ in range(3):
                status, _, answer = read_response(sock)
                text = json.loads(answer)["choices"][0]["message"]["content"]
                self.assertEqual((status, find_answer_error(text, PROMPT, 4)), (200, ""))
            self.assertEqual(read_response(sock)[2], b'{"status":"ok"}')

    def test_request_sent_byte_by_byte(self):
        """Guard against a parser that requires a request to arrive in one piece."""
        with self.connect() as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in post("/v1/chat/completions", chat_body()):
                sock.sendall(bytes([byte]))
            self.assertEqual(read_response(sock)[0], 200)

    def test_slow_caller_gets_all_tokens_with_limited_memory(self):
        """Guard against unlimited buffering for a slow caller, and against lost tokens."""
        tokens = 50_000
        sock = self.connect()
        body = chat_body(stream=True, max_tokens=tokens)
        sock.sendall(post("/v1/chat/completions", body, AUTH + "Connection: close\r\n"))
        runner = self.fleet.runners[0]
        wait_until(lambda: runner.state()["tokens_generated"] >= tokens, "generated tokens")
        wait_until(lambda: self.metric("ibispaddle_unsent_bytes"), "full socket buffers")
        for _ in range(10):
            unsent = self.metric("ibispaddle_unsent_bytes")
            self.assertLess(unsent, LIMITS["max_unsent_bytes"] + 65_536)
            time.sleep(0.02)
        response = read_all(sock)
        lines = [line for line in response.split(b"\n") if line.startswith(b"data: {")]
        texts = [json.loads(line[6:])["choices"][0]["delta"]["content"] for line in lines]
        self.assertEqual(find_answer_error("".join(texts), PROMPT, tokens), "")
        self.assertIn(b"data: [DONE]", response)

    def test_caller_that_disconnects_before_the_response(self):
        """Guard against engine work and state that remain for disconnected callers."""
        for stream in (True, False):
            before = self.fleet.runners[0].state()
            sock = self.connect()
            sock.sendall(post("/v1/chat/completions", chat_body(stream=stream, max_tokens=50_000)))
            accepted = before["accepted"]
            wait_until(lambda n=accepted: self.fleet.runners[0].state()["accepted"] > n, "start")
            sock.close()
            cancels = before["cancels"]
            wait_until(lambda n=cancels: self.fleet.runners[0].state()["cancels"] > n, "cancel")

    def test_request_of_a_caller_that_does_not_read_ends_at_its_deadline(self):
        """Guard against a request that never ends because its caller does not read."""
        sock = self.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        body = chat_body(stream=True, max_tokens=50_000)
        sock.sendall(post("/v1/chat/completions", body, AUTH + "X-Request-Timeout-Ms: 1500\r\n"))
        started = time.monotonic()
        wait_until(lambda: self.metric("ibispaddle_requests_in_flight") == 1, "start")
        wait_until(lambda: self.metric("ibispaddle_requests_in_flight") == 0, "end")
        self.assertLess(time.monotonic() - started, 3)
        sock.close()


class ManyConnectionsTest(unittest.TestCase):
    def test_more_connections_than_the_soft_limit_of_open_files(self):
        """Guard against refused connections because of the default soft limit of open files."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (150, hard))
        try:
            fleet = self.enterContext(Fleet(0))
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        host, port = fleet.instance.address.split(":")
        socks = [
            self.enterContext(socket.create_connection((host, int(port)), timeout=10))
            for _ in range(300)
        ]
        for sock in socks:
            sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual({read_response(sock)[0] for sock in socks}, {200})


if __name__ == "__main__":
    unittest.main()
