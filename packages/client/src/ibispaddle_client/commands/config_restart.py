"""Restart the configuration from files."""

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
    typer.Option(
        "--site", help="Overlay of the site that the file is named after; can be repeated."
    ),
]


def read_restart_layers(base: Path, sites: list[Path]) -> dict[str, Any]:
    """Return the documents by layer name; raise `UsageError` if a site has two files."""
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
    """Restart the configuration from files after the log has dropped it.

    Rejected while an instance or the log has a configuration. Until a configuration is in force,
    the operator keys of the instance's base file are valid.

    Example: ibispaddle config restart base.json --site vasteras.json --site sala.json
    """
    restart = {
        "restart_id": str(uuid.uuid4()),
        "expected_offset": 0,  # The instance replaces it with the log's end offset.
        "layers": read_restart_layers(base, site or []),
        "author": getpass.getuser(),
    }
    response = send_until_outcome_known(OperatorApi(server, key), "config/restart", restart)
    if as_json:
        print_json(response)
        return
    typer.echo(f"the configuration was restarted at revision {response['revision']}")
    for warning in response.get("warnings", []):
        typer.echo(warning)
