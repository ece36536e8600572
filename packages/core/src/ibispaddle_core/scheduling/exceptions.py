"""Exceptions raised by the scheduler."""


class SchedulingError(Exception):
    """Base class of errors in the use of the scheduler."""


class DuplicateRequestError(SchedulingError):
    """Raised when the id of a new request is already being scheduled."""
