"""Tests with real processes: configuration changes, log outages and instance starts."""

import threading
import time
import unittest

from ibispaddle_bench.fleet import Fleet, FleetSpec

from tests.support.http import is_listening, is_ready
from tests.support.operators import call_operator_api
from tests.support.waiting import wait_until

IN_FORCE_S = 4.0


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.spec = FleetSpec(entries=3, runners=0, services=0)
        self.fleet = Fleet(self.spec)
        self.addCleanup(self.fleet.end)
        self.fleet.start()

    def change(self, change_id, weight, expected=-1, **changes):
        document = self.spec.configuration_document()
        document["neighbours"]["north"]["weight"] = weight
        return {
            "change_id": change_id,
            "expected_revision": expected,
            "layer": "base",
            "document": document,
            "author": "ann",
        } | changes

    def apply(self, entry, change):
        return call_operator_api(entry, "config", change)

    def revision(self, entry):
        return call_operator_api(entry, "config")[1].get("revision")

    def wait_for(self, revision, entries, limit_s=IN_FORCE_S):
        """Return the seconds until the revision is in force at all instances."""
        started = time.monotonic()
        while any(self.revision(entry) != revision for entry in entries):
            if time.monotonic() - started > limit_s:
                found = [self.revision(entry) for entry in entries]
                raise AssertionError(f"revision {revision}: {found} after {limit_s} s")
            time.sleep(0.005)
        return time.monotonic() - started

    def test_changes_reach_all_instances(self):
        """Guard against a change that is not in force at all instances within 4 s."""
        revision = -1
        for number in range(5):
            entry = self.fleet.entries[number % 3]
            status, body = self.apply(entry, self.change(f"c{number}", number + 1.0, revision))
            self.assertEqual(status, 200, body)
            revision = body["revision"]
            self.wait_for(revision, self.fleet.entries)
        _, history = call_operator_api(self.fleet.entries[0], "config/history")
        self.assertEqual([c["status"] for c in history["changes"]], ["accepted"] * 5)

    def test_concurrent_changes_by_two_operators(self):
        """Guard against two accepted changes, and a conflict without the accepted change."""
        revision = -1
        for number in range(5):
            answers = {}

            def apply_change(index, number=number, revision=revision, answers=answers):
                change = self.change(f"c{number}.{index}", 2.0 + index, revision)
                answers[index] = self.apply(self.fleet.entries[index], change)

            threads = [threading.Thread(target=apply_change, args=(index,)) for index in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(20)
            self.assertEqual(sorted(status for status, _ in answers.values()), [200, 409])
            winner = next(index for index, (status, _) in answers.items() if status == 200)
            conflict = answers[1 - winner][1]
            self.assertEqual(conflict["winner"]["change_id"], f"c{number}.{winner}")
            self.assertEqual(conflict["document"]["neighbours"]["north"]["weight"], 2.0 + winner)
            revision = answers[winner][1]["revision"]
            self.assertEqual(conflict["revision"], revision)

    def test_rejected_requests(self):
        """Guard against an invalid change, an unknown operator and a malformed record."""
        entry = self.fleet.entries[0]
        status, body = self.apply(entry, self.change("c", 1.0, document={"modles": {}}))
        self.assertEqual((status, body["messages"][0]["id"]), (422, "settings.E001"))
        self.assertEqual(call_operator_api(entry, "config", key="wrong")[0], 401)
        self.assertEqual(self.apply(entry, {"change_id": "c"})[0], 400)
        self.assertEqual(self.fleet.log.state()["streams"]["config"]["next_offset"], 0)

    def test_lost_append_response(self):
        """Guard against a response that reports an accepted change as failed."""
        self.fleet.log.set_faults(lose_answers=True)
        status, body = self.apply(self.fleet.entries[0], self.change("c1", 2.0))
        self.fleet.log.set_faults(lose_answers=False)
        self.assertEqual((status, body["revision"]), (200, 0))
        again = self.apply(self.fleet.entries[1], self.change("c1", 2.0))
        self.assertEqual((again[0], again[1]["revision"]), (200, 0))

    def test_start_during_an_outage(self):
        """Guard against an instance that starts with an old configuration, or not at all."""
        self.apply(self.fleet.entries[0], self.change("c1", 2.0))
        self.apply(self.fleet.entries[0], self.change("c2", 3.0, 0))
        self.wait_for(1, self.fleet.entries)
        self.fleet.entries[2].kill()
        self.fleet.log.set_faults(outage=True)
        restarted = self.fleet.restart_entry(2)
        self.assertEqual(self.revision(restarted), 1)
        status, body = self.apply(restarted, self.change("c3", 4.0, 1))
        self.assertIn(status, (503, 504), body)
        self.fleet.log.set_faults(outage=False)
        deadline = time.monotonic() + 15
        while self.apply(restarted, self.change("c4", 4.0, 1))[0] != 200:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.1)
        self.wait_for(2, self.fleet.entries, 10.0)

    def test_start_without_log_and_peers(self):
        """Guard against an instance that serves its base file although a change was accepted."""
        self.apply(self.fleet.entries[0], self.change("c1", 2.0))
        for entry in self.fleet.entries:
            entry.kill()
        self.fleet.log.set_faults(outage=True)
        entry = self.fleet.start_entry("entry.1")
        wait_until(lambda: is_listening(entry), "listening")
        time.sleep(5)
        self.assertFalse(is_ready(entry))
        self.assertEqual(call_operator_api(entry, "config")[0], 401)
        self.fleet.log.set_faults(outage=False)
        self.fleet.wait_for_entry(entry)
        self.assertEqual(self.revision(entry), 0)


if __name__ == "__main__":
    unittest.main()
