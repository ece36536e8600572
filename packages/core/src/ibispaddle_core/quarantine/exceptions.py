"""Errors of the quarantine layer."""


class QuarantineError(Exception):
    """Base of the quarantine errors."""


class QuarantineRecordError(QuarantineError):
    """Raise when a record of the `quarantine` stream cannot be read."""
