"""Exceptions of the chat package."""


class ChatError(Exception):
    """Base class of the errors of this package."""
