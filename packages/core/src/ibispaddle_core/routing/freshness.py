"""Age of the configuration, and what may be decided by one that may be outdated."""

from dataclasses import dataclass

# From this age a route or key that is not known may have been added meanwhile, so it is not denied.
# Longer than the interval between two readings.
MAX_DENY_AGE_MS = 1_900
# Left between the last use of a key and the time by which a revoked one must not be used.
REVOCATION_MARGIN_MS = 250
# Part of the revocation time after which an instance asks for no more callers. The balancer needs two
# seconds to notice; callers that it sends elsewhere meanwhile need not be refused.
UNREADY_FRACTION = 0.5


@dataclass(frozen=True)
class ConfigFreshness:
    """Judge the age of the configuration in force.

    `confirmed_ms` is when the reading began that last found it in force, or None before the first.
    After `revocation_ms` a key may have been revoked, and requests that need one are refused.
    """

    confirmed_ms: int | None = None
    revocation_ms: int | None = None

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the configuration, or None while there is none."""
        return None if self.confirmed_ms is None else now_ms - self.confirmed_ms

    def can_deny(self, now_ms: int) -> bool:
        """Return whether an unknown route or key can be answered as such."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= MAX_DENY_AGE_MS

    def accepts_new_callers(self, now_ms: int) -> bool:
        """Return whether keys will be accepted for long enough to take new callers."""
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return self.revocation_ms is None or age_ms < self.revocation_ms * UNREADY_FRACTION

    def can_trust_keys(self, now_ms: int) -> bool:
        """Return whether a known key can still be accepted."""
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return self.revocation_ms is None or age_ms < self.revocation_ms - REVOCATION_MARGIN_MS
