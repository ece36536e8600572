"""Tests of versions of the configuration that an instance cannot read."""

import json
import time
import unittest

from tests.support.waiting import wait_until

from .processes import KEY, Instance, Platform, configuration

REVOKE_MS = 2_000
OTHER_KEY = "another-key"
UNREADABLE = {
    "not JSON": "{",
    "type of a field": json.dumps(configuration(2) | {"routes": 5}),
    "route without a service": json.dumps(
        configuration(2) | {"routes": [{**configuration(2)["routes"][0], "service": None}]}
    ),
    "engine without speed": json.dumps(
        configuration(2)
        | {"services": [{"name": "llm", "engine": {"slots": 8, "kv_capacity": 0, "read_per_s": 0}}]}
    ),
}


class UnreadableConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(instances=2, revoke_ms=REVOKE_MS)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == 1, "relay", 20)

    def status(self, instance: Instance, key: str = KEY) -> int:
        return instance.call("GET", "/read/x", Key=key).status

    def test_keys_are_not_trusted_once_a_newer_version_cannot_be_read(self) -> None:
        """Guards against a revoked key that works for ever because the version is dropped (review/4)."""
        for number, (name, value) in enumerate(UNREADABLE.items()):
            with self.subTest(name):
                self.platform.put("keyed.op", "config", value)
                time.sleep(REVOKE_MS / 1000)
                for instance in self.platform.instances:
                    self.assertEqual(self.status(instance), 503)
                    self.assertFalse(instance.is_ready())
                    self.assertEqual(instance.events("handler_failed"), [])
                # The next version that can be read takes effect.
                config = configuration(3 + number, tenants=[{"name": "blue", "api_keys": [KEY]}])
                self.platform.configure(config)
                for instance in self.platform.instances:
                    wait_until(lambda i=instance: self.status(i) == 200, "readable version")
                    wait_until(instance.is_ready, "ready")

    def test_revoked_key_in_a_version_with_a_fraction(self) -> None:
        """Guards against a version that is dropped because of a time-out with a fraction (review/4)."""
        routes = [{**route, "timeout_ms": 562.5} for route in configuration(2)["routes"]]
        tenants = [{"name": "blue", "api_keys": [OTHER_KEY]}]
        self.platform.configure(configuration(2, routes=routes, tenants=tenants))
        for instance in self.platform.instances:
            wait_until(lambda i=instance: self.status(i) == 401, "revoked key", 2)
            self.assertEqual(self.status(instance, OTHER_KEY), 200)


if __name__ == "__main__":
    unittest.main()
