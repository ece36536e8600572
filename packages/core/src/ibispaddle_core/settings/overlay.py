"""Merging of the base document with a site overlay.

Layers are merged by JSON Merge Patch (RFC 7396): objects are merged key by key, `null` removes a
key, and any other value replaces that of the layer below.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Origin:
    """The layer that set the value at a JSON path."""

    path: str
    layer: str


def merge_layers(
    layers: Mapping[str, Mapping[str, Any]],
) -> tuple[dict[str, Any], dict[str, Origin]]:
    """Return the merged document and the origin of each leaf value.

    Later layers take precedence.

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
        child_path = f"{path}.{key}"
        if isinstance(value, Mapping):
            below = target.get(key)
            if not isinstance(below, dict):
                if key in target:
                    _discard_origins(child_path, origins)
                target[key] = below = {}
            _apply(below, value, child_path, layer, origins)
            continue
        # Only a replaced value can have origins; the search takes time proportional to all origins.
        if key in target:
            _discard_origins(child_path, origins)
        if value is None:
            target.pop(key, None)
        else:
            target[key] = value
            origins[child_path] = Origin(child_path, layer)


def _discard_origins(path: str, origins: dict[str, Origin]) -> None:
    for known in [p for p in origins if p == path or p.startswith(path + ".")]:
        del origins[known]
