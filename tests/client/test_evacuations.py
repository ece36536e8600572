"""Tests of the commands that evacuate and restore data centres."""

import json

from ibispaddle_client.exceptions import ClientError, UsageError

from .fakes import ACCEPTED, CommandTestCase, instances

KAYSERI = {"reason": "power", "author": "ayla", "time_ms": 1_700_000_000_000}


def upstreams(*data_centres):
    return 200, {"upstreams": [{"id": f"r-{dc}", "data_centre": dc} for dc in data_centres]}


class EvacuationCommandTest(CommandTestCase):
    def fleet(self, config, *data_centres, **more):
        responses = {
            "GET /operator/upstreams": [upstreams(*data_centres)],
            "GET /operator/config": [config],
            "POST /operator/config": [ACCEPTED],
        }
        return self.start(responses | more)

    def test_evacuate_keeps_the_reason_and_waits(self):
        """Guard against an evacuation nobody can explain, or one that is reported too early."""
        waits = {"GET /operator/instances": [instances(4, 7), instances(7, 7)]}
        fake = self.fleet(self.base_response(4, limits={}), "kayseri", "sivas", **waits)
        outcome = self.invoke(fake, "evacuate", "kayseri", "--reason", "power", "--wait")
        self.assertIsNone(outcome.exception)
        self.assertIn("'kayseri' is evacuated from revision 7 on", outcome.output)
        [body] = fake.bodies
        self.assertEqual(body["document"].keys(), {"limits", "evacuated_data_centres"})
        entry = body["document"]["evacuated_data_centres"]["kayseri"]
        self.assertEqual(entry["reason"], "power")
        self.assertTrue(entry["author"] and entry["time_ms"])

    def test_last_data_centre_is_refused(self):
        """Guard against a command after which no request can be served."""
        evacuated = {"evacuated_data_centres": {"kayseri": KAYSERI}}
        fake = self.fleet(self.base_response(4, **evacuated), "kayseri", "sivas")
        outcome = self.invoke(fake, "evacuate", "sivas")
        self.assertIsInstance(outcome.exception, UsageError)
        self.assertIn("evacuations.E001", str(outcome.exception))
        self.assertEqual(fake.bodies, [])

    def test_last_one_is_refused_after_a_conflict(self):
        """Guard against two operators who evacuate the last two data centres at once."""
        evacuated = {"evacuated_data_centres": {"kayseri": KAYSERI}}
        conflict = (409, {"error": {"code": "conflict", "message": "m"}})
        more = {
            "GET /operator/config": [self.base_response(4)] * 2
            + [self.base_response(5, **evacuated)],
            "POST /operator/config": [conflict],
        }
        fake = self.fleet(self.base_response(4), "kayseri", "sivas", **more)
        outcome = self.invoke(fake, "evacuate", "sivas")
        self.assertIsInstance(outcome.exception, UsageError)

    def test_unknown_data_centre_is_a_warning(self):
        """Guard against a misspelt name, and an empty data centre that cannot be evacuated."""
        fake = self.fleet(self.base_response(4), "kayseri", "sivas")
        outcome = self.invoke(fake, "evacuate", "kaiseri")
        self.assertIsNone(outcome.exception)
        self.assertIn("evacuations.W001", outcome.output)
        self.assertIn("'kayseri', 'sivas'", outcome.output)

    def test_restore_and_repetition(self):
        """Guard against a command that changes more than it says, or that fails when repeated."""
        evacuated = {"evacuated_data_centres": {"kayseri": KAYSERI, "sivas": {}}}
        fake = self.fleet(self.base_response(4, **evacuated), "kayseri", "sivas")
        self.assertIsNone(self.invoke(fake, "restore", "kayseri").exception)
        [body] = fake.bodies
        self.assertEqual(body["document"], {"evacuated_data_centres": {"sivas": {}}})
        outcome = self.invoke(fake, "restore", "nevsehir")
        self.assertIn("nothing was changed", outcome.output)
        outcome = self.invoke(fake, "evacuate", "sivas")
        self.assertIn("nothing was changed", outcome.output)

    def test_overlay_that_sets_it(self):
        """Guard against a success that the overlay of a site overrides."""
        layers = {"base": {}, "site:sivas": {"evacuated_data_centres": {"sivas": {}}}}
        fake = self.fleet((200, {"revision": 4, "layers": layers}), "kayseri", "sivas")
        for name in ("evacuate", "restore"):
            outcome = self.invoke(fake, name, "sivas")
            self.assertIsInstance(outcome.exception, ClientError)
            self.assertIn("site:sivas", str(outcome.exception))

    def test_list(self):
        """Guard against a list without the reason or the time."""
        evacuated = {"evacuated_data_centres": {"kayseri": KAYSERI}}
        fake = self.fleet(self.base_response(4, **evacuated), "kayseri", "sivas", "kayseri")
        outcome = self.invoke(fake, "evacuations")
        line = outcome.output.splitlines()[1].split()
        expected = ["kayseri", "base", "2", "2023-11-14", "22:13:20Z", "ayla", "power"]
        self.assertEqual(line, expected)
        [row] = json.loads(self.invoke(fake, "evacuations", "--json").output)
        self.assertEqual((row["data_centre"], row["upstreams"]), ("kayseri", 2))

    def test_document_from_a_file_does_not_end_an_evacuation(self):
        """Guard against an unrelated change that sends requests to an evacuated data centre."""
        evacuated = {"evacuated_data_centres": {"kayseri": KAYSERI}}
        fake = self.fleet(self.base_response(4, **evacuated), "kayseri", "sivas")
        outcome = self.invoke(fake, "config", "apply", self.write_document())
        self.assertIsInstance(outcome.exception, UsageError)
        self.assertIn("restore kayseri", str(outcome.exception))
