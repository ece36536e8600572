"""Message returned by a settings check."""

from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Severity of a check message; only errors prevent a change."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class CheckMessage:
    """An error or warning about the settings.

    >>> print(CheckMessage("settings.E001", Severity.ERROR, "Unknown key 'modles'.",
    ...     hint="Did you mean 'models'?", source="base.json", path="$.modles"))
    base.json: $.modles: settings.E001: Unknown key 'modles'. Hint: Did you mean 'models'?
    """

    id: str
    severity: Severity
    text: str
    hint: str = ""
    source: str = ""
    path: str = "$"

    def __str__(self) -> str:
        hint = f" Hint: {self.hint}" if self.hint else ""
        prefix = f"{self.source}: " if self.source else ""
        return f"{prefix}{self.path}: {self.id}: {self.text}{hint}"
