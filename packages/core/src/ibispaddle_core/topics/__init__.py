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
from .mirror import TopicMirror
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
    "TopicMirror",
    "TopicReader",
    "TopicUpdate",
]
