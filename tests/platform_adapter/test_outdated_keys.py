"""Tests of revoked and added keys while answers of the store are short, slow or late.

A store may answer a read with fewer records than there are. Callers send requests with a key that is
revoked, one that is added and one that stays, to all instances, before and after the change.
"""

import itertools
import signal
import threading
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from tests.soak.links import LinkMode
from tests.support.waiting import wait_until

from .processes import KEY, HasAddress, Instance, Platform, configuration, route
from .store_links import StoreLinks

INSTANCES = 3
REVOKED_KEY = "key-of-red"
ADDED_KEY = "key-of-green"
REVOKE_S = 3.0
IN_FORCE_S = 2.0
# Time between two requests of a caller.
PAUSE_S = 0.05
VERSIONS = 20
VERSION_GAP_S = 0.1
HEARTBEAT_GAP_S = 0.05
IDLE_ROUTES = 500
# The backlog of all versions takes four seconds, the newest records take 0.3.
BANDWIDTH_KB_PER_S = 500
# Pages of the newest records, each of which has one key.
PAGES = 10


@dataclass(frozen=True)
class Sent:
    """A request that was answered."""

    key: str
    sent_s: float
    status: int


class Callers:
    """Threads that send requests with one key each to one instance each."""

    def __init__(self, instances: list[Instance], keys: tuple[str, ...]) -> None:
        self.sent: list[Sent] = []
        self._is_ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(instance, key), daemon=True)
            for instance in instances
            for key in keys
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, instance: Instance, key: str) -> None:
        while not self._is_ended.wait(PAUSE_S):
            sent_s = time.monotonic()
            status = instance.call("GET", "/read/x", Key=key).status
            self.sent.append(Sent(key, sent_s, status))

    def end(self) -> None:
        """End the threads after their current request."""
        self._is_ended.set()
        for thread in self._threads:
            thread.join(10)

    def times_s(self, key: str, status: int) -> list[float]:
        """Return when the requests with a key were sent that got a status."""
        return sorted(item.sent_s for item in self.sent if (item.key, item.status) == (key, status))


class KeysTestCase(unittest.TestCase):
    """Three instances, and versions of the configuration with some of three keys."""

    def gate(self, address: str) -> HasAddress | None:
        """Return an instance's proxy of the store, or None to use the store itself."""
        return None

    def setUp(self) -> None:
        bounds = {"revoke_ms": round(REVOKE_S * 1_000)}
        self.platform = Platform(instances=INSTANCES, gate=self.gate, **bounds)
        self.addCleanup(self.platform.__exit__)
        wait_until(lambda: len(self.platform.followers()) == INSTANCES - 1, "relays", 20)
        self.versions = itertools.count(2)
        self.routes = configuration(1)["routes"]
        self.put_version(KEY, REVOKED_KEY)
        for instance in self.platform.instances:
            self.wait_for(instance, REVOKED_KEY, 200)
        self.changed_s = inf
        self.revoke_s = REVOKE_S

    def wait_for(self, instance: Instance, key: str, status: int) -> None:
        wait_until(lambda: instance.call("GET", "/read/x", Key=key).status == status, str(status))

    def put_version(self, *keys: str) -> None:
        tenants = [{"name": f"tenant-of-{key}", "api_keys": [key]} for key in keys]
        config = configuration(next(self.versions), tenants=tenants, routes=self.routes)
        self.platform.configure(config)

    def put_versions_and_change_keys(self) -> None:
        """Write many versions with the same keys, then one that revokes a key and adds another."""
        for _ in range(VERSIONS):
            self.put_version(KEY, REVOKED_KEY)
            time.sleep(VERSION_GAP_S)
        self.put_version(KEY, ADDED_KEY)
        self.changed_s = time.monotonic()

    def start_callers(self) -> Callers:
        callers = Callers(self.platform.instances, (KEY, REVOKED_KEY, ADDED_KEY))
        self.addCleanup(callers.end)
        return callers

    def repeat(self, action: Callable[[], None], gap_s: float) -> None:
        """Repeat an action until the end of the test."""
        is_ended = threading.Event()

        def run() -> None:
            while not is_ended.wait(gap_s):
                action()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 10)
        self.addCleanup(is_ended.set)

    def assert_keys(self, callers: Callers) -> None:
        """Assert that no request ran with an outdated key, and none was denied with a new one."""
        late_s = [at_s - self.changed_s for at_s in callers.times_s(REVOKED_KEY, 200)]
        self.assertEqual(
            [at_s for at_s in late_s if at_s > self.revoke_s], [], "revoked key served"
        )
        denied_s = [at_s - self.changed_s for at_s in callers.times_s(ADDED_KEY, 401)]
        self.assertEqual([at_s for at_s in denied_s if at_s > IN_FORCE_S], [], "added key denied")
        self.assertEqual(callers.times_s(KEY, 401), [], "sound key denied")

    def assert_answers(self, callers: Callers, since_s: float, key: str, status: int) -> None:
        """Assert that all requests with a key that were sent since a time got one status."""
        answers = {
            item.status for item in callers.sent if item.key == key and item.sent_s > since_s
        }
        self.assertEqual(answers, {status}, key)

    def check_return(self, returned_s: float, callers: Callers) -> None:
        """Check the requests during and after an outage that has just ended."""
        time.sleep(4.0)
        callers.end()
        self.assert_keys(callers)
        refused_s = callers.times_s(KEY, 503)
        self.assertTrue(refused_s, "the outage was too short")
        self.assertLess(refused_s[-1] - returned_s, IN_FORCE_S, "sound key refused too long")
        for key, status in ((KEY, 200), (ADDED_KEY, 200), (REVOKED_KEY, 401)):
            self.assert_answers(callers, returned_s + IN_FORCE_S, key, status)


