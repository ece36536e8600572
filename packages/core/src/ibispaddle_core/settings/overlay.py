"""Merge of the base document with a site overlay.

The merge follows JSON Merge Patch (RFC 7396): objects merge key by key, `null` removes a key, and any
other value replaces the one below.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Origin:
    """Tell which layer set the value at a JSON path."""

    path: str
    layer: str


def merge_layers(
    layers: Mapping[str, Mapping[str, Any]],
) -> tuple[dict[str, Any], dict[str, Origin]]:
    """Return the merged document and the origin of each leaf value.

    Later layers win.

    >>> merged, origins = merge_layers({"base": {"a": {"b": 1, "c": 2}}, "site:x": {"a": {"b": 3}}})
    >>> merged["a"], origins["$.a.b"].layer, origins["$.a.c"].layer
    ({'b': 3, 'c': 2}, 'site:x', 'base')
    """
    merged: dict[str, Any] = {}
    origins: dict[str, Origin] = {}
    for layer, document in layers.items():
        _apply(merged, document, "$", layer, origins)
    return merged, origins


def _apply(
    target: dict[str, Any],
    patch: Mapping[str, Any],
    path: str,
    layer: str,
    origins: dict[str, Origin],
) -> None:
    for key, value in patch.items():
        here = f"{path}.{key}"
        if isinstance(value, Mapping):
            below = target.get(key)
            if not isinstance(below, dict):
                if key in target:
                    _forget(here, origins)
                target[key] = below = {}
            _apply(below, value, here, layer, origins)
            continue
        # Only a replaced value can have origins; looking for them takes time in the size of all.
        if key in target:
            _forget(here, origins)
        if value is None:
            target.pop(key, None)
        else:
            target[key] = value
            origins[here] = Origin(here, layer)


def _forget(path: str, origins: dict[str, Origin]) -> None:
    for known in [p for p in origins if p == path or p.startswith(path + ".")]:
        del origins[known]
