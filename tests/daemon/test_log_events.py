"""Tests of the log events of failures that nothing else handles."""

import json
import logging
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from circuits import BaseComponent, Event, handler
from ibispaddle_core import logevents
from ibispaddle_core.settings import FleetConfig, InstanceSettings
from ibispaddle_daemon.app import App
from ibispaddle_daemon.logs import JsonFormatter

from .processes import fleet_document

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

    def test_address_in_use_is_a_numbered_event(self):
        """Guard against an instance that does not start and leaves no event."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        taken = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        base, settings = folder / "base.json", folder / "instance.json"
        base.write_text(json.dumps(fleet_document()))
        settings.write_text(json.dumps(ADDRESSES | {"listen": address, "base_file": str(base)}))
        command = [sys.executable, "-m", "ibispaddle_daemon", "--settings", str(settings)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        self.assertEqual(result.returncode, 2)
        self.assertEqual(
            json.loads(result.stderr.splitlines()[-1])["number"], logevents.START_FAILED.number
        )


if __name__ == "__main__":
    unittest.main()
