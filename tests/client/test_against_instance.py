"""Tests of the online commands against running instances."""

import json
import pathlib
import tempfile
import time
import unittest

import requests
from ibispaddle_bench.fleet import MODEL, OPERATOR_KEY, SERVICE, WORKSPACE_KEYS, Fleet, FleetSpec
from ibispaddle_client.__main__ import app
from ibispaddle_client.exceptions import ConflictError
from typer.testing import CliRunner

from tests.support.operators import invoke, invoke_json

MARKER = "crash-the-engine"
PROPAGATION_S = 4.0
FLUSH_S = 5.0  # More than two flush intervals.


class InstanceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        spec = FleetSpec(
            entries=2,
            runners=4,
            services=1,
            engine_options=("--crash-marker", MARKER),
            configuration={"neighbours": {"south": {"weight": 3.0}}},
        )
        cls.fleet = Fleet(spec)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)

    def invoke(self, *args, entry=0):
        return invoke(self.fleet.entries[entry], *args)

    def read_json(self, *args, entry=0):
        return invoke_json(self.fleet.entries[entry], *args)

    def test_upstreams_are_listed_with_their_state(self):
        """Guard against an operator who cannot see which upstreams are available."""
        upstreams = self.read_json("upstreams")
        self.assertEqual(sorted(u["kind"] for u in upstreams), ["runner"] * 4 + ["service"])
        self.assertEqual({u["drained"] for u in upstreams}, {False})

    def test_evacuated_data_centre_gets_no_requests_until_it_is_restored(self):
        """Guard against an evacuation that is confirmed before it is in force at all instances."""
        self.addCleanup(self.invoke, "restore", "dc.1", "--wait")
        outcome = self.invoke("evacuate", "dc.1", "--reason", "power", "--wait")
        self.assertIsNone(outcome.exception, outcome.output)
        for entry in range(2):
            states = {
                (u["data_centre"], u["drained"]) for u in self.read_json("upstreams", entry=entry)
            }
            self.assertEqual({drained for name, drained in states if name == "dc.1"}, {True})
            self.assertEqual({drained for name, drained in states if name != "dc.1"}, {False})
            [row] = self.read_json("evacuations", entry=entry)
            self.assertEqual((row["data_centre"], row["reason"]), ("dc.1", "power"))
            metrics = requests.get(self.fleet.entries[entry].url + "/metrics", timeout=30).text
            self.assertIn("ibispaddle_evacuated_data_centres 1", metrics)
        self.addCleanup(self.invoke, "restore", "dc.2", "--wait")
        self.assertIsNone(self.invoke("evacuate", "dc.2", "--wait").exception)
        refused = self.invoke("evacuate", "dc.3")
        self.assertIn("evacuations.E001", str(refused.exception))
        for name in ("dc.1", "dc.2"):
            self.assertIsNone(self.invoke("restore", name, "--wait").exception)
        self.assertEqual(self.read_json("evacuations"), [])
        self.assertEqual({u["drained"] for u in self.read_json("upstreams")}, {False})

    def test_document_in_force_has_nothing_to_change(self):
        """Guard against a review that objects to what the instances have accepted."""
        url = self.fleet.entries[0].url + "/operator/config"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        base = requests.get(url, headers=headers, timeout=30).json()["layers"]["base"]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "base.json")
            path.write_text(json.dumps(base))
            found = self.read_json("config", "check-change", str(path))
            self.assertEqual((found["errors"], found["differences"]), (0, []))
            path.write_text(json.dumps({**base, "limits": {"max_requests": 100}}))
            found = self.read_json("config", "check-change", str(path), entry=1)
            self.assertIn("change.W030", [message["id"] for message in found["messages"]])
            self.assertIn("$.limits.max_requests", [row["path"] for row in found["differences"]])

    def test_workspaces_are_listed_with_the_shares_of_their_neighbours(self):
        """Guard against shares that do not match the weights, and against keys in the output."""
        outcome = self.invoke("workspaces")
        rows = [line.split() for line in outcome.output.splitlines()]
        self.assertIn(["north", "1", "25.0"], rows)
        self.assertIn(["large", "north", MODEL, SERVICE], rows)
        found = self.read_json("workspaces")
        self.assertEqual([n["share_percent"] for n in found["neighbours"]], [25.0, 75.0])
        self.assertNotIn("key", json.dumps(found))

    def test_usage_equals_the_tokens_of_the_responses(self):
        """Guard against tokens that are missing from the usage totals or counted twice."""
        headers = {"Authorization": f"Bearer {WORKSPACE_KEYS['large']}"}
        expected = {"requests": 0, "prompt_tokens": 0, "generated_tokens": 0}
        for number in range(6):
            content = "two words " * (number + 1)
            body = {"model": MODEL, "messages": [{"role": "user", "content": content}]}
            url = self.fleet.entries[number % 2].url + "/v1/chat/completions"
            response = requests.post(url, json=body, headers=headers, timeout=30)
            self.assertEqual(response.status_code, 200, response.text)
            tokens = response.json()["usage"]
            expected["requests"] += 1
            expected["prompt_tokens"] += tokens["prompt_tokens"]
            expected["generated_tokens"] += tokens["completion_tokens"]
        deadline_s = time.monotonic() + FLUSH_S
        while (found := self.usage_of_large()) != expected and time.monotonic() < deadline_s:
            time.sleep(0.2)
        self.assertEqual(found, expected)
        # Neither another flush nor a read at another instance may change the totals.
        time.sleep(FLUSH_S / 2)
        self.assertEqual(self.usage_of_large(entry=1), expected)

    def usage_of_large(self, entry=0):
        usage = self.read_json("usage", entry=entry)
        self.assertTrue(usage["complete"])
        rows = [row for row in usage["workspaces"] if row["workspace"] == "large"]
        for row in rows:
            self.assertEqual(row["neighbour"], "north")
            total = next(t for t in usage["neighbours"] if t["neighbour"] == "north")
            names = ("requests", "prompt_tokens", "generated_tokens")
            self.assertEqual([row[name] for name in names], [total[name] for name in names])
            return {name: row[name] for name in names}
        return None

    def test_wrong_key_is_refused(self):
        """Guard against operator commands that are accepted without a valid operator key."""
        env = {"IBISPADDLE_SERVER": self.fleet.entries[0].url, "IBISPADDLE_KEY": "wrong"}
        outcome = CliRunner(env=env).invoke(app, ["upstreams"])
        self.assertIn("invalid_operator_key", str(outcome.exception))

    def test_change_is_applied_and_a_second_operator_is_told_of_the_conflict(self):
        """Guard against an operator who overwrites a change without having seen it."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "site.json"
        path.write_text('{"scheduling": {"max_attempts": 2}}')
        # The base document of the files is in force only while the log has none.
        base_file = str(self.fleet.folder / "base.json")
        first = self.read_json("config", "apply", base_file)["revision"]
        layer = ("--layer", "site:dc.1", "--expected-revision", str(first))
        started = time.monotonic()
        outcome = self.invoke("config", "apply", str(path), *layer, "--wait")
        self.assertEqual(outcome.exit_code, 0, outcome.output + str(outcome.exception))
        self.assertLessEqual(time.monotonic() - started, PROPAGATION_S)
        second = self.invoke("config", "apply", str(path), *layer, entry=1)
        self.assertIsInstance(second.exception, ConflictError)
        statuses = [change["status"] for change in self.read_json("config", "history")]
        self.assertIn("accepted", statuses)

    def test_quarantined_request_is_listed_and_lifted(self):
        """Guard against content that stays rejected after the cause of the crashes is fixed."""
        body = {"model": MODEL, "messages": [{"role": "user", "content": MARKER}]}
        headers = {"Authorization": f"Bearer {WORKSPACE_KEYS['small']}"}
        url = self.fleet.entries[0].url + "/v1/chat/completions"
        codes = [
            requests.post(url, json=body, headers=headers, timeout=30).json()["error"]["code"]
            for _ in range(3)
        ]
        self.assertEqual(codes[-1], "quarantined")
        (entry,) = self.read_json("quarantine", "list", entry=1)
        self.assertEqual(len(entry["upstreams"]), 2)
        self.read_json("quarantine", "lift", entry["fingerprint"], entry=1)
        deadline_s = time.monotonic() + PROPAGATION_S
        while any(self.read_json("quarantine", "list", entry=number) for number in (0, 1)):
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
