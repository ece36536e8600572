"""Common base of all settings models."""

from typing import Any, Self

import msgspec


class SettingsModel(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Reject unknown keys, keep values immutable and do not convert strings to numbers.

    The constructor does not check values; `from_document` does.
    """

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> Self:
        """Return the settings in a document; raise `msgspec.ValidationError` at the first mistake.

        Values that are settings models already are taken over as they are.
        """
        return msgspec.convert(document, cls)

    def replace(self, **changes: Any) -> Self:
        """Return a copy with some values changed, which are not checked."""
        return msgspec.structs.replace(self, **changes)

    def to_document(self) -> dict[str, Any]:
        """Return the settings as plain values, as they are written in a document."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document
