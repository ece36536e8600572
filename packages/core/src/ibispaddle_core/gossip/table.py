"""Table of versioned gossip entries that produces size-limited digests.

A digest is a gossip message. It contains the entries themselves, not only their versions.
"""

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok, Result

from ..decoding import DECODE_ERRORS
from .entries import (
    DIGEST_DECODER,
    ENTRY_DECODER,
    ENTRY_ENCODER,
    Entry,
    Heartbeat,
    Payload,
    RunnerReport,
)
from .exceptions import DigestFormatError, EntryTooLargeError
from .queue import TransmissionQueue

MAX_DIGEST_BYTES = 1_200
# Entries repeat ids, so a compressed digest contains two to three times its size in entries. The
# limit bounds what a receiver has to decompress.
MAX_RAW_BYTES = 3_600
COMPRESSION_LEVEL = 1
_ARRAY_HEADER_BYTES = 3
MAX_ENTRY_BYTES = 400
# Part of a digest reserved for heartbeats, because an instance whose heartbeat is late is
# considered down.
HEARTBEAT_FRACTION = 1 / 3
# Part of a digest for entries of other data centres. The rest is for entries of the local data
# centre, which determine most placements.
REMOTE_FRACTION = 1 / 3
# Writers renew each entry well within this time; older entries belong to dead instances or to
# runners that another instance probes by now.
ENTRY_LIFETIME_MS = 180_000
# Versions of expired entries are kept, so that a slower peer does not reintroduce them.
TOMBSTONE_LIFETIME_MS = 360_000
# Minimum interval between versions of an entry that count as unsent on links between data centres.
# Versions with a changed state are exempt. In a fleet of 390 instances, the heartbeats of the 343
# instances in other data centres would otherwise fill the digests.
SUMMARY_INTERVAL_MS: dict[type, int] = {Heartbeat: 10_000}
DEFAULT_SUMMARY_INTERVAL_MS = 2_000
MAX_ENTRIES = 50_000
# Factors by which the uncompressed size of the next digest is changed after a digest that was too
# large, or that used less than this fraction of `MAX_DIGEST_BYTES`.
BUDGET_DECREASE_FACTOR = 0.9
BUDGET_INCREASE_FACTOR = 1.05
UNDERFULL_FRACTION = 0.8

EntryKey = tuple[type, str, str]  # Type of the payload, subject and origin.


@dataclass(slots=True)
class _StoredEntry:
    version: tuple[int, int]
    raw: bytes
    payload: Payload
    stored_ms: int
    summary_ms: int  # Time at which a version last took precedence between data centres.


def _is_summary_due(known: _StoredEntry, payload: Payload, now_ms: int) -> bool:
    match known.payload, payload:
        case (Heartbeat(), Heartbeat()) if known.payload != payload:
            return True
        case (RunnerReport() as before, RunnerReport() as after):
            if (before.up, before.leaving) != (after.up, after.leaving):
                return True
    interval_ms = SUMMARY_INTERVAL_MS.get(type(payload), DEFAULT_SUMMARY_INTERVAL_MS)
    return now_ms - known.summary_ms >= interval_ms


