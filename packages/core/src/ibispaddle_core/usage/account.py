"""Aggregate of the stream `usage`: totals per workspace that are kept beyond the log's retention.

The aggregate is a function of the records from offset 0 to `as_of`. Two readers that have applied
the same records therefore have the same aggregate, and a rollup is exact regardless of when its
parts are appended. A reader can start from a rollup only if it has all parts and the log still has
all records after the rollup's `as_of`.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from result import Ok

from ..decoding import DECODE_ERRORS
from ..log_pages import LogPageReader
from .counters import Counts, split_instance_boot
from .rollups import CounterValues, RollupCollector, RollupPart, is_rollup, join_parts, read_part

# A boot without a record for this time is regarded as ended. Longer than any expected outage of the
# log or pause of an instance, and about 60,000 flush intervals of the largest fleet. It may exceed
# the log's retention, because rollups include the counters of open boots.
BOOT_EXPIRY_MS = 7 * 86_400_000
# A rollup is due when this part of the retention has passed since the last one. It has to be renewed
# long before the log drops it, also after a long outage of the log.
ROLLUPS_PER_RETENTION = 4


class UsageRecord(msgspec.Struct):
    """A record of the stream: offset, time at which the log appended it, and content."""

    offset: int
    time_ms: int
    data: dict[str, Any]


class _Flush(msgspec.Struct):
    instance_boot: str
    counters: dict[str, CounterValues]


class UsageAggregate:
    """Aggregate records into totals: the maximum per process and workspace, summed over processes.

    When a boot is closed, its counters are added to the totals and discarded. The highest closed
    boot of each instance is stored. Records of that boot or an earlier one that is not open are
    ignored, because it is no longer known whether they were counted, and no usage may count twice.

    >>> aggregate = UsageAggregate()
    >>> for offset, generated in enumerate((5, 9, 9)):
    ...     data = {"instance_boot": "a-1", "counters": {"w": [1, 2, generated, 4]}}
    ...     aggregate.fold(UsageRecord(offset, 0, data))
    >>> aggregate.totals()["w"].generated_tokens, aggregate.as_of
    (9, 2)
    """

    def __init__(self) -> None:
        self.as_of = -1
        # Highest record time so far; the log's clock can go back when its server changes.
        self.time_ms = 0
        # Plain tuples take at most half the time of `Counts` objects in `fold` and `to_rollup`.
        self._closed_totals: dict[str, CounterValues] = {}
        self._open_boots: dict[str, dict[str, CounterValues]] = {}
        # Time of the last record of each open boot, in ascending order.
        self._last_ms: dict[str, int] = {}
        self._last_closed_boot: dict[str, int] = {}

    def fold(self, record: UsageRecord) -> None:
        """Apply the next record; a malformed one only advances the offset and the time."""
        self.as_of = record.offset
        self.time_ms = max(self.time_ms, record.time_ms)
        self._close_boots()
        try:
            flush = msgspec.convert(record.data, _Flush)
            instance_id, boot = split_instance_boot(flush.instance_boot)
        except (*DECODE_ERRORS, ValueError):
            return
        name = flush.instance_boot
        if name not in self._open_boots and boot <= self._last_closed_boot.get(instance_id, -1):
            return
        counters = self._open_boots.setdefault(name, {})
        for workspace, values in flush.counters.items():
            known = counters.get(workspace)
            counters[workspace] = values if known is None else _maximum(known, values)
        self._last_ms.pop(name, None)
        self._last_ms[name] = self.time_ms

    def _close_boots(self) -> None:
        while self._last_ms:
            name = next(iter(self._last_ms))
            if self.time_ms - self._last_ms[name] < BOOT_EXPIRY_MS:
                break
            del self._last_ms[name]
            _add(self._closed_totals, self._open_boots.pop(name))
            instance_id, boot = split_instance_boot(name)
            self._last_closed_boot[instance_id] = max(
                boot, self._last_closed_boot.get(instance_id, boot)
            )

    def totals(self) -> dict[str, Counts]:
        """Return the counters of each workspace, summed over all processes."""
        totals = dict(self._closed_totals)
        for counters in self._open_boots.values():
            _add(totals, counters)
        return {workspace: Counts(*values) for workspace, values in totals.items()}

    def to_rollup(self, writer: str) -> RollupPart:
        """Return a copy of this aggregate as an unsplit rollup of process `writer`."""
        return RollupPart(
            self.as_of,
            self.time_ms,
            dict(self._closed_totals),
            {name: dict(counters) for name, counters in self._open_boots.items()},
            dict(self._last_ms),
            dict(self._last_closed_boot),
            writer,
        )

    @classmethod
    def from_rollup(cls, rollup: RollupPart) -> "UsageAggregate":
        """Return an aggregate that continues from an unsplit rollup, whose data it takes over."""
        aggregate = cls()
        aggregate.as_of, aggregate.time_ms = rollup.as_of, rollup.time_ms
        aggregate._closed_totals = rollup.totals
        aggregate._open_boots = rollup.boots
        # The order of the members of a JSON object is not guaranteed.
        aggregate._last_ms = dict(sorted(rollup.last_ms.items(), key=lambda item: item[1]))
        aggregate._last_closed_boot = rollup.closed
        return aggregate


def _maximum(one: CounterValues, other: CounterValues) -> CounterValues:
    (a, b, c, d), (e, f, g, h) = one, other
    return (a if a > e else e, b if b > f else f, c if c > g else g, d if d > h else h)


def _add(totals: dict[str, CounterValues], counters: Mapping[str, CounterValues]) -> None:
    for workspace, (a, b, c, d) in counters.items():
        e, f, g, h = totals.get(workspace, (0, 0, 0, 0))
        totals[workspace] = (a + e, b + f, c + g, d + h)


class UsageAggregateReader(LogPageReader):
    """Read the stream page by page, starting at `position`.

    `complete` is true while the aggregate includes all records since offset 0. If the log has
    dropped records that were not read, the remaining records are applied until a usable rollup is
    found. The aggregate then continues from the rollup, and `position` is set to the record after
    its `as_of`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.aggregate = UsageAggregate()
        self.complete = True
        # Time up to which each usable rollup covers the stream; the key is `as_of`.
        self._covered_until_ms: dict[int, int] = {}
        # Times of the rollup parts that directly follow their rollup's `as_of`; the key is `as_of`.
        self._adjacent_part_ms: dict[int, int] = {}
        self._collector = RollupCollector()

    def read_page(self, first_offset: int, records: Iterable[UsageRecord]) -> None:
        """Apply a page that was read from `position` on."""
        for record in self._new_records(first_offset, records):
            if is_rollup(record.data) and self._apply_rollup_part(record):
                return
            self.aggregate.fold(record)

    def is_rollup_due(self, now_ms: int, retention_ms: int) -> bool:
        """Return whether the newest usable rollup is too old; `now_ms` is wall time.

        A rollup is usable while the log has the record after its `as_of`. The time at which the
        rollup was appended counts only if it is that record, because a paused instance can append
        an old rollup late, which must not be regarded as a new one.
        """
        if not self.complete or self.aggregate.as_of < 0:
            return False
        covered_until_ms = [
            time for as_of, time in self._covered_until_ms.items() if self._is_retained_after(as_of)
        ]
        return now_ms - max(covered_until_ms, default=0) > retention_ms // ROLLUPS_PER_RETENTION

    def _start_block(self, offset: int) -> None:
        # Without the missing records the aggregate is a lower bound: some usage may be missing, but
        # none is counted twice. Rollups whose parts were read before are not usable, because their
        # `as_of` is before the gap.
        self._collector.clear()
        self.complete = False
        super()._start_block(offset)

    def _apply_rollup_part(self, record: UsageRecord) -> bool:
        """Add a part of a rollup; return whether the aggregate now continues from that rollup."""
        match read_part(record.data):
            case Ok(part) if self._is_usable(part.as_of, record.offset):
                return self._add_part(part, record)
        return False

    def _add_part(self, part: RollupPart, record: UsageRecord) -> bool:
        self._discard_unusable()
        if part.as_of + 1 == record.offset:
            self._adjacent_part_ms[part.as_of] = record.time_ms
        parts = self._collector.add(part, keep=not self.complete)
        if not parts:
            return False
        if self.complete:
            self._covered_until_ms[part.as_of] = self._adjacent_part_ms.get(
                part.as_of, part.time_ms
            )
            return False
        match join_parts(part for part in parts if part is not None):
            case Ok(rollup):
                self.aggregate, self.complete = UsageAggregate.from_rollup(rollup), True
                # The parts are read again from here, which records the coverage of the rollup.
                self.position = rollup.as_of + 1
                return True
        return False

    def _discard_unusable(self) -> None:
        min_as_of = self._first_offset - 1
        self._collector.discard_before(min_as_of)
        for times in (self._covered_until_ms, self._adjacent_part_ms):
            for as_of in [as_of for as_of in times if as_of < min_as_of]:
                del times[as_of]

    def _is_usable(self, as_of: int, offset: int) -> bool:
        return max(self._block_start, self._first_offset) - 1 <= as_of < offset
