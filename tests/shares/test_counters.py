"""Tests of the merged share counters."""

import unittest

from ibispaddle_core.shares import NegativeCostError, ShareCounters


class ShareCountersTest(unittest.TestCase):
    def test_repeated_and_reordered_messages_have_no_effect(self):
        """Guard against consumption that is counted twice if a gossip message is repeated."""
        shares = ShareCounters({"a": 1.0})
        shares.merge("peer", {"a": 0.0}, 0)
        shares.merge("peer", {"a": 100.0}, 10)
        once = shares.normalised("a")
        shares.merge("peer", {"a": 100.0}, 10)
        shares.merge("peer", {"a": 40.0}, 10)
        self.assertEqual(shares.normalised("a"), once)

    def test_weight_divides_consumption(self):
        """Guard against shares that ignore the weights."""
        shares = ShareCounters({"a": 3.0, "b": 1.0})
        shares.charge("a", 300.0, 0)
        shares.charge("b", 100.0, 0)
        self.assertAlmostEqual(shares.normalised("a"), shares.normalised("b"))

    def test_credit_of_idle_neighbour_is_bounded(self):
        """Guard against a neighbour that starves all others after it was idle."""
        shares = ShareCounters({}, decay_ms=1_000.0)
        shares.charge("busy", 1_000_000.0, 0)
        for now_ms in range(0, 20_000, 100):
            shares.charge("busy", 50.0, now_ms)
        self.assertLess(shares.normalised("busy"), 600.0)

    def test_refund_lowers_later_charges_but_not_the_counter(self):
        """Guard against a decreasing counter, which a merge by maximum would ignore."""
        shares = ShareCounters({})
        shares.charge("a", 100.0, 0)
        shares.refund("a", 30.0)
        self.assertEqual(shares.own_counters(), {"a": 100.0})
        shares.charge("a", 50.0, 0)
        self.assertEqual(shares.own_counters(), {"a": 120.0})

    def test_negative_charge_is_an_error(self):
        """Guard against an undetected decrease of a cumulative counter."""
        with self.assertRaises(NegativeCostError):
            ShareCounters({}).charge("a", -1.0, 0)

    def test_share_is_compared_with_the_mean(self):
        """Guard against memory claims by a neighbour that has already received its share."""
        shares = ShareCounters({"a": 1.0, "b": 1.0})
        self.assertFalse(shares.is_below_share("a", 0.15))
        shares.charge("a", 80.0, 0)
        shares.charge("b", 120.0, 0)
        self.assertTrue(shares.is_below_share("a", 0.15))
        self.assertFalse(shares.is_below_share("a", 0.25))
        self.assertFalse(shares.is_below_share("b", 0.15))
