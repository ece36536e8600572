"""Errors of the settings layer."""

from ..checks import CheckMessage


class SettingsError(Exception):
    """Raise when settings cannot be used; holds every mistake found."""

    def __init__(self, messages: list[CheckMessage]) -> None:
        super().__init__("\n".join(str(message) for message in messages))
        self.messages = messages
