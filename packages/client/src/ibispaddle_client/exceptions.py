"""Errors of the client and their exit statuses."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of `ibispaddle`, as documented in docs/ref/cli.md."""

    OK = 0
    REJECTED = 1  # The settings are invalid, or an instance rejected the operation.
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4  # Another operator's change was accepted first.
    TIMEOUT = 5  # The outcome of a change is unknown, or it is not in force everywhere yet.


class ClientError(Exception):
    """Raised when a command fails."""

    status = ExitStatus.REJECTED


class UsageError(ClientError):
    """Raised when an argument is invalid."""

    status = ExitStatus.USAGE


class UnreachableError(ClientError):
    """Raised when the instance does not respond."""

    status = ExitStatus.UNREACHABLE


class ConflictError(ClientError):
    """Raised when another change was accepted first."""

    status = ExitStatus.CONFLICT


class WaitTimeoutError(ClientError):
    """Raised when a change is not in force everywhere before the timeout."""

    status = ExitStatus.TIMEOUT
