"""Table of claims, built from the records of a `claims` stream."""

from collections import deque
from dataclasses import dataclass, replace

from ..configuration import LogRecord
from .keys import CLOCK_TOLERANCE_MS
from .records import Claim, Outcome, Release, Settlement, read_entries

# Maximum number of excluded claim ids per key, the oldest of which are evicted. A claim whose id was
# evicted would become the holder if it were appended again while its key has no holder.
_MAX_EXCLUDED_IDS = 32
# Limit of the total size of the bodies kept in memory. Without it, 180 calls/s with 4 KB each would use
# 2.6 GB in a window of one hour.
MAX_TOTAL_BODY_BYTES = 16_777_216


@dataclass(frozen=True)
class Won:
    """The claim holds its key, so its call may be sent."""

    claim_id: str
    key_hash: str


@dataclass(frozen=True)
class Lost:
    """Another claim holds the key; `outcome` is set if the call of that claim has completed."""

    claim_id: str
    key_hash: str
    same_request: bool
    outcome: Outcome | None


@dataclass(frozen=True)
class Void:
    """The claim is not valid.

    It was appended outside the window of its key, or earlier claims of the key may not have been read.
    """

    claim_id: str
    key_hash: str


@dataclass(frozen=True)
class Freed:
    """The key has no holder; the next claim of the key that is not excluded becomes its holder.

    Returned for the release of the holder, and as the verdict on an excluded claim.
    """

    key_hash: str


@dataclass(frozen=True)
class Settled:
    """The outcome of the holder's call is recorded."""

    key_hash: str
    outcome: Outcome


TableEvent = Won | Lost | Void | Freed | Settled


@dataclass(slots=True)
class KeyEntry:
    """State of a key according to the log."""

    # Log time at which the entry was created or its holder last changed. The entry expires
    # `entry_ttl_ms` later.
    changed_ms: int
    holder: str | None = None  # Id of the first claim in log order that is not excluded.
    request_hash: str = ""  # Of the holder.
    outcome: Outcome | None = None  # Of the holder's call.
    excluded_ids: tuple[str, ...] = ()  # Lost and released claims, which cannot become the holder.
    # The holder was void when it was read: its call must not be sent, but other claims still lose.
    is_void: bool = False


