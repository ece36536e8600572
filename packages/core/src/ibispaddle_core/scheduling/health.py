"""Health of upstreams as their answers show it.

A health check may be wrong, and a report lags. The outcomes of an instance's own attempts show
within a few requests that an upstream is unreachable, fails a part of its requests or sheds them.
"""

from dataclasses import dataclass

from .messages import Outcome

# Weight of the newest outcome in the failure rate; three failures in a row give 0.58.
RATE_SMOOTHING = 0.25
# Failure rate from which an upstream gets work only while no other one has room.
AVOIDED_RATE = 0.5
# Time for which an upstream is avoided after its first failure in a row, doubled with each further
# one. The first is about the time in which a crashed upstream is noticed by its missing heartbeat.
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
# An upstream that rejects a request is full for about as long as a short request takes.
REJECTED_PAUSE_MS = 100
# The failure rate halves in this time, so that an avoided upstream is tried again.
RATE_HALF_LIFE_MS = 4_000


@dataclass(slots=True)
class _Record:
    rate: float = 0.0
    at_ms: int = 0
    failures: int = 0  # In a row.
    paused_until_ms: int = 0


class UpstreamHealth:
    """Hold the failure rate of each upstream and the time until which it is avoided.

    >>> health = UpstreamHealth()
    >>> health.observe("r1", Outcome.FAILED, now_ms=0)
    >>> health.is_avoided("r1", now_ms=100), health.is_avoided("r1", now_ms=3_000)
    (True, False)
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(self, upstream_id: str, outcome: Outcome, now_ms: int) -> None:
        """Take the outcome of an attempt; a cancelled attempt says nothing."""
        if outcome is Outcome.CANCELLED:
            return
        record = self._records.setdefault(upstream_id, _Record())
        rate = self.failure_rate(upstream_id, now_ms)
        record.at_ms = now_ms
        match outcome:
            case Outcome.COMPLETED:
                record.rate = rate * (1 - RATE_SMOOTHING)
                record.failures = 0
            case Outcome.ERROR:
                # The upstream is up; some kinds of calls fail now and then at any of them.
                record.rate = rate + RATE_SMOOTHING * (1 - rate)
            case Outcome.REJECTED:
                record.rate = rate + RATE_SMOOTHING * (1 - rate)
                record.paused_until_ms = max(record.paused_until_ms, now_ms + REJECTED_PAUSE_MS)
            case _:
                record.rate = rate + RATE_SMOOTHING * (1 - rate)
                pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(record.failures, 10))
                record.failures += 1
                record.paused_until_ms = now_ms + pause_ms

    def failure_rate(self, upstream_id: str, now_ms: int) -> float:
        """Return the smoothed part of failed attempts, from 0 to 1."""
        record = self._records.get(upstream_id)
        if record is None:
            return 0.0
        return float(record.rate * 0.5 ** ((now_ms - record.at_ms) / RATE_HALF_LIFE_MS))

    def is_avoided(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether other upstreams should get the work."""
        record = self._records.get(upstream_id)
        if record is None:
            return False
        is_paused = now_ms < record.paused_until_ms
        return is_paused or self.failure_rate(upstream_id, now_ms) > AVOIDED_RATE

    def forget_missing(self, upstream_ids: set[str]) -> None:
        """Drop what is known of upstreams that no longer exist."""
        for upstream_id in self._records.keys() - upstream_ids:
            del self._records[upstream_id]
