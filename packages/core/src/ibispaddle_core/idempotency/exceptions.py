"""Errors of the idempotency layer."""


class IdempotencyError(Exception):
    """Raise when a call or record of the claims cannot be interpreted."""


class EntryError(IdempotencyError):
    """Raise when an entry of a batch record does not have the documented form."""
