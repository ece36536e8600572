"""What may be decided by a configuration of some age."""

import unittest

from ibispaddle_core.routing import ConfigFreshness


class FreshnessTest(unittest.TestCase):
    def test_without_a_configuration_nothing_is_denied_or_trusted(self) -> None:
        """Guards against a 404 or 401 from an instance that knows no configuration yet."""
        self.assertFalse(ConfigFreshness().can_deny(0))
        self.assertFalse(ConfigFreshness(revocation_ms=5_000).can_trust_keys(0))

    def test_a_revoked_key_is_not_used_after_its_time(self) -> None:
        """Guards against keys that an instance cut off from the store accepts for ever."""
        freshness = ConfigFreshness(confirmed_ms=1_000, revocation_ms=5_000)
        self.assertTrue(freshness.can_trust_keys(5_000))
        self.assertFalse(freshness.can_trust_keys(5_999))
        self.assertFalse(freshness.can_trust_keys(6_000))

    def test_keys_are_trusted_for_ever_where_that_is_asked_for(self) -> None:
        """Guards against refusals in an outage at a site that prefers to serve."""
        self.assertTrue(ConfigFreshness(confirmed_ms=0).can_trust_keys(10**9))

    def test_an_outdated_configuration_denies_nothing(self) -> None:
        """Guards against a 404 for a route that was added during an outage of the store."""
        freshness = ConfigFreshness(confirmed_ms=0)
        self.assertTrue(freshness.can_deny(1_000))
        self.assertFalse(freshness.can_deny(2_001))


if __name__ == "__main__":
    unittest.main()
