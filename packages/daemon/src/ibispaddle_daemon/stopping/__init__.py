"""The end of a planned stop."""

from .drain import DRAIN_POLL_MS, LAST_REQUESTS_MS, QUIET_MS, Drain

__all__ = ["DRAIN_POLL_MS", "LAST_REQUESTS_MS", "QUIET_MS", "Drain"]
