"""Tests that the generated reference pages are up to date."""

import pathlib
import re
import unittest

from ibispaddle_client.reference import log_events_page, settings_page
from ibispaddle_core.logevents import all_events

ROOT = pathlib.Path(__file__).resolve().parents[2]
REF, SOURCES = ROOT / "docs" / "ref", ROOT / "packages"


class ReferenceTest(unittest.TestCase):
    maxDiff = None

    def test_settings_page_is_current(self):
        """Guard against a setting that is missing from the reference page."""
        self.assertEqual((REF / "settings.md").read_text(), settings_page())

    def test_log_event_catalogue_is_current(self):
        """Guard against a log event that is missing from the catalogue."""
        self.assertEqual((REF / "log-events.md").read_text(), log_events_page())

    def test_log_event_numbers_are_unique(self):
        """Guard against two events that an operator cannot tell apart."""
        events = all_events()
        self.assertEqual(len({event.number for event in events}), len(events))
        self.assertEqual(len({event.name for event in events}), len(events))

    def test_every_log_line_of_the_daemon_is_a_numbered_event(self):
        """Guard against a log message that is not in the catalogue."""
        free_text = re.compile(r"logging\.(info|warning|error|exception|fatal|log)")
        files = [f for f in SOURCES.rglob("ibispaddle_daemon/*.py") if f.name != "absl_logs.py"]
        self.assertGreater(len(files), 30)
        found = [f.name for f in files if free_text.search(f.read_text())]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
