"""Entries of the platform's instance list."""

from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from ..decoding import DECODE_ERRORS
from .exceptions import ListFormatError


class MemberKind(StrEnum):
    """Kind of an entry of the instance list."""

    ENTRY = "entry"
    RUNNER = "runner"
    SERVICE = "service"


class ListedState(StrEnum):
    """State of an entry according to the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListEntry(msgspec.Struct, frozen=True):
    """An instance or upstream as listed by the platform."""

    id: str
    kind: MemberKind
    address: str
    data_centre: str
    state: ListedState = ListedState.LIVE
    peer_address: str | None = None
    models: tuple[str, ...] = ()
    service: str | None = None
    fenced: bool = False
    boot_ms: int | None = None  # Unix time of its start, if the platform reports it.
    # End of its cold time by the clock of this instance, if the platform reports it.
    cold_until_ms: int | None = None


class InstanceList(msgspec.Struct, frozen=True):
    """The result of reading the instance list once.

    `rejected` is the number of entries that could not be parsed.
    """

    version: int
    entries: tuple[ListEntry, ...] = ()
    rejected: int = 0


class _RawList(msgspec.Struct):
    version: int
    entries: list[msgspec.Raw]


_LIST_DECODER = msgspec.json.Decoder(_RawList)
_ENTRY_DECODER = msgspec.json.Decoder(ListEntry)


def parse_list(data: bytes) -> Result[InstanceList, ListFormatError]:
    """Parse the body of `GET /instances`.

    Invalid entries are skipped, so that one of them does not hide the state changes of all others.
    If several entries have the same id, the first one is used.
    """
    try:
        raw = _LIST_DECODER.decode(data)
    except DECODE_ERRORS as exc:
        return Err(ListFormatError(str(exc)))
    entries: dict[str, ListEntry] = {}
    rejected = 0
    for item in raw.entries:
        try:
            entry = _ENTRY_DECODER.decode(item)
        except DECODE_ERRORS:
            rejected += 1
            continue
        entries.setdefault(entry.id, entry)
    return Ok(InstanceList(raw.version, tuple(entries.values()), rejected))
