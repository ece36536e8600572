"""Exceptions raised by the settings package."""

from ..checks import CheckMessage


class SettingsError(Exception):
    """Settings are invalid; `messages` contains every error found."""

    def __init__(self, messages: list[CheckMessage]) -> None:
        super().__init__("\n".join(str(message) for message in messages))
        self.messages = messages
