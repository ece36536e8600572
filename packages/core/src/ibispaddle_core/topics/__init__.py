"""Compacted topics of the platform's store, which retain the newest record of each key."""

from .lateness import LateMargin
from .messages import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReaderStep,
    ReadNewest,
    TopicFormatError,
    TopicPosition,
    TopicUpdate,
)
from .mirror import TopicMirror
from .reader import TopicReader

__all__ = [
    "ReaderStep",
    "ChangesPage",
    "OffsetExpired",
    "KeyedRecord",
    "LateMargin",
    "NewestPage",
    "ReadChanges",
    "ReadNewest",
    "TopicFormatError",
    "TopicMirror",
    "TopicPosition",
    "TopicReader",
    "TopicUpdate",
]
