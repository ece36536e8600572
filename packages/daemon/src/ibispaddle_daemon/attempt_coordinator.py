"""What attempts need of the component that coordinates the requests."""

from typing import Protocol

from ibispaddle_core.scheduling import Event, Outcome, Scheduler
from ibispaddle_core.settings import FleetConfig

from .model_request import ModelRequest


class AttemptCoordinator(Protocol):
    """Receive the progress of attempts, and state how they are made."""

    scheduler: Scheduler

    @property
    def config(self) -> FleetConfig:
        """Return the current configuration."""

    def base_url(self, upstream_id: str) -> str:
        """Return the base URL of a runner."""

    def last_boot_id(self, upstream_id: str) -> str:
        """Return the last known boot id of a runner, or an empty string."""

    def handle_event(self, event: Event) -> None:
        """Pass an event to the scheduler and execute its decisions."""

    def count_tokens(self, request: ModelRequest, tokens: int) -> None:
        """Count relayed tokens; a call of `report_tokens` must follow."""

    def report_tokens(self, request: ModelRequest) -> None:
        """Report counted tokens to the scheduler."""

    def report_attempt_end(self, request: ModelRequest, upstream_id: str, outcome: Outcome) -> None:
        """Report the end of an attempt to the scheduler, which may retry or refuse the request."""

    def finish(self, request: ModelRequest, code: str) -> None:
        """Remove a request whose caller was answered or disconnected, and record its metrics."""
