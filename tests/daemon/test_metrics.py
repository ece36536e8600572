"""Tests of the values in the response of `/metrics`."""

import unittest
import urllib.request
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.settings import FleetConfig
from ibispaddle_core.shares import ShareCounters
from ibispaddle_daemon.metrics import Metrics
from ibispaddle_daemon.request_gauges import MAX_NEIGHBOURS, OTHER_NEIGHBOURS_LABEL, RequestGauges

from tests.failures.support import FleetTest, ModelCall
from tests.support.http import metric
from tests.support.waiting import wait_until


class RequestGaugesTest(unittest.TestCase):
    def gauges_of(self, names, waiting):
        config = FleetConfig.from_document({"neighbours": {name: {} for name in names}})
        scheduler = SimpleNamespace(shares=ShareCounters({}), retry_budget_refusals=0)
        entry = SimpleNamespace(
            config=config, waiting_requests=lambda: waiting, scheduler=scheduler
        )
        return RequestGauges(entry, ManualClock(5_000))

    def request(self, neighbour, tokens=1_000, arrived_ms=0):
        return SimpleNamespace(neighbour=neighbour, prompt_tokens=tokens, arrived_ms=arrived_ms)

    def test_number_of_time_series_is_limited(self):
        """Guard against too many time series in a fleet with many neighbours."""
        names = [f"n{number:03}" for number in range(MAX_NEIGHBOURS + 10)]
        gauges = self.gauges_of(names, [self.request(name) for name in names])
        counts = {labels["neighbour"]: count for labels, count in gauges.waiting()}
        self.assertEqual((len(counts), counts[OTHER_NEIGHBOURS_LABEL]), (MAX_NEIGHBOURS + 1, 10))
        self.assertAlmostEqual(sum(share for _, share in gauges.shares()), 1.0)

    def test_age_is_that_of_the_oldest_request_of_a_class(self):
        """Guard against a starving request that is hidden by newer ones."""
        waiting = [self.request("n", arrived_ms=3_000), self.request("n"), self.request("n", 9_000)]
        ages = {labels["prompt"]: age for labels, age in self.gauges_of(["n"], waiting).oldest()}
        self.assertEqual(ages, {"under_8k": 5.0, "8k_to_32k": 5.0})

    def test_stale_labels_disappear_and_quotes_are_escaped(self):
        """Guard against stale values, and an id that breaks the text format."""
        metrics, waiting = Metrics(), [self.request('a"b')]
        self.gauges_of(['a"b'], waiting).add_to(metrics)
        line = b'ibispaddle_waiting_requests{neighbour="a\\"b",prompt="under_8k"} 1.0'
        self.assertIn(line, metrics.render())
        waiting.clear()
        self.assertNotIn(b"under_8k", metrics.render())


class MetricsOfFleetTest(FleetTest):
    def lines(self):
        with urllib.request.urlopen(f"{self.entry.url}/metrics", timeout=5) as response:
            return response.read().decode().splitlines()

    def test_retries_waits_shares_and_appends_are_counted(self):
        """Guard against metrics that are declared and never updated."""
        self.runner.set_faults(reject=1_000)
        for number in range(4):
            ModelCall(self.entry, prompt=f"rejected {number}").wait()
        self.assertGreater(metric(self.entry, "ibispaddle_retry_budget_refusals_total"), 0)
        self.assertRegex("\n".join(self.lines()), r'retries_total{reason="rejected"} [1-9]')
        lines = self.lines()
        self.assertIn('ibispaddle_neighbour_share_ratio{neighbour="north"} 0.5', lines)
        self.assertIn('ibispaddle_neighbour_consumed_ratio{neighbour="north"} 1.0', lines)
        appended = 'ibispaddle_log_appends_total{result="ok",stream="usage"}'
        wait_until(lambda: any(line.startswith(appended) for line in self.lines()), "an append")


if __name__ == "__main__":
    unittest.main()