class OutdatedKeysTest(KeysTestCase):
    def test_slow_and_short_answers(self) -> None:
        """Guards against a revoked key that works until the last of many versions has been read."""
        self.platform.store.set_faults(read_delay_ms=400, max_read_records=1)
        self.repeat(
            lambda: self.platform.register(self.platform.runners[0], "llm"), HEARTBEAT_GAP_S
        )
        callers = self.start_callers()
        self.put_versions_and_change_keys()
        time.sleep(REVOKE_S + 3.0)
        callers.end()
        self.assert_keys(callers)
        # The store answers in time, so no instance may refuse the key that stays.
        self.assertEqual(callers.times_s(KEY, 503), [], "sound key refused")
        self.assert_answers(callers, self.changed_s + REVOKE_S, ADDED_KEY, 200)

    def test_very_slow_answers(self) -> None:
        """Guards against sound keys that are refused because each answer comes after its timeout."""
        self.revoke_s = 5.0
        for instance in self.platform.instances:
            text = instance.path.read_text()
            instance.path.write_text(text.replace("revoke_ms = 3000", "revoke_ms = 5000"))
            instance.proc.send_signal(signal.SIGHUP)
            wait_until(lambda i=instance: i.events("settings_reloaded"), "reload")
        self.platform.store.set_faults(read_delay_ms=1_200)
        callers = self.start_callers()
        time.sleep(2.0)
        self.put_version(KEY, ADDED_KEY)
        self.changed_s = time.monotonic()
        time.sleep(8.0)
        callers.end()
        self.assert_keys(callers)
        self.assertEqual(callers.times_s(KEY, 503), [], "sound key refused")

    def test_many_versions_during_an_outage(self) -> None:
        """Guards against keys that are trusted again from the first of several short answers (review/6)."""
        self.platform.store.set_faults(outage=True)
        callers = self.start_callers()
        self.put_versions_and_change_keys()
        time.sleep(REVOKE_S)
        self.platform.store.set_faults(outage=None, read_delay_ms=100, max_read_records=1)
        self.check_return(time.monotonic(), callers)

    def test_large_versions_with_little_bandwidth(self) -> None:
        """Guards against sound keys that are refused for good because the missed versions are too large.

        A response with all that the store sends at once took longer than the timeout of the read.
        """
        self.routes += [route(f"idle-{n}", "idempotent", "shop") for n in range(IDLE_ROUTES)]
        self.platform.store.set_faults(outage=True)
        callers = self.start_callers()
        self.put_versions_and_change_keys()
        time.sleep(REVOKE_S)
        self.platform.store.set_faults(outage=None, read_kb_per_s=BANDWIDTH_KB_PER_S)
        self.check_return(time.monotonic(), callers)

    def test_pages_of_the_newest_records(self) -> None:
        """Guards against keys that are trusted again from a page that was read long before the last."""
        for number in range(PAGES - 1):
            self.platform.put("keyed.op", f"evacuate/zone-{number}", {})
        self.platform.store.set_faults(outage=True)
        callers = self.start_callers()
        time.sleep(REVOKE_S)
        # Without the history, all instances have to read the newest records.
        self.put_version(KEY, REVOKED_KEY)
        self.platform.compact("keyed.op")
        self.platform.store.set_faults(outage=None, read_delay_ms=500, max_read_items=1)
        returned_s = time.monotonic()
        time.sleep(1.6)  # By then, the first page has been read, which has the configuration.
        self.put_version(KEY, ADDED_KEY)
        self.changed_s = time.monotonic()
        in_force_s = returned_s + 0.5 * PAGES + IN_FORCE_S
        time.sleep(in_force_s + 1.0 - time.monotonic())
        callers.end()
        self.assert_keys(callers)
        self.assertTrue(callers.times_s(KEY, 503), "the outage was too short")
        for key in (KEY, ADDED_KEY):
            self.assert_answers(callers, in_force_s, key, 200)


class TurnedAwayHubTest(KeysTestCase):
    def setUp(self) -> None:
        self.links = StoreLinks()
        self.addCleanup(self.links.close)
        super().setUp()

    def gate(self, address: str) -> HasAddress:
        return self.links.open(address)

    def test_hub_that_the_store_turns_away(self) -> None:
        """Guards against keys that a hub, and those that query it, trust after its return (review/6)."""
        (hub,) = set(self.platform.instances) - set(self.platform.followers())
        self.platform.store.set_faults(read_delay_ms=100, max_read_records=1)
        callers = self.start_callers()
        self.links.set_mode(LinkMode.RESET, hub)
        self.put_versions_and_change_keys()
        time.sleep(REVOKE_S)
        self.links.set_mode(LinkMode.OPEN, hub)
        time.sleep(4.0)
        callers.end()
        self.assert_keys(callers)
        # The store serves the other instances, so the hub may not refuse the key that stays.
        self.assertEqual(callers.times_s(KEY, 503), [], "sound key refused")
        for key, status in ((KEY, 200), (ADDED_KEY, 200), (REVOKED_KEY, 401)):
            self.assert_answers(callers, self.changed_s + self.revoke_s, key, status)


if __name__ == "__main__":
    unittest.main()
