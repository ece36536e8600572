"""Tests of upstreams that name the number of requests that they take from all instances together."""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.support.waiting import wait_until

from .processes import Instance, Platform

INSTANCES = 3
LIMIT_PER_S = 2.0
SERVICES = 2
STABLE_S = 3.0  # Until the limit must be kept after it was named first.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
DURATION_S = 8.0
REQUESTS_PER_S = 24  # Of all instances.


class NamedLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=2, services=SERVICES, instances=INSTANCES)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)

    def send(self, path: str, duration_s: float) -> list[tuple[int, float]]:
        """Send requests to all instances, and return the status and duration of each."""

        def send(instance: Instance) -> list[tuple[int, float]]:
            found = []
            ends = time.monotonic() + duration_s
            while time.monotonic() < ends:
                started = time.monotonic()
                if path == "stream":
                    status = instance.stream().status
                else:
                    status = instance.call("GET", "/read/x", Deadline_Ms="800").status
                found.append((status, time.monotonic() - started))
                interval_s = INSTANCES * 2 / REQUESTS_PER_S
                time.sleep(max(0.0, interval_s - (time.monotonic() - started)))
            return found

        with ThreadPoolExecutor(2 * INSTANCES) as pool:
            return sum(pool.map(send, 2 * self.platform.instances), [])

    def check_limit(self, processes: list, started_s: float) -> None:
        for process in processes:
            times = [at for at in process.state()["arrival_times_s"] if at > started_s + STABLE_S]
            most = max(
                (sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0
            )
            self.assertLessEqual(most, MAX_IN_WINDOW, process.name)

    def check(self, path: str, processes: list) -> None:
        for process in processes:
            process.set_faults(limit=LIMIT_PER_S)
        started_s = time.monotonic()
        results = self.send(path, DURATION_S)
        self.check_limit(processes, started_s)
        served = sum(status == 200 for status, _ in results)
        # What the upstreams take is used, and the rest is refused as not run.
        self.assertGreater(served, 0.7 * LIMIT_PER_S * len(processes) * DURATION_S)
        self.assertLessEqual({status for status, _ in results}, {200, 503})
        # Once the limit has ended, everything is served again.
        for process in processes:
            process.set_faults(limit=None)
        self.send(path, 2.0)
        self.assertEqual({status for status, _ in self.send(path, 1.0)}, {200})

    def test_engines_get_no_more_than_they_name(self) -> None:
        """Guards against engines in need that get far more requests than the limit that they named."""
        self.check("stream", self.platform.runners)

    def test_services_get_no_more_than_they_name(self) -> None:
        """Guards against plain services that get far more requests than the limit that they named."""
        self.check("read", self.platform.services)

    def test_hub_ends(self) -> None:
        """Guards against instances that each use the whole limit while no hub counts for them."""
        for process in self.platform.runners:
            process.set_faults(limit=LIMIT_PER_S)
        started_s = time.monotonic()
        with ThreadPoolExecutor(1) as pool:
            sent = pool.submit(self.send, "stream", DURATION_S + STABLE_S)
            time.sleep(STABLE_S)
            followers = self.platform.followers()
            (hub,) = [name for name in self.platform.instances if name not in followers]
            hub.proc.send_signal(19)  # SIGSTOP
            time.sleep(DURATION_S - 2.0)
            hub.proc.send_signal(18)  # SIGCONT
            sent.result()
        self.check_limit(self.platform.runners, started_s)


if __name__ == "__main__":
    unittest.main()
