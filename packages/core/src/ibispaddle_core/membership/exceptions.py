"""Exceptions raised by the membership package."""


class MembershipError(Exception):
    """Base class of membership errors."""


class ListFormatError(MembershipError):
    """An instance list cannot be parsed at all."""
