"""Exceptions of the relay package."""


class RelayError(Exception):
    """Base class of the errors of this package."""


class EventTooLargeError(RelayError):
    """An event exceeds the parser's size limit."""
