"""Tests in which instances lose some or all upstreams although none of them is cut off."""

import signal
import time
import unittest

from .consumers import KINDS
from .isolation import SETTLE_S, STABLE_WINDOW_S, IsolationTestCase

SILENCE_S = 1.0
DEAD_S = 4.0
MEASURED_S = 3.0
ROUTES = {kind.route for kind in KINDS}


class ReachableUpstreamsTest(IsolationTestCase):
    def check_direct(self, begin_s: float, routes: set[str], must_be_served: bool) -> None:
        """Check that instances have sent requests on some routes to upstreams themselves."""
        self.consumers.end()
        time.sleep(SETTLE_S)
        faults = self.find_wrong_runs() + self.find_late_answers()
        faults += self.find_indirect(begin_s, time.monotonic(), routes, must_be_served)
        self.assertEqual(faults, [], "\n".join(faults))

    def test_dead_service(self) -> None:
        """Guards against instances that count as isolated because one service is dead."""
        begin_s = time.monotonic()
        for process in self.platform.services:
            process.kill()
        time.sleep(STABLE_WINDOW_S + MEASURED_S)
        self.check_direct(begin_s, {"stream", "upload"}, True)

    def test_silent_upstreams(self) -> None:
        """Guards against instances that count as isolated because an upstream is silent for a second."""
        begin_s = time.monotonic()
        for process in self.upstreams:
            process.signal(signal.SIGSTOP)
            time.sleep(SILENCE_S)
            process.signal(signal.SIGCONT)
        time.sleep(MEASURED_S)
        self.check_direct(begin_s, ROUTES, False)

    def test_all_upstreams_are_dead(self) -> None:
        """Guards against requests that are passed on without end, or lost, when no upstream is left."""
        dead = self.upstreams
        for process in dead:
            process.kill()
        time.sleep(DEAD_S)
        self.platform.runners, self.platform.services = [], []
        self.start_upstreams("second")
        for process in dead:
            self.platform.put("keyed.servers", process.name, None)
        started_s = time.monotonic()
        time.sleep(STABLE_WINDOW_S + MEASURED_S)
        self.check_direct(started_s + STABLE_WINDOW_S, ROUTES, True)


if __name__ == "__main__":
    unittest.main()
