"""Show the workspaces and the share of each neighbour."""

from typing import Any

import typer

from ..api import OperatorApi
from ..exceptions import ClientError
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server


def summarize_config(config: dict[str, Any]) -> dict[str, list[dict[str, Any]]]:
    """Return the neighbours with their shares, and the workspaces, of a configuration in force.

    A neighbour's share is its weight divided by the sum of all configured weights. It is guaranteed
    while all neighbours have waiting requests.

    >>> summarize_config({"neighbours": {"a": {"weight": 1.0}, "b": {"weight": 3.0}}, "workspaces": {}})[
    ...     "neighbours"
    ... ][1]
    {'neighbour': 'b', 'weight': 3.0, 'share_percent': 75.0}
    """
    weights = {name: n["weight"] for name, n in sorted(config["neighbours"].items())}
    total = sum(weights.values())
    names = ("neighbour", "models", "services")
    return {
        "neighbours": [
            {"neighbour": name, "weight": weight, "share_percent": round(100 * weight / total, 3)}
            for name, weight in weights.items()
        ],
        "workspaces": [
            {"workspace": workspace, **{name: fields[name] for name in names}}
            for workspace, fields in sorted(config["workspaces"].items())
        ],
    }


def command(key: OperatorKey, server: Server = DEFAULT_SERVER, as_json: AsJson = False) -> None:
    """Show workspaces with neighbour, models and services, and each neighbour's share.

    The values are those in force at the instance that answers, with its site's overlay.

    Example: ibispaddle workspaces --json
    """
    config = OperatorApi(server, key).get("config")["in_force"]
    if config is None:
        raise ClientError("the instance has no configuration in force yet")
    summary = summarize_config(config)
    if as_json:
        print_json(summary)
        return
    print_table(
        ("neighbour", "weight", "share (%)"),
        [
            (n["neighbour"], f"{n['weight']:g}", f"{n['share_percent']:.1f}")
            for n in summary["neighbours"]
        ],
    )
    typer.echo("")
    print_table(
        ("workspace", "neighbour", "models", "services"),
        [
            (w["workspace"], w["neighbour"], ", ".join(w["models"]), ", ".join(w["services"]))
            for w in summary["workspaces"]
        ],
    )
