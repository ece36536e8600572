"""Arguments and options used by several commands."""

from pathlib import Path
from typing import Annotated

import typer

BaseFile = Annotated[Path, typer.Argument(help="Base document, shared by all sites.")]
SiteFile = Annotated[
    Path | None,
    typer.Option("--site", help="Overlay of one site, with the values that differ from the base."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")]
Server = Annotated[
    str, typer.Option(envvar="IBISPADDLE_SERVER", help="Base URL of any instance.", metavar="URL")
]
OperatorKey = Annotated[
    str,
    typer.Option(
        "--key",
        envvar="IBISPADDLE_KEY",
        help="Operator key; use the variable to keep it out of the command line.",
    ),
]
# For a command that is also a group of commands: each subcommand has its own key option.
OptionalOperatorKey = Annotated[
    str, typer.Option("--key", envvar="IBISPADDLE_KEY", help="Operator key.")
]
Upstream = Annotated[str, typer.Argument(help="Id of the upstream, from 'upstreams'.")]
DataCentre = Annotated[str, typer.Argument(help="Id of the data centre, from 'upstreams'.")]
Wait = Annotated[bool, typer.Option("--wait", help="Wait until it is in force at all instances.")]
DEFAULT_SERVER = "http://127.0.0.1:8080"
