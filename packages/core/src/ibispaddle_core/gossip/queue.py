"""Transmission queue that sends entries with the fewest transmissions first."""

from collections.abc import Callable
from typing import Generic, TypeVar

K = TypeVar("K")

# Transmissions are not counted beyond this number; such entries are sent in turn.
MAX_COUNTED_TRANSMISSIONS = 64
# Number of entries too large for the rest of a digest that are skipped before the digest is closed.
MAX_SKIPPED = 4
# Fraction of a digest reserved for entries that were sent before. If more new versions arrived than
# fit, an entry that its origin writes only once would otherwise be sent once and not reach every
# instance.
RETRANSMISSION_FRACTION = 0.25


class TransmissionQueue(Generic[K]):
    """Keys in buckets by their number of transmissions, oldest first in each bucket."""

    def __init__(self) -> None:
        self._buckets: dict[int, dict[K, None]] = {}
        self._counts: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, key: K) -> bool:
        return key in self._counts

    def reset(self, key: K) -> None:
        """Set a key's number of transmissions to zero.

        A key that still waits for its first transmission keeps its position, so that frequent new
        versions do not starve it.
        """
        if self._counts.get(key) == 0:
            return
        self.discard(key)
        self._put(key, 0)

    def discard(self, key: K) -> None:
        """Remove a key if it is present."""
        count = self._counts.pop(key, None)
        if count is not None:
            bucket = self._buckets[count]
            del bucket[key]
            if not bucket:
                del self._buckets[count]

    def _put(self, key: K, count: int) -> None:
        self._counts[key] = count
        self._buckets.setdefault(count, {})[key] = None

    def take_batch(self, budget: int, size: Callable[[K], int]) -> list[K]:
        """Return keys for a digest of at most `budget` bytes and count their transmission.

        Unsent keys come first, but leave `RETRANSMISSION_FRACTION` of the budget to the others.
        """
        sent = [count for count in sorted(self._buckets) if count > 0]
        reserved = round(budget * RETRANSMISSION_FRACTION) if sent else 0
        taken: dict[K, None] = {}
        remaining = self._fill([0], budget - reserved, size, taken) + reserved
        remaining = self._fill(sent, remaining, size, taken)
        self._fill([0], remaining, size, taken)
        for key in taken:
            count = self._counts[key]
            self.discard(key)
            self._put(key, min(count + 1, MAX_COUNTED_TRANSMISSIONS))
        return list(taken)

    def _fill(
        self, counts: list[int], budget: int, size: Callable[[K], int], taken: dict[K, None]
    ) -> int:
        """Add keys of the buckets and return the remaining budget in bytes."""
        skipped = 0
        for count in counts:
            for key in self._buckets.get(count, ()):
                if key in taken:
                    continue
                needed = size(key)
                if needed > budget:
                    skipped += 1
                    if skipped > MAX_SKIPPED:
                        return budget
                    continue
                budget -= needed
                taken[key] = None
        return budget
