"""Home runners: the part of the fleet that an instance prefers.

An instance knows what it sent itself at once, but what others sent only by late reports. If each
instance prefers runners of its own, most of what a runner gets is known to the instance that
decides, and instances that see the same report do not all choose the same runner.
"""

from .runners import RunnerView

# A peer that was not heard of for this long has no homes; gossip arrives about twice a second.
PEER_EXPIRY_MS = 10_000
REFRESH_MS = 1_000


class Homes:
    """Divide the runners of a model in id order evenly among the known instances."""

    def __init__(self, instance_boot: str) -> None:
        self._boot = instance_boot
        self._instances = [instance_boot]
        self.refreshed_ms = -REFRESH_MS

    def refresh(self, peers: list[str], now_ms: int) -> None:
        """Take over the peers that were heard of recently."""
        self._instances = sorted({*peers, self._boot})
        self.refreshed_ms = now_ms

    def select(self, views: list[RunnerView]) -> list[RunnerView]:
        """Return this instance's home runners; empty if there are more instances than runners."""
        rank = self._instances.index(self._boot)
        count = len(self._instances)
        return views[rank * len(views) // count : (rank + 1) * len(views) // count]
