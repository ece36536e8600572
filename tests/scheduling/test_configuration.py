"""Tests of a configuration that is replaced while requests are scheduled."""

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


class ReplacedConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.sched = fakes.scheduler()

    def replace(self, **changes):
        document = {**fakes.CONFIG, **changes}
        event = ConfigurationReplaced(FleetConfig.from_document(document))
        return self.sched.handle(event, 10)

    def test_slower_model_is_refused_by_the_new_estimate(self):
        """Guard against a scheduler that decides by the configuration of its start."""
        self.replace(models={"m": {"prefill_tokens_per_s": 50.0}})
        (refusal,) = self.sched.handle(RequestArrived(fakes.request("a")), 20)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)

    def test_request_in_flight_goes_on(self):
        """Guard against a change that cuts requests which were admitted before."""
        (dispatch,) = self.sched.handle(RequestArrived(fakes.request("a")), 5)
        self.assertIsInstance(dispatch, Dispatch)
        self.assertEqual(self.replace(models={}, neighbours={}), [])
        self.assertEqual(self.sched.active, 1)
        ended = AttemptEnded("a", dispatch.upstream_id, Outcome.COMPLETED, True)
        self.assertEqual(self.sched.handle(ended, 30), [])
        self.assertEqual(self.sched.active, 0)

    def test_new_weight_changes_the_order(self):
        """Guard against shares that a change of the configuration does not reach."""
        self.sched.shares.charge("north", 100.0, 0)
        self.sched.shares.charge("south", 100.0, 0)
        self.replace(neighbours={"north": {"weight": 1.0}, "south": {"weight": 4.0}})
        normalised = self.sched.shares.normalised
        self.assertAlmostEqual(normalised("south"), normalised("north") / 4)

    def test_new_bound_of_the_queue_holds_for_the_next_request(self):
        """Guard against a bound that operators cannot change in an overload."""
        self.assertFalse(self.sched.queue.is_full("north"))
        self.replace(scheduling={"max_queue_per_neighbour": 1})
        lane = (self.sched.cost.prompt_class(fakes.request("q")), "m")
        self.sched.queue.add(lane, "north", "q", 1.0, 0.0)
        self.assertTrue(self.sched.queue.is_full("north"))


if __name__ == "__main__":
    unittest.main()
