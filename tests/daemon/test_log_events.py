"""Tests of the log events of failures that nothing else handles."""

import json
import logging
import unittest

from circuits import BaseComponent, Event, handler
from ibispaddle_core import logevents
from ibispaddle_core.settings import FleetConfig, InstanceSettings
from ibispaddle_daemon.absl_logs import JsonFormatter
from ibispaddle_daemon.app import App

ADDRESSES = {
    "instance_id": "entry.1",
    "data_centre": "dc",
    "listen": "127.0.0.1:0",
    "peer_listen": "127.0.0.1:0",
    "log_url": "http://127.0.0.1:1",
    "list_url": "http://127.0.0.1:1",
}


class broken(Event):  # noqa: N801
    """Raise in the handler below."""


class Broken(BaseComponent):
    @handler("broken", channel="*")
    def _on_broken(self):
        raise KeyError("x" * 10_000)


class FailureTest(unittest.TestCase):
    def test_exception_in_a_handler_is_a_numbered_event(self):
        """Guard against a fault of the daemon that no alert finds, or that floods the log."""
        app = App(InstanceSettings(**ADDRESSES), FleetConfig())
        Broken().register(app)
        app.fire(broken(), "*")
        with self.assertLogs("absl", logging.ERROR) as seen:
            for _ in range(3):
                app.flush()
        line = json.loads(JsonFormatter("i").format(seen.records[0]))
        self.assertEqual(line["number"], logevents.HANDLER_FAILED.number)
        self.assertEqual((line["daemon_event"], line["exception"]), ("broken", "KeyError"))
        self.assertIn("Broken._on_broken", line["handler"])
        self.assertLess(len(line["reason"]), 1_000)
        self.assertIn("test_log_events.py", line["trace"])


if __name__ == "__main__":
    unittest.main()
