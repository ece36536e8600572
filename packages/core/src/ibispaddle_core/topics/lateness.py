"""The time after which a store that does not answer counts as unavailable to an instance."""

# Bounds of the time beyond the long-poll wait. A hub that counts as cut off makes others read the store, which
# a slow answer is not worth.
MIN_LATE_MARGIN_MS = 350
MAX_LATE_MARGIN_MS = 600
# The lower bound once the data is so old that the others read the store anyway.
MIN_OVERDUE_LATE_MARGIN_MS = 250


class LateMargin:
    """Derive the margin from the last answer: twice the time that it took beyond its wait.

    >>> margin = LateMargin()
    >>> margin.after_ms(is_data_overdue=False), margin.after_ms(is_data_overdue=True)
    (350, 250)
    >>> margin.record_answer(excess_ms=260)
    >>> margin.after_ms(is_data_overdue=False), margin.after_ms(is_data_overdue=True)
    (520, 520)
    """

    def __init__(self) -> None:
        self._last_excess_ms = 0

    def record_answer(self, excess_ms: int) -> None:
        """Record the time that an answer took beyond its wait."""
        self._last_excess_ms = excess_ms

    def after_ms(self, is_data_overdue: bool) -> int:
        """Return the time beyond the wait after which an answer is late."""
        shortest_ms = MIN_OVERDUE_LATE_MARGIN_MS if is_data_overdue else MIN_LATE_MARGIN_MS
        return max(shortest_ms, min(MAX_LATE_MARGIN_MS, 2 * self._last_excess_ms))
