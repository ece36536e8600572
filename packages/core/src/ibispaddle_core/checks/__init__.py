"""Settings mistakes as messages with a stable id, a severity and a hint."""

from .base import CheckMessage, Severity

__all__ = ["CheckMessage", "Severity"]
