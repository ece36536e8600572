"""Apply a change of one layer of the configuration."""

import getpass
import time
import uuid
from pathlib import Path
from typing import Annotated, Any

import typer

from ..api import OperatorApi, UndeterminedError
from ..documents import read_document
from ..exceptions import ClientError, UnreachableError
from ..output import print_json
from .config_wait import WaitSeconds, wait_in_force
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

# The same change id is sent again until its outcome is known; it takes effect at most once.
ATTEMPTS = 4
RETRY_DELAY_S = 0.5

Document = Annotated[Path, typer.Argument(help="New document of the layer.")]
Layer = Annotated[str, typer.Option(help="'base' or 'site:NAME'.")]
Expected = Annotated[
    int | None,
    typer.Option("--expected-revision", help="Revision the change is based on; default: current."),
]
Wait = Annotated[bool, typer.Option("--wait", help="Wait until it is in force at all instances.")]


def send_until_known(api: OperatorApi, path: str, body: dict[str, Any]) -> dict[str, Any]:
    """Send a change until its outcome is known and return the instance's answer."""
    for attempt in range(ATTEMPTS):
        try:
            return api.post(path, body)
        except (UndeterminedError, UnreachableError):
            if attempt == ATTEMPTS - 1:
                raise
            time.sleep(RETRY_DELAY_S)
    raise ClientError("the change was not sent")


def command(
    document: Document,
    key: OperatorKey,
    layer: Layer = "base",
    expected_revision: Expected = None,
    wait: Wait = False,
    timeout_s: WaitSeconds = 10.0,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Apply a document as the new base or as the overlay of a site.

    Example: ibispaddle config apply vasteras.json --layer site:vasteras --wait
    """
    api = OperatorApi(server, key)
    if expected_revision is None:
        expected_revision = int(api.get("config")["revision"])
    change = {
        "change_id": str(uuid.uuid4()),
        "expected_revision": expected_revision,
        "layer": layer,
        "document": read_document(document),
        "author": getpass.getuser(),
    }
    answer = send_until_known(api, "config", change)
    if as_json:
        print_json(answer)
    else:
        typer.echo(f"revision {answer['revision']} is accepted")
        for warning in answer.get("warnings", []):
            typer.echo(warning)
    if wait:
        wait_in_force(api, int(answer["revision"]), timeout_s, as_json)
