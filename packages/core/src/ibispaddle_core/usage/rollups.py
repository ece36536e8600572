"""Rollups of the account in parts of bounded size.

All parts of a rollup name its id: the `as_of` offset and the process that wrote it. One process
divides the account of one offset always in the same way, so a repeated part replaces itself.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from .counters import split_instance_boot
from .exceptions import UsageRecordError

# Size of the JSON of a part. The log refuses records of several megabytes.
MAX_PART_BYTES = 256 * 1024
# Room for what a part holds besides its counters.
_HEADER_BYTES = 1_024

CounterValues = tuple[int, int, int, int]
T = TypeVar("T")


class RollupPart(msgspec.Struct, omit_defaults=True):
    """Hold one part. The defaults are those of a rollup in a single record, as once written."""

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
        """Return the record of this part, for an encoder of msgspec."""
        return {"rollup_part": self}

    @property
    def key(self) -> tuple[int, str, int]:
        """Return what all parts of a rollup have in common."""
        return self.as_of, self.writer, self.count


def is_rollup(data: Mapping[str, Any]) -> bool:
    """Return whether a record is a rollup or a part of one."""
    return "rollup_part" in data or "rollup" in data


def read_part(data: Mapping[str, Any]) -> Result[RollupPart, UsageRecordError]:
    """Read the record of a part, or of a rollup in a single record."""
    try:
        part = msgspec.convert(data.get("rollup_part", data.get("rollup")), RollupPart)
        for name in part.boots:
            split_instance_boot(name)
    except (msgspec.ValidationError, ValueError) as exc:
        return Err(UsageRecordError(str(exc)))
    if not 0 <= part.number < part.count:
        return Err(UsageRecordError(f"part {part.number} of {part.count} does not exist"))
    if part.boots.keys() != part.last_ms.keys():
        return Err(UsageRecordError("the boots and the times of their records differ"))
    return Ok(part)


def split_rollup(whole: RollupPart, max_bytes: int = MAX_PART_BYTES) -> Iterator[RollupPart]:
    """Divide a rollup into parts whose JSON has at most `max_bytes` bytes.

    The parts come one by one, because a large rollup takes too long for one turn of an event loop.
    Their numbers and count are set when the last one was taken.
    """
    limit = max_bytes - _HEADER_BYTES
    parts = [_empty_part(whole)]
    left = limit
    for group, name, piece, size in _all_pieces(whole, limit):
        if size > left:
            yield parts[-1]
            parts.append(_empty_part(whole))
            left = limit
        left -= size
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
    for marks, size in _pieces(whole.closed, limit):
        yield "closed", "", marks, size
    for name, counters in sorted(whole.boots.items()):
        # The name stands twice, in `boots` and in `last_ms`.
        extra = 2 * len(msgspec.json.encode(name)) + 32
        for piece, size in _pieces(counters, limit - extra) or [({}, 2)]:
            yield "boots", name, piece, size + extra


def _pieces(values: Mapping[str, T], limit: int) -> list[tuple[dict[str, T], int]]:
    """Halve a mapping until each piece's JSON fits; return the pieces with their sizes."""
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
    """Join all parts of a rollup; parts that contradict each other are an error."""
    whole: RollupPart | None = None
    for part in parts:
        if whole is None:
            whole = RollupPart(part.as_of, part.time_ms, {}, {}, {}, {}, part.writer)
        if whole.time_ms != part.time_ms or any(
            whole.last_ms.get(name, time_ms) != time_ms for name, time_ms in part.last_ms.items()
        ):
            return Err(UsageRecordError("the parts belong to different rollups"))
        groups: list[tuple[dict[str, Any], dict[str, Any]]] = [
            (whole.totals, part.totals),
            (whole.closed, part.closed),
        ]
        groups += [(whole.boots.setdefault(name, {}), c) for name, c in part.boots.items()]
        for known, more in groups:
            if not known.keys().isdisjoint(more):
                return Err(UsageRecordError("two parts hold the same counters"))
            known.update(more)
        whole.last_ms.update(part.last_ms)
    return Ok(whole) if whole else Err(UsageRecordError("the rollup has no parts"))


class RollupCollector:
    """Collect the parts of rollups in any order until one has them all."""

    def __init__(self) -> None:
        # The content of a part is kept only if the reader may need it.
        self._parts: dict[tuple[int, str, int], dict[int, RollupPart | None]] = {}

    def clear(self) -> None:
        """Forget all parts."""
        self._parts.clear()

    def forget_before(self, as_of: int) -> None:
        """Forget the parts of rollups before an offset."""
        for key in [key for key in self._parts if key[0] < as_of]:
            del self._parts[key]

    def add(self, part: RollupPart, keep: bool) -> list[RollupPart | None]:
        """Take a part; return all parts of its rollup once none is missing, else nothing."""
        found = self._parts.setdefault(part.key, {})
        found[part.number] = part if keep else None
        if len(found) < part.count:
            return []
        del self._parts[part.key]
        return list(found.values())
