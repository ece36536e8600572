"""Exceptions of the chat-completions protocol."""


class ChatError(Exception):
    """Base of the errors of this package."""
