"""Cumulative consumption of each neighbour, merged over all instances.

Every instance owns one monotonic counter per neighbour. Counters of peers are merged by maximum, so
repeated and reordered messages have no effect.
"""

import math
from collections.abc import Mapping

from .exceptions import NegativeCostError

# Time constant of the exponential decay. It limits the credit of an idle neighbour to about the work of
# this time, and is much longer than the 0.5 s between two gossip messages.
DECAY_MS = 20_000.0


class ShareCounters:
    """Track the decayed consumption of neighbours in relation to their weights."""

    def __init__(self, weights: Mapping[str, float], decay_ms: float = DECAY_MS) -> None:
        self._weights = dict(weights)
        self._decay_ms = decay_ms
        self._own: dict[str, float] = {}
        self._credit: dict[str, float] = {}
        self._peers: dict[str, dict[str, float]] = {}
        self._last_merge_ms: dict[str, int] = {}
        self._decayed: dict[str, float] = {}
        self._last_decay_ms = 0

    def replace_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights; past consumption is kept."""
        self._weights = dict(weights)

    def weight(self, neighbour: str) -> float:
        """Return the neighbour's weight, 1 if none is configured."""
        return self._weights.get(neighbour, 1.0)

    def charge(self, neighbour: str, cost_ms: float, now_ms: int) -> None:
        """Add engine milliseconds that this instance consumed for the neighbour."""
        if cost_ms < 0:
            raise NegativeCostError(f"cost of {neighbour!r} must not be negative, got {cost_ms} ms")
        credit = min(cost_ms, self._credit.get(neighbour, 0.0))
        if credit:
            self._credit[neighbour] -= credit
        self._own[neighbour] = self._own.get(neighbour, 0.0) + cost_ms - credit
        self._add(neighbour, cost_ms - credit, now_ms)

    def refund(self, neighbour: str, cost_ms: float) -> None:
        """Subtract an overestimate from later charges, because the counter must not decrease."""
        self._credit[neighbour] = self._credit.get(neighbour, 0.0) + max(0.0, cost_ms)

    def merge(self, instance_boot: str, consumed_ms: Mapping[str, float], now_ms: int) -> None:
        """Merge the counters of a peer by maximum.

        The first message of a peer only sets the baseline, because most of its earlier consumption has
        decayed already.
        """
        self._last_merge_ms[instance_boot] = now_ms
        known = self._peers.get(instance_boot)
        if known is None:
            self._peers[instance_boot] = dict(consumed_ms)
            return
        for neighbour, value in consumed_ms.items():
            growth = value - known.get(neighbour, 0.0)
            if growth > 0:
                known[neighbour] = value
                self._add(neighbour, growth, now_ms)

    def own_counters(self) -> dict[str, float]:
        """Return this instance's cumulative counters, in engine milliseconds."""
        return dict(self._own)

    def recent_peers(self, since_ms: int) -> list[str]:
        """Return the boot ids of the peers whose counters were merged at or after a time."""
        return [boot for boot, merge_ms in self._last_merge_ms.items() if merge_ms >= since_ms]

    def normalised(self, neighbour: str) -> float:
        """Return the decayed consumption per unit of weight, for comparison between neighbours."""
        return self._decayed.get(neighbour, 0.0) / self.weight(neighbour)

    def is_below_share(self, neighbour: str, margin: float) -> bool:
        """Return whether the neighbour is below the mean by more than `margin`, a fraction of it."""
        if not self._decayed:
            return False
        mean = sum(map(self.normalised, self._decayed)) / len(self._decayed)
        return self.normalised(neighbour) < (1 - margin) * mean

    def _add(self, neighbour: str, cost_ms: float, now_ms: int) -> None:
        elapsed = now_ms - self._last_decay_ms
        if elapsed > 0:
            factor = math.exp(-elapsed / self._decay_ms)
            for name in self._decayed:
                self._decayed[name] *= factor
            self._last_decay_ms = now_ms
        self._decayed[neighbour] = self._decayed.get(neighbour, 0.0) + cost_ms
