"""Tests with upstreams that send an earlier response again when a connection is used again.

The load pattern is a server that writes a second copy of a response late, at the moment at which the next
request arrives on the same connection.
"""

import json
import unittest
import urllib.request

from ibispaddle_bench.processes import call_json
from ibispaddle_core.clock import SystemClock
from ibispaddle_daemon.calls import CallbackHttpClient, CallResult
from ibispaddle_daemon.http_client import HttpClient

from tests.support.entries import runner_entry
from tests.support.event_loop import RootComponent
from tests.support.upstreams import RawUpstream, read_request
from tests.support.waiting import wait_until

from .processes import KEY, Fleet

CALLS = 6


def repeat_responses(conn, number):
    """Respond with the target of each request, after a copy of the previous response."""
    previous = b""
    while head := read_request(conn)[0]:
        body = json.dumps({"path": head.split(b" ")[1].decode()}).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        conn.sendall(previous + answer)
        previous = answer


class SecondCopyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.upstream = RawUpstream(repeat_responses)
        self.addCleanup(self.upstream.close)

    def test_call_to_a_plain_service(self) -> None:
        """Guards against the response to another caller's request to a service."""
        fleet = self.enterContext(Fleet(0))
        entry = runner_entry("shop-1", self.upstream.address)
        entry |= {"kind": "service", "models": [], "service": "shop"}
        call_json(f"{fleet.list.url}/admin/entries", {"entries": [entry]}, method="PUT")
        headers = {"Authorization": f"Bearer {KEY}"}

        def get(path: str) -> dict:
            url = f"{fleet.instance.url}/services/shop{path}"
            with urllib.request.urlopen(urllib.request.Request(url, headers=headers)) as response:
                return json.loads(response.read())

        def is_listed() -> bool:
            try:
                return bool(get("/first"))
            except OSError:
                return False

        wait_until(is_listed, "the service in the instance's list")
        for number in range(CALLS):
            self.assertEqual(get(f"/orders/{number}"), {"path": f"/orders/{number}"})

    def test_orders_status_checks_and_reports(self) -> None:
        """Guards against an order that counts as granted by the response to an earlier one."""
        client = HttpClient()
        calls = CallbackHttpClient("test_calls", SystemClock())
        self.enterContext(RootComponent(client, calls))
        for number in range(CALLS):
            results: list[CallResult] = []
            url = f"http://{self.upstream.address}/order/{number}"
            calls.send("POST", url, b"{}", 2_000, results.append)
            wait_until(lambda results=results: results, "response")
            self.assertEqual(json.loads(results[0].body), {"path": f"/order/{number}"})


if __name__ == "__main__":
    unittest.main()
