"""Tests that the metrics of an instance agree with their reference page."""

import pathlib
import re
import unittest

from ibispaddle_core.settings import FleetConfig, InstanceSettings
from ibispaddle_daemon.app import App

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "ref" / "metrics.md"


class MetricsPageTest(unittest.TestCase):
    def test_page_lists_exactly_the_metrics_of_an_instance(self):
        """Guard against a metric that operators cannot look up."""
        settings = InstanceSettings(
            instance_id="entry.1",
            data_centre="dc",
            listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            log_url="http://127.0.0.1:1",
            list_url="http://127.0.0.1:1",
        )
        collectors = App(settings, FleetConfig()).metrics.registry.collectors
        rows = re.findall(r"^\| `(\w+)` \| (\w+) \| (.*) \|$", PAGE.read_text(), re.MULTILINE)
        found = [(c.name, type(c).__name__.lower(), c.doc) for c in collectors.values()]
        self.assertEqual(sorted(rows), sorted(found))

    def test_names_follow_the_convention(self):
        """Guard against a metric without a prefix or a counter without its suffix."""
        rows = re.findall(r"^\| `(\w+)` \| (\w+) \|", PAGE.read_text(), re.MULTILINE)
        for name, kind in rows:
            self.assertTrue(name.startswith("ibispaddle_"), name)
            self.assertEqual(kind == "counter", name.endswith("_total"), name)


if __name__ == "__main__":
    unittest.main()
