"""Rollups of the usage aggregate, split into parts of limited size.

All parts of a rollup carry its id: the `as_of` offset and the process that wrote it. A process
always splits the aggregate of an offset in the same way, so repeated parts are identical.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from ..decoding import DECODE_ERRORS
from .counters import split_instance_boot
from .exceptions import UsageRecordError

# Maximum JSON size of a part. The log refuses records of several megabytes.
MAX_PART_BYTES = 256 * 1024
# Space reserved for the fields of a part other than its counters.
_HEADER_BYTES = 1_024

CounterValues = tuple[int, int, int, int]
T = TypeVar("T")


class RollupPart(msgspec.Struct, omit_defaults=True):
    """A part of a rollup. The defaults are those of the older format, one record per rollup."""

    as_of: int
    time_ms: int
    totals: dict[str, CounterValues] = {}
    boots: dict[str, dict[str, CounterValues]] = {}
    last_ms: dict[str, int] = {}
    closed: dict[str, int] = {}
    writer: str = ""
    number: int = 0
    count: int = 1

    def to_record(self) -> dict[str, Any]:
        """Return the record of this part, to be encoded by msgspec."""
        return {"rollup_part": self}

    @property
    def key(self) -> tuple[int, str, int]:
        """Return the key that all parts of a rollup share."""
        return self.as_of, self.writer, self.count


def is_rollup(data: Mapping[str, Any]) -> bool:
    """Return whether a record is a rollup or a part of one."""
    return "rollup_part" in data or "rollup" in data


def read_part(data: Mapping[str, Any]) -> Result[RollupPart, UsageRecordError]:
    """Parse the record of a part, or of a rollup in a single record."""
    try:
        part = msgspec.convert(data.get("rollup_part", data.get("rollup")), RollupPart)
        for name in part.boots:
            split_instance_boot(name)
    except (*DECODE_ERRORS, ValueError) as exc:
        return Err(UsageRecordError(str(exc)))
    if not 0 <= part.number < part.count:
        return Err(UsageRecordError(f"part {part.number} of {part.count} does not exist"))
    if part.boots.keys() != part.last_ms.keys():
        return Err(UsageRecordError("'boots' and 'last_ms' do not have the same keys"))
    return Ok(part)


def split_rollup(whole: RollupPart, max_bytes: int = MAX_PART_BYTES) -> Iterator[RollupPart]:
    """Split a rollup into parts whose JSON has at most `max_bytes` bytes.

    The parts are generated one by one, because splitting a large rollup would block the event loop
    for too long. Their `number` and `count` are set when the generator is exhausted.
    """
    limit = max_bytes - _HEADER_BYTES
    parts = [_empty_part(whole)]
    free_bytes = limit
    for group, name, piece, size in _all_pieces(whole, limit):
        if size > free_bytes:
            yield parts[-1]
            parts.append(_empty_part(whole))
            free_bytes = limit
        free_bytes -= size
        part = parts[-1]
        match group:
            case "totals":
                part.totals.update(piece)
            case "closed":
                part.closed.update(piece)
            case _:
                part.boots.setdefault(name, {}).update(piece)
                part.last_ms[name] = whole.last_ms[name]
    yield parts[-1]
    for number, part in enumerate(parts):
        part.number, part.count = number, len(parts)


def _empty_part(whole: RollupPart) -> RollupPart:
    return RollupPart(whole.as_of, whole.time_ms, {}, {}, {}, {}, whole.writer)


def _all_pieces(whole: RollupPart, limit: int) -> Iterator[tuple[str, str, dict[str, Any], int]]:
    for piece, size in _pieces(whole.totals, limit):
        yield "totals", "", piece, size
    for closed_boots, size in _pieces(whole.closed, limit):
        yield "closed", "", closed_boots, size
    for name, counters in sorted(whole.boots.items()):
        # The name is written twice, in `boots` and in `last_ms`.
        extra = 2 * len(msgspec.json.encode(name)) + 32
        for piece, size in _pieces(counters, limit - extra) or [({}, 2)]:
            yield "boots", name, piece, size + extra


def _pieces(values: Mapping[str, T], limit: int) -> list[tuple[dict[str, T], int]]:
    """Halve a mapping until the JSON of each piece fits; return the pieces with their sizes."""
    if not values:
        return []
    names = sorted(values)
    size = len(msgspec.json.encode(values))
    if size <= limit or len(names) == 1:
        return [({name: values[name] for name in names}, size)]
    half = len(names) // 2
    return [
        piece
        for group in (names[:half], names[half:])
        for piece in _pieces({name: values[name] for name in group}, limit)
    ]


def join_parts(parts: Iterable[RollupPart]) -> Result[RollupPart, UsageRecordError]:
    """Join all parts of a rollup; returns an error if parts are inconsistent."""
    whole: RollupPart | None = None
    for part in parts:
        if whole is None:
            whole = RollupPart(part.as_of, part.time_ms, {}, {}, {}, {}, part.writer)
        if whole.time_ms != part.time_ms or any(
            whole.last_ms.get(name, time_ms) != time_ms for name, time_ms in part.last_ms.items()
        ):
            return Err(UsageRecordError("the parts are from different rollups"))
        groups: list[tuple[dict[str, Any], dict[str, Any]]] = [
            (whole.totals, part.totals),
            (whole.closed, part.closed),
        ]
        groups += [(whole.boots.setdefault(name, {}), c) for name, c in part.boots.items()]
        for known, more in groups:
            if not known.keys().isdisjoint(more):
                return Err(UsageRecordError("two parts contain the same counters"))
            known.update(more)
        whole.last_ms.update(part.last_ms)
    return Ok(whole) if whole else Err(UsageRecordError("the rollup has no parts"))


class RollupCollector:
    """Collect parts of rollups in any order until a rollup is complete."""

    def __init__(self) -> None:
        # Parts by rollup key and number; None if the content of a part is not needed.
        self._parts: dict[tuple[int, str, int], dict[int, RollupPart | None]] = {}

    def clear(self) -> None:
        """Discard all parts."""
        self._parts.clear()

    def discard_before(self, as_of: int) -> None:
        """Discard the parts of rollups whose `as_of` is before an offset."""
        for key in [key for key in self._parts if key[0] < as_of]:
            del self._parts[key]

    def add(self, part: RollupPart, keep: bool) -> list[RollupPart | None]:
        """Add a part; return all parts of its rollup if it is complete, else an empty list."""
        collected = self._parts.setdefault(part.key, {})
        collected[part.number] = part if keep else None
        if len(collected) < part.count:
            return []
        del self._parts[part.key]
        return list(collected.values())
