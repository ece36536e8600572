"""Tests of runners that turn a request away and state for how long they want no other one."""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from .processes import Platform

PAUSE_S = 3.0
# Requests on their way when the refusal arrives, and the time within which they arrive.
SETTLE_S, MAX_LATER = 0.5, 2
DURATION_S = 4.5


class PausedRunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=2, services=2)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance

    def send(self, path: str, duration_s: float) -> list[tuple[int, float, float]]:
        """Send requests, and return the status, duration and `Retry-After` of each."""

        def send(number: int) -> list[tuple[int, float, float]]:
            found = []
            ends = time.monotonic() + duration_s
            while time.monotonic() < ends:
                started = time.monotonic()
                if path == "stream":
                    response = self.instance.stream(Deadline_Ms="2000")
                else:
                    response = self.instance.call("POST", f"/{path}/x", Deadline_Ms="2000")
                retry_after_s = float(response.headers.get("retry-after", "0"))
                found.append((response.status, time.monotonic() - started, retry_after_s))
                time.sleep(0.03)
            return found

        with ThreadPoolExecutor(4) as pool:
            return sum(pool.map(send, range(4)), [])

    def late_arrivals(self, process, since_s: float) -> int:
        """Return the arrivals between the settling time after the first refusal and the pause's end."""
        times = process.state()["arrival_times_s"]
        first_s = min(at for at in times if at > since_s)
        return sum(first_s + SETTLE_S < at < first_s + PAUSE_S for at in times)

    def check(self, path: str, processes: list) -> None:
        paused, _ = processes
        since_s = time.monotonic()
        paused.set_faults(shed=True, retry_after=PAUSE_S)
        results = self.send(path, DURATION_S)
        self.assertLessEqual(self.late_arrivals(paused, since_s), MAX_LATER)
        self.assertEqual({status for status, *_ in results}, {200})

    def test_paused_runner_gets_no_streams(self) -> None:
        """Guards against requests to a runner that has asked for a pause."""
        self.check("stream", self.platform.runners)

    def test_paused_service_gets_no_calls(self) -> None:
        """Guards against calls to a service that has asked for a pause."""
        self.check("once", self.platform.services)

    def test_all_upstreams_are_paused(self) -> None:
        """Guards against requests that wait, or are sent nevertheless, while all upstreams pause."""
        since_s = time.monotonic()
        for process in self.platform.services:
            process.set_faults(shed=True, retry_after=PAUSE_S)
        results = self.send("once", PAUSE_S)
        for process in self.platform.services:
            self.assertLessEqual(self.late_arrivals(process, since_s), MAX_LATER)
        refused = [item for item in results if item[0] == 503]
        self.assertGreater(len(refused), 8)
        # Those that cannot be served within their deadline are refused at once, as not run.
        self.assertGreater(sum(duration_s < 0.2 for _, duration_s, _ in refused), 6)
        # At its deadline, a caller has no time to come back.
        early = [retry_after_s for _, duration_s, retry_after_s in refused if duration_s < 1.9]
        self.assertGreater(min(early), 0)
        self.assertLessEqual({status for status, *_ in results}, {200, 503})
        for process in self.platform.services:
            process.set_faults(shed=False)
        time.sleep(PAUSE_S)
        self.assertEqual({status for status, *_ in self.send("once", 0.5)}, {200})


if __name__ == "__main__":
    unittest.main()
