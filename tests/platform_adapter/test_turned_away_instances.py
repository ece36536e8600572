"""Tests of instances that the store turns away while it serves others; versions come all the time."""

import signal
import time
import unittest
from collections import Counter
from collections.abc import Callable

from tests.soak.links import LinkMode

from .changing_routes import IN_FORCE_S, REVOKE_S, ChangingRoutesTestCase
from .processes import Instance

# Longer than an instance accepts keys without new data.
CUT_S = REVOKE_S + IN_FORCE_S


class TurnedAwayInstancesTest(ChangingRoutesTestCase):
    def check_cut(self, mode: LinkMode, *instances: Instance) -> None:
        cut_s = self.cut(mode, *instances)
        time.sleep(CUT_S)
        self.check_requests(cut_s)

    def test_first_hub_gets_503(self) -> None:
        """Guards against a hub that uses old versions because it queries no other instance."""
        self.check_cut(LinkMode.UNAVAILABLE, self.ranked[0])

    def test_first_hub_gets_no_answer(self) -> None:
        """Guards against a fleet that follows a hub whose reads are not answered."""
        self.check_cut(LinkMode.SILENT, self.ranked[0])

    def test_first_two(self) -> None:
        """Guards against hubs that exclude each other and query nobody else."""
        self.check_cut(LinkMode.UNAVAILABLE, *self.ranked[:2])

    def test_first_and_last(self) -> None:
        """Guards against an instance that keeps to old answers because it has excluded its hubs."""
        self.check_cut(LinkMode.RESET, self.ranked[0], self.ranked[-1])

    def test_all_but_the_last(self) -> None:
        """Guards against old versions at all instances because the one that is served is no hub."""
        self.check_cut(LinkMode.UNAVAILABLE, *self.ranked[:-1])


class FailingHubTest(ChangingRoutesTestCase):
    """The first hub is turned away, and the second one fails a second later."""

    def check_failure(self, fail: Callable[[Instance], None]) -> None:
        first, second, *_ = self.ranked
        cut_s = self.cut(LinkMode.UNAVAILABLE, first)
        time.sleep(1.0)
        fail(second)
        time.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
        self.check_requests(cut_s, second)

    def test_second_hub_is_killed(self) -> None:
        """Guards against a turned away hub that has lost the only instance that it queries."""
        self.check_failure(Instance.close)

    def test_second_hub_is_stopped(self) -> None:
        """Guards against a turned away hub that waits for an instance that hangs."""

        def pause(instance: Instance) -> None:
            instance.proc.send_signal(signal.SIGSTOP)
            self.addCleanup(instance.proc.send_signal, signal.SIGCONT)
            time.sleep(3.0)
            instance.proc.send_signal(signal.SIGCONT)

        self.check_failure(pause)


class LeavingUpstreamTest(ChangingRoutesTestCase):
    def test_leaving_upstream(self) -> None:
        """Guards against a turned away hub that sends requests to an upstream that has left."""
        self.cut(LinkMode.UNAVAILABLE, self.ranked[0])
        time.sleep(0.2)
        leaving = self.platform.services[1]
        self.platform.register(leaving, "shop", "draining")
        left_s = time.monotonic()
        time.sleep(2 * IN_FORCE_S)
        self.end_threads()
        runs = self.runs()
        late = Counter(
            f"rank {self.ranked.index(item.instance) + 1}"
            for item in self.sent
            if item.sent_s > left_s + IN_FORCE_S and runs.get(item.attempt_id) == leaving.name
        )
        self.assertEqual(late, {})


if __name__ == "__main__":
    unittest.main()
