"""Decisions that depend on the age of the configuration."""

from dataclasses import dataclass

# Beyond this age, an unknown route or key may have been added in the meantime and is not denied. Longer
# than the interval between two reads of the configuration.
MAX_DENY_AGE_MS = 1_900
# Keys are no longer accepted from this time before a revoked key must stop working.
REVOCATION_MARGIN_MS = 250
# Fraction of the revocation time after which an instance reports itself as not ready. The balancer needs
# two seconds to notice; callers that it redirects until then are not refused.
UNREADY_FRACTION = 0.5


@dataclass(frozen=True)
class ConfigFreshness:
    """Decide by the age of the configuration in force which requests can be denied or accepted.

    `confirmed_ms` is the start of the last read that found the configuration in force, or None before
    the first one. After `revocation_ms` a key may have been revoked, so requests that need one are
    refused.
    """

    confirmed_ms: int | None = None
    revocation_ms: int | None = None

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the configuration, or None if there is none yet."""
        return None if self.confirmed_ms is None else now_ms - self.confirmed_ms

    def can_deny(self, now_ms: int) -> bool:
        """Return whether an unknown route or key can be reported as unknown."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= MAX_DENY_AGE_MS

    def accepts_new_callers(self, now_ms: int) -> bool:
        """Return whether keys remain valid for long enough to accept new callers."""
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return self.revocation_ms is None or age_ms < self.revocation_ms * UNREADY_FRACTION

    def can_trust_keys(self, now_ms: int) -> bool:
        """Return whether known keys can still be accepted."""
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return self.revocation_ms is None or age_ms < self.revocation_ms - REVOCATION_MARGIN_MS
