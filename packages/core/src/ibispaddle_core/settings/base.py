"""Common base of all settings models."""

from pydantic import BaseModel, ConfigDict


class SettingsModel(BaseModel):
    """Reject unknown keys, keep values immutable and do not convert strings to numbers."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)
