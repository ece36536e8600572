"""Tests of the checks of a proposed configuration: useless entries and contradictory limits."""

import unittest

from ibispaddle_core.change_checks import (
    ListedUpstream,
    check_against_instance,
    run_change_checks,
)
from ibispaddle_core.checks import Severity
from ibispaddle_core.settings import load_fleet, load_instance

from .test_loading import INSTANCE

KEY, OTHER_KEY = "a" * 64, "b" * 64


def document(**changes: object) -> dict:
    """Return a configuration without messages."""
    workspace = {"neighbour": "north", "key_sha256": [KEY], "models": ["m"], "services": ["s"]}
    return {
        "neighbours": {"north": {}},
        "workspaces": {"w": workspace},
        "models": {"m": {}},
        "services": {"s": {}},
        **changes,
    }


def workspace(**changes: object) -> dict:
    return {"w": {**document()["workspaces"]["w"], **changes}}


UPSTREAMS = (
    ListedUpstream("r1", "dc1", ("m",)),
    ListedUpstream("r2", "dc2", ("m",)),
    ListedUpstream("s1", "dc1", (), "s"),
)


class ChangeChecksTest(unittest.TestCase):
    def ids(self, upstreams=UPSTREAMS, **changes: object) -> list[str]:
        return [m.id for m in run_change_checks(load_fleet({"b": document(**changes)}), upstreams)]

    def test_sound_configuration(self) -> None:
        """Guards against messages that operators learn to ignore."""
        self.assertEqual(self.ids(), [])
        self.assertEqual(self.ids(None), [])

    def test_entries_that_can_never_match(self) -> None:
        """Guards against workspaces, models and services that no request can use."""
        cases = {
            "workspace without keys": (["change.W001"], {"workspaces": workspace(key_sha256=[])}),
            "unused neighbour": (["change.W002"], {"neighbours": {"north": {}, "south": {}}}),
            "unused model": (["change.W002"], {"models": {"m": {}, "m2": {}}}),
            "unused service": (["change.W002"], {"services": {"s": {}, "s2": {}}}),
            "unlisted drain": (["change.W040"], {"drained_upstreams": {"r9": {}}}),
            "shared key": (["change.E003"], {"operator_key_sha256": [KEY]}),
        }
        for name, (expected, changes) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.ids(**changes), expected)
        nothing = workspace(models=[], services=[])
        self.assertEqual(self.ids(workspaces=nothing), ["change.W001"] + ["change.W002"] * 2)
        self.assertEqual(self.ids(operator_key_sha256=[OTHER_KEY]), [])

    def test_limits_that_contradict_each_other(self) -> None:
        """Guards against limits of which one can never take effect."""
        lengths = {"short_prompt_tokens": 9_000, "long_prompt_tokens": 9_000}
        no_retries = {"retry_budget": 0, "retry_floor": 0}
        cases = {
            "classes of prompts": ("change.E010", {"scheduling": lengths}),
            "output": (
                "change.E011",
                {"models": {"m": {"context_tokens": 500, "default_max_output_tokens": 500}}},
            ),
            "body": ("change.W012", {"limits": {"max_body_bytes": 400_000}}),
            "cold": ("change.W013", {"models": {"m": {"cold_ms": 5_000}}}),
            "stall": ("change.W020", {"workspaces": workspace(request_timeout_ms=5_000)}),
            "queue": ("change.W030", {"limits": {"max_requests": 100}}),
            "retries": ("change.W031", {"scheduling": no_retries}),
        }
        for name, (expected, changes) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.ids(**changes), [expected])
        self.assertEqual(self.ids(scheduling={**no_retries, "max_attempts": 1}), [])
        self.assertEqual(self.ids(scheduling={**no_retries, "retry_slack": 5}), [])

    def test_limits_beyond_the_memory_of_an_instance(self) -> None:
        """Guards against a body that is within its limit and never fits into an instance."""
        config = load_fleet({"b": document(limits={"max_unsent_bytes": 15_000_000})})
        cases: dict = {500: [], 100: ["change.W060"], 64: ["change.W060", "change.W061"]}
        for memory_mb, expected in cases.items():
            settings = load_instance({**INSTANCE, "memory_mb": memory_mb})
            found = [message.id for message in check_against_instance(config, settings)]
            self.assertEqual(found, expected, memory_mb)

    def test_usual_requests_that_time_out(self) -> None:
        """Guards against a time-out below the time in which any engine can respond."""
        slow = {"m": {"usual_prompt_tokens": 100_000, "prefill_tokens_per_s": 1_000.0}}
        self.assertEqual(self.ids(models=slow, workspaces=workspace()), [])
        short = workspace(request_timeout_ms=90_000)
        self.assertEqual(self.ids(models=slow, workspaces=short), ["change.W021"])
        self.assertEqual(
            self.ids(models={"m": {"call_ms": 90_000.0}}, workspaces=short)[-1:], ["change.W021"]
        )

    def test_places_without_upstreams(self) -> None:
        """Guards against drains, evacuations and homes that leave a workspace without upstreams."""
        self.assertEqual(self.ids(drained_upstreams={"r1": {}}), [])
        self.assertEqual(self.ids(drained_upstreams={"r1": {}, "r2": {}}), ["change.W041"])
        self.assertEqual(self.ids(evacuated_data_centres={"dc2": {}}), [])
        self.assertEqual(self.ids(evacuated_data_centres={"dc1": {}}), ["change.W041"])
        places = {"dc1": {"region": "north"}, "dc2": {"region": "south"}}
        south = workspace(regions=["south"])
        self.assertEqual(self.ids(data_centres=places, workspaces=south), ["change.W041"])
        self.assertEqual(self.ids(data_centres=places, workspaces=workspace(regions=["north"])), [])

    def test_evacuation_of_every_data_centre(self) -> None:
        """Guards against a change after which no request is served."""
        evacuated = {"dc1": {}, "dc2": {}}
        [message] = run_change_checks(
            load_fleet({"b": document(evacuated_data_centres=evacuated)}), UPSTREAMS
        )
        self.assertEqual((message.id, message.severity), ("evacuations.E001", Severity.ERROR))
        places = {name: {"region": "north"} for name in evacuated}
        found = self.ids(None, evacuated_data_centres=evacuated, data_centres=places)
        self.assertEqual(found, ["evacuations.E001"])
        self.assertEqual(self.ids(None, evacuated_data_centres=evacuated), [])


if __name__ == "__main__":
    unittest.main()
