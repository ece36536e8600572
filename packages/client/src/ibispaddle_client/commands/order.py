"""Order a runner to load a model or an adapter, or to change its role."""

import getpass
import uuid
from typing import Annotated

import typer
from ibispaddle_core.orders import ACTION_ARGUMENTS, Action

from ..api import OperatorApi
from ..changes import send_until_outcome_known
from ..output import print_json
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server, Upstream

ActionName = Annotated[Action, typer.Argument(help="Action of the runner.")]
Argument = Annotated[str, typer.Argument(help="Name of the model, the adapter or the role.")]


def command(
    upstream: Upstream,
    action: ActionName,
    argument: Argument,
    key: OperatorKey,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Request a state of a runner; the order is sent until the runner reports that state.

    Example: ibispaddle order runner.1 set_role prefill
    """
    order = {
        "order_id": str(uuid.uuid4()),
        "upstream_id": upstream,
        "action": str(action),
        "args": {ACTION_ARGUMENTS[action]: argument},
        "author": getpass.getuser(),
    }
    response = send_until_outcome_known(OperatorApi(server, key), "orders", order)
    if as_json:
        print_json(response)
    else:
        typer.echo(
            f"the order '{response['order_id']}' is in the log at offset {response['offset']}"
        )
