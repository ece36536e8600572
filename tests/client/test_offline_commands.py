"""Tests of the commands that only read files."""

import json
import pathlib
import tempfile
import unittest

from ibispaddle_client.__main__ import app
from typer.testing import CliRunner

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"


class OfflineCommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.runner = CliRunner()

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_examples_pass_the_checker(self):
        """Guard against example files in the repository that are invalid."""
        args = ["check", str(EXAMPLES / "base.json"), "--site", str(EXAMPLES / "vasteras.json")]
        outcome = self.runner.invoke(
            app, [*args, "--instance", str(EXAMPLES / "instance.json")], catch_exceptions=False
        )
        self.assertIn("0 errors, 0 warnings", outcome.output)

    def test_errors_of_all_files_are_reported(self):
        """Guard against a checker that stops at the first invalid file."""
        base = self.write("base.json", '{"limits": {"max_body_bytes": "big"}}')
        instance = self.write("instance.json", '{"data_centre": "x"}')
        outcome = self.runner.invoke(app, ["check", base, "--instance", instance, "--json"])
        start = outcome.output.index("[")
        ids = {
            message["id"] for message in json.JSONDecoder().raw_decode(outcome.output[start:])[0]
        }
        self.assertEqual(ids, {"settings.E002", "settings.E004"})
        self.assertNotEqual(outcome.exit_code, 0)

    def test_missing_file_is_named(self):
        """Guard against a stack trace for a mistyped path."""
        outcome = self.runner.invoke(app, ["check", str(self.folder / "none.json")])
        self.assertIn("none.json", str(outcome.exception))

    def test_show_names_the_origin_and_hides_hashes(self):
        """Guard against an operator who cannot see which layer set a value."""
        args = ["config", "show", str(EXAMPLES / "base.json")]
        outcome = self.runner.invoke(
            app, [*args, "--site", str(EXAMPLES / "vasteras.json"), "--json"]
        )
        rows = {row["path"]: row for row in json.loads(outcome.output)}
        queue = rows["$.scheduling.max_queue_per_neighbour"]
        self.assertEqual(queue["value"], 100)
        self.assertTrue(queue["origin"].endswith("vasteras.json"))
        self.assertEqual(rows["$.limits.max_requests"]["origin"], "default")
        self.assertEqual(rows["$.workspaces.counter.key_sha256"]["value"], "(1 hashes)")

    def test_diff_lists_changed_values_only(self):
        """Guard against a comparison that hides a change among unchanged values."""
        old = self.write("old.json", '{"neighbours": {"a": {"weight": 1.0}}}')
        new = self.write("new.json", '{"neighbours": {"a": {"weight": 2.0}}}')
        outcome = self.runner.invoke(app, ["config", "diff", old, new, "--json"])
        self.assertEqual(
            json.loads(outcome.output),
            [{"path": "$.neighbours.a.weight", "old": 1.0, "new": 2.0}],
        )


if __name__ == "__main__":
    unittest.main()