class ClaimTable:
    """Apply the records of the stream and report the result of each claim.

    Which claim holds a key depends only on the records and their log timestamps, so all readers of the
    stream agree. Whether the holder is `Void` after a gap in the stream also depends on the wall clock
    of the instance.

    A claim is valid only if its log timestamp lies in the window that starts at its key's creation
    time. Without this rule, a claim that is appended late would hold the key although another claim's
    call has run, because the entry of the key has expired from the table.
    """

    def __init__(self, window_ms: int, retention_ms: int) -> None:
        self.window_ms = window_ms
        # Claims are valid from `created - tolerance` to `created + window + tolerance`.
        self.entry_ttl_ms = window_ms + 2 * CLOCK_TOLERANCE_MS
        self.retention_ms = retention_ms
        self.position = 0
        self.time_ms = 0
        self._covered_since_ms: int | None = None  # None: from the beginning of the stream.
        self._has_gap = False
        self._has_started = False
        self._entries: dict[str, KeyEntry] = {}
        self._tracked_bodies: deque[tuple[str, str, int]] = deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key_hash: str) -> KeyEntry | None:
        """Return the entry of a key, or None."""
        return self._entries.get(key_hash)

    def verdict(self, claim: Claim) -> TableEvent | None:
        """Return the result of a claim according to the records read so far; None if undecided."""
        entry = self._entries.get(claim.key_hash)
        if entry is None:
            return None
        if entry.holder == claim.claim_id:
            event_type = Void if entry.is_void else Won
            return event_type(claim.claim_id, claim.key_hash)
        if entry.holder is not None:
            is_same_request = claim.request_hash == entry.request_hash
            return Lost(claim.claim_id, claim.key_hash, is_same_request, entry.outcome)
        return Freed(claim.key_hash) if claim.claim_id in entry.excluded_ids else None

    def has_read(self, claim: Claim) -> bool:
        """Return whether the claim or its release has been read."""
        entry = self._entries.get(claim.key_hash)
        return entry is not None and claim.claim_id in (entry.holder, *entry.excluded_ids)

    def includes(self, item: Release | Settlement) -> bool:
        """Return whether a release or an outcome has been read and applied."""
        entry = self._entries.get(item.key_hash)
        if entry is None:
            return False
        if isinstance(item, Release):
            return item.claim_id in entry.excluded_ids
        return entry.holder == item.claim_id and entry.outcome is not None

    def covers(self, created_ms: int | None) -> bool:
        """Return whether all earlier claims that may be valid for a key have been read.

        `created_ms` is the creation time of the key, None if the key has none.
        """
        if not self._has_started or self._has_gap:
            return False
        if self._covered_since_ms is None:
            return True
        if created_ms is None:
            return self.time_ms - self.entry_ttl_ms > self._covered_since_ms
        return created_ms - CLOCK_TOLERANCE_MS > self._covered_since_ms

    def skip_to(self, offset: int, since_ms: int) -> None:
        """Start at an offset; all records before it must be older than `since_ms`."""
        self.position = offset
        self._covered_since_ms = since_ms

    def read_page(
        self, first_offset: int, records: list[LogRecord], wall_ms: int
    ) -> list[TableEvent]:
        """Apply a page that was read from `position` on.

        `first_offset` is the offset of the oldest record that the log retains.
        """
        if first_offset > self.position:
            self.position = first_offset
            self._has_gap = True
        # All records that the log has dropped are older than its retention. With only the time of the
        # first retained record, an instance that starts on an idle stream would refuse calls until their
        # keys are newer than that record by the clock tolerance of one minute.
        retained_since_ms = wall_ms - self.retention_ms + CLOCK_TOLERANCE_MS
        if self._has_gap and not records:
            self._cover_since(retained_since_ms)
        self._has_started = True
        events: list[TableEvent] = []
        for record in records:
            if record.offset < self.position:
                continue
            if self._has_gap or record.offset > self.position:
                self._cover_since(min(record.time_ms, retained_since_ms))
            self.position = record.offset + 1
            self.time_ms = max(self.time_ms, record.time_ms)
            events += self._apply_record(record)
        self._drop_expired()
        return events

    def _cover_since(self, time_ms: int) -> None:
        self._covered_since_ms = time_ms
        self._has_gap = False

    def _apply_record(self, record: LogRecord) -> list[TableEvent]:
        events: list[TableEvent] = []
        for item in read_entries(record.data):
            match item:
                case Claim():
                    event = self._fold_claim(item)
                case Release():
                    event = self._fold_release(item)
                case Settlement():
                    event = self._fold_settlement(item)
            if event is not None:
                events.append(event)
        return events

    def _fold_claim(self, claim: Claim) -> TableEvent | None:
        if claim.created_ms is not None:
            age_ms = self.time_ms - claim.created_ms
            if not -CLOCK_TOLERANCE_MS <= age_ms <= self.window_ms + CLOCK_TOLERANCE_MS:
                return Void(claim.claim_id, claim.key_hash)
        entry = self._live_entry(claim.key_hash)
        if entry is None:
            entry = self._entries[claim.key_hash] = KeyEntry(self.time_ms)
        if claim.claim_id == entry.holder or claim.claim_id in entry.excluded_ids:
            return None  # A duplicate append.
        if entry.holder is not None:
            _exclude(entry, claim.claim_id)
            is_same_request = claim.request_hash == entry.request_hash
            return Lost(claim.claim_id, claim.key_hash, is_same_request, entry.outcome)
        entry.holder, entry.request_hash = claim.claim_id, claim.request_hash
        entry.is_void = not self.covers(claim.created_ms)
        self._touch(claim.key_hash, entry)
        if entry.is_void:
            return Void(claim.claim_id, claim.key_hash)
        return Won(claim.claim_id, claim.key_hash)

    def _fold_release(self, release: Release) -> TableEvent | None:
        entry = self._live_entry(release.key_hash)
        if entry is None:
            entry = self._entries[release.key_hash] = KeyEntry(self.time_ms)
        if entry.holder != release.claim_id:
            # The release was appended before its claim. The claim must be ignored when it arrives,
            # because no instance would send its call.
            _exclude(entry, release.claim_id)
            return None
        if entry.outcome is not None:
            return None
        _exclude(entry, release.claim_id)
        entry.holder = None
        self._touch(release.key_hash, entry)
        return Freed(release.key_hash)

    def _fold_settlement(self, settlement: Settlement) -> TableEvent | None:
        entry = self._live_entry(settlement.key_hash)
        if entry is None or entry.holder != settlement.claim_id or entry.outcome is not None:
            return None
        entry.outcome = settlement.outcome
        self._track_body(settlement)
        return Settled(settlement.key_hash, settlement.outcome)

    def _live_entry(self, key_hash: str) -> KeyEntry | None:
        entry = self._entries.get(key_hash)
        if entry is not None and entry.changed_ms + self.entry_ttl_ms < self.time_ms:
            del self._entries[key_hash]
            return None
        return entry

    def _touch(self, key_hash: str, entry: KeyEntry) -> None:
        """Set the entry's time and move it to the end; the entries stay sorted by time."""
        del self._entries[key_hash]
        entry.changed_ms = self.time_ms
        self._entries[key_hash] = entry

    def _track_body(self, settlement: Settlement) -> None:
        size = len(settlement.outcome.body or b"")
        self._tracked_bodies.append((settlement.key_hash, settlement.claim_id, size))
        self._body_bytes += size
        while self._body_bytes > MAX_TOTAL_BODY_BYTES:
            key_hash, claim_id, size = self._tracked_bodies.popleft()
            self._body_bytes -= size
            entry = self._entries.get(key_hash)
            if entry is not None and entry.holder == claim_id and entry.outcome is not None:
                entry.outcome = replace(entry.outcome, body=None)

    def _drop_expired(self) -> None:
        while self._entries:
            key_hash, entry = next(iter(self._entries.items()))
            if entry.changed_ms + self.entry_ttl_ms >= self.time_ms:
                break
            del self._entries[key_hash]
        while self._tracked_bodies and self._tracked_bodies[0][0] not in self._entries:
            self._body_bytes -= self._tracked_bodies.popleft()[2]


def _exclude(entry: KeyEntry, claim_id: str) -> None:
    if claim_id not in entry.excluded_ids:
        entry.excluded_ids = (*entry.excluded_ids[1 - _MAX_EXCLUDED_IDS :], claim_id)
