"""Parsing and validation of settings documents."""

import difflib
import json
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from ..checks import CheckMessage, Severity
from .base import SettingsModel
from .checks import run_fleet_checks, run_instance_checks
from .exceptions import SettingsError
from .fleet import FleetConfig
from .instance import InstanceSettings
from .mistakes import IssueKind, ValidationIssue, find_validation_issues
from .overlay import Origin, merge_layers

Model = TypeVar("Model", bound=SettingsModel)


def parse_json(text: str | bytes, source: str) -> dict[str, Any]:
    """Return the JSON object in `text`.

    Raises `SettingsError` with `settings.E005` if the text is not a JSON object or an object has a
    duplicate key.
    """
    try:
        value = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except ValueError as exc:
        raise SettingsError([_invalid_json(f"The text is not valid JSON: {exc}.", source)]) from exc
    if not isinstance(value, dict):
        kind = type(value).__name__
        raise SettingsError([_invalid_json(f"A JSON object is expected, not '{kind}'.", source)])
    return value


def load_instance(document: Mapping[str, Any], source: str = "") -> InstanceSettings:
    """Return validated instance settings; raise `SettingsError` with every error."""
    settings, messages = _validate(InstanceSettings, document, {}, source)
    if settings is not None:
        messages += run_instance_checks(settings, source)
    return _raise_errors(settings, messages)


def load_fleet(layers: Mapping[str, Mapping[str, Any]]) -> FleetConfig:
    """Return the validated fleet configuration; raise `SettingsError` with every error.

    >>> load_fleet({"base": {"neighbours": {"a": {"weight": 2.0}}}}).neighbours["a"].weight
    2.0
    """
    config, messages = check_fleet(layers)
    return _raise_errors(config, messages)


def check_fleet(
    layers: Mapping[str, Mapping[str, Any]],
) -> tuple[FleetConfig | None, list[CheckMessage]]:
    """Return the fleet configuration, or `None` if it is invalid, and all check messages."""
    merged, origins = merge_layers(layers)
    config, messages = _validate(FleetConfig, merged, origins, next(iter(layers), ""))
    if config is not None:
        messages += run_fleet_checks(config, origins)
    return config, messages


def _raise_errors(settings: Model | None, messages: list[CheckMessage]) -> Model:
    errors = [message for message in messages if message.severity is Severity.ERROR]
    if errors or settings is None:
        raise SettingsError(errors)
    return settings


def _validate(
    model: type[Model], document: Mapping[str, Any], origins: Mapping[str, Origin], source: str
) -> tuple[Model | None, list[CheckMessage]]:
    try:
        return model.from_document(dict(document)), []
    except msgspec.ValidationError:
        issues = find_validation_issues(model, document)
        return None, [_to_message(issue, model, origins, source) for issue in issues]


def _to_message(
    issue: ValidationIssue, model: type[SettingsModel], origins: Mapping[str, Origin], source: str
) -> CheckMessage:
    path = issue.path
    name = path.rpartition(".")[2]
    source = next((o.layer for p, o in origins.items() if p.startswith(path)), source)
    match issue.kind:
        case IssueKind.UNKNOWN:
            known = difflib.get_close_matches(name, _field_names(model), n=1)
            hint = f"Did you mean '{known[0]}'?" if known else "Remove the key."
            text = f"Unknown key '{name}'."
        case IssueKind.MISSING:
            text, hint = f"The key '{name}' is missing.", "Add the key."
        case _:
            quoted = _quote(path, issue.value)
            text = f"The value {quoted} is not valid: {issue.text}."
            hint = "See docs/ref/settings.md for the type, unit and limits of the key."
    return CheckMessage(issue.kind.value, Severity.ERROR, text, hint, source, path)


def _quote(path: str, value: Any) -> str:
    """Format the value for a message; keys and secrets are never shown."""
    if any(word in path for word in ("_key", "key_sha256", "secret")):
        return "(hidden)"
    return repr(value if len(repr(value)) < 80 else type(value).__name__)


def _field_names(model: type[SettingsModel]) -> list[str]:
    names: list[str] = []
    for part in msgspec.json.schema(model)["$defs"].values():
        names += part.get("properties", {})
    return names


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"the key '{duplicate}' occurs twice in one object")
    return value


def _invalid_json(text: str, source: str) -> CheckMessage:
    return CheckMessage("settings.E005", Severity.ERROR, text, "Correct the file.", source)
