"""Encoding and decoding of the records of the `quarantine` stream."""

from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from .deaths import Death
from .exceptions import QuarantineRecordError
from .messages import Clearance, QuarantineEntry
from .part_messages import PartQuarantined


class _Record(msgspec.Struct):
    op: str
    fingerprint: str
    deaths: list[tuple[str, str]]
    at_ms: int
    author: str = ""


def quarantine_record(entry: QuarantineEntry) -> dict[str, Any]:
    """Return the record that puts a fingerprint into quarantine."""
    return _record("quarantine", entry.fingerprint, entry.deaths, entry.expires_ms)


def part_record(entry: PartQuarantined) -> dict[str, Any]:
    """Return the record that puts a part of requests into quarantine."""
    op = "quarantine_request" if entry.is_whole_request else "quarantine_part"
    return _record(op, entry.part, entry.deaths, entry.expires_ms)


def lift_record(clearance: Clearance, author: str) -> dict[str, Any]:
    """Return the record with which an operator lifts a quarantine."""
    record = _record("lift", clearance.fingerprint, clearance.deaths, clearance.at_ms)
    return record | {"author": author}


def _record(op: str, fingerprint: str, deaths: tuple[Death, ...], at_ms: int) -> dict[str, Any]:
    pairs = [[death.upstream_id, death.boot_id] for death in deaths]
    return {"op": op, "fingerprint": fingerprint, "deaths": pairs, "at_ms": at_ms}


def parse_record(
    data: Mapping[str, Any],
) -> Result[QuarantineEntry | PartQuarantined | Clearance, QuarantineRecordError]:
    """Decode one record."""
    try:
        record = msgspec.convert(data, _Record)
    except msgspec.ValidationError as exc:
        return Err(QuarantineRecordError(str(exc)))
    deaths = tuple(Death(*pair) for pair in record.deaths)
    match record.op:
        case "quarantine":
            return Ok(QuarantineEntry(record.fingerprint, deaths, record.at_ms))
        case "quarantine_part" | "quarantine_request":
            is_whole = record.op == "quarantine_request"
            return Ok(PartQuarantined(record.fingerprint, deaths, record.at_ms, is_whole))
        case "lift":
            return Ok(Clearance(record.fingerprint, deaths, record.at_ms))
    return Err(QuarantineRecordError(f"unknown operation '{record.op}'"))
