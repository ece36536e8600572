"""Arguments and options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

BaseFile = Annotated[Path, typer.Argument(help="Base document, shared by all sites.")]
SiteFile = Annotated[
    Path | None, typer.Option("--site", help="Overlay of one site, which states what differs.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")]
