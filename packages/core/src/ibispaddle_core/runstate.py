"""Run state that a refusal reports to its caller."""

from enum import StrEnum


class RunState(StrEnum):
    """Tell whether a refused or failed request ran at an upstream."""

    NOT_RUN = "not_run"  # No byte reached an upstream, or the upstream proved that nothing ran.
    UNKNOWN = "unknown"
