"""Show the effective configuration of a site and the origin of each value."""

from pathlib import Path
from typing import Any

from ibispaddle_core.settings import SettingsError, load_fleet, merge_layers

from ..documents import read_layers
from ..exceptions import ClientError
from ..output import print_json, print_table
from .options import AsJson, BaseFile, SiteFile


def effective_values(base: Path, site: Path | None) -> list[tuple[str, Any, str]]:
    """Return path, value and origin of each effective value; defaults have origin 'default'."""
    layers = read_layers(base, site)
    try:
        config = load_fleet(layers)
    except SettingsError as exc:
        raise ClientError(str(exc)) from exc
    _, origins = merge_layers(layers)
    values = flatten(config.to_document())
    return [
        (path, value, origins[path].layer if path in origins else "default")
        for path, value in values
    ]


def flatten(value: Any, path: str = "$") -> list[tuple[str, Any]]:
    """Return the leaf values of a document by JSON path.

    >>> flatten({"a": {"b": 1}})
    [('$.a.b', 1)]
    """
    if isinstance(value, dict) and value:
        return [leaf for key in value for leaf in flatten(value[key], f"{path}.{key}")]
    return [(path, value)]


def hide_secrets(path: str, value: Any) -> Any:
    """Return the value, or only the number of hashes if the path refers to secrets."""
    return f"({len(value)} hashes)" if path.endswith("key_sha256") else value


def command(base: BaseFile, site: SiteFile = None, as_json: AsJson = False) -> None:
    """Show the effective configuration and the origin of each value.

    Example: ibispaddle config show base.json --site vasteras.json
    """
    rows = [
        (path, hide_secrets(path, value), origin)
        for path, value, origin in effective_values(base, site)
    ]
    if as_json:
        print_json([{"path": p, "value": v, "origin": o} for p, v, o in rows])
    else:
        print_table(("path", "value", "origin"), rows)
