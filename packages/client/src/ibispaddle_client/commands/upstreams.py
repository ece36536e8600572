"""Show the runners and services that an instance knows."""

from typing import Any

import typer

from ..api import OperatorApi
from ..exceptions import UsageError
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OptionalOperatorKey, Server


def command(
    context: typer.Context,
    key: OptionalOperatorKey = "",
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Show each upstream with its state, or drain or restore one.

    Example: ibispaddle upstreams --json
    """
    if context.invoked_subcommand is not None:
        given = [n for n in context.params if _is_given(context, n)]
        if given:
            name = context.invoked_subcommand
            raise UsageError(f"options of 'upstreams {name}' have to follow '{name}'")
        return
    if not key:
        raise UsageError("an operator key is required in '--key' or IBISPADDLE_KEY")
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
            _describe_state(u),
            ", ".join(u["models"]) or u["service"] or "",
            "yes" if u["checks_fencing"] else "no",
        )
        for u in upstreams
    ]
    columns = ("upstream", "kind", "data centre", "address", "state", "serves", "checks fencing")
    print_table(columns, rows)


def _is_given(context: typer.Context, name: str) -> bool:
    source = context.get_parameter_source(name)
    return source is not None and source.name == "COMMANDLINE"


def _describe_state(upstream: dict[str, Any]) -> str:
    """Return the state; one that is down or leaving also shows whether it is drained."""
    state = str(upstream["state"])
    # Instances of the previous version do not send the field.
    is_also_drained = upstream.get("drained") and state != "drained"
    return f"{state}, drained" if is_also_drained else state
