"""Arguments and options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

BaseFile = Annotated[Path, typer.Argument(help="Base document, shared by all sites.")]
SiteFile = Annotated[
    Path | None, typer.Option("--site", help="Overlay of one site, which states what differs.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")]
Server = Annotated[
    str, typer.Option(envvar="IBISPADDLE_SERVER", help="Base URL of any instance.", metavar="URL")
]
OperatorKey = Annotated[
    str,
    typer.Option(
        "--key", envvar="IBISPADDLE_KEY", help="Operator key; the variable keeps it off the screen."
    ),
]
DEFAULT_SERVER = "http://127.0.0.1:8080"
