"""Begin the configuration again from files."""

import getpass
import uuid
from pathlib import Path
from typing import Annotated, Any

import typer

from ..api import OperatorApi
from ..changes import send_until_outcome_known
from ..documents import read_document
from ..exceptions import UsageError
from ..output import print_json
from .options import DEFAULT_SERVER, AsJson, BaseFile, OperatorKey, Server

SiteFiles = Annotated[
    list[Path] | None,
    typer.Option("--site", help="Overlay of the site that the file is named after; repeatable."),
]


def read_restart_layers(base: Path, sites: list[Path]) -> dict[str, Any]:
    """Return the layers by name; raise `UsageError` for two files of one site."""
    layers = {"base": read_document(base)}
    for path in sites:
        name = f"site:{path.stem}"
        if name in layers:
            raise UsageError(f"the site '{path.stem}' has two files")
        layers[name] = read_document(path)
    return layers


def command(
    base: BaseFile,
    key: OperatorKey,
    site: SiteFiles = None,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Begin the configuration again after the log has dropped it.

    Refused while an instance or the log has a configuration. Until then the operator keys of the
    instance's base file count.

    Example: ibispaddle config restart base.json --site vasteras.json --site sala.json
    """
    restart = {
        "restart_id": str(uuid.uuid4()),
        "expected_offset": 0,  # The instance sets it to the end of the log.
        "layers": read_restart_layers(base, site or []),
        "author": getpass.getuser(),
    }
    answer = send_until_outcome_known(OperatorApi(server, key), "config/restart", restart)
    if as_json:
        print_json(answer)
        return
    typer.echo(f"the configuration begins again at revision {answer['revision']}")
    for warning in answer.get("warnings", []):
        typer.echo(warning)
