"""A short run of the experiment: bounds that hold whatever the load."""

import unittest

from ibispaddle_bench.experiment_fleet import Fleet, Plan
from ibispaddle_bench.experiment_scenarios import figures, fleet_config
from ibispaddle_bench.workload import arrivals


class FaultyFleetTest(unittest.TestCase):
    def test_deaths_and_a_leaving_engine_leave_nothing_behind(self):
        """Guard against late ends, lost engine memory and work for an engine that leaves."""
        traffic = arrivals(5, 0.9, 25_000)
        plan = Plan(deaths=[(6_000, 3), (12_000, 20)], leavings=[(8_000, 7)])
        fleet = Fleet(fleet_config({}), 5, 8, 25, traffic, plan)
        fleet.run()
        row = figures(fleet, 25_000)
        self.assertEqual(row["late"], 0)
        self.assertEqual(row["held"], 0)
        self.assertEqual(row["late_dispatches"], 0)
        self.assertTrue(all(record.end_ms for record in fleet.records.values()))


if __name__ == "__main__":
    unittest.main()
