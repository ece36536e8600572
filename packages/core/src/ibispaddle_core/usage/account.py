"""Account of the stream `usage`: totals per workspace that outlive the log's retention.

The account is a function of the records from offset 0 to `as_of`, so two readers that have folded
the same records hold the same account, and a rollup is exact no matter when its parts are appended. A
reader may start from a rollup only if it has all parts and every record after its `as_of` is retained.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from result import Ok

from ..log_pages import LogPageReader
from .counters import Counts, split_instance_boot
from .rollups import CounterValues, RollupCollector, RollupPart, is_rollup, join_parts, read_part

# A boot without a record for this time has ended. Longer than any expected outage of the log and
# than a pause of an instance, and about 60,000 flush intervals of the largest fleet. The counters of
# open boots are carried by rollups, so the time may exceed the log's retention.
BOOT_EXPIRY_MS = 7 * 86_400_000
# A rollup has to be renewed long before the log drops it, also after a long log outage.
RETENTION_PARTS = 4


class UsageRecord(msgspec.Struct):
    """Hold one record of the stream: offset, time of the append by the log, and content."""

    offset: int
    time_ms: int
    data: dict[str, Any]


class _Flush(msgspec.Struct):
    instance_boot: str
    counters: dict[str, CounterValues]


class UsageAggregate:
    """Fold records into totals: the maximum per process and workspace, summed over processes.

    The counters of a closed boot are added to the totals once and then forgotten. Of each instance
    the highest closed boot is kept, and records of a boot up to it that is not open are ignored:
    whether their counters were counted before is no longer known, and usage must not count twice.

    >>> aggregate = UsageAggregate()
    >>> for offset, generated in enumerate((5, 9, 9)):
    ...     data = {"instance_boot": "a-1", "counters": {"w": [1, 2, generated, 4]}}
    ...     aggregate.fold(UsageRecord(offset, 0, data))
    >>> aggregate.totals()["w"].generated_tokens, aggregate.as_of
    (9, 2)
    """

    def __init__(self) -> None:
        self.as_of = -1
        # Highest record time so far; the times of a log may go back when its server changes.
        self.time_ms = 0
        # Plain tuples: a fold and a rollup take half the time or less of those with `Counts`.
        self._ended: dict[str, CounterValues] = {}
        self._boots: dict[str, dict[str, CounterValues]] = {}
        # Time of each open boot's last record, in ascending order.
        self._last_ms: dict[str, int] = {}
        self._closed: dict[str, int] = {}

    def fold(self, record: UsageRecord) -> None:
        """Take the record after `as_of`; one that cannot be read only advances the time."""
        self.as_of = record.offset
        self.time_ms = max(self.time_ms, record.time_ms)
        self._close_boots()
        try:
            flush = msgspec.convert(record.data, _Flush)
            instance_id, boot = split_instance_boot(flush.instance_boot)
        except (msgspec.ValidationError, ValueError):
            return
        name = flush.instance_boot
        if name not in self._boots and boot <= self._closed.get(instance_id, -1):
            return
        counters = self._boots.setdefault(name, {})
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
            _add(self._ended, self._boots.pop(name))
            instance_id, boot = split_instance_boot(name)
            self._closed[instance_id] = max(boot, self._closed.get(instance_id, boot))

    def totals(self) -> dict[str, Counts]:
        """Return the sum of each workspace over all processes."""
        totals = dict(self._ended)
        for counters in self._boots.values():
            _add(totals, counters)
        return {workspace: Counts(*values) for workspace, values in totals.items()}

    def to_rollup(self, writer: str) -> RollupPart:
        """Return an undivided copy of this account for a rollup of process `writer`."""
        return RollupPart(
            self.as_of,
            self.time_ms,
            dict(self._ended),
            {name: dict(counters) for name, counters in self._boots.items()},
            dict(self._last_ms),
            dict(self._closed),
            writer,
        )

    @classmethod
    def from_rollup(cls, rollup: RollupPart) -> "UsageAggregate":
        """Continue from an undivided rollup, which is taken over."""
        account = cls()
        account.as_of, account.time_ms = rollup.as_of, rollup.time_ms
        account._ended = rollup.totals
        account._boots = rollup.boots
        # An encoder may change the order of a JSON object's members.
        account._last_ms = dict(sorted(rollup.last_ms.items(), key=lambda item: item[1]))
        account._closed = rollup.closed
        return account


def _maximum(one: CounterValues, other: CounterValues) -> CounterValues:
    (a, b, c, d), (e, f, g, h) = one, other
    return (a if a > e else e, b if b > f else f, c if c > g else g, d if d > h else h)


def _add(totals: dict[str, CounterValues], counters: Mapping[str, CounterValues]) -> None:
    for workspace, (a, b, c, d) in counters.items():
        e, f, g, h = totals.get(workspace, (0, 0, 0, 0))
        totals[workspace] = (a + e, b + f, c + g, d + h)


class UsageAggregateReader(LogPageReader):
    """Read the stream page by page, from `position` on.

    `complete` tells whether the account includes every record since offset 0. If the beginning is
    no longer retained, or records were removed before they were read, the retained records are
    folded until a usable rollup is found; then the account continues from the rollup, and
    `position` goes back to the record after its `as_of`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.aggregate = UsageAggregate()
        self.complete = True
        # Time up to which each usable rollup covers the stream, by `as_of`.
        self._covered: dict[int, int] = {}
        # Time of each record that is a part of a rollup and the first after the rollup's `as_of`.
        self._follows: dict[int, int] = {}
        self._collector = RollupCollector()

    def read_page(self, first_offset: int, records: Iterable[UsageRecord]) -> None:
        """Take a page that was read from `position` on."""
        for record in self._new_records(first_offset, records):
            if is_rollup(record.data) and self._apply_rollup_part(record):
                return
            self.aggregate.fold(record)

    def is_rollup_due(self, now_ms: int, retention_ms: int) -> bool:
        """Return whether the newest usable rollup covers too little; `now_ms` is wall time.

        A rollup stays usable as long as the record after its `as_of` is retained. The time of its own
        record counts only if it is that record: a paused instance can append an old rollup late, and
        it must not pass for a new one.
        """
        if not self.complete or self.aggregate.as_of < 0:
            return False
        covered = [time for as_of, time in self._covered.items() if self._is_retained_after(as_of)]
        return now_ms - max(covered, default=0) > retention_ms // RETENTION_PARTS

    def _start_block(self, offset: int) -> None:
        # Without the missing records the account is a lower bound: some usage may be missing, but
        # none counts twice.
        # No rollup whose parts were read before is usable, since its `as_of` lies before the gap.
        self._collector.clear()
        self.complete = False
        super()._start_block(offset)

    def _apply_rollup_part(self, record: UsageRecord) -> bool:
        """Take a part of a rollup; return whether the account continues from the rollup."""
        match read_part(record.data):
            case Ok(part) if self._is_usable(part.as_of, record.offset):
                return self._take_part(part, record)
        return False

    def _take_part(self, part: RollupPart, record: UsageRecord) -> bool:
        self._forget_unusable()
        if part.as_of + 1 == record.offset:
            self._follows[part.as_of] = record.time_ms
        parts = self._collector.add(part, keep=not self.complete)
        if not parts:
            return False
        if self.complete:
            self._covered[part.as_of] = self._follows.get(part.as_of, part.time_ms)
            return False
        match join_parts(part for part in parts if part is not None):
            case Ok(rollup):
                self.aggregate, self.complete = UsageAggregate.from_rollup(rollup), True
                # The parts are read once more, and then the rollup counts as covering.
                self.position = rollup.as_of + 1
                return True
        return False

    def _forget_unusable(self) -> None:
        oldest = self._first_offset - 1
        self._collector.forget_before(oldest)
        for times in (self._covered, self._follows):
            for as_of in [as_of for as_of in times if as_of < oldest]:
                del times[as_of]

    def _is_usable(self, as_of: int, offset: int) -> bool:
        return max(self._block_start, self._first_offset) - 1 <= as_of < offset
