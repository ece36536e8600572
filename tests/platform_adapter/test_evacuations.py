"""Tests of evacuated data centres with instances, hubs and a store that fail meanwhile."""

import signal
import threading
import time
import unittest

from ibispaddle_platform.evacuations import KEY_PREFIX, read_evacuation

from tests.support.http import HttpResponse, call
from tests.support.waiting import wait_until

from .processes import Instance, Platform, configuration, route

TOPIC = "keyed.op"
# The platform's bound for instances that reach the store or a hub.
IN_FORCE_S = 5.0
# The aim while the store and the hubs are well.
USUAL_S = 1.5


class RecordTest(unittest.TestCase):
    def test_records(self) -> None:
        """Guards against an evacuation that is ignored because its value cannot be read."""
        for value in (b"", b"{", b"5", b"\xff", b"[" * 100_000):
            evacuation = read_evacuation(f"{KEY_PREFIX}b", value)
            self.assertEqual((evacuation.data_centre, evacuation.is_readable), ("b", False))
        self.assertTrue(read_evacuation(f"{KEY_PREFIX}b", b'{"more": 1}').is_readable)
        self.assertFalse(read_evacuation(KEY_PREFIX, b"{}").is_readable)
        for key in ("config", "evacuated/b", "evacuate", ""):
            self.assertIsNone(read_evacuation(key, b"{}"))


