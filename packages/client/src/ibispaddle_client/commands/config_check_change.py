"""Check a proposed configuration before it is sent."""

from pathlib import Path
from typing import Annotated, Any

import typer
from ibispaddle_core.change_checks import ListedUpstream
from ibispaddle_core.settings import SettingsError, load_instance

from ..api import OperatorApi
from ..change_review import BASE, Review, review_change
from ..changes import Document
from ..documents import read_document
from ..exceptions import ClientError, UsageError
from ..output import print_json, print_table
from .check import InstanceFile
from .config_restart import SiteFiles, read_restart_layers
from .options import DEFAULT_SERVER, AsJson, OptionalOperatorKey, Server

Proposed = Annotated[Path, typer.Argument(help="Proposed document of the layer.")]
Layer = Annotated[str, typer.Option(help="Layer of the document: 'base' or 'site:NAME'.")]
Against = Annotated[
    Path | None,
    typer.Option("--against", help="Base document to compare with, instead of the one in force."),
]


def read_in_force(api: OperatorApi) -> tuple[dict[str, Document], list[ListedUpstream]]:
    """Return the layers in force and the listed upstreams, as an instance knows them."""
    layers: dict[str, Document] = api.get("config")["layers"]
    upstreams = [
        ListedUpstream(u["id"], u["data_centre"], tuple(u.get("models", ())), u.get("service"))
        for u in api.get("upstreams")["upstreams"]
    ]
    return layers, upstreams


def proposed_layers(
    path: Path, layer: str, sites: list[Path], in_force: dict[str, Document]
) -> dict[str, Document]:
    """Return the layers after the change; raise `UsageError` if a layer has two files."""
    if layer == BASE:
        return {**in_force, **read_restart_layers(path, sites)}
    if not layer.startswith("site:") or layer == "site:":
        raise UsageError(f"'{layer}' is not a layer; expected 'base' or 'site:NAME'")
    changed = {layer: read_document(path)}
    for site in sites:
        if (name := f"site:{site.stem}") in changed:
            raise UsageError(f"the site '{site.stem}' has two files")
        changed[name] = read_document(site)
    return {**in_force, **changed}


def encode(review: Review) -> dict[str, Any]:
    """Return a review as a JSON object."""
    return {
        "errors": review.errors,
        "warnings": len(review.messages) - review.errors,
        "messages": [vars(message) for message in review.messages],
        "differences": [vars(difference) for difference in review.differences],
    }


def command(
    proposed: Proposed,
    layer: Layer = BASE,
    site: SiteFiles = None,
    against: Against = None,
    instance: InstanceFile = None,
    key: OptionalOperatorKey = "",
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Check a proposed configuration and compare it with the one in force; nothing is sent.

    Example: ibispaddle config check-change base.json --site vasteras.json
    """
    upstreams = None
    try:
        if against is not None:
            in_force = {BASE: read_document(against)}
        elif key:
            in_force, upstreams = read_in_force(OperatorApi(server, key))
        else:
            raise UsageError(
                "an operator key in '--key' or IBISPADDLE_KEY, or '--against' is required"
            )
        settings = None
        if instance is not None:
            settings = load_instance(read_document(instance), str(instance))
        layers = proposed_layers(proposed, layer, site or [], in_force)
    except SettingsError as exc:
        raise ClientError(str(exc)) from exc
    review = review_change(layers, in_force, upstreams, settings)
    if as_json:
        print_json(encode(review))
    else:
        for message in review.messages:
            typer.echo(f"{message.severity}: {message}")
        if review.differences:
            rows = [(d.layer, d.path, d.old, d.new) for d in review.differences]
            print_table(("layer", "path", "in force", "proposed"), rows)
        else:
            typer.echo("nothing would change")
        warnings = len(review.messages) - review.errors
        typer.echo(f"{review.errors} errors, {warnings} warnings")
    if review.errors:
        raise ClientError("the change must not be sent")
