"""Order in which entries are sent: fewest transmissions first."""

from collections.abc import Callable
from typing import Generic, TypeVar

K = TypeVar("K")

# Above this number of transmissions entries take turns without being counted further.
MAX_TRANSMISSIONS = 64
# Entries that do not fit in the rest of a digest are passed over this often before it is closed.
MAX_MISFITS = 4


class TransmissionQueue(Generic[K]):
    """Hold keys in buckets by their number of transmissions, oldest first in each bucket."""

    def __init__(self) -> None:
        self._buckets: dict[int, dict[K, None]] = {}
        self._counts: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

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
        """Return the keys of one digest of at most `budget` bytes and count their transmission."""
        taken: list[K] = []
        misfits = 0
        for count in sorted(self._buckets):
            for key in self._buckets[count]:
                needed = size(key)
                if needed > budget:
                    misfits += 1
                    if misfits > MAX_MISFITS:
                        break
                    continue
                budget -= needed
                taken.append(key)
            if misfits > MAX_MISFITS:
                break
        for key in taken:
            count = self._counts[key]
            self.discard(key)
            self._put(key, min(count + 1, MAX_TRANSMISSIONS))
        return taken
