"""Pacing of upstreams that limit the requests they take, are cold, or ask for a pause."""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .cold import ColdUpstreams, out_of_touch_share
from .messages import ColdOffer, FleetPaces, PaceReport, SentCounts

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
# Age up to which a hub's offers for cold upstreams are used, from the question on. The hub keeps an offer
# longer (`OFFER_RETENTION_MS`), until the report of the request has arrived.
OFFER_MAX_AGE_MS = 50


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
    """A limited or cold upstream as known to this instance."""

    limit_per_s: float | None  # None while the upstream names no limit.
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
    even share of the limit. An upstream that is cold gets a request only if a hub has just offered room
    for it, or within the share of instances out of touch; limit and coldness apply side by side.

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
        self.cold = ColdUpstreams()
        self._paces: dict[str, _Pace] = {}
        self._held_until_ms: dict[str, int] = {}
        # Room at cold upstreams that a hub has offered, until it is used.
        self._offered: dict[str, int] = {}
        self._offered_ms: int | None = None
        # Numbers of requests to upstreams that are no longer limited or cold. A number that starts
        # again would hide as many requests from the hubs.
        self._past_sent: dict[str, int] = {}
        self._rank: int | None = None  # None until the fleet is known.
        self.cold_skips = 0  # Times that a cold upstream was left out of a choice.
        # Observations of limits that ended, to be reported to the other instances.
        self._ended: dict[str, int] = {}
        self._fleet_ms: int | None = None
        self._instances = 1
        self._observations = 0

    @property
    def has_limits(self) -> bool:
        """Return whether any upstream is limited or cold."""
        return bool(self._paces) or self.cold.has_any

    @property
    def is_idle(self) -> bool:
        """Return whether no upstream is limited, cold or has asked for a pause."""
        return not (self._paces or self._held_until_ms or self.cold.has_any)

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
        """Return whether a limit that the upstream names is known."""
        pace = self._paces.get(upstream_id)
        return pace is not None and pace.limit_per_s is not None

    def observe(self, upstream_id: str, limit_per_s: float | None, now_ms: int) -> None:
        """Apply what a response of an upstream states."""
        pace = self._paces.get(upstream_id)
        if limit_per_s is None and (pace is None or pace.limit_per_s is None):
            return
        self._observations += 1
        if limit_per_s is None:
            assert pace is not None
            pace.limit_per_s, pace.observations = None, self._observations
            self._remove_if_unlimited(upstream_id, now_ms)
            return
        pace = self._limit(upstream_id, limit_per_s, now_ms)
        pace.observations = self._observations

    def _limit(self, upstream_id: str, limit_per_s: float, observed_ms: int) -> _Pace:
        """Apply a limit that the upstream named at a time."""
        pace = self._paces.get(upstream_id) or self._add(upstream_id, observed_ms)
        if pace.limit_per_s is None:
            # The request whose response stated the limit, or an allowance for one of another instance.
            last_ms = pace.sent_ms[0] if pace.sent_ms else observed_ms
            pace.sent_ms.appendleft(max(observed_ms, last_ms))
        pace.limit_per_s, pace.observed_ms = limit_per_s, observed_ms
        return pace

    def _add(self, upstream_id: str, now_ms: int) -> _Pace:
        # The numbers must not decrease, which would look like a restart to the hubs.
        observations = self._ended.pop(upstream_id, 0)
        sent_total = self._past_sent.pop(upstream_id, 0)
        pace = self._paces[upstream_id] = _Pace(None, now_ms, observations, sent_total)
        return pace

    def _remove_if_unlimited(self, upstream_id: str, now_ms: int) -> None:
        pace = self._paces.get(upstream_id)
        if pace is None or pace.limit_per_s is not None or self.cold.is_cold(upstream_id, now_ms):
            return
        del self._paces[upstream_id]
        self._past_sent[upstream_id] = pace.sent_total
        if pace.observations:
            self._ended[upstream_id] = pace.observations

    def set_fleet(self, fleet: FleetPaces, now_ms: int) -> None:
        """Apply the limits that the other instances know, and their requests."""
        self._instances, self._rank = max(1, fleet.instances), fleet.rank
        self._set_offers(fleet.cold, fleet.asked_ms, now_ms)
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
                    pace.limit_per_s = None
                    self._remove_if_unlimited(upstream_id, now_ms)
                continue
            if pace is None or pace.limit_per_s is None or pace.observed_ms < observed_ms:
                pace = self._limit(upstream_id, row.limit_per_s, observed_ms)
            pace.others = row.sent

    def _set_offers(
        self, offers: Mapping[str, ColdOffer] | None, asked_ms: int, now_ms: int
    ) -> None:
        """Apply the offers of a hub, or keep to the share of instances out of touch."""
        self.expire_cold(now_ms)
        self._offered, self._offered_ms = {}, None
        if offers is None:
            return
        self._offered_ms = asked_ms
        for upstream_id, offer in offers.items():
            self.cold.merge(upstream_id, offer.left_ms, now_ms)
            self._offered[upstream_id] = offer.room

    def cold_without_offer(self) -> dict[str, int]:
        """Return the ends of the cold times that the hub did not know when it answered last."""
        if not self.cold.has_any:
            return {}
        until_ms = self.cold.until_ms()
        return {name: end_ms for name, end_ms in until_ms.items() if name not in self._offered}

    def expire_cold(self, now_ms: int) -> None:
        """Forget the upstreams that are no longer cold."""
        for upstream_id in self.cold.expire(now_ms):
            self._remove_if_unlimited(upstream_id, now_ms)

    def count_part(self, upstream_id: str, now_ms: int) -> None:
        """Count a part of a prompt, or a reservation, that only a cold upstream counts as a request."""
        if self.cold.has_any and self.cold.is_cold(upstream_id, now_ms):
            self.count_sent(upstream_id, now_ms)

    def count_sent(self, upstream_id: str, now_ms: int) -> None:
        """Count a request that is sent to an upstream."""
        pace = self._paces.get(upstream_id)
        if pace is None:
            if not self.cold.has_any or not self.cold.is_cold(upstream_id, now_ms):
                return
            pace = self._add(upstream_id, now_ms)
        if upstream_id in self._offered:
            self._offered[upstream_id] -= 1
        pace.sent_total += 1
        pace.sent_ms.appendleft(now_ms)
        while pace.sent_ms[-1] <= now_ms - MAX_SHARE_WINDOW_MS:
            pace.sent_ms.pop()

    def has_room(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether the upstream may be sent one more request now."""
        if self._is_held(upstream_id, now_ms):
            return False
        is_cold = self.cold.has_any and self.cold.is_cold(upstream_id, now_ms)
        if is_cold and not self._has_cold_room(upstream_id, now_ms):
            self.cold_skips += 1
            return False
        pace = self._paces.get(upstream_id)
        if pace is None or pace.limit_per_s is None:
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

    def _has_cold_room(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether a hub has offered room, or the share of instances out of touch has some."""
        offered_ms = self._offered_ms
        if offered_ms is not None and now_ms - offered_ms <= OFFER_MAX_AGE_MS:
            room = self._offered.get(upstream_id)
            if room is not None:
                return room > 0
        if self._rank is None:
            return False
        share = out_of_touch_share(
            self.cold.per_s(upstream_id), upstream_id, self._instances, self._rank
        )
        pace = self._paces.get(upstream_id)
        sent = 0 if pace is None else pace.count_since(now_ms - SHORT_WINDOW_MS)
        return sent < share

    def _is_held(self, upstream_id: str, now_ms: int) -> bool:
        until_ms = self._held_until_ms.get(upstream_id)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        del self._held_until_ms[upstream_id]
        return False

    def _has_room_in_share(self, pace: _Pace, now_ms: int) -> bool:
        assert pace.limit_per_s is not None
        share_per_s = pace.limit_per_s / self._instances
        window_ms = MAX_SHARE_WINDOW_MS
        if share_per_s * MAX_SHARE_WINDOW_MS > 1_000:
            window_ms = max(LONG_WINDOW_MS, round(1_000 / share_per_s))
        max_sent = max(1.0, share_per_s * window_ms / 1_000)
        return pace.count_since(now_ms - window_ms) + 1 <= max_sent

    def rate_per_s(self, upstream_ids: Collection[str]) -> float | None:
        """Return the requests a second that this instance can expect to send to limited upstreams.

        That is what the other instances leave of the limits, but at least an even share. None if none
        of the upstreams is limited. Cold upstreams count only while there are no warm ones, which take
        the requests otherwise.
        """
        total = others = 0.0
        paces = [
            (pace, pace.limit_per_s)
            for name in upstream_ids
            if (pace := self._paces.get(name)) is not None and pace.limit_per_s is not None
        ]
        cold_per_s = self._cold_rate_per_s(upstream_ids)
        if not paces:
            return cold_per_s
        for pace, limit_per_s in paces:
            total += limit_per_s
            if pace.others is not None:
                others += 1_000 * pace.others.long / long_window_ms(limit_per_s)
        return max(total / self._instances, total - others) + (cold_per_s or 0.0)

    def _cold_rate_per_s(self, upstream_ids: Collection[str]) -> float | None:
        """Return the even share of cold upstreams that name no limit, or None if others are warm."""
        if not self.cold.has_any:
            return None
        unlimited = [name for name in upstream_ids if not self.is_limited(name)]
        until_ms = self.cold.until_ms()
        if not unlimited or any(name not in until_ms for name in unlimited):
            return None
        return sum(self.cold.per_s(name) for name in unlimited) / self._instances

    def reports(self) -> dict[str, PaceReport]:
        """Return what this instance knows and sent, for the other instances."""
        reports = {
            upstream_id: PaceReport(pace.limit_per_s, pace.observations, pace.sent_total)
            for upstream_id, pace in self._paces.items()
        }
        for upstream_id, observations in self._ended.items():
            sent = self._past_sent.get(upstream_id, 0)
            reports[upstream_id] = PaceReport(None, observations, sent)
        return reports

    def forget_missing(self, upstream_ids: Collection[str]) -> None:
        """Remove the upstreams that no longer exist."""
        for known in (self._paces, self._ended, self._past_sent):
            for upstream_id in known.keys() - upstream_ids:
                del known[upstream_id]
