"""Fake instance that answers operator requests with scripted responses, and a base of test cases."""

import pathlib
import tempfile
import unittest

from ibispaddle_client.__main__ import app
from typer.testing import CliRunner

from tests.support.json_server import JsonServer

ACCEPTED = (200, {"change_id": "x", "revision": 7, "warnings": []})


class FakeInstance(JsonServer):
    """Answer requests to each path with its scripted responses in turn; the last one is repeated."""

    def __init__(self, responses):
        self.responses = {path: list(script) for path, script in responses.items()}
        self.bodies = []
        super().__init__()

    def handle(self, request, body):
        if body is not None:
            self.bodies.append(body)
        script = self.responses[request.command + " " + request.path.partition("?")[0]]
        status, response = script.pop(0) if len(script) > 1 else script[0]
        request.reply(status, response)


def instances(*revisions):
    return 200, {
        "instances": [{"id": f"i{n}", "revision": r, "as_of": r} for n, r in enumerate(revisions)]
    }


class CommandTestCase(unittest.TestCase):
    """Runs commands against a fake instance."""

    def start(self, responses):
        fake = FakeInstance(responses)
        self.addCleanup(fake.close)
        return fake

    def invoke(self, fake, *args):
        env = {"IBISPADDLE_SERVER": fake.url, "IBISPADDLE_KEY": "operator-key"}
        return CliRunner(env=env).invoke(app, list(args))

    def write_document(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "base.json"
        path.write_text("{}")
        return str(path)

    def base_response(self, revision, **fields):
        return 200, {"revision": revision, "layers": {"base": fields}}
