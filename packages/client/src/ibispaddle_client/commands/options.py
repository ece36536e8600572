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
# For a group of commands that also is a command: its subcommands have a key of their own.
OptionalOperatorKey = Annotated[
    str, typer.Option("--key", envvar="IBISPADDLE_KEY", help="Operator key.")
]
Upstream = Annotated[str, typer.Argument(help="Id of the upstream, from 'upstreams'.")]
Wait = Annotated[bool, typer.Option("--wait", help="Wait until it is in force at all instances.")]
DEFAULT_SERVER = "http://127.0.0.1:8080"
