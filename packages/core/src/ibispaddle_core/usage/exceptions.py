"""Errors of the usage layer."""


class UsageError(Exception):
    """Base class of the usage errors."""


class UsageRecordError(UsageError):
    """Raised when a record of the `usage` stream cannot be parsed."""
