"""Show the usage of each neighbour and workspace."""

import typer

from ..api import OperatorApi
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

_COUNTS = ("requests", "prompt_tokens", "generated_tokens", "engine_ms")


def command(key: OperatorKey, server: Server = DEFAULT_SERVER, as_json: AsJson = False) -> None:
    """Show requests, tokens and engine time by neighbour and workspace, as recorded in the log.

    Example: ibispaddle usage --json
    """
    usage = OperatorApi(server, key).get("usage")
    if as_json:
        print_json(usage)
        return
    rows = [
        (row["neighbour"], workspace, *(str(row[name]) for name in _COUNTS))
        for row, workspace in [
            *((total, "(all)") for total in usage["neighbours"]),
            *((row, row["workspace"]) for row in usage["workspaces"]),
        ]
    ]
    # A workspace that was removed from the configuration has no neighbour.
    rows = [(neighbour or "(none)", *rest) for neighbour, *rest in rows]
    columns = ("neighbour", "workspace", *(name.replace("_", " ") for name in _COUNTS))
    print_table(columns, sorted(rows, key=lambda row: (row[0], row[1])))
    if not usage["complete"]:
        text = "The log no longer has all records and no usable rollup; some usage is missing."
        typer.echo(text, err=True)
