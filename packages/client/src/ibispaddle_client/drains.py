"""Taking upstreams out of use and back by a change of the base document."""

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
    """Refuse an id that the instance does not know, which is most likely misspelt."""
    known = sorted(u["id"] for u in api.get("upstreams")["upstreams"])
    if upstream not in known:
        raise UsageError(f"'{upstream}' is no upstream; known: {', '.join(known) or 'none'}")


def refuse_overlay_conflict(api: OperatorApi, upstream: str) -> None:
    """Refuse when the overlay of a site has a word of its own on the upstream."""
    layers = api.get("config")["layers"]
    for layer, document in layers.items():
        drained = document.get(DRAINED_FIELD, {}) if layer != "base" else {}
        if drained is None or upstream in drained:
            raise ClientError(
                f"the layer '{layer}' decides about '{upstream}' itself; change its '{DRAINED_FIELD}' with"
                " 'ibispaddle config apply --layer'"
            )


def with_drain(base: Document, upstream: str) -> Document | None:
    """Return the base with the upstream drained, None if it is already.

    >>> with_drain({"drained_upstreams": {"runner.1": {}}}, "runner.1") is None
    True
    """
    now = base.get(DRAINED_FIELD) or {}
    if upstream in now:
        return None
    return {**base, DRAINED_FIELD: {**now, upstream: {"author": getpass.getuser()}}}


def without_drain(base: Document, upstream: str) -> Document | None:
    """Return the base without the upstream's drain, None if it has none.

    >>> without_drain({"drained_upstreams": {"runner.1": {}}}, "runner.1")
    {'drained_upstreams': {}}
    """
    now = base.get(DRAINED_FIELD) or {}
    if upstream not in now:
        return None
    return {**base, DRAINED_FIELD: {name: drain for name, drain in now.items() if name != upstream}}


def print_outcome(
    api: OperatorApi, text: str, answer: dict[str, Any] | None, wait_s: float | None, as_json: bool
) -> None:
    """Print what became of an edit; with `wait_s`, wait until it is in force at all instances."""
    revision = int(answer["revision"] if answer else api.get("config")["revision"])
    if as_json:
        print_json({"revision": revision, "changed": answer is not None})
    elif answer is None:
        typer.echo(f"{text}; nothing was changed")
    else:
        typer.echo(f"{text} from revision {revision} on")
    if wait_s is not None:
        wait_until_in_force(api, revision, wait_s, as_json)
