"""Order a runner to load a model or an adapter, or to change its role."""

import getpass
import time
import uuid
from typing import Annotated, Any

import typer
from ibispaddle_core.orders import ARGUMENTS, Action

from ..api import OperatorApi, UndeterminedError
from ..exceptions import ClientError, UnreachableError
from ..output import print_json
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server, Upstream

# The same order id is sent again until the log has it; the first record counts.
ATTEMPTS = 4
RETRY_DELAY_S = 0.5

ActionName = Annotated[Action, typer.Argument(help="What the runner is to do.")]
Argument = Annotated[str, typer.Argument(help="Name of the model, the adapter or the role.")]


def send_order(api: OperatorApi, order: dict[str, Any]) -> dict[str, Any]:
    """Send an order until the log has it and return the instance's answer."""
    for attempt in range(ATTEMPTS):
        try:
            return api.post("orders", order)
        except (UndeterminedError, UnreachableError):
            if attempt == ATTEMPTS - 1:
                raise
            time.sleep(RETRY_DELAY_S)
    raise ClientError("the order was not sent")


def command(
    upstream: Upstream,
    action: ActionName,
    argument: Argument,
    key: OperatorKey,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Ask for a state of a runner; its executor sends the order until the runner shows it.

    Example: ibispaddle order runner.1 set_role prefill
    """
    order = {
        "order_id": str(uuid.uuid4()),
        "upstream_id": upstream,
        "action": str(action),
        "args": {ARGUMENTS[action]: argument},
        "author": getpass.getuser(),
    }
    answer = send_order(OperatorApi(server, key), order)
    if as_json:
        print_json(answer)
    else:
        typer.echo(f"the log has the order '{answer['order_id']}' at offset {answer['offset']}")
