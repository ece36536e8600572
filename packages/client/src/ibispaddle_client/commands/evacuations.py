"""Show the evacuated data centres."""

from datetime import UTC, datetime

from ..api import OperatorApi
from ..evacuations import list_evacuations
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

COLUMNS = ("data centre", "layer", "upstreams", "since", "author", "reason")


def command(key: OperatorKey, server: Server = DEFAULT_SERVER, as_json: AsJson = False) -> None:
    """Show each evacuated data centre with its reason.

    Example: ibispaddle evacuations --json
    """
    rows = list_evacuations(OperatorApi(server, key))
    if as_json:
        print_json(rows)
        return
    print_table(
        COLUMNS,
        [
            (
                row["data_centre"],
                row["layer"],
                str(row["upstreams"]),
                _format_time(row.get("time_ms", 0)),
                row.get("author", ""),
                row.get("reason", ""),
            )
            for row in rows
        ],
    )


def _format_time(time_ms: int) -> str:
    if not time_ms:
        return ""  # Written without the command.
    return datetime.fromtimestamp(time_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
