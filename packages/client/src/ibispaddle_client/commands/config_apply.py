"""Replace one layer of the configuration."""

from pathlib import Path
from typing import Annotated, Any

import typer

from ..api import OperatorApi
from ..changes import apply_change, new_change
from ..documents import read_document
from ..drains import DRAINED_FIELD
from ..evacuations import EVACUATED_FIELD
from ..exceptions import UsageError
from ..output import print_json
from .config_wait import WaitSeconds, wait_until_in_force
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server, Wait

Document = Annotated[Path, typer.Argument(help="New document of the layer.")]
Layer = Annotated[str, typer.Option(help="'base' or 'site:NAME'.")]
Expected = Annotated[
    int | None,
    typer.Option("--expected-revision", help="Revision the change is based on; default: current."),
]


def refuse_implicit_restore(current: dict[str, Any], layer: str, document: dict[str, Any]) -> None:
    """Raise `UsageError` if the document omits the drains or evacuations of the layer it replaces.

    Documents are usually kept in files, which lack the later changes of `upstreams drain` and
    `evacuate`.
    """
    for field, shown_by in ((DRAINED_FIELD, "upstreams"), (EVACUATED_FIELD, "evacuations")):
        names = current.get("layers", {}).get(layer, {}).get(field)
        if names and field not in document:
            raise UsageError(
                f"the document would restore {', '.join(sorted(names))}; add '{field}' to it,"
                f" as 'ibispaddle {shown_by}' shows them, or as {{}} to restore all"
            )


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
    content = read_document(document)
    if expected_revision is None:
        current = api.get("config")
        refuse_implicit_restore(current, layer, content)
        expected_revision = int(current["revision"])
    change = new_change(expected_revision, layer, content)
    response = apply_change(api, change)
    if as_json:
        print_json(response)
    else:
        typer.echo(f"revision {response['revision']} is accepted")
        for warning in response.get("warnings", []):
            typer.echo(warning)
    if wait:
        wait_until_in_force(api, int(response["revision"]), timeout_s, as_json)
