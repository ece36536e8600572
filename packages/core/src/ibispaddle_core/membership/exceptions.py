"""Errors of the membership layer."""


class MembershipError(Exception):
    """Base of the membership errors."""


class ListFormatError(MembershipError):
    """Raise when an instance list cannot be read as a whole."""
