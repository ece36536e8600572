"""Every mistake in a settings document, where a conversion stops at the first one."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from types import UnionType
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from .base import SettingsModel


class MistakeKind(Enum):
    """Tell what is wrong with a key, with the id of its check message."""

    UNKNOWN = "settings.E001"
    WRONG_TYPE = "settings.E002"
    OUT_OF_RANGE = "settings.E003"
    MISSING = "settings.E004"


@dataclass(frozen=True)
class Mistake:
    """Describe one mistake; `text` says what was expected."""

    kind: MistakeKind
    path: str
    value: Any = None
    text: str = ""


def find_mistakes(model: type[SettingsModel], document: Any, path: str = "$") -> Iterator[Mistake]:
    """Return all mistakes of a document, or none if it can be converted to the model."""
    if not isinstance(document, Mapping):
        kind = type(document).__name__
        yield Mistake(MistakeKind.WRONG_TYPE, path, document, f"Expected `object`, got `{kind}`")
        return
    types = get_type_hints(model, include_extras=True)
    for key in document.keys() - types.keys():
        yield Mistake(MistakeKind.UNKNOWN, f"{path}.{key}")
    for field in msgspec.structs.fields(model):
        if field.name in document:
            yield from _of_value(types[field.name], document[field.name], f"{path}.{field.name}")
        elif field.required:
            yield Mistake(MistakeKind.MISSING, f"{path}.{field.name}")


def _of_value(annotation: Any, value: Any, path: str) -> Iterator[Mistake]:
    plain = get_args(annotation)[0] if get_origin(annotation) is Annotated else annotation
    part = _model_of(plain)
    if part is not None and value is not None:
        yield from find_mistakes(part, value, path)
        return
    if get_origin(plain) is dict and isinstance(value, Mapping):
        for key, item in value.items():
            yield from _of_value(get_args(plain)[1], item, f"{path}.{key}")
        return
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as exc:
        text = str(exc)
        kind = MistakeKind.WRONG_TYPE if ", got `" in text else MistakeKind.OUT_OF_RANGE
        yield Mistake(kind, path, value, text)


def _model_of(annotation: Any) -> type[SettingsModel] | None:
    """Return the model that the annotation, or one alternative of it, names."""
    is_union = get_origin(annotation) is UnionType
    for option in get_args(annotation) if is_union else (annotation,):
        if isinstance(option, type) and issubclass(option, SettingsModel):
            return option
    return None
