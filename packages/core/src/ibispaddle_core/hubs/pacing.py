"""Aggregation on a hub of the requests that all instances send to limited upstreams."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..scheduling import PaceReport, SentCounts, UpstreamPace
from ..scheduling.pacing import LONG_WINDOW_MS, SHORT_WINDOW_MS, long_window_ms

# Time for which instances are told that a limit has ended.
ENDED_RETENTION_MS = 10_000
# Time without a request after which an upstream is removed. Instances that still know its limit report
# it again with their next request.
IDLE_RETENTION_MS = 60_000

_NO_REPORT = PaceReport(None, observations=0, sent=0)


@dataclass(slots=True)
class _Upstream:
    """The last stated limit of an upstream, and the requests that were sent to it."""

    limit_per_s: float | None
    observed_ms: int
    sent: deque[tuple[int, str, int]] = field(default_factory=deque)  # Time, instance, number.

    def expire_sent(self, now_ms: int) -> None:
        window_ms = long_window_ms(self.limit_per_s or 0.0)
        while self.sent and self.sent[0][0] <= now_ms - window_ms:
            self.sent.popleft()

    def counts_excluding(self, instance: str, now_ms: int) -> SentCounts:
        short = long = 0
        for sent_ms, name, number in self.sent:
            if name != instance:
                long += number
                if sent_ms > now_ms - SHORT_WINDOW_MS:
                    short += number
        return SentCounts(short, long)


class PaceAggregator:
    """Collect the limits that upstreams state and the requests of each instance since then.

    Instances report cumulative numbers of requests, so a lost message loses none. A report states a
    limit anew only if its number of observations has increased. While reports of the last window may be
    missing, as after a start of the hub, `paces_excluding` returns None.

    >>> paces = PaceAggregator("hub", started_ms=0)
    >>> paces.update("a", {"r1": PaceReport(2.0, observations=1, sent=0)}, now_ms=0)
    >>> paces.update("a", {"r1": PaceReport(2.0, observations=1, sent=3)}, now_ms=3_500)
    >>> paces.paces_excluding("b", now_ms=3_900)
    >>> paces.paces_excluding("b", now_ms=4_000)["r1"].sent
    SentCounts(short=3, long=3)
    """

    def __init__(self, instance_id: str, started_ms: int) -> None:
        self._instance_id = instance_id
        self._counting_since_ms = self._reported_ms = started_ms
        self._upstreams: dict[str, _Upstream] = {}
        self._reports: dict[tuple[str, str], PaceReport] = {}

    def update(self, instance: str, reports: Mapping[str, PaceReport], now_ms: int) -> None:
        """Record the reports of an instance on some, all or no limited upstreams."""
        if instance != self._instance_id:
            if now_ms - self._reported_ms > LONG_WINDOW_MS:
                self._counting_since_ms = now_ms
            self._reported_ms = now_ms
        for upstream_id, report in reports.items():
            self._apply((instance, upstream_id), report, now_ms)

    def _apply(self, key: tuple[str, str], report: PaceReport, now_ms: int) -> None:
        instance, upstream_id = key
        is_first = key not in self._reports
        previous = self._reports.get(key, _NO_REPORT)
        if report.observations < previous.observations:
            previous = _NO_REPORT  # The process was restarted.
        self._reports[key] = report
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            # Not observed now, so what other instances observed since takes precedence.
            observed_ms = now_ms - ENDED_RETENTION_MS
            upstream = self._upstreams[upstream_id] = _Upstream(report.limit_per_s, observed_ms)
        if report.observations > previous.observations:
            upstream.limit_per_s, upstream.observed_ms = report.limit_per_s, now_ms
        added = report.sent - previous.sent if report.sent >= previous.sent else report.sent
        if is_first:
            added = min(added, 1)  # Most of them were sent before.
        if added:
            upstream.sent.append((now_ms, instance, added))

    def paces_excluding(self, instance: str, now_ms: int) -> dict[str, UpstreamPace] | None:
        """Return the limits, and the requests of all other instances, or None if unknown."""
        self._expire(now_ms)
        if now_ms - self._counting_since_ms < LONG_WINDOW_MS:
            return None
        return {
            upstream_id: UpstreamPace(
                upstream.limit_per_s,
                now_ms - upstream.observed_ms,
                upstream.counts_excluding(instance, now_ms),
            )
            for upstream_id, upstream in self._upstreams.items()
        }

    def _expire(self, now_ms: int) -> None:
        for upstream_id, upstream in list(self._upstreams.items()):
            upstream.expire_sent(now_ms)
            is_ended = upstream.limit_per_s is None
            retention_ms = ENDED_RETENTION_MS if is_ended else IDLE_RETENTION_MS
            if not upstream.sent and now_ms - upstream.observed_ms > retention_ms:
                self._remove(upstream_id)

    def _remove(self, upstream_id: str) -> None:
        del self._upstreams[upstream_id]
        for key in [key for key in self._reports if key[1] == upstream_id]:
            del self._reports[key]
