"""Tests of several instances in one data centre, most of which read the store through a hub.

The load pattern is a deployment of dozens of instances, whose calls to the store are its largest cost.
"""

import time
import unittest

from tests.support.waiting import wait_until

from .processes import Instance, Platform, configuration

INSTANCES = 7
# Time after which the reads of the start have ended.
START_S = 4.0


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(instances=INSTANCES)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)

    def version_everywhere(self, version: int, instances: list[Instance]) -> bool:
        lines = [instance.events("config_in_force")[-1] for instance in instances]
        return {line["revision"] for line in lines} == {version}

    def calls_per_s(self) -> float:
        """Return the rate of calls to the store, as counted by the store."""
        before, began = self.platform.store.state()["calls"], time.monotonic()
        time.sleep(4)
        return (self.platform.store.state()["calls"] - before) / (time.monotonic() - began)

    def relay_history(self, began_s: float) -> str:
        """Return the log lines about the choice of relays, with their times since `began_s`."""
        history = []
        for instance in self.platform.instances:
            for line in list(instance.lines):
                if str(line.get("event")).startswith("relay_"):
                    detail = line.get("reason", line.get("relay"))
                    after_s = line["time"] - began_s
                    history.append(f"{instance.path.name} {after_s:.2f} {line['event']}: {detail}")
        return "\n".join(history)

    def test_changes_reach_all_with_the_calls_of_one(self) -> None:
        """Guards against calls that grow with the number of instances, and against late configurations."""
        time.sleep(START_S)
        # A single instance reads the configuration, the upstreams and the list of instances.
        began_s = time.time()
        rate = self.calls_per_s()
        self.assertLess(rate, 1 / 0.5 + 1 / 0.85 + 1 / 0.4, self.relay_history(began_s))
        self.platform.configure(configuration(2, tenants=[{"name": "blue", "api_keys": []}]))
        everywhere = self.platform.instances
        wait_until(lambda: self.version_everywhere(2, everywhere), "version", 2)
        self.assertEqual({i.call("GET", "/read/x").status for i in everywhere}, {401})
        self.platform.register(self.platform.runners[0], "llm", "draining")
        wait_until(lambda: all(i.events("upstream_leaving") for i in everywhere), "entry", 2)

    def test_relays_that_die(self) -> None:
        """Guards against instances that get no more changes after their relay died."""
        followers = self.platform.followers()
        for instance in self.platform.instances:
            if instance not in followers:
                instance.close()
        self.platform.configure(configuration(2))
        wait_until(lambda: self.version_everywhere(2, followers), "version", 4)
        self.assertTrue(all(instance.is_ready() for instance in followers))

    def test_revoked_key_during_an_outage(self) -> None:
        """Guards against a revoked key that is accepted for longer because another instance relayed it."""
        self.platform.store.set_faults(silent=True)
        began = time.monotonic()
        for instance in self.platform.followers():

            def is_refused(instance: Instance = instance) -> bool:
                return instance.call("GET", "/read/x").status == 503

            wait_until(is_refused, "refusal", 6)
        self.assertLess(time.monotonic() - began, 5.0)
        self.platform.store.set_faults(silent=False)
        ready = self.platform.instances
        wait_until(lambda: all(instance.is_ready() for instance in ready), "ready", 10)


if __name__ == "__main__":
    unittest.main()
