"""Tests of the operators' client with responses that are broken off or not valid HTTP/1.1."""

import socket
import unittest

from ibispaddle_client.api import OperatorApi
from ibispaddle_client.exceptions import ClientError

from tests.failures.scripted_engine import reset_connection
from tests.support.broken_heads import INVALID_FIELD_HEADS, INVALID_STATUS_HEADS
from tests.support.early_upstreams import limit_window
from tests.support.upstreams import RawUpstream, read_request

BODY = b'{"revision": 7}'
LONG_DOCUMENT = {"text": "p" * 4_000_000}
ATTEMPTS = 5


class BrokenResponseTest(unittest.TestCase):
    def api(self, script) -> OperatorApi:
        """Return a client of an instance that runs the script for each connection."""
        listener = socket.create_server(("127.0.0.1", 0))
        limit_window(listener)
        instance = RawUpstream(script, listener)
        self.addCleanup(instance.close)
        return OperatorApi(f"http://{instance.address}", "key")

    def assert_rejected(self, responses: list[bytes]) -> None:
        """Check that none of the responses counts as a success."""
        sent = []

        def script(conn, number):
            read_request(conn)
            conn.sendall(sent[-1])

        api = self.api(script)
        for response in responses:
            sent.append(response)
            with self.subTest(response), self.assertRaises(ClientError):
                api.get("config")

    def test_reset_during_a_long_request(self) -> None:
        """Guard against a part of a response that counts as a complete one."""

        def script(conn, number):
            conn.recv(65_536)
            conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + BODY[:-1])
            reset_connection(conn)

        api = self.api(script)
        for _ in range(ATTEMPTS):
            with self.assertRaises(ClientError):
                api.post("config", LONG_DOCUMENT)

    def test_invalid_status(self) -> None:
        """Guard against a change that counts as accepted because of an invalid status."""
        self.assert_rejected([head + b"\r\n" + BODY for head in INVALID_STATUS_HEADS])

    def test_invalid_field(self) -> None:
        """Guard against a body of which more or less is read because an invalid field hides its length."""
        for body in (b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY), BODY + b"{}", BODY[:-1]):
            self.assert_rejected([head + b"\r\n" + body for head in INVALID_FIELD_HEADS])


if __name__ == "__main__":
    unittest.main()
