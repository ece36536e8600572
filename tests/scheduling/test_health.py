"""Health of upstreams from the outcomes of attempts."""

import unittest

from ibispaddle_core.scheduling import Outcome
from ibispaddle_core.scheduling.health import MAX_PAUSE_MS, UpstreamHealth


class UpstreamHealthTest(unittest.TestCase):
    def test_failing_upstream_is_avoided_and_tried_again(self) -> None:
        """Guards against an upstream that gets work while it fails, or never again after it."""
        health = UpstreamHealth()
        for number in range(6):
            health.observe("r", Outcome.FAILED, number * 10)
        self.assertTrue(health.is_avoided("r", 3_000))
        self.assertFalse(health.is_avoided("r", 60 + MAX_PAUSE_MS))

    def test_upstream_that_fails_a_part_of_its_requests(self) -> None:
        """Guards against an upstream with a good health check that fails half of its requests."""
        health, avoided = UpstreamHealth(), 0
        for number in range(40):
            outcome = Outcome.FAILED if number % 2 else Outcome.COMPLETED
            health.observe("r", outcome, number * 100)
            avoided += health.is_avoided("r", number * 100 + 50)
        self.assertGreater(avoided, 15)

    def test_errors_of_single_calls_do_not_pause_an_upstream(self) -> None:
        """Guards against calls that fail everywhere and take one upstream after the other away."""
        health = UpstreamHealth()
        for number in range(20):
            outcome = Outcome.COMPLETED if number % 7 else Outcome.ERROR
            health.observe("r", outcome, number * 100)
            self.assertFalse(health.is_avoided("r", number * 100))

    def test_upstream_that_is_gone_is_told_to_the_other_instances(self) -> None:
        """Guards against each of hundreds of instances that asks for an upstream which another one replaced.

        The load pattern is a part of the engines that crash behind a cut and start again under other
        ids, while the list still has the old ones for seconds.
        """
        health = UpstreamHealth()
        health.observe("old", Outcome.ABSENT, 0)
        self.assertEqual(health.own_avoided(400), ("old",))
        health.observe("old", Outcome.ABSENT, 500)
        self.assertTrue(health.is_avoided("old", 1_400))

    def test_helper_that_made_another_one_wait_is_dead(self) -> None:
        """Guards against a dead helper for which one prompt after the other waits."""
        health = UpstreamHealth()
        health.observe_indirect_failure("r", 1_500, 0)
        self.assertEqual(health.own_avoided(900), ("r",))
        health.observe_indirect_failure("busy", 3, 0)
        self.assertTrue(health.is_avoided("busy", 900))
        self.assertEqual(health.own_avoided(900), ("r",))

    def test_failures_of_another_instance_count_for_a_short_time(self) -> None:
        """Guards against each instance finding a dead upstream by a failure of its own."""
        health = UpstreamHealth()
        health.merge_peer_avoided(("r",), 20, 0)
        self.assertTrue(health.is_avoided("r", 500))
        self.assertFalse(health.is_avoided("r", 1_000))
        self.assertEqual(health.own_avoided(500), ())

    def test_instance_for_which_everything_fails_is_not_believed(self) -> None:
        """Guards against an instance that is cut off and takes all upstreams away from the others."""
        health = UpstreamHealth()
        health.merge_peer_avoided([f"r{n}" for n in range(10)], 20, 0)
        self.assertFalse(health.is_avoided("r1", 100))

    def test_cancelled_attempts_say_nothing(self) -> None:
        """Guards against callers that leave and are taken for failures of the upstream."""
        health = UpstreamHealth()
        health.observe("r", Outcome.CANCELLED, 0)
        self.assertFalse(health.is_avoided("r", 1))
        self.assertEqual(health.failure_rate("r", 1), 0)


if __name__ == "__main__":
    unittest.main()
