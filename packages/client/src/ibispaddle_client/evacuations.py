"""Evacuation and restoration of data centres through changes of the base document."""

import getpass
import time
from typing import Any

from ibispaddle_core.checks import CheckMessage, Severity
from ibispaddle_core.evacuations import check_evacuations

from .api import OperatorApi
from .changes import Document
from .exceptions import ClientError, UsageError

EVACUATED_FIELD = "evacuated_data_centres"


def known_data_centres(api: OperatorApi) -> set[str]:
    """Return the data centres of the upstreams that the instance knows."""
    return {str(upstream["data_centre"]) for upstream in api.get("upstreams")["upstreams"]}


def refuse_overlay_conflict(api: OperatorApi, data_centre: str) -> None:
    """Raise `ClientError` if the overlay of a site sets the evacuation itself."""
    for layer, document in api.get("config")["layers"].items():
        evacuated = document.get(EVACUATED_FIELD, {}) if layer != "base" else {}
        if evacuated is None or data_centre in evacuated:
            raise ClientError(
                f"the layer '{layer}' sets '{data_centre}' itself; change its '{EVACUATED_FIELD}'"
                " with 'ibispaddle config apply --layer'"
            )


def check_evacuation(base: Document, data_centre: str, known: set[str]) -> list[CheckMessage]:
    """Return the messages about one more evacuation; raise `UsageError` if it must not be made."""
    evacuated = {*(base.get(EVACUATED_FIELD) or {}), data_centre}
    messages = check_evacuations(evacuated, known)
    errors = [str(message) for message in messages if message.severity is Severity.ERROR]
    if errors:
        raise UsageError("\n".join(errors))
    return [message for message in messages if message.path.endswith(f".{data_centre}")]


def with_evacuation(base: Document, data_centre: str, reason: str) -> Document | None:
    """Return the base document with the data centre evacuated, or None if it is already.

    >>> with_evacuation({"evacuated_data_centres": {"dc1": {}}}, "dc1", "") is None
    True
    """
    current = base.get(EVACUATED_FIELD) or {}
    if data_centre in current:
        return None
    entry = {"reason": reason, "author": getpass.getuser(), "time_ms": round(time.time() * 1000)}
    return {**base, EVACUATED_FIELD: {**current, data_centre: entry}}


def without_evacuation(base: Document, data_centre: str) -> Document | None:
    """Return the base document without the evacuation, or None if there is none.

    >>> without_evacuation({"evacuated_data_centres": {"dc1": {}}}, "dc1")
    {'evacuated_data_centres': {}}
    """
    current = base.get(EVACUATED_FIELD) or {}
    if data_centre not in current:
        return None
    left = {name: entry for name, entry in current.items() if name != data_centre}
    return {**base, EVACUATED_FIELD: left}


def list_evacuations(api: OperatorApi) -> list[dict[str, Any]]:
    """Return the evacuations of all layers, with the upstreams that are affected."""
    upstreams = api.get("upstreams")["upstreams"]
    rows = []
    for layer, document in api.get("config")["layers"].items():
        for name, entry in sorted((document.get(EVACUATED_FIELD) or {}).items()):
            count = sum(upstream["data_centre"] == name for upstream in upstreams)
            rows.append({"data_centre": name, "layer": layer, "upstreams": count, **(entry or {})})
    return rows
