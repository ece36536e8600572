"""Graceful shutdown."""

from .drain import (
    DRAIN_POLL_MS,
    LAST_REQUEST_GRACE_MS,
    QUIET_PERIOD_MS,
    Drain,
    DrainableServers,
)

__all__ = [
    "DRAIN_POLL_MS",
    "LAST_REQUEST_GRACE_MS",
    "QUIET_PERIOD_MS",
    "Drain",
    "DrainableServers",
]
