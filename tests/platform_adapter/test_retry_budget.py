"""Tests of the retry budget of each service, with real processes.

Within ten seconds, a service gets at most the ratio of its own requests, plus the slack, in arrivals beyond
the first of each request, whatever other services are sent.
"""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.support.waiting import wait_until

from .processes import Instance, Platform

RATIO, SLACK = 0.2, 12
INSTANCES = 3
BUSY_REQUESTS, FAILING_REQUESTS = 300, 40  # Of all instances.
# Time of the two kinds of requests; shorter than the window of the budget.
DURATION_S = 4.0
WINDOW_S = 10.5


class ServiceRetryBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        bounds = {"retry_budget_ratio": RATIO, "budget_slack": SLACK}
        self.platform = Platform(runners=3, services=3, instances=INSTANCES, **bounds)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)

    def repeats_at_failing_service(self) -> int:
        """Send requests to both services while one turns everything away, and count its repeats."""
        for process in self.platform.services:
            process.set_faults(shed=True)

        def send_streams(instance: Instance) -> None:
            for _ in range(BUSY_REQUESTS // INSTANCES):
                started = time.monotonic()
                instance.stream()
                interval_s = DURATION_S * INSTANCES / BUSY_REQUESTS
                time.sleep(max(0.0, interval_s - (time.monotonic() - started)))

        def send_reads() -> None:
            for number in range(FAILING_REQUESTS):
                instance = self.platform.instances[number % INSTANCES]
                started = time.monotonic()
                instance.call("GET", "/read/x", Attempt_Id=f"r{number}", Deadline_Ms="1000")
                interval_s = DURATION_S / FAILING_REQUESTS
                time.sleep(max(0.0, interval_s - (time.monotonic() - started)))

        with ThreadPoolExecutor(INSTANCES + 1) as pool:
            sent = [pool.submit(send_streams, instance) for instance in self.platform.instances]
            for future in (*sent, pool.submit(send_reads)):
                future.result()
        arrivals: dict[str, int] = {}
        for process in self.platform.services:
            for attempt_id, count in process.state()["arrivals"].items():
                arrivals[attempt_id] = arrivals.get(attempt_id, 0) + count
        return sum(count - 1 for count in arrivals.values())

    def test_other_services_do_not_pay_for_repeats_after_a_start(self) -> None:
        """Guards against a service that is sent repeats in proportion to the requests for another
        one, while the hub has not counted for a whole window."""
        repeats = self.repeats_at_failing_service()
        self.assertLessEqual(repeats, RATIO * FAILING_REQUESTS + SLACK)

    def test_other_services_do_not_pay_for_repeats(self) -> None:
        """Guards against a service that is sent repeats in proportion to the requests for another
        one, once the hub knows the attempts of all instances."""
        time.sleep(WINDOW_S)
        repeats = self.repeats_at_failing_service()
        self.assertLessEqual(repeats, RATIO * FAILING_REQUESTS + SLACK)
        self.assertGreater(repeats, 0)


if __name__ == "__main__":
    unittest.main()
