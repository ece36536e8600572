"""Errors of the client and their exit statuses."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of `ibispaddle`, as documented in docs/ref/cli.md."""

    OK = 0
    REJECTED = 1  # The settings have mistakes, or an instance refused the operation.
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4  # Another operator's change came first.
    TIMEOUT = 5  # A change's outcome is unknown, or it is not yet in force everywhere.


class ClientError(Exception):
    """Raise when a command cannot do what was asked."""

    status = ExitStatus.REJECTED


class UsageError(ClientError):
    """Raise when an argument cannot be used."""

    status = ExitStatus.USAGE


class UnreachableError(ClientError):
    """Raise when no instance answers."""

    status = ExitStatus.UNREACHABLE


class ConflictError(ClientError):
    """Raise when another change was accepted first."""

    status = ExitStatus.CONFLICT


class WaitTimeoutError(ClientError):
    """Raise when a change is not in force everywhere within the time allotted."""

    status = ExitStatus.TIMEOUT
