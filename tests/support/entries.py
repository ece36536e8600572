"""Entries of the instance list."""

from typing import Any


def runner_entry(
    name: str, address: str, state: str = "live", model: str = "m", data_centre: str = "dc1"
) -> dict[str, Any]:
    """Return a runner's entry."""
    return {
        "id": name,
        "kind": "runner",
        "address": address,
        "data_centre": data_centre,
        "state": state,
        "models": [model],
        "service": None,
        "fenced": False,
    }
