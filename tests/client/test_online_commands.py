"""Tests of the commands that send requests to an instance."""

import json
import unittest

from ibispaddle_client.exceptions import (
    ConflictError,
    UnreachableError,
    UsageError,
    WaitTimeoutError,
)

from .fakes import ACCEPTED, CommandTestCase, instances

UNDETERMINED = (504, {"error": {"code": "undetermined", "message": "not known yet"}})
CURRENT = (200, {"revision": 4})


class OnlineCommandTest(CommandTestCase):
    def test_unknown_outcome_is_resolved_with_the_same_change_id(self):
        """Guard against a change that is applied twice after a lost response."""
        fake = self.start(
            {"GET /operator/config": [CURRENT], "POST /operator/config": [UNDETERMINED, ACCEPTED]}
        )
        outcome = self.invoke(fake, "config", "apply", self.write_document())
        self.assertIn("revision 7 is accepted", outcome.output)
        self.assertEqual(len(fake.bodies), 2)
        self.assertEqual(len({body["change_id"] for body in fake.bodies}), 1)
        self.assertEqual(fake.bodies[0]["expected_revision"], 4)

    def test_conflict_names_the_winning_change(self):
        """Guard against a conflict message that does not name the accepted change."""
        winner = {"change_id": "other", "layer": "base", "author": "berg"}
        conflict = (409, {"error": {"code": "conflict", "message": "m"}, "winner": winner})
        fake = self.start({"POST /operator/config": [conflict]})
        outcome = self.invoke(
            fake, "config", "apply", self.write_document(), "--expected-revision", "3"
        )
        self.assertIsInstance(outcome.exception, ConflictError)
        self.assertIn("'berg'", str(outcome.exception))

    def test_drain_is_retried_on_top_of_an_unrelated_change(self):
        """Guard against a drain that is lost after another operator's change, or overwrites it."""
        listed = (200, {"upstreams": [{"id": "r.1"}]})
        conflict = (409, {"error": {"code": "conflict", "message": "m"}})
        newer = self.base_response(5, limits={}, drained_upstreams={"r.2": {}})
        fake = self.start(
            {
                "GET /operator/upstreams": [listed],
                "GET /operator/config": [self.base_response(4), self.base_response(4), newer],
                "POST /operator/config": [conflict, ACCEPTED],
            }
        )
        outcome = self.invoke(fake, "upstreams", "drain", "r.1")
        self.assertIn("from revision 7 on", outcome.output, outcome.exception)
        first, second = fake.bodies
        self.assertEqual([first["expected_revision"], second["expected_revision"]], [4, 5])
        self.assertNotEqual(first["change_id"], second["change_id"])
        self.assertEqual(second["document"].keys(), {"limits", "drained_upstreams"})
        self.assertEqual(second["document"]["drained_upstreams"].keys(), {"r.1", "r.2"})

    def test_options_before_the_subcommand_are_rejected(self):
        """Guard against an option that is accepted and then ignored."""
        outcome = self.invoke(self.start({}), "upstreams", "--json", "drain", "r.1")
        self.assertIsInstance(outcome.exception, UsageError)

    def test_document_from_a_file_does_not_restore_drained_upstreams(self):
        """Guard against an unrelated change that sends requests to an upstream under maintenance."""
        fake = self.start(
            {"GET /operator/config": [self.base_response(4, drained_upstreams={"r.1": {}})]}
        )
        outcome = self.invoke(fake, "config", "apply", self.write_document())
        self.assertIsInstance(outcome.exception, UsageError)
        self.assertIn("restore r.1", str(outcome.exception))

    def test_wait_ends_when_all_instances_have_the_revision(self):
        """Guard against a reported success while an instance still lags."""
        fake = self.start({"GET /operator/instances": [instances(7, 4), instances(7, 7)]})
        outcome = self.invoke(fake, "config", "wait", "7")
        self.assertEqual(outcome.exit_code, 0)
        self.assertIn("i1", outcome.output)

    def test_wait_names_the_instances_that_lag(self):
        """Guard against a timeout message that does not name the lagging instances."""
        fake = self.start({"GET /operator/instances": [instances(7, 4)]})
        outcome = self.invoke(fake, "config", "wait", "7", "--timeout", "0.2")
        self.assertIsInstance(outcome.exception, WaitTimeoutError)
        self.assertIn("i1", str(outcome.exception))
        self.assertNotIn("i0", str(outcome.exception))

    def usage_response(self, complete):
        counts = {"requests": 2, "prompt_tokens": 30, "generated_tokens": 41, "engine_ms": 5}
        names = (("old", None), ("large", "north"))
        return 200, {
            "as_of": 9,
            "complete": complete,
            "neighbours": [{"neighbour": "north", **counts, "requests": 77}],
            "workspaces": [{"workspace": w, "neighbour": n, **counts} for w, n in names],
        }

    def test_usage_is_listed_by_neighbour_and_workspace(self):
        """Guard against a table that omits workspaces without a neighbour."""
        fake = self.start({"GET /operator/usage": [self.usage_response(True)]})
        outcome = self.invoke(fake, "usage")
        self.assertIsNone(outcome.exception)
        _, *lines = (line.split() for line in outcome.output.splitlines())
        counts = ["2", "30", "41", "5"]
        self.assertEqual(
            lines,
            [
                ["(none)", "old", *counts],
                ["north", "(all)", "77", *counts[1:]],
                ["north", "large", *counts],
            ],
        )
        usage = json.loads(self.invoke(fake, "usage", "--json").output)
        self.assertEqual(usage, self.usage_response(True)[1])

    def test_incomplete_usage_is_reported(self):
        """Guard against incomplete totals that look complete."""
        fake = self.start({"GET /operator/usage": [self.usage_response(False)]})
        self.assertIn("some usage is missing", self.invoke(fake, "usage").output)

    def test_unreachable_instance_has_its_own_error(self):
        """Guard against a script that cannot tell a network error from a rejection."""
        fake = self.start({})
        fake.close()
        outcome = self.invoke(fake, "instances")
        self.assertIsInstance(outcome.exception, UnreachableError)


if __name__ == "__main__":
    unittest.main()
