"""Tests with upstreams that respond to a long request before they have read it, and then reset it."""

import json
import socket
import unittest

from ibispaddle_bench.processes import call_json

from tests.failures.scripted_engine import chunk, reset_connection
from tests.support.early_upstreams import limit_window
from tests.support.entries import runner_entry
from tests.support.http import call
from tests.support.upstreams import RawUpstream
from tests.support.waiting import wait_until

from .processes import KEY, Fleet, fleet_document, service_entry
from .test_bad_upstreams import LOAD, matching_headers, response

# Without a length, a body ends with the connection.
SERVICE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
LONG_TEXT = "p" * 900_000
ATTEMPTS = 5


class EarlyUpstream:
    """Report valid load, and respond to the head of any other request; then reset the connection."""

    def __init__(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        limit_window(listener)
        self.runs = 0
        self.upstream = RawUpstream(self._script, listener)

    def _script(self, conn: socket.socket, number: int) -> None:
        while head := conn.recv(16_384).partition(b"\r\n\r\n")[0]:
            path = head.split(b" ")[1]
            if path == b"/load":
                conn.sendall(response(b"200 OK", json.dumps(LOAD).encode()))
            elif path == b"/v1/cancel":
                conn.sendall(response(b"200 OK", b'{"cancelled": false, "ran": true}'))
            else:
                self.runs += 1
                if path.startswith(b"/v1/"):
                    token = chunk("c", 0, "a")
                    conn.sendall(STREAM_HEAD + matching_headers(head) + b"\r\n" + token)
                else:
                    conn.sendall(SERVICE_RESPONSE)
                reset_connection(conn)
                return


class EarlyResponseTest(unittest.TestCase):
    def setUp(self) -> None:
        document = fleet_document(scheduling={"max_attempts": 1, "retry_budget": 0.0})
        self.fleet = self.enterContext(Fleet(0, document=document))
        self.early = EarlyUpstream()
        self.addCleanup(self.early.upstream.close)

    def publish(self, entry: dict) -> None:
        """Write an entry to the instance list."""
        call_json(f"{self.fleet.list.url}/admin/entries", {"entries": [entry]}, method="PUT")

    def send(self, method: str, path: str, body: bytes | dict) -> tuple[int, bytes]:
        """Send a long request, and return the status and body of its response."""
        port = int(self.fleet.instance.address.rpartition(":")[2])
        got = call(port, method, path, body, {"Authorization": f"Bearer {KEY}"})
        return got.status, got.body

    def send_until_run(self, method: str, path: str, body: bytes | dict) -> None:
        """Send a request again until the upstream gets it; before, the instance does not list it."""
        wait_until(lambda: self.send(method, path, body) and self.early.runs, "a run")

    def test_reset_response_of_a_service(self) -> None:
        """Guard against a part of a response that the caller gets as a complete one."""
        self.publish(service_entry("early-shop", self.early.upstream.address))
        request = ("GET", "/services/shop/x", LONG_TEXT.encode())
        self.send_until_run(*request)
        self.assertNotIn(200, [self.send(*request)[0] for _ in range(ATTEMPTS)])

    def test_reset_stream_of_an_engine(self) -> None:
        """Guard against a completion that ends as complete before its last event."""
        self.publish(runner_entry("early", self.early.upstream.address))
        messages = [{"role": "user", "content": LONG_TEXT}]
        for stream in (True, False):
            body = {"model": "m", "messages": messages, "max_tokens": 5, "stream": stream}
            request = ("POST", "/v1/chat/completions", body)
            self.send_until_run(*request)
            for _ in range(ATTEMPTS):
                status, content = self.send(*request)
                self.assertTrue(status != 200 or b'"error"' in content, (status, content))
                self.assertNotIn(b"[DONE]", content)


if __name__ == "__main__":
    unittest.main()
