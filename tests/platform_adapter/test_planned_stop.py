"""Tests of the planned stop of one instance while callers go on using their connections."""

import http.client
import threading
import time
import unittest

from tests.support.waiting import wait_until

from .processes import KEY, Platform, configuration, route

GRACE_S = 8
# Requests that are sent later than this after the signal was handled must not be cut at the end of the grace time.
LATE_S = 3.0
SLOW_S = 6.0


class PlannedStopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(services=2, grace_s=GRACE_S)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance
        routes = [
            route("once", "non_idempotent", "shop", timeout_ms=12_000),
            route("read", "idempotent", "shop", timeout_ms=12_000),
        ]
        self.platform.configure(configuration(2, routes=routes))
        time.sleep(1.0)
        self.results: list[tuple[float, object]] = []
        self.threads: list[threading.Thread] = []

    def connect(self) -> http.client.HTTPConnection:
        """Return a connection that is kept and has answered a request."""
        conn = http.client.HTTPConnection("127.0.0.1", self.instance.port, timeout=GRACE_S + 2)
        self.addCleanup(conn.close)
        self.assertEqual(self.call(conn, "once", 1_000), 200)
        return conn

    def call(self, conn: http.client.HTTPConnection, path: str, deadline_ms: int) -> object:
        headers = {"Host": "a.example", "Key": KEY, "Deadline-Ms": str(deadline_ms)}
        headers["Attempt-Id"] = f"{path}-{time.monotonic_ns()}"
        try:
            conn.request("POST" if path == "once" else "GET", f"/{path}/x", headers=headers)
            response = conn.getresponse()
            response.read()
            return response.status
        except (http.client.HTTPException, OSError) as exc:
            return type(exc).__name__

    def call_later(self, conn, at_s: float, path: str, deadline_ms: int) -> None:
        """Send a request some time after the instance has handled the signal."""

        def run() -> None:
            wait_until(lambda: bool(self.instance.events("instance_draining")), "the drain")
            (drain,) = self.instance.events("instance_draining")
            time.sleep(max(0.0, drain["time"] + at_s - time.time()))
            self.results.append((at_s, self.call(conn, path, deadline_ms)))

        self.threads.append(threading.Thread(target=run))
        self.threads[-1].start()

    def stop(self) -> int:
        status = self.instance.end()
        for thread in self.threads:
            thread.join()
        return status

    def runs(self) -> int:
        return sum(len(process.state()["runs"]) for process in self.platform.services)

    def test_late_requests_are_not_passed_on_and_cut(self) -> None:
        """Guards against requests, some of which may not be repeated, that are sent to upstreams late
        in the grace time and cut at its end."""
        conns = [self.connect() for _ in range(12)]
        for process in self.platform.services:
            process.set_faults(delay_s=SLOW_S)
        runs = self.runs()
        self.signal_s = time.monotonic()
        for number, conn in enumerate(conns):
            path = "once" if number % 2 else "read"
            self.call_later(conn, LATE_S + 0.05 + 0.3 * number, path, 10_000)
        self.assertEqual(self.stop(), 0)
        answers = {answer for _, answer in self.results}
        # A request that crosses the close of its connection is not passed on.
        self.assertLessEqual(answers, {503, "RemoteDisconnected", "ConnectionRefusedError"})
        self.assertIn(503, answers)
        self.assertEqual(self.runs(), runs)

    def test_requests_that_end_in_time_are_served(self) -> None:
        """Guards against requests that are refused although they end within the grace time."""
        conns = [self.connect() for _ in range(4)]
        for process in self.platform.services:
            process.set_faults(delay_s=0.4)
        self.signal_s = time.monotonic()
        for number, conn in enumerate(conns):
            self.call_later(conn, LATE_S + 0.1 + 0.15 * number, "once", 1_000)
        self.assertEqual(self.stop(), 0)
        self.assertEqual({answer for _, answer in self.results}, {200}, self.results)

    def test_requests_in_flight_at_the_end_get_an_answer(self) -> None:
        """Guards against connections that end without an answer when the grace time is over."""
        conns = [self.connect() for _ in range(2)]
        for process in self.platform.services:
            process.set_faults(delay_s=20.0)
        self.signal_s = time.monotonic()
        for conn, path in zip(conns, ("once", "read"), strict=True):
            self.call_later(conn, 0.5, path, 12_000)
        self.stop()
        self.assertLess(time.monotonic() - self.signal_s, GRACE_S)
        self.assertEqual([answer for _, answer in self.results], [502, 502])


if __name__ == "__main__":
    unittest.main()
