"""Tests of decisions that depend on the age of the configuration."""

import unittest

from ibispaddle_core.routing import ConfigFreshness


class ConfigFreshnessTest(unittest.TestCase):
    def test_without_a_configuration_nothing_is_denied_or_trusted(self) -> None:
        """Guards against a 404 or 401 from an instance that has no configuration yet."""
        self.assertFalse(ConfigFreshness().can_deny(0))
        self.assertFalse(ConfigFreshness(revocation_ms=5_000).can_trust_keys(0))

    def test_a_revoked_key_is_not_used_after_its_time(self) -> None:
        """Guards against keys that an instance without access to the store accepts indefinitely."""
        freshness = ConfigFreshness(confirmed_ms=1_000, revocation_ms=5_000)
        self.assertTrue(freshness.can_trust_keys(5_000))
        self.assertFalse(freshness.can_trust_keys(5_999))
        self.assertFalse(freshness.can_trust_keys(6_000))

    def test_keys_do_not_expire_without_a_revocation_time(self) -> None:
        """Guards against refusals during an outage at a site that favours availability."""
        self.assertTrue(ConfigFreshness(confirmed_ms=0).can_trust_keys(10**9))

    def test_an_outdated_configuration_denies_nothing(self) -> None:
        """Guards against a 404 for a route that was added during an outage of the store."""
        freshness = ConfigFreshness(confirmed_ms=0)
        self.assertTrue(freshness.can_deny(1_000))
        self.assertFalse(freshness.can_deny(2_001))


if __name__ == "__main__":
    unittest.main()
