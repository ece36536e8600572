"""Tests of a hub's counts of the requests to limited upstreams."""

import unittest

from ibispaddle_core.hubs import PaceAggregator
from ibispaddle_core.hubs.pacing import ENDED_RETENTION_MS, IDLE_RETENTION_MS
from ibispaddle_core.scheduling import PaceReport, SentCounts
from ibispaddle_core.scheduling.pacing import LONG_WINDOW_MS


class PaceAggregatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = PaceAggregator("hub", -LONG_WINDOW_MS)

    def report(
        self, name: str, limit: float | None, observations: int, sent: int, now_ms: int
    ) -> None:
        self.paces.update(name, {"r": PaceReport(limit, observations, sent)}, now_ms)

    def test_last_observation_counts(self) -> None:
        """Guards against a limit that reports without an observation of their own restore."""
        self.report("a", 3.0, 1, 0, 0)
        self.report("b", 3.0, 0, 2, 10)
        self.report("a", None, 2, 0, 20)
        self.report("b", 3.0, 0, 3, 30)
        pace = self.paces.paces_excluding("c", 40)["r"]
        self.assertEqual((pace.limit_per_s, pace.age_ms), (None, 20))

    def test_own_requests_are_left_out(self) -> None:
        """Guards against requests that an instance counts twice."""
        self.report("a", 3.0, 1, 1, 0)
        self.report("a", 3.0, 1, 4, 5)
        self.report("b", 3.0, 0, 1, 10)
        self.assertEqual(self.paces.paces_excluding("a", 20)["r"].sent, SentCounts(1, 1))
        self.assertEqual(self.paces.paces_excluding("b", 20)["r"].sent, SentCounts(4, 4))
        self.assertEqual(self.paces.paces_excluding("c", 3_000)["r"].sent, SentCounts(0, 5))

    def test_restarted_instance_counts_from_zero(self) -> None:
        """Guards against negative counts, and lost limits, after an instance was restarted."""
        self.report("a", 3.0, 8, 40, 0)
        self.report("a", 2.0, 1, 1, 100)
        pace = self.paces.paces_excluding("b", 110)["r"]
        self.assertEqual((pace.limit_per_s, pace.sent), (2.0, SentCounts(2, 2)))

    def test_hub_that_has_just_started_has_no_counts(self) -> None:
        """Guards against a new hub that takes the requests before its first reports for none."""
        paces = PaceAggregator("hub", 0)
        paces.update("a", {}, 60_000)
        self.assertIsNone(paces.paces_excluding("b", 60_010))
        for now_ms in range(60_500, 64_001, 500):
            paces.update("a", {}, now_ms)
        self.assertEqual(paces.paces_excluding("b", 64_001), {})

    def test_upstreams_are_forgotten(self) -> None:
        """Guards against memory that grows with each upstream that was ever limited."""
        self.report("a", 3.0, 1, 1, 0)
        self.paces.update("a", {"s": PaceReport(None, 2, 0)}, 1)
        self.assertEqual(set(self.paces.paces_excluding("b", ENDED_RETENTION_MS + 2)), {"r"})
        self.assertEqual(self.paces.paces_excluding("b", IDLE_RETENTION_MS + 2), {})
        self.assertEqual(len(self.paces._upstreams), 0)
        # An instance that still knows the limit reports it again.
        self.report("a", 3.0, 1, 2, 70_000)
        self.report("b", 3.0, 0, 1, 70_001)
        self.assertEqual(self.paces.paces_excluding("b", 74_001)["r"].sent.long, 0)
        self.assertEqual(self.paces.paces_excluding("c", 74_000)["r"].limit_per_s, 3.0)


if __name__ == "__main__":
    unittest.main()
