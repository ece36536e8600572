"""Check settings files and report all errors together."""

from pathlib import Path
from typing import Annotated

import typer
from ibispaddle_core.checks import CheckMessage, Severity
from ibispaddle_core.settings import SettingsError, check_fleet, load_instance

from ..documents import read_document
from ..exceptions import ClientError
from ..output import print_json
from .options import AsJson, BaseFile, SiteFile

InstanceFile = Annotated[
    Path | None, typer.Option("--instance", help="Settings file of one instance.")
]


def check_files(base: Path, site: Path | None, instance: Path | None) -> list[CheckMessage]:
    """Return the messages of all files, in the order of the files."""
    messages: list[CheckMessage] = []
    layers = {}
    for path in (base, site):
        if path is not None:
            try:
                layers[str(path)] = read_document(path)
            except SettingsError as exc:
                messages += exc.messages
    if not messages:
        messages += check_fleet(layers)[1]
    if instance is not None:
        try:
            load_instance(read_document(instance), str(instance))
        except SettingsError as exc:
            messages += exc.messages
    return messages


def command(
    base: BaseFile, site: SiteFile = None, instance: InstanceFile = None, as_json: AsJson = False
) -> None:
    """Check a base document, a site overlay and an instance's settings.

    Example: ibispaddle check base.json --site vasteras.json
    """
    messages = check_files(base, site, instance)
    errors = [message for message in messages if message.severity is Severity.ERROR]
    if as_json:
        print_json([vars(message) for message in messages])
    else:
        for message in messages:
            typer.echo(str(message))
        warnings = len(messages) - len(errors)
        typer.echo(f"{len(errors)} errors, {warnings} warnings")
    if errors:
        raise ClientError("the settings are invalid")
