"""Tests of settings documents: all errors are reported and values keep their origin."""

import unittest

from ibispaddle_core.settings import (
    FleetConfig,
    SettingsError,
    check_fleet,
    load_fleet,
    load_instance,
    merge_layers,
    parse_json,
)
from ibispaddle_core.settings.checks import run_fleet_checks

INSTANCE = {
    "instance_id": "entry.1",
    "data_centre": "vasteras.1",
    "log_url": "http://127.0.0.1:1",
    "list_url": "http://127.0.0.1:2",
}


class ParseTest(unittest.TestCase):
    def test_duplicate_key_is_rejected(self):
        """Guard against a value that silently replaces an earlier one in the same file."""
        with self.assertRaises(SettingsError) as caught:
            parse_json('{"a": 1, "a": 2}', "base.json")
        self.assertEqual(caught.exception.messages[0].id, "settings.E005")

    def test_list_is_not_a_document(self):
        """Guard against a crash on JSON that is not an object."""
        with self.assertRaises(SettingsError):
            parse_json("[]", "base.json")


class FleetTest(unittest.TestCase):
    def test_all_errors_are_reported_at_once(self):
        """Guard against an operator who has to correct one error per run."""
        document = {
            "modles": {},
            "models": {"m": {"context_tokens": "many"}},
            "limits": {"max_body_bytes": 3},
            "workspaces": {"w": {}},
        }
        _, messages = check_fleet({"base": document})
        self.assertEqual(
            sorted(message.id for message in messages),
            ["settings.E001", "settings.E002", "settings.E003", "settings.E004"],
        )
        unknown = next(message for message in messages if message.id == "settings.E001")
        self.assertIn("'models'", unknown.hint)

    def test_unknown_neighbour_is_quoted_with_its_layer(self):
        """Guard against a workspace that belongs to no neighbour."""
        layers = {"base": {}, "site:x": {"workspaces": {"w": {"neighbour": "nobody"}}}}
        _, messages = check_fleet(layers)
        self.assertEqual(messages[0].id, "settings.E010")
        self.assertEqual(messages[0].source, "site:x")
        self.assertIn("'nobody'", messages[0].text)

    def test_key_hash_is_not_printed(self):
        """Guard against a secret in the checker's output."""
        layers = {"base": {"operator_key_sha256": ["plain-text-key"]}}
        _, messages = check_fleet(layers)
        self.assertNotIn("plain-text-key", str(messages[0]))

    def test_key_shared_by_two_workspaces_is_an_error(self):
        """Guard against a caller that reaches another workspace's models."""
        workspace = {"neighbour": "n", "key_sha256": ["0" * 64]}
        document = {"neighbours": {"n": {}}, "workspaces": {"a": workspace, "b": workspace}}
        with self.assertRaises(SettingsError) as caught:
            load_fleet({"base": document})
        self.assertEqual(caught.exception.messages[0].id, "settings.E013")


class RegionTest(unittest.TestCase):
    def check(self, workspace: list[str], model: list[str]) -> list[tuple[str, str]]:
        document = {
            "neighbours": {"n": {}},
            "data_centres": {"a": {"region": "north"}, "b": {"region": "south"}},
            "workspaces": {"w": {"neighbour": "n", "models": ["m"], "regions": workspace}},
            "models": {"m": {"regions": model}},
        }
        _, messages = check_fleet({"base": document})
        return [(message.id, message.path) for message in messages]

    def test_region_without_a_data_centre_is_an_error(self):
        """Guard against a misspelt region, in which nothing can run."""
        found = self.check(["noth"], ["north", "noth"])
        self.assertIn(("settings.E014", "$.workspaces.w.regions"), found)
        self.assertIn(("settings.E014", "$.models.m.regions"), found)

    def test_workspace_and_model_without_a_common_region(self):
        self.assertEqual(self.check(["north"], ["north", "south"]), [])
        found = self.check(["north"], ["south"])
        self.assertEqual(found, [("settings.W002", "$.workspaces.w.models")])


class HedgesTest(unittest.TestCase):
    def test_limit_above_the_retry_budget(self):
        """Guard against a limit of hedges that can never be reached."""
        for fraction, expected in ((0.1, []), (0.2, ["settings.W003"])):
            scheduling = {"hedge_fraction": fraction, "retry_budget": 0.1}
            config = FleetConfig.from_document({"scheduling": scheduling})
            self.assertEqual([message.id for message in run_fleet_checks(config, {})], expected)

    def test_limit_out_of_range_is_an_error(self):
        """Guard against a limit in percent that would hedge every request."""
        with self.assertRaises(SettingsError) as caught:
            load_fleet({"base": {"scheduling": {"hedge_fraction": 2}}})
        self.assertEqual(caught.exception.messages[0].id, "settings.E003")


class OverlayTest(unittest.TestCase):
    def test_null_removes_a_value_and_its_origin(self):
        """Guard against a base value that a site cannot remove."""
        merged, origins = merge_layers({"base": {"a": {"b": 1}}, "site:x": {"a": None}})
        self.assertEqual(merged, {})
        self.assertEqual(origins, {})

    def test_value_replaced_by_object_loses_its_origin(self):
        """Guard against a stale origin after an overlay changes a value's type."""
        _, origins = merge_layers({"base": {"a": 1}, "site:x": {"a": {"b": 2}}})
        self.assertEqual(list(origins), ["$.a.b"])


class InstanceTest(unittest.TestCase):
    def test_claim_window_must_fit_in_the_retention(self):
        """Guard against claims that the log drops while a retry is still allowed."""
        with self.assertRaises(SettingsError) as caught:
            load_instance(INSTANCE | {"claim_window_ms": 90_000_000})
        self.assertEqual(caught.exception.messages[0].id, "settings.E020")

    def test_address_without_port_is_an_error(self):
        """Guard against a listener that binds to an unintended port."""
        with self.assertRaises(SettingsError) as caught:
            load_instance(INSTANCE | {"listen": "127.0.0.1"})
        self.assertEqual(caught.exception.messages[0].id, "settings.E021")


if __name__ == "__main__":
    unittest.main()
