"""Errors of the scheduler."""


class SchedulingError(Exception):
    """Report a misuse of the scheduler."""


class DuplicateRequestError(SchedulingError):
    """Report a request id that is already being scheduled."""
