"""Tests with real processes: configuration restart after the log has dropped all records."""

import json
import os
import subprocess
import sys
import time
import unittest
from pathlib import Path

from ibispaddle_bench.fleet import OPERATOR_KEY, Fleet, FleetSpec
from ibispaddle_bench.processes import call_json
from ibispaddle_client.api import OperatorApi
from ibispaddle_client.exceptions import ClientError, ExitStatus

from tests.support.http import is_ready
from tests.support.operators import environment
from tests.support.waiting import wait_until

WAIT_S = 15.0


class RestartTest(unittest.TestCase):
    def setUp(self):
        self.spec = FleetSpec(entries=3, runners=0, services=0)
        self.fleet = Fleet(self.spec)
        self.addCleanup(self.fleet.end)
        self.fleet.start()
        change = {
            "change_id": "c1",
            "expected_revision": -1,
            "layer": "base",
            "document": self.document(7.0),
            "author": "ann",
        }
        self.assertEqual(self.api(0).post("config", change)["revision"], 0)

    def document(self, weight):
        document = self.spec.configuration_document()
        document["neighbours"]["north"]["weight"] = weight
        return document

    def file(self, name, document):
        path = Path(self.fleet.folder) / name
        path.write_text(json.dumps(document))
        return str(path)

    def api(self, entry):
        return OperatorApi(self.fleet.entries[entry].url, OPERATOR_KEY)

    def invoke(self, entry, *args):
        """Start the command and return its process."""
        env = environment(self.fleet.entries[entry])
        command = [sys.executable, "-m", "ibispaddle_client", "config", "restart", *args, "--json"]
        return subprocess.Popen(
            command, env=os.environ | env, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )

    def drop_log(self):
        """Make retention remove every record of the `config` stream."""
        time.sleep(0.1)
        self.fleet.log.set_faults(retention_ms=1)
        page = call_json(f"{self.fleet.log.url}/streams/config/records")
        self.fleet.log.set_faults(retention_ms=0)
        self.assertEqual((page["first_offset"], page["records"]), (page["next_offset"], []))

    def start_all(self):
        for index, entry in enumerate(self.fleet.entries):
            self.fleet.entries[index] = self.fleet.start_entry(entry.name)

    def test_one_of_two_concurrent_restarts_takes_effect(self):
        """Guard against a fleet that stays unready forever, and against two restarts."""
        for entry in self.fleet.entries:
            entry.kill()
        self.drop_log()
        self.start_all()
        time.sleep(4.0)
        self.assertFalse(any(is_ready(entry) for entry in self.fleet.entries))
        site = self.file("dc.1.json", {"neighbours": {"south": {"weight": 9.0}}})
        bases = [self.file(f"base{n}.json", self.document(2.0 + n)) for n in range(2)]
        started = time.monotonic()
        commands = [self.invoke(n, bases[n], "--site", site) for n in range(2)]
        outputs = [command.communicate(timeout=60) for command in commands]
        statuses = [command.returncode for command in commands]
        self.assertEqual(sorted(statuses), [ExitStatus.OK, ExitStatus.CONFLICT], outputs)
        winner = statuses.index(ExitStatus.OK)
        answer = json.loads(outputs[winner][0])
        revision = answer["revision"]
        self.assertIn(answer["restart_id"], outputs[1 - winner][1])
        wait_until(lambda: all(is_ready(entry) for entry in self.fleet.entries), "ready", WAIT_S)
        print(f"ready {time.monotonic() - started:.2f} s after the command")
        for number in range(3):
            shown = self.api(number).get("config")
            self.assertEqual(shown["revision"], revision)
            weights = {n: c["weight"] for n, c in shown["in_force"]["neighbours"].items()}
            south = 9.0 if shown["site"] == "dc.1" else 1.0
            self.assertEqual(weights, {"north": 2.0 + winner, "south": south})
        self.check_repetitions(revision)

    def check_repetitions(self, revision):
        """Check that a repeated append and a second restart have no effect, and a change does."""
        url = f"{self.fleet.log.url}/streams/config/records"
        records = {record["offset"]: record["data"] for record in call_json(url)["records"]}
        restart = records[revision]
        self.assertEqual(restart["restart"]["expected_offset"], revision)
        call_json(url, restart)
        with self.assertRaisesRegex(ClientError, "configuration_exists"):
            self.api(2).post("config/restart", restart["restart"] | {"restart_id": "again"})
        same = self.api(2).post("config/restart", restart["restart"])
        self.assertEqual(same["revision"], revision)
        change = {
            "change_id": "c2",
            "expected_revision": revision,
            "layer": "base",
            "document": self.document(3.0),
            "author": "ann",
        }
        self.assertGreater(self.api(2).post("config", change)["revision"], revision)

    def test_restart_is_rejected_while_an_instance_has_a_state(self):
        """Guard against a restart that replaces a configuration that an instance still has."""
        self.drop_log()
        self.fleet.entries[0].kill()
        self.fleet.entries[0] = self.fleet.start_entry(self.fleet.entries[0].name)
        wait_until(lambda: self.serves_api(0), "listen", WAIT_S)
        base = self.file("base.json", self.document(2.0))
        command = self.invoke(0, base)
        _, text = command.communicate(timeout=60)
        self.assertEqual(command.returncode, ExitStatus.CONFLICT)
        self.assertRegex(text, "'entry.[23]' has the configuration at revision 0")
        # The inquiry made an instance with a state append a snapshot, from which the restarted
        # instance starts.
        wait_until(lambda: is_ready(self.fleet.entries[0]), "ready", WAIT_S)
        self.assertEqual(self.api(0).get("config")["revision"], 0)

    def serves_api(self, entry):
        try:
            self.api(entry).post("config/restart", {})
        except ClientError as exc:
            return "invalid_restart" in str(exc)


if __name__ == "__main__":
    unittest.main()
