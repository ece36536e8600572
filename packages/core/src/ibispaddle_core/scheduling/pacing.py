"""Pacing of upstreams that limit the requests they take, or ask for a pause."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from .messages import FleetPaces, PaceReport, SentCounts

# Requests to a limited upstream are counted over a short and a long window.
SHORT_WINDOW_MS = 1_000
LONG_WINDOW_MS = 4_000
# Upper limit of the long window, which is extended so that at least one request fits into it. An
# upstream with a lower limit is sent a request at this interval, to learn whether the limit has ended.
MAX_WINDOW_MS = 20_000
# Age up to which the other instances' counts are used. They are refreshed before each choice.
FLEET_COUNTS_MAX_AGE_MS = 500
# Upper limit of the interval at which an instance without such counts sends to a limited upstream.
MAX_SHARE_WINDOW_MS = 300_000


def long_window_ms(limit_per_s: float) -> int:
    """Return the window within which the requests at a limit are counted.

    >>> long_window_ms(3.0), long_window_ms(0.1), long_window_ms(0.0)
    (4000, 10000, 20000)
    """
    if limit_per_s * MAX_WINDOW_MS <= 1_000:
        return MAX_WINDOW_MS
    return max(LONG_WINDOW_MS, round(1_000 / limit_per_s))


def has_room(limit_per_s: float, sent: SentCounts) -> bool:
    """Return whether one more request keeps the limit, given the requests of all instances.

    >>> has_room(2.0, SentCounts(short=1, long=7)), has_room(2.0, SentCounts(short=1, long=8))
    (True, False)
    """
    max_short = max(1.0, limit_per_s * SHORT_WINDOW_MS / 1_000)
    max_long = max(1.0, limit_per_s * long_window_ms(limit_per_s) / 1_000)
    # A fraction of a request is rounded up in the short window, and made up for in the long one.
    return sent.short < max_short and sent.long + 1 <= max_long


@dataclass(slots=True)
class _Pace:
    """A limited upstream as known to this instance."""

    limit_per_s: float
    observed_ms: int
    observations: int = 0  # Responses of the upstream that stated the limit.
    sent_total: int = 0
    # Times of this instance's requests, the last one first, and of the first knowledge of the limit.
    sent_ms: deque[int] = field(default_factory=deque)
    others: SentCounts | None = None

    def count_since(self, time_ms: int) -> int:
        count = 0
        for sent_ms in self.sent_ms:
            if sent_ms <= time_ms:
                break
            count += 1
        return count


class UpstreamPacing:
    """Hold requests back from upstreams whose limit the fleet has reached, or that asked for a pause.

    A limit applies from the first response that states it, at this or another instance, until a
    response that does not. Without recent counts of the other instances, this instance keeps to its
    even share of the limit.

    >>> pacing = UpstreamPacing()
    >>> pacing.observe("r1", 2.0, now_ms=0)
    >>> pacing.set_fleet(FleetPaces({}, instances=3), now_ms=0)
    >>> for sent_ms in (10, 20):
    ...     pacing.count_sent("r1", sent_ms)
    >>> pacing.has_room("r1", now_ms=30), pacing.has_room("r1", now_ms=1_021)
    (False, False)
    >>> pacing.set_fleet(FleetPaces({}, instances=3), now_ms=1_021)
    >>> pacing.has_room("r1", now_ms=1_021), pacing.has_room("r2", now_ms=30)
    (True, True)
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._held_until_ms: dict[str, int] = {}
        # Observations of limits that ended, to be reported to the other instances.
        self._ended: dict[str, int] = {}
        self._fleet_ms: int | None = None
        self._instances = 1
        self._observations = 0

    @property
    def has_limits(self) -> bool:
        """Return whether any upstream is limited."""
        return bool(self._paces)

    @property
    def is_idle(self) -> bool:
        """Return whether no upstream is limited or has asked for a pause."""
        return not (self._paces or self._held_until_ms)

    def hold(self, upstream_id: str, duration_ms: int, now_ms: int) -> None:
        """Send nothing to an upstream for a time; an earlier and longer hold stays in force."""
        held = {name: ms for name, ms in self._held_until_ms.items() if ms > now_ms}
        held[upstream_id] = max(held.get(upstream_id, 0), now_ms + duration_ms)
        self._held_until_ms = held

    def held_ms(self, upstream_ids: Collection[str], now_ms: int) -> int:
        """Return the time until the first of some upstreams may get a request, as far as they asked."""
        times = (self._held_until_ms.get(name, now_ms) for name in upstream_ids)
        return max(0, min(times, default=now_ms) - now_ms)

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether a limit of the upstream is known."""
        return upstream_id in self._paces

    def observe(self, upstream_id: str, limit_per_s: float | None, now_ms: int) -> None:
        """Apply what a response of an upstream states."""
        pace = self._paces.get(upstream_id)
        if pace is None and limit_per_s is None:
            return
        self._observations += 1
        if limit_per_s is None:
            del self._paces[upstream_id]
            self._ended[upstream_id] = self._observations
            return
        if pace is None:
            pace = self._add(upstream_id, limit_per_s, now_ms)
        pace.limit_per_s, pace.observed_ms = limit_per_s, now_ms
        pace.observations = self._observations

    def _add(self, upstream_id: str, limit_per_s: float, now_ms: int) -> _Pace:
        # The number must not decrease, which would look like a restart to the hubs.
        observations = self._ended.pop(upstream_id, 0)
        pace = self._paces[upstream_id] = _Pace(limit_per_s, now_ms, observations)
        # The request whose response stated the limit, or an allowance for one of another instance.
        pace.sent_ms.appendleft(now_ms)
        return pace

    def set_fleet(self, fleet: FleetPaces, now_ms: int) -> None:
        """Apply the limits that the other instances know, and their requests."""
        self._instances = max(1, fleet.instances)
        if fleet.paces is None:
            return
        self._fleet_ms = now_ms
        for known in self._paces.values():
            known.others = SentCounts()
        for upstream_id, row in fleet.paces.items():
            observed_ms = now_ms - row.age_ms
            pace = self._paces.get(upstream_id)
            if row.limit_per_s is None:
                if pace is not None and pace.observed_ms < observed_ms:
                    del self._paces[upstream_id]
                continue
            if pace is None:
                pace = self._add(upstream_id, row.limit_per_s, observed_ms)
            elif pace.observed_ms < observed_ms:
                pace.limit_per_s, pace.observed_ms = row.limit_per_s, observed_ms
            pace.others = row.sent

    def count_sent(self, upstream_id: str, now_ms: int) -> None:
        """Count a request that is sent to an upstream."""
        pace = self._paces.get(upstream_id)
        if pace is None:
            return
        pace.sent_total += 1
        pace.sent_ms.appendleft(now_ms)
        while pace.sent_ms[-1] <= now_ms - MAX_SHARE_WINDOW_MS:
            pace.sent_ms.pop()

    def has_room(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether the upstream may be sent one more request now."""
        if self._is_held(upstream_id, now_ms):
            return False
        pace = self._paces.get(upstream_id)
        if pace is None:
            return True
        is_recent = (
            self._fleet_ms is not None and now_ms - self._fleet_ms <= FLEET_COUNTS_MAX_AGE_MS
        )
        if not is_recent or pace.others is None:
            return self._has_room_in_share(pace, now_ms)
        own = SentCounts(
            pace.count_since(now_ms - SHORT_WINDOW_MS),
            pace.count_since(now_ms - long_window_ms(pace.limit_per_s)),
        )
        return has_room(pace.limit_per_s, own + pace.others)

    def _is_held(self, upstream_id: str, now_ms: int) -> bool:
        until_ms = self._held_until_ms.get(upstream_id)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        del self._held_until_ms[upstream_id]
        return False

    def _has_room_in_share(self, pace: _Pace, now_ms: int) -> bool:
        share_per_s = pace.limit_per_s / self._instances
        window_ms = MAX_SHARE_WINDOW_MS
        if share_per_s * MAX_SHARE_WINDOW_MS > 1_000:
            window_ms = max(LONG_WINDOW_MS, round(1_000 / share_per_s))
        max_sent = max(1.0, share_per_s * window_ms / 1_000)
        return pace.count_since(now_ms - window_ms) + 1 <= max_sent

    def rate_per_s(self, upstream_ids: Collection[str]) -> float | None:
        """Return the requests a second that this instance can expect to send to limited upstreams.

        That is what the other instances leave of the limits, but at least an even share. None if none
        of the upstreams is limited.
        """
        total = others = 0.0
        paces = [self._paces[name] for name in upstream_ids if name in self._paces]
        if not paces:
            return None
        for pace in paces:
            total += pace.limit_per_s
            if pace.others is not None:
                others += 1_000 * pace.others.long / long_window_ms(pace.limit_per_s)
        return max(total / self._instances, total - others)

    def reports(self) -> dict[str, PaceReport]:
        """Return what this instance knows and sent, for the other instances."""
        reports = {
            upstream_id: PaceReport(pace.limit_per_s, pace.observations, pace.sent_total)
            for upstream_id, pace in self._paces.items()
        }
        for upstream_id, observations in self._ended.items():
            reports[upstream_id] = PaceReport(None, observations, 0)
        return reports

    def forget_missing(self, upstream_ids: Collection[str]) -> None:
        """Remove the upstreams that no longer exist."""
        for known in (self._paces, self._ended):
            for upstream_id in known.keys() - upstream_ids:
                del known[upstream_id]
