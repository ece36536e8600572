"""Tests of the health of upstreams, derived from the outcomes of attempts."""

import unittest

from ibispaddle_core.scheduling import Outcome
from ibispaddle_core.scheduling.health import MAX_PAUSE_MS, UpstreamHealth


class UpstreamHealthTest(unittest.TestCase):
    def test_failing_upstream_is_avoided_and_tried_again(self) -> None:
        """Guards against an upstream that gets work while it fails, or never again afterwards."""
        health = UpstreamHealth()
        for number in range(6):
            health.observe("r", Outcome.FAILED, number * 10)
        self.assertTrue(health.is_avoided("r", 3_000))
        self.assertFalse(health.is_avoided("r", 60 + MAX_PAUSE_MS))

    def test_upstream_that_fails_half_of_its_requests_is_avoided(self) -> None:
        """Guards against an upstream that passes health checks but fails half of its requests."""
        health, avoided = UpstreamHealth(), 0
        for number in range(40):
            outcome = Outcome.FAILED if number % 2 else Outcome.COMPLETED
            health.observe("r", outcome, number * 100)
            avoided += health.is_avoided("r", number * 100 + 50)
        self.assertGreater(avoided, 15)

    def test_errors_of_single_calls_do_not_pause_an_upstream(self) -> None:
        """Guards against calls that fail at every upstream and exclude all of them one by one."""
        health = UpstreamHealth()
        for number in range(20):
            outcome = Outcome.COMPLETED if number % 7 else Outcome.ERROR
            health.observe("r", outcome, number * 100)
            self.assertFalse(health.is_avoided("r", number * 100))

    def test_missing_upstream_is_reported_to_other_instances(self) -> None:
        """Guards against hundreds of instances that each try an upstream which has been replaced.

        Some engines crash during a network partition and restart under other ids, while the list of
        upstreams contains the old ids for some seconds.
        """
        health = UpstreamHealth()
        health.observe("old", Outcome.WRONG_UPSTREAM, 0)
        self.assertEqual(health.own_avoided(400), ("old",))
        health.observe("old", Outcome.WRONG_UPSTREAM, 500)
        self.assertTrue(health.is_avoided("old", 1_400))

    def test_helper_that_does_not_answer_counts_as_failed(self) -> None:
        """Guards against a dead helper that delays one prompt after another."""
        health = UpstreamHealth()
        health.observe_indirect_failure("r", 1_500, 0)
        self.assertEqual(health.own_avoided(900), ("r",))
        health.observe_indirect_failure("busy", 3, 0)
        self.assertTrue(health.is_avoided("busy", 900))
        self.assertEqual(health.own_avoided(900), ("r",))

    def test_failures_reported_by_another_instance_expire(self) -> None:
        """Guards against each instance finding a dead upstream by a failure of its own."""
        health = UpstreamHealth()
        health.merge_peer_avoided(("r",), 20, 0)
        self.assertTrue(health.is_avoided("r", 500))
        self.assertFalse(health.is_avoided("r", 1_000))
        self.assertEqual(health.own_avoided(500), ())

    def test_reports_of_few_upstreams_count_in_a_small_fleet(self) -> None:
        """Guards against a second crash of an upstream that another instance has just seen crash.

        The load is a request that crashes two of seven upstreams and is sent again to another instance.
        """
        health = UpstreamHealth()
        health.merge_peer_avoided(("r1", "r2"), known=7, now_ms=0)
        self.assertTrue(health.is_avoided("r1", 400))

    def test_failed_attempts_of_any_instance_are_recent_for_a_while(self) -> None:
        health = UpstreamHealth()
        health.merge_peer_avoided(("r1",), 20, 0)
        health.observe("r2", Outcome.FAILED, 0)
        health.observe("r3", Outcome.REJECTED, 0)
        recent = [health.has_failed_recently(name, 50) for name in ("r1", "r2", "r3", "r4")]
        self.assertEqual(recent, [True, True, False, False])
        self.assertFalse(health.has_failed_recently("r1", 5_000))

    def test_report_of_an_instance_with_too_many_failures_is_ignored(self) -> None:
        """Guards against a partitioned instance that makes the others avoid all upstreams."""
        health = UpstreamHealth()
        health.merge_peer_avoided([f"r{n}" for n in range(10)], 20, 0)
        self.assertFalse(health.is_avoided("r1", 100))

    def test_cancelled_attempts_are_ignored(self) -> None:
        """Guards against disconnected callers that count as failures of the upstream."""
        health = UpstreamHealth()
        health.observe("r", Outcome.CANCELLED, 0)
        self.assertFalse(health.is_avoided("r", 1))
        self.assertEqual(health.failure_rate("r", 1), 0)


if __name__ == "__main__":
    unittest.main()
