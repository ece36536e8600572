"""Tests with broken responses to orders to runners and to calls to the platform's store."""

import itertools
import json
import socket
import tempfile
import unittest
from http.client import HTTPException

from tests.support.broken_heads import (
    BROKEN_HEADS,
    FOREIGN_VERSION_HEADS,
    INVALID_FIELD_HEADS,
    INVALID_STATUS_HEADS,
)
from tests.support.http import call
from tests.support.upstreams import read_request
from tests.support.waiting import wait_until

from .processes import Instance, Platform
from .raw_server import RawServer

GRANTED = json.dumps({"free": 0}).encode()
LONG_TOKENS = "400000,700"  # Needs memory that is reserved at several runners.
STREAM = b"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nContent-Type: text/event-stream\r\n\r\n"


class GrantingRunner(RawServer):
    """A runner that grants each reservation in a response with a broken head."""

    def __init__(self, number: int) -> None:
        self.head = b""
        self.orders = self.prompts = 0
        super().__init__()
        self.name = f"llm-{number}"

    def serve(self, sock: socket.socket) -> None:
        with sock:
            line = read_request(sock)[0].partition(b"\r\n")[0]
            if b"/ibispaddle/order" in line:
                self.orders += 1
                sock.sendall(self.head + b"\r\n" + GRANTED)
            elif line.startswith(b"POST"):
                self.prompts += 1
                sock.sendall(STREAM)


class StoreProxy(RawServer):
    """Pass calls on to the store, and return its responses with broken heads while there are any."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.heads = itertools.cycle(BROKEN_HEADS)
        self.is_faulty = True
        self.faulty_responses = 0
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        with sock:
            head, body = read_request(sock)
            if not head:
                return
            method, target, _ = head.partition(b"\r\n")[0].decode().split(" ")
            try:
                response = call(self._port, method, target, body or None)
            except (OSError, HTTPException):  # The store has ended.
                return
            status_head = b"HTTP/1.1 %d X\r\n" % response.status
            if self.is_faulty:
                self.faulty_responses += 1
                status_head = next(self.heads)
            sock.sendall(status_head + b"\r\n" + response.body)


class BrokenHeadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(Platform(runners=0, services=0))

    def test_orders(self) -> None:
        """Guards against a reservation that counts as granted by a broken response."""
        instance = self.platform.instance
        runners = [GrantingRunner(number) for number in range(4)]
        for runner in runners:
            self.addCleanup(runner.close)
            self.platform.register(runner, "llm")
            instance.wait_for_upstream(runner.name)
        heads = INVALID_STATUS_HEADS[0], FOREIGN_VERSION_HEADS[0], *INVALID_FIELD_HEADS[-2:]
        for number, head in enumerate(heads):
            with self.subTest(head):
                for runner in runners:
                    runner.head, runner.orders, runner.prompts = head, 0, 0
                sent = {"Attempt_Id": f"a{number}", "Token_Count": LONG_TOKENS}
                response = instance.stream(Deadline_Ms="10000", **sent)
                self.assertGreaterEqual(response.status, 500)
                self.assertEqual([runner.prompts for runner in runners], [0] * len(runners))
                self.assertGreater(sum(runner.orders for runner in runners), 0)

    def test_calls_to_the_store(self) -> None:
        """Guards against a configuration from a broken response of the store."""
        proxy = StoreProxy(int(self.platform.store.address.rpartition(":")[2]))
        self.addCleanup(proxy.close)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        instance = Instance(folder, 9, proxy)
        self.addCleanup(instance.close)

        def are_all_sent() -> bool:
            self.assertFalse(instance.is_ready())
            return proxy.faulty_responses >= len(BROKEN_HEADS)

        wait_until(are_all_sent, "a response with each head", timeout_s=60.0)
        proxy.is_faulty = False
        wait_until(instance.is_ready, "ready")


if __name__ == "__main__":
    unittest.main()
