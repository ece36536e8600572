"""Measured times to first output, relative to their predictions."""

from typing import TYPE_CHECKING

from .messages import FirstOutputQuantiles

if TYPE_CHECKING:
    from ddsketch import LogCollapsingLowestDenseDDSketch

# Samples are kept for one to two of these periods.
PERIOD_MS = 30_000
# Relative error of the quantiles, and the number of buckets that bounds the memory of a sketch.
RELATIVE_ACCURACY = 0.02
MAX_BUCKETS = 512
# Age up to which computed quantiles are used again.
MAX_QUANTILES_AGE_MS = 500


class _Class:
    """The samples of one class in the current period and in the one before it."""

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.current, self.previous = _sketch(), _sketch()
        self.computed: tuple[int, FirstOutputQuantiles] | None = None

    def expire(self, now_ms: int) -> None:
        if now_ms - self.started_ms < PERIOD_MS:
            return
        is_recent = now_ms - self.started_ms < 2 * PERIOD_MS
        self.previous = self.current if is_recent else _sketch()
        self.current, self.started_ms, self.computed = _sketch(), now_ms, None


class FirstOutputTimes:
    """Distribution of the times to first output by class, as multiples of their predictions.

    Multiples, so that prompts of different lengths and upstreams with different work have one
    distribution.

    >>> times = FirstOutputTimes(tail_fraction=0.02)
    >>> for number in range(100):
    ...     times.add("llm", 1.0 if number < 90 else 5.0, now_ms=0)
    >>> quantiles = times.quantiles("llm", now_ms=0)
    >>> quantiles.count, round(quantiles.upper_quartile), round(quantiles.tail)
    (100, 1, 5)
    """

    def __init__(self, tail_fraction: float) -> None:
        self._tail = 1 - tail_fraction
        self._classes: dict[str, _Class] = {}

    def add(self, name: str, ratio: float, now_ms: int) -> None:
        """Add the time of one request, divided by its prediction."""
        item = self._classes.get(name)
        if item is None:
            item = self._classes[name] = _Class(now_ms)
        item.expire(now_ms)
        item.current.add(ratio)

    def quantiles(self, name: str, now_ms: int) -> FirstOutputQuantiles | None:
        """Return the quantiles of a class, or None if it has no recent samples."""
        item = self._classes.get(name)
        if item is None:
            return None
        item.expire(now_ms)
        if item.computed is None or now_ms - item.computed[0] > MAX_QUANTILES_AGE_MS:
            merged = _sketch()
            merged.merge(item.current)
            merged.merge(item.previous)
            if not merged.count:
                return None
            quantiles = FirstOutputQuantiles(
                round(merged.count),
                float(merged.get_quantile_value(0.75) or 0.0),
                float(merged.get_quantile_value(self._tail) or 0.0),
            )
            item.computed = (now_ms, quantiles)
        return item.computed[1]

    def all_quantiles(self, now_ms: int) -> dict[str, FirstOutputQuantiles]:
        """Return the quantiles of all classes with recent samples."""
        items = ((name, self.quantiles(name, now_ms)) for name in self._classes)
        return {name: quantiles for name, quantiles in items if quantiles is not None}


def _sketch() -> "LogCollapsingLowestDenseDDSketch":
    # Imported here, because instances without hedging start faster and need less memory without it.
    from ddsketch import LogCollapsingLowestDenseDDSketch

    return LogCollapsingLowestDenseDDSketch(RELATIVE_ACCURACY, MAX_BUCKETS)
