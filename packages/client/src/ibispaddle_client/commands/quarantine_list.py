"""Show the requests that are rejected because they crash upstreams."""

import time

from ..api import OperatorApi
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server


def command(key: OperatorKey, server: Server = DEFAULT_SERVER, as_json: AsJson = False) -> None:
    """Show the fingerprints in quarantine, the upstreams they crashed and when they expire.

    Example: ibispaddle quarantine list
    """
    entries = OperatorApi(server, key).get("quarantine")["quarantine"]
    if as_json:
        print_json(entries)
        return
    rows = [
        (
            entry["fingerprint"],
            ", ".join(entry["upstreams"]),
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry["expires_ms"] / 1000)),
        )
        for entry in entries
    ]
    print_table(("fingerprint", "crashed upstreams", "expires (UTC)"), rows)
