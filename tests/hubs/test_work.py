"""Tests of the work aggregation on a hub.

The load pattern is a deployment of 195 instances with about one request per second each. Each instance
sends too few requests to know the load of the upstreams without the other instances' reports.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.hubs import WorkAggregator
from ibispaddle_core.hubs.work import REPORT_EXPIRY_MS
from ibispaddle_core.scheduling import PeerWork, UpstreamWork, WaitingPrompt

WORKS = st.dictionaries(
    st.sampled_from(["r1", "r2", "r3"]),
    st.builds(
        UpstreamWork,
        prefill_ms=st.floats(0, 5_000),
        requests=st.integers(0, 8),
        kv_tokens=st.integers(0, 200_000),
        parts=st.integers(0, 4),
    ),
)
REPORTS = st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), WORKS), max_size=12)


class WorkAggregatorTest(unittest.TestCase):
    @given(REPORTS)
    def test_total_is_the_sum_of_the_last_reports_of_the_others(self, reports) -> None:
        """Guards against totals that drift over many reports."""
        aggregator, last = WorkAggregator(), {}
        for name, work in reports:
            aggregator.update(PeerWork(name, work), 0)
            last[name] = work
        total = aggregator.total_excluding("a", 10).work
        others = [work for name, work in last.items() if name != "a"]
        for upstream_id in ("r1", "r2", "r3"):
            parts = [work[upstream_id] for work in others if upstream_id in work]
            found = total.get(upstream_id, UpstreamWork())
            self.assertEqual(found.requests, sum(part.requests for part in parts))
            self.assertEqual(found.kv_tokens, sum(part.kv_tokens for part in parts))
            self.assertEqual(found.parts, sum(part.parts for part in parts))
            self.assertAlmostEqual(found.prefill_ms, sum(p.prefill_ms for p in parts), delta=1)

    def test_report_with_prefill_time_only(self) -> None:
        """Guards against an error on work that has no request and no memory yet."""
        aggregator = WorkAggregator()
        aggregator.update(PeerWork("a", {"r1": UpstreamWork(0.2)}), 0)
        aggregator.update(PeerWork("b", {"r1": UpstreamWork(80.0)}), 0)
        self.assertEqual(aggregator.total_excluding("b", 1).work, {})
        self.assertEqual(list(aggregator.total_excluding("a", 1).work), ["r1"])

    def test_report_of_an_unresponsive_instance_expires(self) -> None:
        """Guards against upstreams that stay unused after an instance crashed."""
        aggregator = WorkAggregator()
        aggregator.update(PeerWork("dead", {"r1": UpstreamWork(0.0, 8, 0)}, ("r2",)), 0)
        aggregator.update(PeerWork("alive", {"r1": UpstreamWork(0.0, 1, 0)}), REPORT_EXPIRY_MS)
        total = aggregator.total_excluding("c", REPORT_EXPIRY_MS + 1)
        self.assertEqual(total.work["r1"].requests, 1)
        self.assertEqual(total.avoided, ())

    def test_avoided_upstreams_of_others_are_returned(self) -> None:
        """Guards against hundreds of instances that each detect a failed upstream on their own."""
        aggregator = WorkAggregator()
        aggregator.update(PeerWork("a", {}, ("r1",)), 0)
        aggregator.update(PeerWork("b", {}, ("r2", "r1")), 0)
        self.assertEqual(aggregator.total_excluding("b", 1).avoided, ("r1",))
        self.assertEqual(aggregator.total_excluding("c", 1).avoided, ("r1", "r2"))

    def test_waiting_prompts_of_the_others_are_returned_in_turn(self) -> None:
        """Guards against late arrivals that take memory for which other instances' prompts wait."""
        aggregator = WorkAggregator()
        many = tuple(waiting(f"n{number}", "north", 10 + number) for number in range(3))
        work = {"r1": UpstreamWork(0.0, 1, 9_000)}
        aggregator.update(PeerWork("a", work, waiting=many, holders={"north": 1}), 0)
        aggregator.update(PeerWork("b", {}, waiting=(waiting("s0", "south", 90),)), 0)
        total = aggregator.total_excluding("c", 1)
        self.assertEqual([item.request_id for item in total.waiting], ["s0", "n0", "n1", "n2"])
        self.assertEqual(total.holders, {"north": 1})
        self.assertEqual(aggregator.total_excluding("b", 1).waiting, many)
        self.assertEqual(aggregator.total_excluding("a", 1).waiting[0].request_id, "s0")

    def test_waiting_prompts_of_an_unresponsive_instance_expire(self) -> None:
        """Guards against memory that is kept for the prompts of an instance that crashed."""
        aggregator = WorkAggregator()
        prompt = waiting("lost", "north", 9_000)
        aggregator.update(PeerWork("dead", {}, waiting=(prompt,)), 0)
        self.assertEqual(aggregator.total_excluding("c", REPORT_EXPIRY_MS).waiting, (prompt,))
        self.assertEqual(aggregator.total_excluding("c", REPORT_EXPIRY_MS + 101).waiting, ())

    def test_holders_are_returned_only_while_prompts_wait(self) -> None:
        """Guards against larger messages in fleets where no prompt waits."""
        aggregator = WorkAggregator()
        work = {"r1": UpstreamWork(0.0, 1, 9_000)}
        aggregator.update(PeerWork("a", work, holders={"north": 1}), 0)
        self.assertEqual(aggregator.total_excluding("c", 1).holders, {})


def waiting(name: str, workspace: str, latest_start_ms: int) -> WaitingPrompt:
    """Return a prompt that waits for memory."""
    return WaitingPrompt(
        0, name, workspace=workspace, tokens=400_000, latest_start_ms=latest_start_ms
    )


if __name__ == "__main__":
    unittest.main()
