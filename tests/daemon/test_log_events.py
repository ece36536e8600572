"""Tests of the log events of unhandled exceptions."""

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


class raising_event(Event):  # noqa: N801
    """Cause an exception in the handler of `RaisingComponent`."""


class RaisingComponent(BaseComponent):
    @handler("raising_event", channel="*")
    def _on_raising_event(self):
        raise KeyError("x" * 10_000)


class FailureTest(unittest.TestCase):
    def test_exception_in_a_handler_is_a_numbered_event(self):
        """Guard against an unhandled exception without an event number, or with unlimited text."""
        app = App(InstanceSettings(**ADDRESSES), FleetConfig())
        RaisingComponent().register(app)
        app.fire(raising_event(), "*")
        with self.assertLogs("absl", logging.ERROR) as logs:
            for _ in range(3):
                app.flush()
        line = json.loads(JsonFormatter("i").format(logs.records[0]))
        self.assertEqual(line["number"], logevents.HANDLER_FAILED.number)
        self.assertEqual((line["daemon_event"], line["exception"]), ("raising_event", "KeyError"))
        self.assertIn("RaisingComponent._on_raising_event", line["handler"])
        self.assertLess(len(line["reason"]), 1_000)
        self.assertIn("test_log_events.py", line["trace"])


if __name__ == "__main__":
    unittest.main()
