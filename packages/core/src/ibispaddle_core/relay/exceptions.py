"""Exceptions of the relay package."""


class RelayError(Exception):
    """Base class of the errors of this package."""


class EventTooLargeError(RelayError):
    """An event exceeds the parser's size limit."""


class TooManyEmptyEventsError(RelayError):
    """A stream consists of comments or empty lines instead of events."""


class InvalidEventIdError(RelayError):
    """The id of an event is too large."""
