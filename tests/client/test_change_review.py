"""Tests of the review of a change, and of the command that prints it."""

import json
import pathlib
import tempfile

from ibispaddle_client.change_review import review_change
from ibispaddle_client.exceptions import ClientError, ExitStatus, UsageError

from tests.settings.test_change_checks import KEY, OTHER_KEY, document, workspace
from tests.settings.test_loading import INSTANCE

from .fakes import CommandTestCase


class ReviewTest(CommandTestCase):
    def ids(self, proposed, in_force=None):
        review = review_change(proposed, in_force or {"base": document()})
        return [(message.id, message.source) for message in review.messages]

    def differences(self, proposed, in_force):
        return [
            (d.layer, d.path, d.old, d.new) for d in review_change(proposed, in_force).differences
        ]

    def test_unchanged_configuration(self):
        """Guard against differences that are none."""
        review = review_change({"base": document()}, {"base": document()})
        self.assertEqual((review.messages, review.differences), ((), ()))

    def test_message_about_the_base_is_given_once(self):
        """Guard against a page of messages that repeat each other for each site."""
        limits = {"limits": {"max_requests": 100}}
        proposed = {"base": document(**limits), "site:a": {}, "site:b": {}}
        self.assertEqual(self.ids(proposed), [("change.W030", "base")])

    def test_message_about_a_site(self):
        """Guard against an overlay that is only checked after it is sent."""
        proposed = {"base": document(), "site:a": {"limits": {"max_requests": 100}}}
        self.assertEqual(self.ids(proposed), [("change.W030", "site:a")])
        proposed = {"base": document(), "site:a": {"limits": {"max_request": 100}}}
        self.assertEqual(self.ids(proposed), [("settings.E001", "site:a")])

    def test_errors_come_first(self):
        """Guard against an error that is overlooked between warnings."""
        limits = {"limits": {"max_requests": 100}, "operator_key_sha256": [KEY]}
        found = [check_id for check_id, _ in self.ids({"base": document(**limits)})]
        self.assertEqual(found, ["change.E003", "change.W030"])

    def test_change_that_restores_what_is_taken_out_of_use(self):
        """Guard against a file that sends requests to an evacuated data centre."""
        for field in ("drained_upstreams", "evacuated_data_centres"):
            in_force = {"base": document(**{field: {"x": {}}})}
            self.assertEqual(self.ids({"base": document()}, in_force), [("change.E050", "base")])
            found = self.ids({"base": document(**{field: {}})}, in_force)
            self.assertEqual(found, [])

    def test_differences_by_site(self):
        """Guard against a change of the base that is hidden by, or repeated for, a site."""
        in_force = {"base": document(), "site:a": {"limits": {"max_requests": 300}}, "site:b": {}}
        proposed = {**in_force, "base": document(limits={"max_requests": 400})}
        path = "$.limits.max_requests"
        self.assertEqual(self.differences(proposed, in_force), [("base", path, 2_000, 400)])
        proposed = {**in_force, "site:a": {}}
        self.assertEqual(self.differences(proposed, in_force), [("site:a", path, 300, 2_000)])

    def test_keys_are_compared_and_not_shown(self):
        """Guard against a replaced key that is not reported, and a hash in a terminal."""
        proposed = {"base": document(workspaces=workspace(key_sha256=[OTHER_KEY]))}
        [(_, path, old, new)] = self.differences(proposed, {"base": document()})
        self.assertEqual(path, "$.workspaces.w.key_sha256")
        self.assertEqual((old, new), ("(1 hashes)", "(1 hashes), 1 added, 1 removed"))


class CommandTest(CommandTestCase):
    def write(self, name, content):
        if not hasattr(self, "folder"):
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            self.folder = pathlib.Path(folder.name)
        path = self.folder / f"{name}.json"
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def fleet(self, **layers):
        upstreams = [
            {"id": "r1", "data_centre": "dc1", "models": ["m"], "service": None},
            {"id": "r2", "data_centre": "dc2", "models": ["m"], "service": None},
            {"id": "s1", "data_centre": "dc2", "models": [], "service": "s"},
        ]
        config = {"revision": 4, "layers": {"base": document(), **layers}}
        return self.start(
            {
                "GET /operator/config": [(200, config)],
                "GET /operator/upstreams": [(200, {"upstreams": upstreams})],
            }
        )

    def check(self, *args, **layers):
        fake = self.fleet(**layers)
        outcome = self.invoke(fake, "config", "check-change", *args)
        self.assertEqual(fake.bodies, [])  # Nothing is sent.
        return outcome

    def test_change_against_the_version_in_force(self):
        """Guard against a check that misses what the fleet looks like now."""
        path = self.write("base", document(limits={"max_requests": 300}))
        outcome = self.check(path)
        self.assertIsNone(outcome.exception)
        self.assertIn("$.limits.max_requests", outcome.output)
        self.assertIn("0 errors, 0 warnings", outcome.output)
        path = self.write("base", document(evacuated_data_centres={"dc1": {}, "dc2": {}}))
        outcome = self.check(path, "--json")
        self.assertEqual(outcome.exception.status, ExitStatus.REJECTED)
        printed = json.loads(outcome.output)
        self.assertEqual([m["id"] for m in printed["messages"]], ["evacuations.E001"])
        self.assertEqual((printed["errors"], printed["warnings"]), (1, 0))
        paths = {row["path"].rpartition(".")[0] for row in printed["differences"]}
        field = "$.evacuated_data_centres"
        self.assertEqual(paths, {f"{field}.dc1", f"{field}.dc2"})

    def test_overlay(self):
        """Guard against an overlay that is checked as if it were a base document."""
        path = self.write("sivas", {"limits": {"max_requests": 100}})
        outcome = self.check(path, "--layer", "site:sivas", "--json")
        printed = json.loads(outcome.output)
        self.assertEqual([m["id"] for m in printed["messages"]], ["change.W030"])
        [row] = printed["differences"]
        self.assertEqual((row["layer"], row["old"], row["new"]), ("site:sivas", 2_000, 100))
        base = self.write("base", document())
        outcome = self.check(base, "--site", path, "--json")
        self.assertEqual(json.loads(outcome.output)["differences"], [row])
        outcome = self.check(path, "--layer", "sivas")
        self.assertIsInstance(outcome.exception, UsageError)

    def test_change_against_a_file(self):
        """Guard against a check that needs a running fleet."""
        old = self.write("old", document())
        new = self.write("new", document(models={"m": {"context_tokens": 0}}))
        outcome = self.check(new, "--against", old)
        self.assertIsInstance(outcome.exception, ClientError)
        self.assertIn("$.models.m.context_tokens", outcome.output)
        outcome = self.check(self.write("broken", "{"), "--against", old)
        self.assertIn("settings.E005", str(outcome.exception))
        self.assertIn("nothing would change", self.check(old, "--against", old).output)
        settings = self.write("instance", {**INSTANCE, "memory_mb": 64})
        outcome = self.check(old, "--against", old, "--instance", settings)
        self.assertIsNone(outcome.exception)
        self.assertIn("change.W060", outcome.output)
