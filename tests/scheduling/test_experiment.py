"""Short runs of the benchmark's simulated fleet with failures."""

import unittest

from ibispaddle_bench.experiment_failures import FailingPeriod
from ibispaddle_bench.experiment_fleet import FaultPlan, SimulatedFleet
from ibispaddle_bench.experiment_scenarios import figures, fleet_config
from ibispaddle_bench.workload import generate_arrivals


class FaultyFleetTest(unittest.TestCase):
    def test_crashed_and_leaving_engines_release_all_requests_and_memory(self):
        """Guard against requests past their deadline, leaked memory and work for leaving engines."""
        traffic = generate_arrivals(5, 0.9, 25_000)
        plan = FaultPlan(crashes=[(6_000, 3), (12_000, 20)], departures=[(8_000, 7)])
        fleet = SimulatedFleet(fleet_config({}), 5, 8, 25, traffic, plan)
        fleet.run()
        row = figures(fleet, 25_000)
        self.assertEqual(row["late"], 0)
        self.assertEqual(row["held"], 0)
        self.assertEqual(row["late_dispatches"], 0)
        self.assertTrue(all(record.end_ms for record in fleet.records.values()))

    def test_failed_attempts_leave_no_jobs(self):
        """Guard against segments that still run after their attempt and overlap with a retry."""
        traffic = [
            a for a in generate_arrivals(21, 2.0, 20_000) if a.request.prompt_tokens > 100_000
        ]
        plan = FaultPlan(crashes=[(2_000 + 700 * n, n) for n in range(24)], restart_after_ms=2_000)
        fleet = SimulatedFleet(fleet_config({}), 21, 3, 25, traffic, plan)
        fleet.run()
        self.assertTrue(any(r.dispatches > 1 and r.segments > 1 for r in fleet.records.values()))
        self.assertEqual([e.engine_id for e in fleet.engines.values() if e.jobs], [])

    def test_every_call_with_failing_attempts_and_resends_ends_once(self):
        """Guard against retries by the caller that are lost, or sent after an answer."""
        failing_periods = [FailingPeriod(3_000, 8_000, tuple(range(25)), 0.3, 0.3)]
        plan = FaultPlan(failing_periods=failing_periods, resends=2)
        fleet = SimulatedFleet(fleet_config({}), 5, 8, 25, generate_arrivals(5, 0.9, 10_000), plan)
        fleet.run()
        calls = {}
        for name, record in fleet.records.items():
            calls.setdefault(name.partition("~")[0], []).append(record)
        self.assertGreater(len(fleet.records), len(calls))
        for copies in calls.values():
            self.assertTrue(all(copy.outcome != "completed" for copy in copies[:-1]))
            self.assertTrue(copies[-1].outcome == "completed" or len(copies) == 3)
        self.assertEqual(figures(fleet, 10_000)["held"], 0)


if __name__ == "__main__":
    unittest.main()
