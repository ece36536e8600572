"""Run state of a failed request, as reported to its caller."""

from enum import StrEnum


class RunState(StrEnum):
    """Whether a refused or failed request ran on an upstream."""

    NOT_RUN = "not_run"  # No byte reached an upstream, or the upstream proved that it did not run.
    UNKNOWN = "unknown"
