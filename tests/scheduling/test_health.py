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

    def test_cancelled_attempts_say_nothing(self) -> None:
        """Guards against callers that leave and are taken for failures of the upstream."""
        health = UpstreamHealth()
        health.observe("r", Outcome.CANCELLED, 0)
        self.assertFalse(health.is_avoided("r", 1))
        self.assertEqual(health.failure_rate("r", 1), 0)


if __name__ == "__main__":
    unittest.main()
