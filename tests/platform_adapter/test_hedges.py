"""Tests of hedges with instance processes and stand-ins of runners.

The load pattern is a stream of repeatable requests while one of four runners answers a second late.
"""

import http.client
import subprocess
import sys
import unittest

from ibispaddle_platform.instance import EXIT_SETTINGS

from .processes import KEY, STREAM_HEADERS, Platform

SLOW_S = 1.0
# Before its first hedge, an instance measures at least 50 times to first output.
MEASURED_REQUESTS = 80
REQUESTS = 24


class HedgesTest(unittest.TestCase):
    def setUp(self) -> None:
        arguments = ("--hedge-fraction", "0.5")
        self.platform = Platform(runners=4, services=4, arguments=arguments)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance
        self.conn = http.client.HTTPConnection("127.0.0.1", self.instance.port, timeout=8)
        self.addCleanup(self.conn.close)

    def send(self, attempt_id: str, path: str) -> bytes:
        """Send a request on the kept connection and return the body of the response."""
        headers = {"Host": "a.example", "Key": KEY, "Deadline-Ms": "4000", "Attempt-Id": attempt_id}
        self.conn.request("POST", path, attempt_id.encode(), {**headers, **STREAM_HEADERS})
        response = self.conn.getresponse()
        self.assertEqual((response.status, response.headers["Attempt-Id"]), (200, attempt_id))
        return response.read()

    def runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for run in self.platform.runs():
            name = run["headers"]["attempt-id"]
            runs[name] = runs.get(name, 0) + 1
        return runs

    def check_slow_runner(self, path: str, runners: list) -> None:
        for number in range(MEASURED_REQUESTS):
            self.send(f"before{number}", path)
        runners[0].set_faults(delay_s=SLOW_S)
        bodies = [self.send(f"slow{number}", path) for number in range(REQUESTS)]
        self.assertEqual(len(set(bodies)), 1)
        won = self.instance.events("hedge_won")
        self.assertGreater(len(won), 0)
        self.assertTrue(all(line["cancelled"] == runners[0].name for line in won))
        # The answers of the cancelled attempts come late, while the connection is in use.
        for number in range(4):
            self.send(f"after{number}", path)
        self.assertLessEqual(max(self.runs().values()), 2)
        ended = {line["request"]: line for line in self.instance.events("forwarding_ended")}
        for line in won:
            self.assertLess(ended[line["request"]]["duration_ms"], 1_000 * SLOW_S)

    def test_streams_do_not_wait_for_a_slow_runner(self) -> None:
        """Guards against callers that wait for the slowest runner, and answers of two runs in one stream."""
        self.check_slow_runner("/stream/x", self.platform.runners)

    def test_calls_do_not_wait_for_a_slow_service(self) -> None:
        """Guards against a second copy of an answer that the next request of the connection gets."""
        self.check_slow_runner("/read/x", self.platform.services)

    def test_orders_run_once(self) -> None:
        """Guards against an order that is carried out twice because its service is slow (TWICE)."""
        for number in range(MEASURED_REQUESTS):
            self.send(f"before{number}", "/once/x")
        for service in self.platform.services:
            service.set_faults(delay_s=0.3)
        for number in range(4):
            self.send(f"slow{number}", "/once/x")
        self.assertEqual(set(self.runs().values()), {1})


class OptionsTest(unittest.TestCase):
    def test_out_of_range_fraction(self) -> None:
        """Guards against a fleet that starts with a limit nobody meant."""
        done = subprocess.run(
            [sys.executable, "-m", "ibispaddle_platform", "--hedge-fraction", "7"],
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, EXIT_SETTINGS)
        self.assertIn("platform.E003", done.stderr)


if __name__ == "__main__":
    unittest.main()
