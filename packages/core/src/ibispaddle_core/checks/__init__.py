"""Messages of the settings checks, with a stable id, a severity and a hint."""

from .base import CheckMessage, Severity

__all__ = ["CheckMessage", "Severity"]
