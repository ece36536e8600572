"""Aggregation on a hub of the requests that all instances send to limited and cold upstreams."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from zlib import crc32

from ..scheduling import PaceReport, SentCounts, UpstreamPace
from ..scheduling.pacing import LONG_WINDOW_MS, SHORT_WINDOW_MS, long_window_ms

# Time for which instances are told that a limit has ended.
ENDED_RETENTION_MS = 10_000
# Time without a request after which an upstream is removed. Instances that still know its limit report
# it again with their next request.
IDLE_RETENTION_MS = 60_000

# Time for which an offer counts as a request. It ends earlier with the report of a request or the next
# question of the instance.
OFFER_RETENTION_MS = 150
# Cold upstreams at which one question is offered room, so that some is left for the next ones.
MAX_OFFERS = 8

_NO_REPORT = PaceReport(None, observations=0, sent=0)


@dataclass(slots=True)
class _Upstream:
    """The last stated limit of an upstream, and the requests that were sent to it."""

    limit_per_s: float | None
    observed_ms: int
    sent: deque[tuple[int, str, int]] = field(default_factory=deque)  # Time, instance, number.
    has_named_limit: bool = False  # False if it is known only because it is cold.
    reports: dict[str, PaceReport] = field(default_factory=dict)  # The last one by instance.
    # Times of open offers by instance, the earliest one first.
    offered_ms: dict[str, int] = field(default_factory=dict)

    def expire_sent(self, now_ms: int) -> None:
        window_ms = SHORT_WINDOW_MS
        if self.has_named_limit:
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

    def count_taken(self, now_ms: int) -> int:
        """Return the number of requests of the last second and of open offers."""
        taken = self.count_offered(now_ms)
        for sent_ms, _, number in reversed(self.sent):
            if sent_ms <= now_ms - SHORT_WINDOW_MS:
                break
            taken += number
        return taken

    def count_offered(self, now_ms: int) -> int:
        """Return the number of open offers."""
        while self.offered_ms:
            instance, offered_ms = next(iter(self.offered_ms.items()))
            if now_ms - offered_ms < OFFER_RETENTION_MS:
                break
            del self.offered_ms[instance]
        return len(self.offered_ms)


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

    def update(self, instance: str, reports: Mapping[str, PaceReport], now_ms: int) -> None:
        """Record the reports of an instance on some, all or no limited upstreams."""
        if instance != self._instance_id:
            if now_ms - self._reported_ms > LONG_WINDOW_MS:
                self._counting_since_ms = now_ms
            self._reported_ms = now_ms
        for upstream_id, report in reports.items():
            self._apply(instance, upstream_id, report, now_ms)

    def _apply(self, instance: str, upstream_id: str, report: PaceReport, now_ms: int) -> None:
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            upstream = self._add(upstream_id, report.limit_per_s, now_ms)
        is_first = instance not in upstream.reports
        previous = upstream.reports.get(instance, _NO_REPORT)
        if report.observations < previous.observations:
            previous = _NO_REPORT  # The process was restarted.
        upstream.reports[instance] = report
        upstream.has_named_limit |= report.limit_per_s is not None or report.observations > 0
        if report.observations > previous.observations:
            upstream.limit_per_s, upstream.observed_ms = report.limit_per_s, now_ms
        added = report.sent - previous.sent if report.sent >= previous.sent else report.sent
        if is_first:
            added = min(added, 1)  # Most of them were sent before.
        if added:
            upstream.sent.append((now_ms, instance, added))
            upstream.offered_ms.pop(instance, None)

    def _add(self, upstream_id: str, limit_per_s: float | None, now_ms: int) -> _Upstream:
        # Not observed now, so what other instances observed since takes precedence.
        upstream = _Upstream(limit_per_s, now_ms - ENDED_RETENTION_MS)
        self._upstreams[upstream_id] = upstream
        return upstream

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
            if upstream.has_named_limit
        }

    def offers(
        self, instance: str, cold_per_s: Mapping[str, float], part: float, now_ms: int
    ) -> dict[str, int] | None:
        """Return the requests that an instance may send now to each cold upstream, or None if unknown.

        `cold_per_s` are the limits of the cold upstreams, and `part` is the part of them that this hub
        may offer. An offer counts as a request until its instance reports one or asks again, so that
        instances that ask at the same moment do not all use the same room. Those with the fewest
        requests are offered first.
        """
        self._expire(now_ms)
        for upstream in self._upstreams.values():
            upstream.offered_ms.pop(instance, None)
        if now_ms - self._counting_since_ms < LONG_WINDOW_MS:
            return None
        ranked, seed = [], crc32(instance.encode())
        for upstream_id, per_s in cold_per_s.items():
            known = self._upstreams.get(upstream_id)
            taken = 0 if known is None else known.count_taken(now_ms)
            if taken + 1 <= max(1.0, per_s * part):
                # Where the counts are equal, instances are offered different upstreams.
                ranked.append((taken, crc32(upstream_id.encode(), seed), upstream_id))
        offers = dict.fromkeys(cold_per_s, 0)
        for _, _, upstream_id in nsmallest(MAX_OFFERS, ranked):
            known = self._upstreams.get(upstream_id) or self._add(upstream_id, None, now_ms)
            known.offered_ms[instance] = now_ms
            offers[upstream_id] = 1
        return offers

    def _expire(self, now_ms: int) -> None:
        for upstream_id, upstream in list(self._upstreams.items()):
            upstream.expire_sent(now_ms)
            is_ended = upstream.limit_per_s is None
            retention_ms = ENDED_RETENTION_MS if is_ended else IDLE_RETENTION_MS
            is_offered = upstream.offered_ms and upstream.count_offered(now_ms)
            if is_offered or upstream.sent:
                continue
            if now_ms - upstream.observed_ms > retention_ms:
                del self._upstreams[upstream_id]