class EvacuationTest(unittest.TestCase):
    instances = 3

    def setUp(self) -> None:
        self.platform = Platform(runners=2, services=2, instances=self.instances, stall_ms=3_000)
        self.addCleanup(self.platform.__exit__)
        # The last runner of each service is in the data centre "b", the others are in "a".
        self.left = []
        for service, group in (("llm", self.platform.runners), ("shop", self.platform.services)):
            self.platform.register_at(group[-1].name, group[-1].address, service, zone="b")
            self.left.append(group[-1])
        wait_until(self.is_served_from_b, "upstreams of both data centres")

    def is_served_from_b(self) -> bool:
        for instance in self.platform.instances:
            before = self.runs()
            for _ in range(6):
                self.send(instance)
            if self.runs() == before:
                return False
        return True

    def send(self, instance: Instance) -> set[int]:
        calls = [instance.stream(), instance.call("GET", "/read/x")]
        return {response.status for response in calls}

    def runs(self) -> int:
        """Return the number of requests that have run in the data centre."""
        return sum(len(process.state()["runs"]) for process in self.left)

    def put(self, data_centre: str, value: object) -> None:
        self.platform.put(TOPIC, KEY_PREFIX + data_centre, value)

    def check_unused(self, *instances: Instance) -> None:
        """Check that instances serve all requests, and none of them in the data centre."""
        before = self.runs()
        for instance in instances or self.platform.instances:
            for _ in range(8):
                self.assertEqual(self.send(instance), {200})
        self.assertEqual(self.runs(), before)

    def wait_in_force(self, *instances: Instance, within_s: float = IN_FORCE_S) -> None:
        for instance in instances or self.platform.instances:
            events = lambda i=instance: i.events("evacuation_started")  # noqa: E731
            wait_until(events, "evacuation", within_s)

    def hub(self) -> Instance:
        followers = self.platform.followers()
        return next(i for i in self.platform.instances if i not in followers)

    def test_evacuation_at_all_instances_and_its_end(self) -> None:
        """Answers a data centre that is emptied and taken back while callers keep coming."""
        self.put("b", {})
        self.wait_in_force(within_s=USUAL_S)
        self.check_unused()
        for instance in self.platform.instances:
            wait_until(lambda i=instance: i.events("evacuation_drained"), "drained", USUAL_S)
            text = call(instance.ready_port, "GET", "/metrics").body.decode()
            self.assertIn("ibispaddle_evacuated_data_centres 1", text)
            self.assertIn("ibispaddle_evacuated_requests 0", text)
        self.put("b", None)
        wait_until(self.is_served_from_b, "end of the evacuation", IN_FORCE_S)

    def test_all_data_centres(self) -> None:
        """Answers an evacuation of every data centre: callers are told at once that nothing ran."""
        self.put("a", {})
        self.put("b", {})
        for instance in self.platform.instances:
            wait_until(lambda i=instance: len(i.events("evacuation_started")) == 2, "evacuations")
        before = len(list(self.platform.runs()))
        for instance in self.platform.instances:
            began_s = time.monotonic()
            response = instance.call("GET", "/read/x")
            self.assertLess(time.monotonic() - began_s, 0.5)
            self.assertEqual(response.status, 503)
            self.assertIn(b"evacuated", response.body)
            self.assertIn("retry-after", " ".join(response.headers).lower())
        self.assertEqual(len(list(self.platform.runs())), before)

    def test_running_streams_end_by_themselves(self) -> None:
        """Guards against streams that are cut, and against drained data centres that are not."""
        patient = route("stream", "streaming", "llm", resumable=True, slo_ms=2_000)
        self.platform.configure(configuration(2, routes=[patient]))
        wait_until(lambda: self.platform.instance.events("config_in_force")[1:], "version")
        for runner in self.platform.runners:
            runner.set_faults(pause_s=1.2)
        before = self.runs()
        responses: list[HttpResponse] = []

        def stream() -> None:
            responses.append(self.platform.instance.stream())

        threads = [threading.Thread(target=stream) for _ in range(6)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self.runs() > before, "stream in the data centre")
        self.put("b", {})
        self.wait_in_force(self.platform.instance, within_s=1.0)
        self.assertEqual(self.platform.instance.events("evacuation_drained"), [])
        for thread in threads:
            thread.join()
        self.assertEqual([response.status for response in responses], [200] * 6)
        self.assertEqual(self.platform.instance.events("attempt_failed"), [])
        drained = lambda: self.platform.instance.events("evacuation_drained")  # noqa: E731
        wait_until(drained, "drained", USUAL_S)

    def test_hub_that_dies_and_an_instance_that_is_frozen(self) -> None:
        """Guards against instances that miss an evacuation because of their hub, or of a pause."""
        wait_until(lambda: len(self.platform.followers()) == self.instances - 1, "relays", 20)
        followers = self.platform.followers()
        followers[0].proc.send_signal(signal.SIGSTOP)
        self.hub().close()
        self.put("b", {})
        self.wait_in_force(followers[1])
        self.check_unused(followers[1])
        followers[0].proc.send_signal(signal.SIGCONT)
        self.wait_in_force(followers[0])
        self.check_unused(followers[0])

    def test_instance_that_starts_meanwhile_and_a_store_that_fails_after(self) -> None:
        """Guards against an evacuation that a restart or an outage of the store ends."""
        self.put("b", {})
        self.wait_in_force()
        newcomer = self.platform.start_instance(self.instances)
        self.check_unused(newcomer)
        self.platform.store.set_faults(outage=True)
        time.sleep(1.0)
        self.check_unused(newcomer, *self.platform.instances)
        self.platform.store.set_faults(outage=False)
        self.put("b", None)
        wait_until(self.is_served_from_b, "end of the evacuation", IN_FORCE_S)

    def test_odd_records_beside_an_unusable_configuration(self) -> None:
        """Guards against an evacuation that waits until other records can be read."""
        self.platform.put(TOPIC, "config", "{")
        self.put("b", "{")
        self.put("nowhere", {})
        self.wait_in_force()
        for instance in self.platform.instances:
            wait_until(lambda i=instance: i.events("evacuation_unknown"), "unknown", USUAL_S)
        self.platform.configure(configuration(2))
        for instance in self.platform.instances:
            wait_until(lambda i=instance: self.send(i) == {200}, "usable configuration")
        self.check_unused()
        for instance in self.platform.instances:
            self.assertEqual(len(instance.events("evacuation_unreadable")), 1)
            [line] = instance.events("evacuation_unknown")
            self.assertEqual((line["data_centre"], line["known"]), ("nowhere", ["a", "b"]))

    def test_nothing_happens_without_a_record(self) -> None:
        """Guards against a feature that acts unasked, also beside records of other kinds."""
        self.platform.put(TOPIC, "notes/b", {})
        self.platform.configure(configuration(2))
        for instance in self.platform.instances:
            wait_until(lambda i=instance: len(i.events("config_in_force")) == 2, "version")
            names = {line.get("event", "") for line in instance.lines}
            self.assertEqual({name for name in names if name.startswith("evacuation")}, set())
        self.assertTrue(self.is_served_from_b())


if __name__ == "__main__":
    unittest.main()
