"""Tests of the hub selection, which each instance performs on its own."""

import unittest

from ibispaddle_core.hubs import HUB_COUNT, Candidate, HubRanking
from ibispaddle_core.hubs.ranking import INITIAL_BACKOFF_MS

STRONG = [Candidate(f"s{n}", f"s:{n}", capacity=2.15) for n in range(15)]
WEAK = [Candidate(f"w{n}", f"w:{n}", capacity=0.516) for n in range(180)]


def ranking(name: str) -> HubRanking:
    hub_ranking = HubRanking(name)
    hub_ranking.replace_candidates([*WEAK, *STRONG])
    return hub_ranking


class HubRankingTest(unittest.TestCase):
    """The fleet has 195 instances, of which 15 have four times the processor time of the others."""

    def test_all_agree_on_strong_instances(self) -> None:
        """Guards against hubs with too little processor time, and against two sets of hubs."""
        chosen = {ranking(name).hubs(0) for name in ("s0", "w0", "w99")}
        self.assertEqual(len(chosen), 1)
        (hubs,) = chosen
        self.assertEqual(len(hubs), HUB_COUNT)
        self.assertTrue(all(name.startswith("s") for name in hubs))

    def test_next_hub_replaces_unreachable_one(self) -> None:
        """Guards against instances without a view of the fleet after a hub crashed."""
        hub_ranking = ranking("w0")
        first, second = hub_ranking.hubs(0)
        hub_ranking.mark_unreachable(first, 0)
        self.assertEqual(hub_ranking.hubs(1)[0], second)
        self.assertEqual(hub_ranking.hubs(INITIAL_BACKOFF_MS)[0], first)

    def test_backoff_increases_for_unreachable_hub(self) -> None:
        """Guards against hundreds of instances that keep dialling a machine that was removed."""
        hub_ranking = ranking("w0")
        first, _ = hub_ranking.hubs(0)
        hub_ranking.mark_unreachable(first, 0)
        hub_ranking.mark_unreachable(first, INITIAL_BACKOFF_MS)
        self.assertNotIn(first, hub_ranking.hubs(2 * INITIAL_BACKOFF_MS))
        hub_ranking.mark_reachable(first)
        self.assertIn(first, hub_ranking.hubs(2 * INITIAL_BACKOFF_MS))

    def test_unreachable_instance_is_delisted_by_first_hub(self) -> None:
        """Guards against new processes that wait for a machine that was removed permanently."""
        first, second = ranking("w0").hubs(0)
        now_ms, hub, other = 0, ranking(second), ranking("w0")
        for pause in (1, 2, 4):
            for hub_ranking in (hub, other):
                self.assertEqual(hub_ranking.instances_to_delist(now_ms), ())
                hub_ranking.mark_unreachable(first, now_ms)
            now_ms += pause * INITIAL_BACKOFF_MS
        self.assertEqual(hub.instances_to_delist(now_ms - 1), (first,))
        self.assertEqual(other.instances_to_delist(now_ms - 1), ())

    def test_hubs_do_not_wait_for_each_other(self) -> None:
        """Guards against two hubs that query each other and get no data."""
        first, second = ranking("w0").hubs(0)
        self.assertEqual(ranking(first).hubs_before(0), ())
        self.assertEqual(ranking(second).hubs_before(0), (first,))

    def test_instance_that_knows_no_others_is_hub(self) -> None:
        """Guards against an instance that waits for other instances although it knows none."""
        self.assertEqual(HubRanking("a").hubs_before(0), ())
        self.assertTrue(HubRanking("a").is_hub(0))


if __name__ == "__main__":
    unittest.main()
