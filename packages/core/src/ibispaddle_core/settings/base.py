"""Base class of all settings models."""

from typing import Any, Self

import msgspec


class SettingsModel(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Immutable settings that reject unknown keys and do not convert strings to numbers.

    The constructor does not validate values; `from_document` does.
    """

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> Self:
        """Validate a document; raise `msgspec.ValidationError` at the first error.

        Values that already are settings models are used as they are.
        """
        return msgspec.convert(document, cls)

    def replace(self, **changes: Any) -> Self:
        """Return a copy with some values replaced, without validating them."""
        return msgspec.structs.replace(self, **changes)

    def to_document(self) -> dict[str, Any]:
        """Return the settings as a document of plain values."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document
