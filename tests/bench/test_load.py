"""Tests of the load generator: overload of the generator and wrong answers must be detected."""

import unittest

from ibispaddle_bench.latency import paired_differences, worker_count
from ibispaddle_bench.load import LoadReport, LoadSpec, percentile, run_load
from ibispaddle_bench.load_worker import LengthClass, Sample, WorkerSpec, plan_requests
from ibispaddle_bench.processes import start_stand_in

MIX = (LengthClass(1.0, 1_000, 2_000),)


class PlanTest(unittest.TestCase):
    def spec(self, **fields):
        values = {"targets": [], "key": "", "rate": 50, "duration_s": 20, "output_tokens": 1}
        return WorkerSpec(mix=list(MIX), start_wall_s=0, **values | {"seed": 1} | fields)

    def test_equal_seeds_give_equal_plans(self):
        """Guard against comparing two paths with different loads."""
        self.assertEqual(plan_requests(self.spec()), plan_requests(self.spec()))
        self.assertNotEqual(plan_requests(self.spec()), plan_requests(self.spec(seed=2)))

    def test_plan_has_the_rate_and_the_lengths(self):
        """Guard against a load that is lower than specified."""
        samples = plan_requests(self.spec())
        self.assertAlmostEqual(len(samples) / 1_000, 1.0, delta=0.15)
        self.assertTrue(all(1_000 <= sample.prompt_tokens <= 2_000 for sample in samples))


class LoadTest(unittest.TestCase):
    def run_load(self, **faults):
        engine = start_stand_in("engine", "--time-scale", "20")
        self.addCleanup(engine.kill)
        engine.set_faults(**faults)
        load = LoadSpec(rate=40, duration_s=1, output_tokens=30, mix=MIX, key="k", workers=2)
        return run_load(load, [engine.url], [engine])

    def test_complete_answers_are_measured(self):
        """Guard against times that are missing for answered requests."""
        report = self.run_load()
        self.assertEqual(report.count("answered"), len(report.samples))
        times = report.times(lambda sample: sample.first_byte_ms)
        self.assertEqual(len(times), len(report.samples))
        self.assertGreater(min(times), 0)
        self.assertGreater(min(report.times(lambda sample: sample.total_ms)), 20)
        self.assertGreaterEqual(report.cpu_shares["engine"], 0)
        self.assertGreaterEqual(report.wait_shares["engine"], 0)

    def test_incomplete_answers_are_lost(self):
        """Guard against an instance that appears fast because it drops tokens."""
        report = self.run_load(skip_every=20)
        self.assertEqual(report.count("lost"), len(report.samples))


class ReportTest(unittest.TestCase):
    def test_slow_generator_is_reported(self):
        """Guard against reporting delays that the load generator itself caused."""
        self.assertFalse(LoadReport().generator_limited)
        self.assertTrue(LoadReport(worker_cpu_share=0.9).generator_limited)
        self.assertTrue(LoadReport(worker_lag_p99_ms=10).generator_limited)
        self.assertEqual([worker_count(rate) for rate in (1, 28, 1_000)], [2, 2, 8])

    def test_pairs_leave_out_unanswered_requests(self):
        """Guard against counting a lost request as an answer after 0 ms."""
        direct = LoadReport([Sample(5, 1, "answered", 2.0), Sample(6, 1, "answered", 2.0)])
        through = LoadReport([Sample(5, 1, "answered", 5.0), Sample(6, 1, "lost")])
        self.assertEqual(paired_differences(direct, through, 0.0), [3.0])

    def test_percentile_of_few_values(self):
        """Guard against an index beyond the values."""
        self.assertEqual(percentile([3.0, 1.0, 2.0], 0.99), 3.0)
        self.assertEqual(percentile([], 0.5), 0.0)


if __name__ == "__main__":
    unittest.main()
