"""Show the last changes of the configuration."""

import time
from typing import Annotated

import typer

from ..api import OperatorApi
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

Limit = Annotated[int, typer.Option(help="Number of changes.", min=1, max=500)]


def command(
    key: OperatorKey, limit: Limit = 20, server: Server = DEFAULT_SERVER, as_json: AsJson = False
) -> None:
    """Show accepted and void changes, the oldest first.

    Example: ibispaddle config history --limit 5
    """
    changes = OperatorApi(server, key).get("config/history", limit=limit)["changes"]
    if as_json:
        print_json(changes)
        return
    rows = []
    for entry in changes:
        change = entry["change"] or {}
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry["time_ms"] / 1000))
        rows.append(
            (entry["offset"], at, entry["status"], change.get("layer"), change.get("author"))
        )
    print_table(("offset", "time (UTC)", "status", "layer", "author"), rows)
