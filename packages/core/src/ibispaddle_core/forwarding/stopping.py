"""Admission of requests while an instance drains."""

from dataclasses import dataclass


@dataclass(frozen=True)
class DrainAdmission:
    """Decide which requests a draining instance still admits.

    All requests are admitted until `admits_all_ms`, when the balancer has redirected the callers to
    other instances. Later requests are admitted only if they will finish by `ends_ms`, when the
    process exits; others are better served by another instance from the start.

    >>> admission = DrainAdmission(admits_all_ms=3_000, ends_ms=7_600)
    >>> admission.may_admit(2_900, 10_000), admission.may_admit(3_100, 10_000)
    (True, False)
    >>> admission.may_admit(3_100, 600)
    True
    """

    admits_all_ms: int
    ends_ms: int

    def may_admit(self, now_ms: int, max_duration_ms: float) -> bool:
        """Return whether to admit a request that takes at most `max_duration_ms`."""
        return now_ms < self.admits_all_ms or now_ms + max_duration_ms <= self.ends_ms
