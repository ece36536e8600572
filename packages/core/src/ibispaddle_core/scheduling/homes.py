"""Home runners: the part of the fleet that an instance prefers.

An instance knows what it sent itself at once, but what others sent only by late reports. If each
instance prefers runners of its own, most of what a runner gets is known to the instance that
decides, and instances that see the same report do not all choose the same runner.
"""

from .runners import RunnerView

# A peer that was not heard of for this long has no homes. Gossip among 390 instances takes seconds,
# and the runners of a dead instance are still borrowed until then.
PEER_EXPIRY_MS = 30_000
REFRESH_MS = 1_000
# Each instance's homes are lent to one other instance at a time. A turn is longer than a load
# report needs to arrive, so that the borrower sees what the one before it sent.
LENDING_PERIOD_MS = 3_000


class RunnerSubsets:
    """Divide the runners of a model in id order evenly among the known instances."""

    def __init__(self, instance_boot: str, wall_offset_ms: int) -> None:
        self._boot = instance_boot
        self._wall_offset_ms = wall_offset_ms
        self._instances = [instance_boot]
        self.refreshed_ms = -REFRESH_MS

    def refresh(self, peers: list[str], now_ms: int) -> None:
        """Take over the peers that were heard of recently."""
        self._instances = sorted({*peers, self._boot})
        self.refreshed_ms = now_ms

    def own_subset(self, views: list[RunnerView]) -> list[RunnerView]:
        """Return this instance's home runners; empty if there are more instances than runners."""
        return self._subset(views, self._instances.index(self._boot))

    def runners_per_instance(self, views: list[RunnerView]) -> float:
        """Return the number of runners per instance."""
        return len(views) / len(self._instances)

    def borrowed(self, views: list[RunnerView], now_ms: int) -> list[RunnerView]:
        """Return the runners of the instance that lends to this one during the present turn."""
        count = len(self._instances)
        if count == 1:
            return []
        choice_rank = (now_ms + self._wall_offset_ms) // LENDING_PERIOD_MS % (count - 1)
        return self._subset(views, (self._instances.index(self._boot) + 1 + choice_rank) % count)

    def lending_started_ms(self, now_ms: int) -> int:
        """Return the monotonic time at which the present turn began."""
        return now_ms - (now_ms + self._wall_offset_ms) % LENDING_PERIOD_MS

    def _subset(self, views: list[RunnerView], rank: int) -> list[RunnerView]:
        count = len(self._instances)
        return views[rank * len(views) // count : (rank + 1) * len(views) // count]
