"""Tests of evacuations at one instance, with a fake client and a manual clock."""

import unittest
from unittest import mock

from ibispaddle_core.scheduling import EvacuationsChanged
from ibispaddle_daemon import evacuations
from ibispaddle_daemon.evacuations import CHECK_INTERVAL_MS, EvacuationMonitor
from ibispaddle_daemon.forwarding.upstreams import is_in_use
from ibispaddle_daemon.metrics import Metrics

from .fakes import ForwarderFixture, streams


class EvacuationMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = ForwarderFixture(streams())
        self.forwarder = self.fixture.forwarder
        self.logged: list[tuple[str, dict]] = []
        patch = mock.patch.object(
            evacuations,
            "log_event",
            lambda event, **values: self.logged.append((event.name, values)),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.monitor = EvacuationMonitor(
            self.forwarder.scheduler,
            self.forwarder.handle_event,
            self.forwarder.listed_data_centres,
            self.fixture.clock,
            self.fixture.timers,
            Metrics(),
        )

    def names(self) -> list[str]:
        return [name for name, _ in self.logged]

    def test_progress_is_logged_once(self) -> None:
        """Guards against a data centre that is reported as empty while a stream runs there."""
        exchange = self.fixture.send()
        self.monitor.replace({"dc1"})
        self.assertEqual(self.logged[-1][1]["requests"], 1)
        self.fixture.advance(3 * CHECK_INTERVAL_MS)
        self.assertEqual(self.names(), ["evacuation_started"])
        self.fixture.answer(b"data: x\n\n", is_complete=True)
        self.assertEqual(exchange.status, 200)
        self.fixture.advance(5 * CHECK_INTERVAL_MS)
        self.assertEqual(self.names(), ["evacuation_started", "evacuation_drained"])
        self.monitor.replace(())
        self.assertEqual(self.names()[2:], ["evacuation_ended"])

    def test_unknown_name_is_logged_once_the_list_is_known(self) -> None:
        """Guards against a misspelt name that nobody notices, and false reports at the start."""
        self.fixture.list_upstreams()
        self.monitor.replace({"dc2"})
        self.fixture.advance(2 * CHECK_INTERVAL_MS)
        self.assertEqual(self.names(), ["evacuation_started"])
        self.fixture.list_upstreams("u1")
        for _ in range(4):
            self.monitor.replace({"dc2"})
            self.fixture.advance(2 * CHECK_INTERVAL_MS)
        self.assertEqual(self.names(), ["evacuation_started", "evacuation_unknown"])

    def test_nothing_runs_without_an_evacuation(self) -> None:
        """Guards against work for a feature that is not used."""
        with mock.patch.object(self.fixture.timers, "after") as after:
            self.monitor.replace(())
        after.assert_not_called()
        self.assertEqual(self.logged, [])


class CrashDetectionTest(unittest.TestCase):
    def test_crash_in_an_evacuated_data_centre_still_counts(self) -> None:
        """Guards against a request that crashes one upstream after the other in an evacuation."""
        fixture = ForwarderFixture(streams())
        forwarder = fixture.forwarder
        self.assertTrue(is_in_use(forwarder.scheduler, "u1"))
        forwarder.handle_event(EvacuationsChanged(frozenset({"dc1"})))
        self.assertEqual(forwarder.scheduler.runners.live("s"), [])
        self.assertTrue(is_in_use(forwarder.scheduler, "u1"))
        fixture.list_upstreams("u2")
        self.assertFalse(is_in_use(forwarder.scheduler, "u1"))


if __name__ == "__main__":
    unittest.main()
