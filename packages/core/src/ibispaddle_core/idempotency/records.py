"""Batch records of the `claims` stream and their entries."""

import base64
import binascii
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from .exceptions import EntryError

# Longest body that is written to the log.
MAX_LOGGED_BODY_BYTES = 4_096


@dataclass(frozen=True, slots=True)
class Outcome:
    """The recorded result of a call; `status` is None if it is unknown whether the call ran.

    `body` is None if it is longer than `MAX_LOGGED_BODY_BYTES` or was evicted from memory.
    """

    status: int | None
    content_type: str = ""
    body: bytes | None = b""

    def logged(self) -> "Outcome":
        """Return the outcome as it is written to the log, without a long body."""
        if self.body is None or len(self.body) <= MAX_LOGGED_BODY_BYTES:
            return self
        return replace(self, body=None)


@dataclass(frozen=True)
class Claim:
    """Claim the right to send the call of a key; the first claim in the stream gets it."""

    claim_id: str
    key_hash: str
    request_hash: str
    created_ms: int | None

    def to_entry(self) -> dict[str, Any]:
        """Return the entry of a batch record."""
        return {
            "claim": self.claim_id,
            "key": self.key_hash,
            "request": self.request_hash,
            "created": self.created_ms,
        }


@dataclass(frozen=True)
class Release:
    """Withdraw a claim: its call was not sent and never will be."""

    claim_id: str
    key_hash: str

    def to_entry(self) -> dict[str, Any]:
        """Return the entry of a batch record."""
        return {"release": self.claim_id, "key": self.key_hash}


@dataclass(frozen=True)
class Settlement:
    """The outcome of a claim's call; settles the key."""

    claim_id: str
    key_hash: str
    outcome: Outcome

    def to_entry(self) -> dict[str, Any]:
        """Return the entry of a batch record; a long body is omitted."""
        body = self.outcome.logged().body
        return {
            "outcome": self.claim_id,
            "key": self.key_hash,
            "status": self.outcome.status,
            "content_type": self.outcome.content_type,
            "body": None if body is None else base64.b64encode(body).decode(),
        }


Entry = Claim | Release | Settlement


def batch_record(batch_id: str, entries: Iterable[Entry]) -> dict[str, Any]:
    """Return a record that holds several entries in the given order."""
    return {"batch": batch_id, "entries": [entry.to_entry() for entry in entries]}


def read_entries(data: Mapping[str, Any]) -> Iterator[Entry]:
    """Yield the entries of a batch record; malformed entries are skipped."""
    entries = data.get("entries")
    for entry in entries if isinstance(entries, list) else ():
        try:
            yield _read_entry(entry)
        except EntryError:
            continue


def _read_entry(entry: Any) -> Entry:
    try:
        key = entry["key"]
        if "claim" in entry:
            created = entry["created"]
            return Claim(
                str(entry["claim"]),
                str(key),
                str(entry["request"]),
                None if created is None else int(created),
            )
        if "release" in entry:
            return Release(str(entry["release"]), str(key))
        body = entry["body"]
        outcome = Outcome(
            None if entry["status"] is None else int(entry["status"]),
            # Most outcomes share a few content types; interning saves 65 bytes per key.
            sys.intern(str(entry["content_type"])),
            None if body is None else base64.b64decode(body, validate=True),
        )
        return Settlement(str(entry["outcome"]), str(key), outcome)
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise EntryError(f"malformed entry: {exc}") from exc
