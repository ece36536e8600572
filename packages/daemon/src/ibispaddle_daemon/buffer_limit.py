"""Limit of the data that an instance buffers for several calls together."""

from collections.abc import Hashable


class BufferLimit:
    """Add up the buffered bytes of all holders and compare them with a maximum.

    >>> limit = BufferLimit(max_bytes=10)
    >>> limit.update("a", 6), limit.update("b", 6)
    (True, False)
    >>> limit.release("b")
    >>> limit.update("a", 8)
    True
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._bytes_by_holder: dict[Hashable, int] = {}

    def update(self, holder: Hashable, size: int) -> bool:
        """Replace the buffered bytes of a holder, and return whether all are within the maximum."""
        self.total_bytes += size - self._bytes_by_holder.get(holder, 0)
        self._bytes_by_holder[holder] = size
        return self.total_bytes <= self.max_bytes

    def add(self, holder: Hashable, size: int) -> None:
        """Add to the buffered bytes of a holder."""
        self.update(holder, self._bytes_by_holder.get(holder, 0) + size)

    def release(self, holder: Hashable) -> None:
        """Remove a holder, if it is known."""
        self.total_bytes -= self._bytes_by_holder.pop(holder, 0)
