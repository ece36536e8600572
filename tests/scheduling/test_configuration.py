"""Tests of replacing the configuration while requests are scheduled."""

import unittest

from ibispaddle_core.scheduling import (
    AttemptEnded,
    ConfigurationReplaced,
    Dispatch,
    Outcome,
    RefusalReason,
    RequestArrived,
)
from ibispaddle_core.settings.fleet import FleetConfig

from . import fakes


class ConfigurationReplacedTest(unittest.TestCase):
    def setUp(self):
        self.sched = fakes.scheduler()

    def replace(self, **changes):
        document = {**fakes.CONFIG, **changes}
        event = ConfigurationReplaced(FleetConfig.from_document(document))
        return self.sched.handle(event, 10)

    def test_slower_model_is_refused_by_the_new_estimate(self):
        """Guard against a scheduler that keeps using its initial configuration."""
        self.replace(models={"m": {"prefill_tokens_per_s": 50.0}})
        (refusal,) = self.sched.handle(RequestArrived(fakes.request("a")), 20)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)

    def test_request_in_flight_continues(self):
        """Guard against a change that ends requests which were admitted before it."""
        (dispatch,) = self.sched.handle(RequestArrived(fakes.request("a")), 5)
        self.assertIsInstance(dispatch, Dispatch)
        self.assertEqual(self.replace(models={}, neighbours={}), [])
        self.assertEqual(self.sched.active, 1)
        ended = AttemptEnded("a", dispatch.upstream_id, Outcome.COMPLETED, True)
        self.assertEqual(self.sched.handle(ended, 30), [])
        self.assertEqual(self.sched.active, 0)

    def test_new_weight_changes_the_order(self):
        """Guard against a change of weights that does not reach the shares."""
        self.sched.shares.charge("north", 100.0, 0)
        self.sched.shares.charge("south", 100.0, 0)
        self.replace(neighbours={"north": {"weight": 1.0}, "south": {"weight": 4.0}})
        normalised = self.sched.shares.normalised
        self.assertAlmostEqual(normalised("south"), normalised("north") / 4)

    def test_new_queue_bound_applies_to_the_next_request(self):
        """Guard against a queue bound that operators cannot change during an overload."""
        self.assertFalse(self.sched.queue.is_full("north"))
        self.replace(scheduling={"max_queue_per_neighbour": 1})
        lane = (self.sched.cost.prompt_class(fakes.request("q")), "m")
        self.sched.queue.add(lane, "north", "q", 1.0, 0.0)
        self.assertTrue(self.sched.queue.is_full("north"))


if __name__ == "__main__":
    unittest.main()
