"""Search for all validation errors in a settings document; a conversion stops at the first one."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from types import UnionType
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from .base import SettingsModel


class IssueKind(Enum):
    """Kind of a validation issue; the value is the id of its check message."""

    UNKNOWN = "settings.E001"
    WRONG_TYPE = "settings.E002"
    OUT_OF_RANGE = "settings.E003"
    MISSING = "settings.E004"


@dataclass(frozen=True)
class ValidationIssue:
    """A validation error in a document; `text` describes what was expected."""

    kind: IssueKind
    path: str
    value: Any = None
    text: str = ""


def find_validation_issues(
    model: type[SettingsModel], document: Any, path: str = "$"
) -> Iterator[ValidationIssue]:
    """Yield all validation errors of a document, none if it can be converted to the model."""
    if not isinstance(document, Mapping):
        kind = type(document).__name__
        yield ValidationIssue(
            IssueKind.WRONG_TYPE, path, document, f"Expected `object`, got `{kind}`"
        )
        return
    types = get_type_hints(model, include_extras=True)
    for key in document.keys() - types.keys():
        yield ValidationIssue(IssueKind.UNKNOWN, f"{path}.{key}")
    for field in msgspec.structs.fields(model):
        if field.name in document:
            yield from _find_value_issues(
                types[field.name], document[field.name], f"{path}.{field.name}"
            )
        elif field.required:
            yield ValidationIssue(IssueKind.MISSING, f"{path}.{field.name}")


def _find_value_issues(annotation: Any, value: Any, path: str) -> Iterator[ValidationIssue]:
    plain = get_args(annotation)[0] if get_origin(annotation) is Annotated else annotation
    part = _find_model(plain)
    if part is not None and value is not None:
        yield from find_validation_issues(part, value, path)
        return
    if get_origin(plain) is dict and isinstance(value, Mapping):
        for key, item in value.items():
            yield from _find_value_issues(get_args(plain)[1], item, f"{path}.{key}")
        return
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as exc:
        text = str(exc)
        kind = IssueKind.WRONG_TYPE if ", got `" in text else IssueKind.OUT_OF_RANGE
        yield ValidationIssue(kind, path, value, text)


def _find_model(annotation: Any) -> type[SettingsModel] | None:
    """Return the settings model in an annotation or in one alternative of a union."""
    is_union = get_origin(annotation) is UnionType
    for option in get_args(annotation) if is_union else (annotation,):
        if isinstance(option, type) and issubclass(option, SettingsModel):
            return option
    return None
