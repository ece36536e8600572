"""Tests of the membership view with real instances, runners and platform."""

import time
import unittest

from ibispaddle_bench.fleet import Fleet, FleetSpec

from tests.support.http import metric

WAIT_S = 20.0


class FleetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(FleetSpec(entries=3, runners=3, services=0, data_centres=("x", "y")))
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.end)

    def wait_for(self, name, *values, entries=None):
        started = time.monotonic()
        for entry in entries or self.fleet.entries:
            while (seen := metric(entry, name)) not in values:
                self.assertLess(time.monotonic() - started, WAIT_S, f"{entry.name}: {seen}")
                time.sleep(0.02)
        return time.monotonic() - started

    def test_view_reflects_the_fleet(self):
        """Guard against instances that miss a crashed runner, its restart or a graceful shutdown."""
        fleet = self.fleet
        self.wait_for("ibispaddle_peer_connections", 1, 2)  # Opened on the first message.
        self.wait_for("ibispaddle_runners_live", 3)
        fleet.runners[1].kill()
        self.wait_for("ibispaddle_runners_live", 2)
        fleet.restart_runner(1)
        self.wait_for("ibispaddle_runners_live", 3)
        fleet.states["runner.3"] = "leaving"
        fleet.publish()
        took_s = self.wait_for("ibispaddle_runners_live", 2)
        self.assertLess(took_s, 5, "a leaving runner must be known within 5 s")
        fleet.entries[2].end(10)
        self.assertEqual(fleet.entries[2].popen.returncode, 0)
        self.wait_for("ibispaddle_instances_live", 2, entries=fleet.entries[:2])


if __name__ == "__main__":
    unittest.main()
