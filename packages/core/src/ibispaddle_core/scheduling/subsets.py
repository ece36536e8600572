"""Subsets of the fleet's runners, one preferred by each instance.

An instance knows its own work immediately, but the work of other instances only from delayed
reports. If each instance prefers its own subset of runners, it knows most of the work of the runners
that it chooses from, and instances that see the same report do not all choose the same runner.
"""

from .runners import RunnerView

# A peer whose consumption counters have not arrived for this long loses its subset. Gossip among 390
# instances takes seconds. Until then, the runners of a dead instance are still used as the secondary
# subset of other instances.
PEER_EXPIRY_MS = 30_000
REFRESH_MS = 1_000
# Each subset is the secondary subset of one other instance at a time, and changes after this period.
# The period is longer than the delay of a load report, so that the next instance sees the work that
# the previous one sent.
ROTATION_PERIOD_MS = 3_000


class RunnerSubsets:
    """Divide the runners of a model evenly among the known instances, in id order."""

    def __init__(self, instance_boot: str, wall_offset_ms: int) -> None:
        self._boot = instance_boot
        self._wall_offset_ms = wall_offset_ms
        self._instances = [instance_boot]
        self.refreshed_ms = -REFRESH_MS

    def refresh(self, peers: list[str], now_ms: int) -> None:
        """Replace the known peers."""
        self._instances = sorted({*peers, self._boot})
        self.refreshed_ms = now_ms

    def own_subset(self, views: list[RunnerView]) -> list[RunnerView]:
        """Return this instance's runners, which may be none if there are more instances than runners."""
        return self._subset(views, self._instances.index(self._boot))

    def runners_per_instance(self, views: list[RunnerView]) -> float:
        """Return the average number of runners per instance."""
        return len(views) / len(self._instances)

    def secondary_subset(self, views: list[RunnerView], now_ms: int) -> list[RunnerView]:
        """Return another instance's subset that this instance may use in the current period."""
        count = len(self._instances)
        if count == 1:
            return []
        period_index = (now_ms + self._wall_offset_ms) // ROTATION_PERIOD_MS % (count - 1)
        return self._subset(views, (self._instances.index(self._boot) + 1 + period_index) % count)

    def period_started_ms(self, now_ms: int) -> int:
        """Return the monotonic time at which the current period started."""
        return now_ms - (now_ms + self._wall_offset_ms) % ROTATION_PERIOD_MS

    def _subset(self, views: list[RunnerView], rank: int) -> list[RunnerView]:
        count = len(self._instances)
        return views[rank * len(views) // count : (rank + 1) * len(views) // count]
