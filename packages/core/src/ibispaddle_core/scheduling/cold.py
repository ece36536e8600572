"""Upstreams that are cold: slow, and able to bear fewer requests a second, for a time after a start."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

from .cost import CostModel
from .messages import Upstream

# Difference from which a stated end of the cold time counts as new. The time that passes until a
# statement is read differs by about as much.
UNTIL_TOLERANCE_MS = 500
# Part of a cold upstream's limit that instances out of touch with a hub use, all together. A hub may
# offer the whole limit to the others at the same time.
OUT_OF_TOUCH_FRACTION = 0.5


@dataclass(frozen=True)
class ColdLimit:
    """How many requests a second a cold upstream bears, and how long it is cold after a start."""

    per_s: float
    duration_ms: int


def out_of_touch_share(per_s: float, upstream_id: str, instances: int, rank: int) -> int:
    """Return the requests that an instance may send in a second without counts of the others.

    `rank` is its position among all instances. Where each one's part is less than a request a second,
    as many instances as the limit allows get one each, and they differ between upstreams.

    >>> sum(out_of_touch_share(15.0, "r1", 72, rank) for rank in range(72))
    7
    >>> out_of_touch_share(15.0, "r1", 2, 0)
    3
    """
    share = OUT_OF_TOUCH_FRACTION * per_s
    if share >= instances:
        return int(share / instances)
    position = (rank + crc32(upstream_id.encode())) % instances
    return int(position < max(1, int(share)))


class ColdUpstreams:
    """Track which upstreams are cold, and until when.

    An upstream is cold for as long as its entry in the list or a response states, or after a start that
    this instance has seen in the list, unless the entry states a time itself. What the fleet knows can
    only make an upstream cold; the times of other instances end by themselves. Upstreams of services
    without a limit for cold upstreams are never cold.

    >>> cold = ColdUpstreams()
    >>> cold.replace_limits({"r1": ColdLimit(15.0, 3_000)})
    >>> cold.observe("r1", 2_000, now_ms=100)
    >>> cold.is_cold("r1", now_ms=2_099), cold.is_cold("r1", now_ms=2_100)
    (True, False)
    """

    def __init__(self) -> None:
        self._limits: dict[str, ColdLimit] = {}
        self._until_ms: dict[str, int] = {}
        # The last statement of the list and of the fleet, which have no effect if they are repeated.
        self._listed: dict[str, Upstream] | None = None
        self._fleet_until_ms: dict[str, int] = {}
        # Upstreams that became cold and warm since `take_changes`.
        self._became_cold: set[str] = set()
        self._became_warm: set[str] = set()

    @property
    def has_any(self) -> bool:
        """Return whether any upstream is cold, or was a moment ago."""
        return bool(self._until_ms)

    def count(self, now_ms: int) -> int:
        """Return the number of cold upstreams."""
        return sum(until_ms > now_ms for until_ms in self._until_ms.values())

    def is_cold(self, upstream_id: str, now_ms: int) -> bool:
        """Return whether the upstream is cold."""
        return now_ms < self._until_ms.get(upstream_id, 0)

    def per_s(self, upstream_id: str) -> float:
        """Return the requests a second that an upstream bears while it is cold."""
        return self._limits[upstream_id].per_s

    def until_ms(self) -> Mapping[str, int]:
        """Return the end of the cold time by upstream."""
        return dict(self._until_ms)

    def replace_limits(self, limits: Mapping[str, ColdLimit]) -> None:
        """Replace the limits by upstream."""
        self._limits = dict(limits)
        for upstream_id in self._until_ms.keys() - self._limits.keys():
            del self._until_ms[upstream_id]

    def replace_upstreams(
        self, upstreams: Iterable[Upstream], cost: CostModel, now_ms: int
    ) -> None:
        """Apply a list of upstreams, or new limits of the configuration."""
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        limits = {}
        for upstream_id, upstream in listed.items():
            cfg = cost.model(upstream.models[0]) if upstream.models else None
            if cfg is not None and cfg.cold_requests_per_s > 0:
                limits[upstream_id] = ColdLimit(cfg.cold_requests_per_s, cfg.cold_ms)
        previous_limits = self._limits
        self.replace_limits(limits)
        previous, self._listed = self._listed, listed
        for upstream_id in limits:
            upstream = listed[upstream_id]
            known = previous.get(upstream_id) if previous is not None else None
            until_ms = upstream.cold_until_ms
            if until_ms is not None:
                known_ms = known.cold_until_ms if known is not None else None
                if known_ms != until_ms or upstream_id not in previous_limits:
                    self._set(upstream_id, until_ms, now_ms)
            elif previous is not None and _has_started(upstream, known):
                self._set(upstream_id, now_ms + limits[upstream_id].duration_ms, now_ms)
        for upstream_id in self._fleet_until_ms.keys() - limits.keys():
            del self._fleet_until_ms[upstream_id]

    def observe(self, upstream_id: str, left_ms: int, now_ms: int) -> None:
        """Apply the time for which the upstream stays cold, as a response states it; 0 if it is warm."""
        self._set(upstream_id, now_ms + left_ms if left_ms > 0 else 0, now_ms)

    def merge(self, upstream_id: str, left_ms: int, now_ms: int) -> None:
        """Apply the time for which an upstream stays cold as far as another instance knows."""
        until_ms = now_ms + left_ms
        if until_ms <= self._fleet_until_ms.get(upstream_id, 0) + UNTIL_TOLERANCE_MS:
            return
        self._fleet_until_ms[upstream_id] = until_ms
        if until_ms > self._until_ms.get(upstream_id, 0) + UNTIL_TOLERANCE_MS:
            self._set(upstream_id, until_ms, now_ms)

    def _set(self, upstream_id: str, until_ms: int, now_ms: int) -> None:
        if upstream_id not in self._limits:
            return
        was_cold = self.is_cold(upstream_id, now_ms)
        if until_ms > now_ms:
            self._until_ms[upstream_id] = until_ms
            if not was_cold:
                self._became_cold.add(upstream_id)
                self._became_warm.discard(upstream_id)
        elif was_cold:
            self._until_ms[upstream_id] = now_ms

    def expire(self, now_ms: int) -> Collection[str]:
        """Remove the upstreams that are warm again, and return them."""
        warm = [name for name, until_ms in self._until_ms.items() if until_ms <= now_ms]
        for upstream_id in warm:
            del self._until_ms[upstream_id]
            self._became_warm.add(upstream_id)
        return warm

    @property
    def has_changes(self) -> bool:
        """Return whether upstreams became cold or warm since `take_changes`."""
        return bool(self._became_cold or self._became_warm)

    def take_changes(self) -> tuple[list[str], list[str]]:
        """Return the upstreams that became cold, and those that became warm, since the last call."""
        changes = sorted(self._became_cold), sorted(self._became_warm)
        self._became_cold, self._became_warm = set(), set()
        return changes


def _has_started(upstream: Upstream, known: Upstream | None) -> bool:
    """Return whether the process is another one than in the previous list."""
    if upstream.boot_ms is None:
        return False
    return known is None or known.boot_ms != upstream.boot_ms
