"""Tests of requests at an instance that reaches no upstream, which others serve on its behalf."""

import http.client
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from tests.support.http import HttpResponse
from tests.support.waiting import wait_until

from .processes import KEY, Instance, Platform, configuration, route
from .upstream_links import CutMode, UpstreamLinks

INSTANCES = 3
# The platform's `config_apply_ms`.
IN_FORCE_S = 2.0
VERSIONS = 12
VERSION_INTERVAL_S = 0.25
RUN_S = 0.8
EVENTS = 100
NEW_KEY = "key-of-green"


class DelegatedRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.links = UpstreamLinks(INSTANCES)
        self.addCleanup(self.links.close)
        self.platform = Platform(
            runners=0, services=0, listed_address=self.links.open, upstream_ip=self.links.own_ip(0)
        )
        self.addCleanup(self.platform.__exit__)
        start = self.platform.start_runner
        self.platform.runners += [start(f"llm-{n}", "llm") for n in range(2)]
        self.platform.services += [start(f"shop-{n}", "shop") for n in range(2)]
        for number in range(1, INSTANCES):
            options = {"upstream_ip": self.links.own_ip(number)}
            self.platform.instances.append(self.platform.start_instance(number, **options))
        self.isolated, *self.others = self.platform.instances
        for instance in self.platform.instances:
            for process in (*self.platform.runners, *self.platform.services):
                instance.wait_for_upstream(process.name)
        self.configure(2)
        wait_until(lambda: self.stream().status == 200, "served")
        self.links.set_mode(CutMode.RESET, [0])
        wait_until(lambda: self.isolated.events("upstreams_unreachable"), "isolated")

    def configure(self, version: int, keys: tuple[str, ...] = (KEY,)) -> None:
        routes = [
            route("stream", "streaming", "llm"),
            route("once", "non_idempotent", "shop", attempts=2),
            route("read", "idempotent", "shop", attempts=2),
        ]
        tenants = [{"name": "blue", "api_keys": list(keys)}]
        self.platform.configure(configuration(version, routes=routes, tenants=tenants))

    def stream(self, **headers: str) -> HttpResponse:
        return self.isolated.stream(**headers)

    def runs_of(self, attempt_id: str) -> list[dict[str, Any]]:
        runs = self.platform.runs()
        return [run for run in runs if run["headers"]["attempt-id"] == attempt_id]

    def delegate_of(self, attempt_id: str) -> Instance:
        """Return the instance that has sent a request to an upstream."""

        def find() -> list[Instance]:
            return [
                instance
                for instance in self.others
                if any(e["request"] == attempt_id for e in instance.events("request_forwarded"))
            ]

        wait_until(find, "forwarded")
        return find()[0]

    def test_caller_leaves(self) -> None:
        """Guards against streams that go on at an upstream after the caller of the sender has left."""
        conn = http.client.HTTPConnection("127.0.0.1", self.isolated.port, timeout=5)
        headers = {"Host": "a.example", "Key": KEY, "Attempt-Id": "a1", "Deadline-Ms": "9000"}
        headers |= {"Token-Count": "1000,200", "Test-Plan": "300,0.02,1,0"}
        conn.request("POST", "/stream/x", b"prompt", headers)
        response = conn.getresponse()
        self.assertTrue(response.read(10))

        def working() -> int:
            return sum(process.state()["working"] for process in self.platform.runners)

        self.assertEqual(working(), 1)
        response.close()
        conn.close()
        wait_until(lambda: working() == 0, "the end of the stream", 1.0)

    def test_delegate_is_killed(self) -> None:
        """Guards against second runs, and lost requests, when a delegate dies with the request."""
        for process in self.platform.services:
            process.set_faults(delay_s=RUN_S)
        for method, path, status, max_runs in (("POST", "once", 502, 1), ("GET", "read", 200, 2)):
            with ThreadPoolExecutor() as pool:
                call = pool.submit(self.isolated.call, method, f"/{path}/x", Attempt_Id=path)
                delegate = self.delegate_of(path)
                wait_until(lambda name=path: self.runs_of(name), "run")
                delegate.close()
                self.assertEqual(call.result().status, status)
            self.assertLessEqual(len(self.runs_of(path)), max_runs)
            delegate.start()
            wait_until(delegate.is_ready, "ready")

    def test_delegate_drains(self) -> None:
        """Guards against streams that are cut, and requests that are refused, when a delegate is stopped."""
        plan = {"Test_Plan": f"{EVENTS},0.02,1,0", "Deadline_Ms": "9000"}
        with ThreadPoolExecutor() as pool:
            stream = pool.submit(self.stream, Attempt_Id="long", **plan)
            delegate = self.delegate_of("long")
            ended = pool.submit(delegate.end)
            statuses = []
            while not ended.done():
                statuses.append(self.isolated.call("POST", "/once/x", b"b").status)
                time.sleep(0.02)
            self.assertEqual((stream.result().status, ended.result()), (200, 0))
            self.assertEqual(stream.result().body.count(b"data:"), EVENTS)
        self.assertEqual(set(statuses), {200})

    def test_configurations_in_quick_succession(self) -> None:
        """Guards against refusals while the sender or the delegates have an older configuration."""
        statuses = []
        for version in range(3, 3 + VERSIONS):
            self.configure(version)
            ends_s = time.monotonic() + VERSION_INTERVAL_S
            while time.monotonic() < ends_s:
                statuses.append(self.isolated.call("GET", "/read/x").status)
        self.assertEqual(set(statuses), {200})

    def test_removed_and_added_keys(self) -> None:
        """Guards against keys that an isolated instance accepts after their removal, or doesn't know."""
        self.assertEqual(self.isolated.call("GET", "/read/x").status, 200)
        self.configure(3, (NEW_KEY,))
        changed_s = time.monotonic()
        wait_until(lambda: self.isolated.call("GET", "/read/x").status == 401, "removed")
        wait_until(lambda: self.isolated.call("GET", "/read/x", Key=NEW_KEY).status == 200, "added")
        self.assertLess(time.monotonic() - changed_s, IN_FORCE_S)
        for _ in range(20):
            self.assertEqual(self.isolated.call("GET", "/read/x").status, 401)


if __name__ == "__main__":
    unittest.main()
