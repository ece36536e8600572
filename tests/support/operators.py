"""Operator API and operator commands against the instances of a fleet."""

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
    """Call the operator API; return the status and the JSON response."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {key}"}
    request = urllib.request.Request(f"{entry.url}/operator/{path}", data, headers)
    try:
        with urllib.request.urlopen(request, timeout=15) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())


def invoke(entry: ManagedProcess, *args: str) -> Result:
    """Run a client command against an instance, in this process."""
    return CliRunner(env=environment(entry)).invoke(app, list(args))


def invoke_json(entry: ManagedProcess, *args: str) -> Any:
    """Run a client command that must succeed; return its JSON output."""
    outcome = invoke(entry, *args, "--json")
    if outcome.exception is not None:
        raise AssertionError(f"{args}: {outcome.output}{outcome.exception!r}")
    return json.loads(outcome.output)


def environment(entry: ManagedProcess) -> dict[str, str]:
    """Return the environment variables that configure the client for an instance."""
    return {"IBISPADDLE_SERVER": entry.url, "IBISPADDLE_KEY": OPERATOR_KEY}
