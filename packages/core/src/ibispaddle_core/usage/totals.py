"""Totals computed from the records of the `usage` stream."""

from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from .counters import ZERO_COUNTS, Counts
from .exceptions import UsageRecordError


class _Record(msgspec.Struct):
    instance_boot: str
    counters: dict[str, tuple[int, int, int, int]]


class UsageTotals:
    """Aggregate usage records: the maximum per process and workspace, summed over all processes."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], Counts] = {}

    def fold(self, data: Mapping[str, Any]) -> Result[None, UsageRecordError]:
        """Merge one record."""
        try:
            record = msgspec.convert(data, _Record)
        except msgspec.ValidationError as exc:
            return Err(UsageRecordError(str(exc)))
        for workspace, values in record.counters.items():
            key = (record.instance_boot, workspace)
            self._counts[key] = self._counts.get(key, ZERO_COUNTS).maximum(Counts(*values))
        return Ok(None)

    def process(self, instance_boot: str, workspace: str) -> Counts:
        """Return the counters of one process for a workspace, as recorded in the log."""
        return self._counts.get((instance_boot, workspace), ZERO_COUNTS)

    def total(self, workspace: str) -> Counts:
        """Return the counters of a workspace, summed over all processes."""
        total = ZERO_COUNTS
        for (_, name), counts in self._counts.items():
            if name == workspace:
                total = total.add(counts)
        return total
