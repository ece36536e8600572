"""Errors of the idempotency layer."""


class IdempotencyError(Exception):
    """Raised when a call or a record of the claims cannot be interpreted."""


class EntryError(IdempotencyError):
    """Raised when an entry of a batch record is malformed."""
