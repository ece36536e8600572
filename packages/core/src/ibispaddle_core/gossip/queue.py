"""Order in which entries are sent: fewest transmissions first."""

from collections.abc import Callable
from typing import Generic, TypeVar

K = TypeVar("K")

# Above this number of transmissions entries take turns without being counted further.
MAX_TRANSMISSIONS = 64
# Entries that do not fit in the rest of a digest are passed over this often before it is closed.
MAX_MISFITS = 4
# With more new versions than fit, entries that were sent once would never be sent again, and one
# that its origin writes once would not reach every instance.
SENT_FRACTION = 0.25


class TransmissionQueue(Generic[K]):
    """Hold keys in buckets by their number of transmissions, oldest first in each bucket."""

    def __init__(self) -> None:
        self._buckets: dict[int, dict[K, None]] = {}
        self._counts: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, key: K) -> bool:
        return key in self._counts

    def renew(self, key: K) -> None:
        """Set a key's transmissions to zero.

        A key that already waits for its first transmission keeps its place, so that frequent new
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

    def take(self, budget: int, size: Callable[[K], int]) -> list[K]:
        """Return the keys of one digest of at most `budget` bytes and count their transmission.

        Keys that were not sent yet go first, but leave a part to the others.
        """
        sent = [count for count in sorted(self._buckets) if count > 0]
        reserved = round(budget * SENT_FRACTION) if sent else 0
        taken: dict[K, None] = {}
        left = self._fill([0], budget - reserved, size, taken) + reserved
        left = self._fill(sent, left, size, taken)
        self._fill([0], left, size, taken)
        for key in taken:
            count = self._counts[key]
            self.discard(key)
            self._put(key, min(count + 1, MAX_TRANSMISSIONS))
        return list(taken)

    def _fill(
        self, counts: list[int], budget: int, size: Callable[[K], int], taken: dict[K, None]
    ) -> int:
        """Add keys of these buckets and return the bytes left."""
        misfits = 0
        for count in counts:
            for key in self._buckets.get(count, ()):
                if key in taken:
                    continue
                needed = size(key)
                if needed > budget:
                    misfits += 1
                    if misfits > MAX_MISFITS:
                        return budget
                    continue
                budget -= needed
                taken[key] = None
        return budget
