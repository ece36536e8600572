"""Evacuate a data centre."""

from typing import Annotated

import typer

from ..api import OperatorApi
from ..changes import Document, edit_base_document
from ..drains import print_outcome
from ..evacuations import (
    check_evacuation,
    known_data_centres,
    refuse_overlay_conflict,
    with_evacuation,
)
from .config_wait import WaitSeconds
from .options import DEFAULT_SERVER, AsJson, DataCentre, OperatorKey, Server, Wait

Reason = Annotated[str, typer.Option(help="Why it is evacuated; kept with the evacuation.")]


def command(
    data_centre: DataCentre,
    key: OperatorKey,
    reason: Reason = "",
    wait: Wait = False,
    timeout_s: WaitSeconds = 10.0,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Evacuate a data centre: its upstreams get no new requests and finish those that they have.

    The evacuation lasts until the data centre is restored, also when instances or upstreams restart.

    Example: ibispaddle evacuate dc1 --reason "power maintenance" --wait
    """
    api = OperatorApi(server, key)
    known = known_data_centres(api)
    refuse_overlay_conflict(api, data_centre)
    warnings: set[str] = set()

    def edit(base: Document) -> Document | None:
        # Checked with each version of the document: another operator may evacuate one as well.
        document = with_evacuation(base, data_centre, reason)
        if document is not None:
            warnings.update(str(item) for item in check_evacuation(base, data_centre, known))
        return document

    response = edit_base_document(api, edit)
    for warning in sorted(warnings):
        typer.echo(f"warning: {warning}", err=True)
    print_outcome(
        api, f"'{data_centre}' is evacuated", response, timeout_s if wait else None, as_json
    )
