"""Which instances are hubs, as each instance works it out by itself."""

import unittest

from ibispaddle_core.hubs import HUB_COUNT, Candidate, HubRanking
from ibispaddle_core.hubs.ranking import INITIAL_BACKOFF_MS

STRONG = [Candidate(f"s{n}", f"s:{n}", capacity=2.15) for n in range(15)]
WEAK = [Candidate(f"w{n}", f"w:{n}", capacity=0.516) for n in range(180)]


def ranking(name: str) -> HubRanking:
    found = HubRanking(name)
    found.replace_candidates([*WEAK, *STRONG])
    return found


class RankingTest(unittest.TestCase):
    """The load pattern is 195 instances of which 15 have four times the processor time."""

    def test_all_agree_on_strong_instances(self) -> None:
        """Guards against hubs that are too weak, and against two sets of hubs."""
        chosen = {ranking(name).hubs(0) for name in ("s0", "w0", "w99")}
        self.assertEqual(len(chosen), 1)
        (hubs,) = chosen
        self.assertEqual(len(hubs), HUB_COUNT)
        self.assertTrue(all(name.startswith("s") for name in hubs))

    def test_next_one_takes_over(self) -> None:
        """Guards against instances that are blind after a hub died."""
        found = ranking("w0")
        first, second = found.hubs(0)
        found.mark_unreachable(first, 0)
        self.assertEqual(found.hubs(1)[0], second)
        self.assertEqual(found.hubs(INITIAL_BACKOFF_MS)[0], first)

    def test_hub_that_stays_away_is_tried_less_often(self) -> None:
        """Guards against hundreds of instances that dial a machine which was taken away."""
        found = ranking("w0")
        first, _ = found.hubs(0)
        found.mark_unreachable(first, 0)
        found.mark_unreachable(first, INITIAL_BACKOFF_MS)
        self.assertNotIn(first, found.hubs(2 * INITIAL_BACKOFF_MS))
        found.mark_reachable(first)
        self.assertIn(first, found.hubs(2 * INITIAL_BACKOFF_MS))

    def test_machine_that_was_taken_away_is_delisted(self) -> None:
        """Guards against each new process that waits for a machine which is gone for good."""
        first, second = ranking("w0").hubs(0)
        now_ms, hub, other = 0, ranking(second), ranking("w0")
        for pause in (1, 2, 4):
            for found in (hub, other):
                self.assertEqual(found.instances_to_delist(now_ms), ())
                found.mark_unreachable(first, now_ms)
            now_ms += pause * INITIAL_BACKOFF_MS
        self.assertEqual(hub.instances_to_delist(now_ms - 1), (first,))
        self.assertEqual(other.instances_to_delist(now_ms - 1), ())

    def test_hubs_do_not_wait_for_each_other(self) -> None:
        """Guards against two hubs that each ask the other one and learn nothing."""
        first, second = ranking("w0").hubs(0)
        self.assertEqual(ranking(first).hubs_before(0), ())
        self.assertEqual(ranking(second).hubs_before(0), (first,))

    def test_instance_without_others(self) -> None:
        """Guards against an instance that waits for others when it knows none."""
        self.assertEqual(HubRanking("a").hubs_before(0), ())
        self.assertTrue(HubRanking("a").is_hub(0))


if __name__ == "__main__":
    unittest.main()
