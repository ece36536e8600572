"""Health of upstreams, derived from the outcomes of attempts.

Health checks may be wrong and load reports lag. The outcomes of an instance's own attempts show
within a few requests that an upstream is unreachable, fails some of its requests or sheds load.
"""

from collections.abc import Collection
from dataclasses import dataclass

from .messages import Outcome

# Weight of the latest outcome in the failure rate. Three consecutive failures give 0.58.
RATE_SMOOTHING = 0.25
# Failure rate above which an upstream gets work only while no other upstream has capacity.
AVOID_FAILURE_RATE = 0.5
# Time for which an upstream is avoided after a failure, doubled with each further consecutive one.
# About the time in which a crash is detected by the missing heartbeat.
FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
# An upstream that rejects a request stays full for about the duration of a short request.
REJECTED_PAUSE_MS = 100
# An upstream because of which another one rejects a request is leaving, gone or busy as a helper.
INDIRECT_FAILURE_PAUSE_MS = 1_000
# If an attempt waits this long before a rejection names a faulty upstream, that one counts as dead.
DEAD_AFTER_MS = 1_000
# Time for which an upstream is avoided because another instance reported it as failing.
PEER_PAUSE_MS = 800
# Reports of an instance that avoids a larger fraction of all upstreams are ignored, because the fault
# is then likely its own.
MAX_PEER_AVOIDED_FRACTION = 0.25
# Up to this number, reports count whatever their fraction: in a small fleet, a few requests that crash
# upstreams account for so many.
MIN_PEER_AVOIDED = 4
# The failure rate decays with this half-life, so that an avoided upstream is tried again.
RATE_HALF_LIFE_MS = 4_000


@dataclass(slots=True)
class _Record:
    rate: float = 0.0
    at_ms: int = 0
    failures: int = 0  # Consecutive.
    paused_until_ms: int = 0
    peer_avoided_until_ms: int = 0  # Avoided because another instance avoids it.


class UpstreamHealth:
    """Track the failure rate of each upstream and the time until which it is avoided.

    >>> health = UpstreamHealth()
    >>> health.observe("r1", Outcome.FAILED, now_ms=0)
    >>> health.is_avoided("r1", now_ms=100), health.is_avoided("r1", now_ms=3_000)
    (True, False)
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._is_isolated = False

    def observe(self, upstream_id: str, outcome: Outcome, now_ms: int) -> None:
        """Record the outcome of an attempt. Cancelled attempts are ignored."""
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
                # The upstream is up. Some calls fail at any upstream.
                record.rate = rate + RATE_SMOOTHING * (1 - rate)
            case Outcome.REJECTED:
                record.rate = rate + RATE_SMOOTHING * (1 - rate)
                record.paused_until_ms = max(record.paused_until_ms, now_ms + REJECTED_PAUSE_MS)
            case _:
                record.rate = rate + RATE_SMOOTHING * (1 - rate)
                pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS << min(record.failures, 10))
                record.failures += 1
                record.paused_until_ms = now_ms + pause_ms

    def observe_indirect_failure(self, upstream_id: str, waited_ms: int, now_ms: int) -> None:
        """Record that another upstream rejected a request because of this one."""
        if waited_ms >= DEAD_AFTER_MS:
            self.observe(upstream_id, Outcome.FAILED, now_ms)
        record = self._records.setdefault(upstream_id, _Record())
        record.paused_until_ms = max(record.paused_until_ms, now_ms + INDIRECT_FAILURE_PAUSE_MS)

    def merge_peer_avoided(self, upstream_ids: Collection[str], known: int, now_ms: int) -> None:
        """Avoid the upstreams that another instance avoids; `known` is the number of all upstreams."""
        if len(upstream_ids) > max(MIN_PEER_AVOIDED, MAX_PEER_AVOIDED_FRACTION * known):
            return
        for upstream_id in upstream_ids:
            record = self._records.setdefault(upstream_id, _Record())
            record.peer_avoided_until_ms = now_ms + PEER_PAUSE_MS

    def own_avoided(self, now_ms: int) -> tuple[str, ...]:
        """Return the upstreams to report to other instances as failing; none during an isolation."""
        if self._is_isolated:
            return ()
        return tuple(
            upstream_id
            for upstream_id, record in sorted(self._records.items())
            if now_ms < record.paused_until_ms and record.failures
        )

    def has_record(self, upstream_id: str) -> bool:
        """Return whether the upstream has a record; most upstreams have had no failure and none."""
        return upstream_id in self._records

    def failure_rate(self, upstream_id: str, now_ms: int) -> float:
        """Return the smoothed fraction of failed attempts, from 0 to 1."""
        record = self._records.get(upstream_id)
        if record is None:
            return 0.0
        return float(record.rate * 0.5 ** ((now_ms - record.at_ms) / RATE_HALF_LIFE_MS))

    def is_avoided(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether other upstreams are preferred to this one."""
        record = self._records.get(upstream_id)
        if record is None:
            return False
        is_paused = now_ms < max(record.paused_until_ms, record.peer_avoided_until_ms)
        return is_paused or self.failure_rate(upstream_id, now_ms) > AVOID_FAILURE_RATE

    def has_failed_recently(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether an attempt at the upstream has just failed, at this or another instance."""
        record = self._records.get(upstream_id)
        if record is None:
            return False
        has_own = bool(record.failures) and now_ms < record.paused_until_ms
        return has_own or now_ms < record.peer_avoided_until_ms

    def begin_isolation(self) -> None:
        """Take outcomes for the fault of this instance, which reaches no upstream."""
        self._is_isolated = True

    def end_isolation(self, since_ms: int) -> None:
        """Forget what attempts have shown since the time from which no upstream was reached.

        >>> health = UpstreamHealth()
        >>> health.begin_isolation()
        >>> health.observe("r1", Outcome.NOT_SENT, now_ms=100)
        >>> health.end_isolation(since_ms=50)
        >>> health.is_avoided("r1", now_ms=100)
        False
        """
        self._is_isolated = False
        for upstream_id, record in list(self._records.items()):
            if record.failures and record.at_ms >= since_ms:
                del self._records[upstream_id]

    def forget_missing(self, upstream_ids: set[str]) -> None:
        """Remove the records of upstreams that no longer exist."""
        for upstream_id in self._records.keys() - upstream_ids:
            del self._records[upstream_id]
