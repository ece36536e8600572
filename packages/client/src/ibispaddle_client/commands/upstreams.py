"""Show the runners and services that an instance knows."""

from ..api import OperatorApi
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server


def command(key: OperatorKey, server: Server = DEFAULT_SERVER, as_json: AsJson = False) -> None:
    """Show each upstream with its state and whether it checks fencing tokens.

    Example: ibispaddle upstreams --json
    """
    upstreams = OperatorApi(server, key).get("upstreams")["upstreams"]
    if as_json:
        print_json(upstreams)
        return
    rows = [
        (
            u["id"],
            u["kind"],
            u["data_centre"],
            u["address"],
            u["state"],
            ", ".join(u["models"]) or u["service"] or "",
            "yes" if u["checks_fencing"] else "no",
        )
        for u in upstreams
    ]
    columns = ("upstream", "kind", "data centre", "address", "state", "serves", "checks fencing")
    print_table(columns, rows)
