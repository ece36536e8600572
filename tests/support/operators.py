"""Operators of a fleet: the HTTP interface and the command line."""

import json
import urllib.error
import urllib.request
from typing import Any

from click.testing import Result
from ibispaddle_bench.fleet import OPERATOR_KEY
from ibispaddle_bench.processes import ManagedProcess
from ibispaddle_client.__main__ import app
from typer.testing import CliRunner


def call_operator_api(
    entry: ManagedProcess, path: str, body: Any = None, key: str = OPERATOR_KEY
) -> tuple[int, Any]:
    """Return the status and the JSON answer of the operator API."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {key}"}
    request = urllib.request.Request(f"{entry.url}/operator/{path}", data, headers)
    try:
        with urllib.request.urlopen(request, timeout=15) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())


def invoke(entry: ManagedProcess, *args: str) -> Result:
    """Run a command of the client against an instance, in this process."""
    return CliRunner(env=environment(entry)).invoke(app, list(args))


def invoke_json(entry: ManagedProcess, *args: str) -> Any:
    """Return the JSON output of a command that has to succeed."""
    outcome = invoke(entry, *args, "--json")
    if outcome.exception is not None:
        raise AssertionError(f"{args}: {outcome.output}{outcome.exception!r}")
    return json.loads(outcome.output)


def environment(entry: ManagedProcess) -> dict[str, str]:
    """Return the variables by which the client finds an instance."""
    return {"IBISPADDLE_SERVER": entry.url, "IBISPADDLE_KEY": OPERATOR_KEY}
