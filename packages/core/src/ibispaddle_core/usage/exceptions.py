"""Errors of the usage layer."""


class UsageError(Exception):
    """Base of the usage errors."""


class UsageRecordError(UsageError):
    """Raise when a record of the `usage` stream cannot be read."""
