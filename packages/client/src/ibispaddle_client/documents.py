"""Readers of settings documents."""

from pathlib import Path
from typing import Any

from ibispaddle_core.settings import parse_json

from .exceptions import UsageError


def read_document(path: Path) -> dict[str, Any]:
    """Return the JSON object in a file.

    Raises `UsageError` if the file cannot be read and `SettingsError` if it is not a JSON object.
    """
    try:
        return parse_json(path.read_bytes(), str(path))
    except OSError as exc:
        raise UsageError(f"the file '{path}' cannot be read: {exc.strerror}") from exc


def read_layers(base: Path, site: Path | None) -> dict[str, dict[str, Any]]:
    """Return the base document and the optional site overlay, by file path as the layer name."""
    layers = {str(base): read_document(base)}
    if site is not None:
        layers[str(site)] = read_document(site)
    return layers
