"""Topics of the platform's store that keep the newest record of each key."""

from .messages import (
    Advance,
    ChangesRead,
    Gone,
    KeyedRecord,
    NewestRead,
    ReadChanges,
    ReadNewest,
    TopicFormatError,
    TopicUpdate,
)
from .reader import TopicReader

__all__ = [
    "Advance",
    "ChangesRead",
    "Gone",
    "KeyedRecord",
    "NewestRead",
    "ReadChanges",
    "ReadNewest",
    "TopicFormatError",
    "TopicReader",
    "TopicUpdate",
]
