"""Exceptions of the quarantine package."""


class QuarantineError(Exception):
    """Base class of the errors of this package."""


class QuarantineRecordError(QuarantineError):
    """A record of the `quarantine` stream cannot be decoded."""
