"""Draining and restoring of upstreams through changes of the base document."""

import getpass
from typing import Any

import typer

from .api import OperatorApi
from .changes import Document
from .commands.config_wait import wait_until_in_force
from .exceptions import ClientError, UsageError
from .output import print_json

DRAINED_FIELD = "drained_upstreams"


def require_known_upstream(api: OperatorApi, upstream: str) -> None:
    """Raise `UsageError` if the instance does not know the id, which is probably misspelt."""
    known = sorted(u["id"] for u in api.get("upstreams")["upstreams"])
    if upstream not in known:
        raise UsageError(
            f"'{upstream}' is not a known upstream; known ids: {', '.join(known) or 'none'}"
        )


def refuse_overlay_conflict(api: OperatorApi, upstream: str) -> None:
    """Raise `ClientError` if the overlay of a site sets the drain of the upstream itself."""
    layers = api.get("config")["layers"]
    for layer, document in layers.items():
        drained = document.get(DRAINED_FIELD, {}) if layer != "base" else {}
        if drained is None or upstream in drained:
            raise ClientError(
                f"the layer '{layer}' sets '{upstream}' itself; change its '{DRAINED_FIELD}' with"
                " 'ibispaddle config apply --layer'"
            )


def with_drain(base: Document, upstream: str) -> Document | None:
    """Return the base document with the upstream drained, or None if it is drained already.

    >>> with_drain({"drained_upstreams": {"runner.1": {}}}, "runner.1") is None
    True
    """
    current = base.get(DRAINED_FIELD) or {}
    if upstream in current:
        return None
    return {**base, DRAINED_FIELD: {**current, upstream: {"author": getpass.getuser()}}}


def without_drain(base: Document, upstream: str) -> Document | None:
    """Return the base document without the upstream's drain, or None if it is not drained.

    >>> without_drain({"drained_upstreams": {"runner.1": {}}}, "runner.1")
    {'drained_upstreams': {}}
    """
    current = base.get(DRAINED_FIELD) or {}
    if upstream not in current:
        return None
    return {
        **base,
        DRAINED_FIELD: {name: drain for name, drain in current.items() if name != upstream},
    }


def print_outcome(
    api: OperatorApi,
    text: str,
    response: dict[str, Any] | None,
    wait_s: float | None,
    as_json: bool,
) -> None:
    """Print the outcome of an edit; with `wait_s`, wait until it is in force at all instances."""
    revision = int(response["revision"] if response else api.get("config")["revision"])
    if as_json:
        print_json({"revision": revision, "changed": response is not None})
    elif response is None:
        typer.echo(f"{text}; nothing was changed")
    else:
        typer.echo(f"{text} from revision {revision} on")
    if wait_s is not None:
        wait_until_in_force(api, revision, wait_s, as_json)
