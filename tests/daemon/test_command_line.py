"""Tests of the command line of `ibispaddled`."""

import json
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from ibispaddle_core.logevents import START_FAILED

from .processes import fleet_document


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def check(self, document, start=False, **settings):
        base, path = self.folder / "base.json", self.folder / "instance.json"
        base.write_text(json.dumps(document))
        values = {
            "instance_id": "entry.1",
            "data_centre": "dc1",
            "log_url": "http://127.0.0.1:1",
            "list_url": "http://127.0.0.1:2",
            "base_file": str(base),
        }
        path.write_text(json.dumps(values | settings))
        cmd = [sys.executable, "-m", "ibispaddle_daemon", "--settings", str(path)]
        cmd += [] if start else ["--check"]
        return subprocess.run(cmd, capture_output=True, text=True, timeout=30)

    def test_valid_settings(self):
        """Guard against a check that rejects settings which the daemon accepts."""
        result = self.check(fleet_document())
        self.assertEqual((result.returncode, result.stderr), (0, ""))
        self.assertIn("valid", result.stdout)

    def test_errors_in_either_file_are_reported(self):
        """Guard against a settings error that is found only when the instance starts."""
        result = self.check(fleet_document(), listne="127.0.0.1:1")
        self.assertEqual(result.returncode, 2)
        self.assertIn("settings.E001", result.stderr)
        self.assertIn("'listen'", result.stderr)
        result = self.check(fleet_document(neighbours={}))
        self.assertEqual(result.returncode, 2)
        self.assertIn("settings.E010", result.stderr)

    def test_invalid_tls_files_are_reported_with_a_hint(self):
        """Guard against an error in TLS files that is found only when a connection is made."""
        junk = self.folder / "junk.pem"
        junk.write_text("no certificate")
        missing = {"ca_file": str(self.folder / "none.pem")}
        result = self.check(fleet_document(), runner_tls=missing, service_tls={"ca_file": "/"})
        self.assertEqual(result.returncode, 2)
        self.assertEqual(result.stderr.count("tls.E001"), 2, result.stderr)
        for text in ("none.pem", "$.runner_tls.ca_file", "$.service_tls.ca_file", "Give the path"):
            self.assertIn(text, result.stderr)
        files = dict.fromkeys(("ca_file", "certificate_file", "key_file"), str(junk))
        result = self.check(fleet_document(), peer_tls=files, runner_tls={"ca_file": str(junk)})
        self.assertEqual((result.returncode, result.stderr.count("tls.E002")), (2, 2))
        self.assertNotIn("Traceback", result.stderr)

    def test_address_in_use_is_logged_as_a_numbered_event(self):
        """Guard against an instance that fails to start without logging an event."""
        taken = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        result = self.check(fleet_document(), start=True, listen=address)
        self.assertEqual(result.returncode, 2)
        self.assertIn(f'"number":{START_FAILED.number}', result.stderr)

    def test_missing_file(self):
        """Guard against a traceback for a file that does not exist."""
        result = self.check(fleet_document(), overlay_file=str(self.folder / "none.json"))
        self.assertEqual(result.returncode, 2)
        self.assertNotIn("Traceback", result.stderr)


if __name__ == "__main__":
    unittest.main()
