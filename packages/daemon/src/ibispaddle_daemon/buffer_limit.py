"""Limit of the data that an instance buffers for several calls together."""


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
        self._bytes_by_holder: dict[str, int] = {}

    def update(self, holder: str, size: int) -> bool:
        """Replace the buffered bytes of a holder, and return whether all are within the maximum."""
        self.total_bytes += size - self._bytes_by_holder.get(holder, 0)
        self._bytes_by_holder[holder] = size
        return self.total_bytes <= self.max_bytes

    def release(self, holder: str) -> None:
        """Remove a holder, if it is known."""
        self.total_bytes -= self._bytes_by_holder.pop(holder, 0)
