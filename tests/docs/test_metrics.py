"""Tests that the metrics of an instance match their reference page."""

import pathlib
import unittest

from ibispaddle_daemon.reference import instance_metrics, metrics_page

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "ref" / "metrics.md"


class MetricsPageTest(unittest.TestCase):
    maxDiff = None

    def test_page_lists_exactly_the_metrics_of_an_instance(self):
        """Guard against an undocumented metric; `make docs` updates the page."""
        self.assertEqual(PAGE.read_text(), metrics_page())

    def test_names_follow_the_convention(self):
        """Guard against a metric without a prefix or a counter without its suffix."""
        for name, kind, _ in instance_metrics():
            self.assertTrue(name.startswith("ibispaddle_"), name)
            self.assertEqual(kind == "counter", name.endswith("_total"), name)


if __name__ == "__main__":
    unittest.main()
