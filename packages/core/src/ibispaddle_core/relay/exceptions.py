"""Exceptions of the relay."""


class RelayError(Exception):
    """Base of the errors of this package."""


class EventTooLargeError(RelayError):
    """Report an event that exceeds the parser's bound."""
