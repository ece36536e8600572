"""Admission during a planned stop."""

from dataclasses import dataclass


@dataclass(frozen=True)
class DrainAdmission:
    """Decide which requests an instance that stops still admits.

    Until `redirected_ms` callers have not been sent elsewhere yet, and everything is admitted. Later
    arrivals are admitted only if they will be over at `ends_ms`, when the process ends; the others
    are better served by another instance from the start.

    >>> stop = DrainAdmission(redirected_ms=3_000, ends_ms=7_600)
    >>> stop.may_admit(2_900, 10_000), stop.may_admit(3_100, 10_000), stop.may_admit(3_100, 600)
    (True, False, True)
    """

    redirected_ms: int
    ends_ms: int

    def may_admit(self, now_ms: int, max_duration_ms: float) -> bool:
        """Return whether a request that may take `max_duration_ms` is admitted."""
        return now_ms < self.redirected_ms or now_ms + max_duration_ms <= self.ends_ms
