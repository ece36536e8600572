"""Tests of runners that are cold, with three real instances."""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.support.waiting import wait_until

from .processes import Instance, Platform, configuration

INSTANCES = 3
COLD_PER_S = 4.0
MAX_IN_A_SECOND = 1.5 * COLD_PER_S + 5
COLD_MS = 60_000
CALLS_PER_S = 30  # Of all instances.
# Until all instances have read the entries, which are read every 0.6 s.
KNOWN_AFTER_S = 2.0


class ColdRunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=1, services=2, instances=INSTANCES)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)
        services = configuration(2)["services"]
        services[1] |= {"cold_s": 3.0, "cold_per_s": COLD_PER_S}
        self.platform.configure(configuration(2, services=services))

    def set_cold(self, left_ms: int, *numbers: int) -> None:
        for number in numbers:
            process = self.platform.services[number]
            self.platform.register_at(process.name, process.address, "shop", cold_left_ms=left_ms)

    def send(self, duration_s: float) -> list[int]:
        """Send calls to all instances, and return their statuses."""

        def send(instance: Instance) -> list[int]:
            found, ends = [], time.monotonic() + duration_s
            while time.monotonic() < ends:
                started = time.monotonic()
                found.append(instance.call("GET", "/read/x", Deadline_Ms="800").status)
                interval_s = 2 * INSTANCES / CALLS_PER_S
                time.sleep(max(0.0, interval_s - (time.monotonic() - started)))
            return found

        with ThreadPoolExecutor(2 * INSTANCES) as pool:
            return sum(pool.map(send, 2 * self.platform.instances), [])

    def arrivals(self, number: int, since_s: float) -> list[float]:
        times = self.platform.services[number].state()["arrival_times_s"]
        return [at for at in times if at > since_s]

    def check_limit(self, since_s: float, *numbers: int) -> None:
        for number in numbers:
            times = self.arrivals(number, since_s)
            most = max((sum(at <= other < at + 1.0 for other in times) for at in times), default=0)
            self.assertLessEqual(most, MAX_IN_A_SECOND, number)

    def test_all_runners_of_a_service_are_cold(self) -> None:
        """A data centre returns cold, and all calls of three instances go there."""
        self.set_cold(COLD_MS, 0, 1)
        self.send(KNOWN_AFTER_S)
        since_s = time.monotonic()
        statuses = self.send(6.0)
        self.check_limit(since_s, 0, 1)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreater(statuses.count(200), 0.6 * 2 * COLD_PER_S * 6.0)
        # Once they are warm, everything is served again.
        self.set_cold(0, 0, 1)
        self.send(KNOWN_AFTER_S)
        self.assertEqual(set(self.send(1.0)), {200})

    def test_one_runner_is_warm(self) -> None:
        """One of two runners is cold, and the other one suffices for the load."""
        self.set_cold(COLD_MS, 0)
        self.send(KNOWN_AFTER_S)
        since_s = time.monotonic()
        self.assertEqual(set(self.send(3.0)), {200})
        self.check_limit(since_s, 0)
        self.assertGreater(len(self.arrivals(1, since_s)), len(self.arrivals(0, since_s)))

    def test_hub_is_frozen(self) -> None:
        """The hub is frozen and wakes up again while all runners are cold."""
        self.set_cold(COLD_MS, 0, 1)
        self.send(KNOWN_AFTER_S)
        since_s = time.monotonic()
        with ThreadPoolExecutor(1) as pool:
            sent = pool.submit(self.send, 8.0)
            time.sleep(2.0)
            followers = self.platform.followers()
            (hub,) = [name for name in self.platform.instances if name not in followers]
            hub.proc.send_signal(19)  # SIGSTOP
            time.sleep(3.0)
            hub.proc.send_signal(18)  # SIGCONT
            sent.result()
        self.check_limit(since_s, 0, 1)


if __name__ == "__main__":
    unittest.main()