def _decompress(digest: bytes) -> bytes:
    """Return the encoded entries; raise `zlib.error` if they exceed `MAX_RAW_BYTES`."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(digest, MAX_RAW_BYTES)
    if not decompressor.eof or decompressor.unused_data:
        raise zlib.error("the digest is truncated, too large or followed by other bytes")
    return data


class GossipTable:
    """The newest version of each entry, and the selection of entries to send next.

    `is_local` returns whether an origin is in the local data centre.

    >>> from .entries import Heartbeat
    >>> a, b = GossipTable("a", boot=1), GossipTable("b", boot=1)
    >>> _ = a.put(Heartbeat(), now_ms=0)
    >>> [entry.origin for entry in b.merge(a.digest(), now_ms=0).ok_value]
    ['a']
    """

    def __init__(
        self, instance_id: str, boot: int, is_local: Callable[[str], bool] = lambda origin: True
    ) -> None:
        self._instance_id = instance_id
        self._is_local = is_local
        self._entries: dict[EntryKey, _StoredEntry] = {}
        self._tombstones: dict[EntryKey, tuple[tuple[int, int], int]] = {}
        self._boots: dict[str, int] = {instance_id: boot}
        # Queues of the keys to send within the data centre, by the origin of the entry.
        self._local_queue: TransmissionQueue[EntryKey] = TransmissionQueue()
        self._heartbeat_queue: TransmissionQueue[EntryKey] = TransmissionQueue()
        self._remote_queue: TransmissionQueue[EntryKey] = TransmissionQueue()
        # Queue of the keys of the local data centre to send to other data centres.
        self._summary_queue: TransmissionQueue[EntryKey] = TransmissionQueue()
        # Size of the entries to select for a digest, adapted to their compression ratio.
        self._uncompressed_budget = MAX_RAW_BYTES - _ARRAY_HEADER_BYTES
        self._seq = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def boot(self) -> int:
        """Return the boot with which this instance writes its entries."""
        return self._boots[self._instance_id]

    def put(self, payload: Payload, now_ms: int) -> Entry:
        """Write a new version of an entry of this instance.

        Raises `EntryTooLargeError` if the entry exceeds `MAX_ENTRY_BYTES`.
        """
        self._seq += 1
        entry = Entry(self._instance_id, self.boot, self._seq, payload)
        raw = ENTRY_ENCODER.encode(entry)
        if len(raw) > MAX_ENTRY_BYTES:
            raise EntryTooLargeError(
                f"entry '{payload.subject}' has {len(raw)} bytes, the limit is {MAX_ENTRY_BYTES}"
            )
        self._store(entry, raw, now_ms)
        return entry

    def merge(self, digest: bytes, now_ms: int) -> Result[list[Entry], DigestFormatError]:
        """Merge a received digest and return the entries that were newer than the stored ones."""
        if len(digest) > MAX_DIGEST_BYTES:
            return Err(
                DigestFormatError(
                    f"digest has {len(digest)} bytes, the limit is {MAX_DIGEST_BYTES}"
                )
            )
        try:
            raws = [bytes(raw) for raw in DIGEST_DECODER.decode(_decompress(digest))]
            entries = [ENTRY_DECODER.decode(raw) for raw in raws]
        except (*DECODE_ERRORS, zlib.error) as exc:
            return Err(DigestFormatError(str(exc)))
        fresh = []
        for entry, raw in zip(entries, raws, strict=True):
            if self._accept(entry, raw, now_ms):
                fresh.append(entry)
        return Ok(fresh)

    def _accept(self, entry: Entry, raw: bytes, now_ms: int) -> bool:
        if entry.origin == self._instance_id:
            self._refute(entry, now_ms)
            return False
        boot = self._boots.get(entry.origin)
        if boot is not None and entry.boot < boot:
            return False
        key = entry.key
        stored = self._entries.get(key)
        if stored is not None:
            if entry.version <= stored.version:
                return False
        elif (
            key in self._tombstones
            and entry.version <= self._tombstones[key][0]
            or len(self._entries) >= MAX_ENTRIES
        ):
            return False
        if boot is not None and entry.boot > boot:
            self._drop_origin(entry.origin)
        self._store(entry, raw, now_ms)
        return True

    def _refute(self, entry: Entry, now_ms: int) -> None:
        """Rewrite all entries of this instance if a peer has a seemingly newer version.

        This happens after a restart with a clock that was set back; the old entries would
        otherwise replace the new ones.
        """
        if entry.version <= (self.boot, self._seq):
            return
        self._boots[self._instance_id] = entry.boot + 1
        for key, stored in list(self._entries.items()):
            if key[2] == self._instance_id:
                self.put(stored.payload, now_ms)

    def _store(self, entry: Entry, raw: bytes, now_ms: int) -> None:
        key = entry.key
        self._boots[entry.origin] = entry.boot
        self._tombstones.pop(key, None)
        known = self._entries.get(key)
        is_summary_due = known is None or _is_summary_due(known, entry.payload, now_ms)
        summary_ms = now_ms if is_summary_due or known is None else known.summary_ms
        self._entries[key] = _StoredEntry(entry.version, raw, entry.payload, now_ms, summary_ms)
        if self._is_local(entry.origin):
            self._remote_queue.discard(key)
            (self._heartbeat_queue if key[0] is Heartbeat else self._local_queue).reset(key)
            if is_summary_due:
                self._summary_queue.reset(key)
        else:
            for queue in (self._local_queue, self._heartbeat_queue, self._summary_queue):
                queue.discard(key)
            self._remote_queue.reset(key)

    def _drop_origin(self, origin: str) -> None:
        for key in [key for key in self._entries if key[2] == origin]:
            self._drop(key)

    def _drop(self, key: EntryKey) -> _StoredEntry:
        for queue in (
            self._local_queue,
            self._heartbeat_queue,
            self._remote_queue,
            self._summary_queue,
        ):
            queue.discard(key)
        return self._entries.pop(key)

    def _size(self, key: EntryKey) -> int:
        return len(self._entries[key].raw)

    def digest(self) -> bytes:
        """Return the next digest for an instance of the local data centre."""
        budget = self._uncompressed_budget
        keys = self._heartbeat_queue.take_batch(round(budget * HEARTBEAT_FRACTION), self._size)
        keys += self._remote_queue.take_batch(round(budget * REMOTE_FRACTION), self._size)
        budget -= sum(map(self._size, keys))
        keys += self._local_queue.take_batch(budget, self._size)
        return self._encode(keys, self._local_queue)

    def summary(self) -> bytes:
        """Return the next digest for another data centre, with entries of the local one."""
        return self._encode(
            self._summary_queue.take_batch(self._uncompressed_budget, self._size),
            self._summary_queue,
        )

    def _encode(self, keys: list[EntryKey], queue: TransmissionQueue[EntryKey]) -> bytes:
        """Compress the entries, leaving out the last ones if they do not fit.

        Those of them that are in `queue` count as unsent again.
        """
        while True:
            raws: list[Any] = [msgspec.Raw(self._entries[key].raw) for key in keys]
            data = zlib.compress(ENTRY_ENCODER.encode(raws), COMPRESSION_LEVEL)
            if len(data) <= MAX_DIGEST_BYTES:
                break
            kept = min(len(keys) - 1, len(keys) * MAX_DIGEST_BYTES // len(data))
            for key in keys[kept:]:
                if key in queue:
                    queue.reset(key)
            keys = keys[:kept]
            self._uncompressed_budget = max(
                MAX_DIGEST_BYTES, round(self._uncompressed_budget * BUDGET_DECREASE_FACTOR)
            )
        if len(data) < MAX_DIGEST_BYTES * UNDERFULL_FRACTION:
            limit = MAX_RAW_BYTES - _ARRAY_HEADER_BYTES
            self._uncompressed_budget = min(
                limit, round(self._uncompressed_budget * BUDGET_INCREASE_FACTOR)
            )
        return data

    def expire(self, now_ms: int) -> int:
        """Drop entries that their origins no longer renew; return their number."""
        old = [
            key
            for key, stored in self._entries.items()
            if now_ms - stored.stored_ms >= ENTRY_LIFETIME_MS and key[2] != self._instance_id
        ]
        for key in old:
            self._tombstones[key] = (self._drop(key).version, now_ms)
        for key, (_, at_ms) in list(self._tombstones.items()):
            if now_ms - at_ms >= TOMBSTONE_LIFETIME_MS:
                del self._tombstones[key]
        known = {key[2] for key in self._entries} | {key[2] for key in self._tombstones}
        for origin in self._boots.keys() - known - {self._instance_id}:
            del self._boots[origin]
        return len(old)

    def withdraw(self, payload_type: type, subject: str) -> None:
        """Stop sending an entry of this instance; peers let it expire."""
        key = (payload_type, subject, self._instance_id)
        if key in self._entries:
            self._drop(key)

    def entries(self, payload_type: type | None = None) -> list[Entry]:
        """Return the stored entries, optionally only those with the given type of payload."""
        return [
            Entry(key[2], *stored.version, stored.payload)
            for key, stored in self._entries.items()
            if payload_type in (None, key[0])
        ]
