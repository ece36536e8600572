"""Account of the stream `usage`: totals per workspace that outlive the log's retention.

The account is a function of the records from offset 0 to `as_of`, so two readers that have folded
the same records hold the same account, and a rollup is exact no matter when it is appended. A reader
may start from a rollup only if every record after its `as_of` is retained.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from .counters import Counts, split_instance_boot
from .exceptions import UsageRecordError

# A boot without a record for this time has ended. Longer than any expected outage of the log and
# than a pause of an instance, and about 60,000 flush intervals of the largest fleet. The counters of
# open boots are carried by rollups, so the time may exceed the log's retention.
CLOSE_AFTER_MS = 7 * 86_400_000
# A rollup has to be renewed long before the log drops it, also after a long log outage.
RETENTION_PARTS = 4

Values = tuple[int, int, int, int]


class UsageRecord(msgspec.Struct):
    """Hold one record of the stream: offset, time of the append by the log, and content."""

    offset: int
    time_ms: int
    data: dict[str, Any]


class _Flush(msgspec.Struct):
    instance_boot: str
    counters: dict[str, Values]


class _Rollup(msgspec.Struct):
    as_of: int
    time_ms: int
    totals: dict[str, Values]
    boots: dict[str, dict[str, Values]]
    last_ms: dict[str, int]
    closed: dict[str, int]


def is_rollup(data: Mapping[str, Any]) -> bool:
    """Return whether a record is a rollup."""
    return "rollup" in data


class Account:
    """Fold records into totals: the maximum per process and workspace, summed over processes.

    The counters of a closed boot are added to the totals once and then forgotten. Of each instance
    the highest closed boot is kept, and records of a boot up to it that is not open are ignored:
    whether their counters were counted before is no longer known, and usage must not count twice.

    >>> account = Account()
    >>> for offset, generated in enumerate((5, 9, 9)):
    ...     data = {"instance_boot": "a-1", "counters": {"w": [1, 2, generated, 4]}}
    ...     account.fold(UsageRecord(offset, 0, data))
    >>> account.totals()["w"].generated_tokens, account.as_of
    (9, 2)
    """

    def __init__(self) -> None:
        self.as_of = -1
        # Highest record time so far; the times of a log may go back when its server changes.
        self.time_ms = 0
        # Plain tuples: a fold and a rollup take half the time or less of those with `Counts`.
        self._ended: dict[str, Values] = {}
        self._boots: dict[str, dict[str, Values]] = {}
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
            if self.time_ms - self._last_ms[name] < CLOSE_AFTER_MS:
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

    def to_record(self) -> dict[str, Any]:
        """Return the rollup record of this account."""
        rollup = {
            "as_of": self.as_of,
            "time_ms": self.time_ms,
            "totals": dict(self._ended),
            "boots": {name: dict(counters) for name, counters in self._boots.items()},
            "last_ms": dict(self._last_ms),
            "closed": dict(self._closed),
        }
        return {"rollup": rollup}

    @classmethod
    def from_record(cls, data: Mapping[str, Any]) -> Result["Account", UsageRecordError]:
        """Read a rollup record."""
        try:
            rollup = msgspec.convert(data.get("rollup"), _Rollup)
            for name in rollup.boots:
                split_instance_boot(name)
        except (msgspec.ValidationError, ValueError) as exc:
            return Err(UsageRecordError(str(exc)))
        if rollup.boots.keys() != rollup.last_ms.keys():
            return Err(UsageRecordError("the boots and the times of their records differ"))
        account = cls()
        account.as_of, account.time_ms = rollup.as_of, rollup.time_ms
        account._ended = rollup.totals
        account._boots = rollup.boots
        # An encoder may change the order of a JSON object's members.
        account._last_ms = dict(sorted(rollup.last_ms.items(), key=lambda item: item[1]))
        account._closed = rollup.closed
        return Ok(account)


def _maximum(one: Values, other: Values) -> Values:
    (a, b, c, d), (e, f, g, h) = one, other
    return (a if a > e else e, b if b > f else f, c if c > g else g, d if d > h else h)


def _add(totals: dict[str, Values], counters: Mapping[str, Values]) -> None:
    for workspace, (a, b, c, d) in counters.items():
        e, f, g, h = totals.get(workspace, (0, 0, 0, 0))
        totals[workspace] = (a + e, b + f, c + g, d + h)


class AccountReader:
    """Read the stream page by page, from `position` on.

    `complete` tells whether the account includes every record since offset 0. If the beginning is
    no longer retained, or records were removed before they were read, the retained records are
    folded until a usable rollup is found; then the account continues from the rollup, and
    `position` goes back to the record after its `as_of`.
    """

    def __init__(self) -> None:
        self.account = Account()
        self.complete = True
        self.position = 0
        self._block_start = 0
        # Time up to which each usable rollup covers the stream, by `as_of`.
        self._covered: dict[int, int] = {}
        self._first_offset = 0

    def read_page(self, first_offset: int, records: Iterable[UsageRecord]) -> None:
        """Take a page that was read from `position` on."""
        self._first_offset = max(self._first_offset, first_offset)
        if first_offset > self.position:
            self._start_block(first_offset)
        for record in records:
            if record.offset < self.position:
                continue
            if record.offset > self.position:
                self._start_block(record.offset)
            if is_rollup(record.data) and self._take_rollup(record):
                return
            self.position = record.offset + 1
            self.account.fold(record)

    def is_rollup_due(self, now_ms: int, retention_ms: int) -> bool:
        """Return whether the newest usable rollup covers too little; `now_ms` is wall time.

        A rollup stays usable as long as the record after its `as_of` is retained. The time of its own
        record counts only if it is that record: a paused instance can append an old rollup late, and
        it must not pass for a new one.
        """
        if not self.complete or self.account.as_of < 0:
            return False
        covered = [time for as_of, time in self._covered.items() if as_of + 1 >= self._first_offset]
        return now_ms - max(covered, default=0) > retention_ms // RETENTION_PARTS

    def _start_block(self, offset: int) -> None:
        # Without the missing records the account is a lower bound: some usage may be missing, but
        # none counts twice.
        self.complete = False
        self._block_start = self.position = offset

    def _take_rollup(self, record: UsageRecord) -> bool:
        """Note a usable rollup; return whether the account continues from it."""
        match Account.from_record(record.data):
            case Ok(found) if self._is_usable(found.as_of, record.offset):
                self._covered = {
                    as_of: time_ms
                    for as_of, time_ms in self._covered.items()
                    if as_of + 1 >= self._first_offset
                }
                follows = found.as_of + 1 == record.offset
                self._covered[found.as_of] = record.time_ms if follows else found.time_ms
                if not self.complete:
                    self.account, self.complete = found, True
                    self.position = found.as_of + 1
                    return True
        return False

    def _is_usable(self, as_of: int, offset: int) -> bool:
        return max(self._block_start, self._first_offset) - 1 <= as_of < offset
