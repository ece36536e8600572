"""The board of a hub: work told by hundreds of instances, summed for the one that asks.

The load pattern is a deployment of 195 instances with about a request a second each. An instance that
knew only its own requests would know nothing about the upstreams.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.hubs import WorkAggregator
from ibispaddle_core.hubs.board import REPORT_EXPIRY_MS
from ibispaddle_core.scheduling import PeerWork, UpstreamWork

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
TELLS = st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), WORKS), max_size=12)


class BoardTest(unittest.TestCase):
    @given(TELLS)
    def test_picture_is_the_sum_of_what_the_others_told_last(self, tells) -> None:
        """Guards against totals that drift with the messages of many instances."""
        board, last = WorkAggregator(), {}
        for name, work in tells:
            board.update(PeerWork(name, work), 0)
            last[name] = work
        picture = board.total_excluding("a", 10).work
        others = [work for name, work in last.items() if name != "a"]
        for upstream_id in ("r1", "r2", "r3"):
            parts = [work[upstream_id] for work in others if upstream_id in work]
            found = picture.get(upstream_id, UpstreamWork())
            self.assertEqual(found.requests, sum(part.requests for part in parts))
            self.assertEqual(found.kv_tokens, sum(part.kv_tokens for part in parts))
            self.assertEqual(found.parts, sum(part.parts for part in parts))
            self.assertAlmostEqual(found.prefill_ms, sum(p.prefill_ms for p in parts), delta=1)

    def test_only_a_reading_is_announced(self) -> None:
        """Guards against a failure on work that has neither a request nor memory yet."""
        board = WorkAggregator()
        board.update(PeerWork("a", {"r1": UpstreamWork(0.2)}), 0)
        board.update(PeerWork("b", {"r1": UpstreamWork(80.0)}), 0)
        self.assertEqual(board.total_excluding("b", 1).work, {})
        self.assertEqual(list(board.total_excluding("a", 1).work), ["r1"])

    def test_silent_instance_is_left_out(self) -> None:
        """Guards against upstreams that stay unused after an instance died."""
        board = WorkAggregator()
        board.update(PeerWork("dead", {"r1": UpstreamWork(0.0, 8, 0)}, ("r2",)), 0)
        board.update(PeerWork("alive", {"r1": UpstreamWork(0.0, 1, 0)}), REPORT_EXPIRY_MS)
        picture = board.total_excluding("c", REPORT_EXPIRY_MS + 1)
        self.assertEqual(picture.work["r1"].requests, 1)
        self.assertEqual(picture.avoided, ())

    def test_what_others_avoid_is_told(self) -> None:
        """Guards against each of hundreds of instances that finds a broken upstream for itself."""
        board = WorkAggregator()
        board.update(PeerWork("a", {}, ("r1",)), 0)
        board.update(PeerWork("b", {}, ("r2", "r1")), 0)
        self.assertEqual(board.total_excluding("b", 1).avoided, ("r1",))
        self.assertEqual(board.total_excluding("c", 1).avoided, ("r1", "r2"))


if __name__ == "__main__":
    unittest.main()
