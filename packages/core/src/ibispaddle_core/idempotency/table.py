"""Table of claims folded from the `claims` stream."""

from collections import deque
from dataclasses import dataclass, replace

from ..configuration import LogRecord
from .keys import CLOCK_TOLERANCE_MS
from .records import Claim, Outcome, Release, Settlement, read_entries

# Claim ids remembered per key as being out of the contest. A forgotten id can only block its key.
_MAX_DEAD_IDS = 32
# Bodies of outcomes kept in memory. Without the bound, 180 calls a second with 4 KB each would take
# 2.6 GB in a window of one hour.
MAX_BODY_BYTES = 16_777_216


@dataclass(frozen=True)
class Won:
    """The claim is the first of its key; its call may be sent."""

    claim_id: str
    key_hash: str


@dataclass(frozen=True)
class Lost:
    """Another claim came first; `outcome` is set if its call has ended."""

    claim_id: str
    key_hash: str
    same_request: bool
    outcome: Outcome | None


@dataclass(frozen=True)
class Void:
    """The claim does not count, because its key is outside the window or is not covered."""

    claim_id: str
    key_hash: str


@dataclass(frozen=True)
class Freed:
    """The first claim was released; the next claim in log order comes first."""

    key_hash: str


@dataclass(frozen=True)
class Settled:
    """The outcome of the first claim is recorded."""

    key_hash: str
    outcome: Outcome


TableEvent = Won | Lost | Void | Freed | Settled


@dataclass(slots=True)
class KeyEntry:
    """What the log says about one key."""

    time_ms: int
    holder: str | None = None
    request_hash: str = ""
    outcome: Outcome | None = None
    excluded: tuple[str, ...] = ()
    # Whether the holder was read as void; it must not count as the winner when it is asked for again.
    is_void: bool = False


class ClaimTable:
    """Fold the stream; report what became of each claim.

    The result depends only on the records and their times in the log, never on the clock of the
    instance. A claim counts only if its time in the log lies in the window of its key's creation
    time: without this rule a claim that is appended late would come first again, because the table
    has dropped the claim that ran.
    """

    def __init__(self, window_ms: int, retention_ms: int) -> None:
        self.window_ms = window_ms
        # A claim counts from `created - tolerance` to `created + window + tolerance`.
        self.entry_ttl_ms = window_ms + 2 * CLOCK_TOLERANCE_MS
        self.retention_ms = retention_ms
        self.position = 0
        self.time_ms = 0
        self._covered_since_ms: int | None = None  # None: from the beginning of the stream.
        self._gap = False
        self._read = False
        self._entries: dict[str, KeyEntry] = {}
        self._bodies: deque[tuple[str, str, int]] = deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key_hash: str) -> KeyEntry | None:
        """Return what is known about a key."""
        return self._entries.get(key_hash)

    def verdict(self, claim: Claim) -> TableEvent | None:
        """Return what the records read so far say about a claim; None if they do not decide it."""
        entry = self._entries.get(claim.key_hash)
        if entry is None:
            return None
        if entry.holder == claim.claim_id:
            decided = Void if entry.is_void else Won
            return decided(claim.claim_id, claim.key_hash)
        if entry.holder is not None:
            same = claim.request_hash == entry.request_hash
            return Lost(claim.claim_id, claim.key_hash, same, entry.outcome)
        return Freed(claim.key_hash) if claim.claim_id in entry.excluded else None

    def has_read(self, claim: Claim) -> bool:
        """Return whether the claim, or its release, was read."""
        entry = self._entries.get(claim.key_hash)
        return entry is not None and claim.claim_id in (entry.holder, *entry.excluded)

    def includes(self, item: Release | Settlement) -> bool:
        """Return whether a release or an outcome was read and has taken effect."""
        entry = self._entries.get(item.key_hash)
        if entry is None:
            return False
        if isinstance(item, Release):
            return item.claim_id in entry.excluded
        return entry.holder == item.claim_id and entry.outcome is not None

    def covers(self, created_ms: int | None) -> bool:
        """Return whether every earlier claim that counts for such a key was read."""
        if not self._read or self._gap:
            return False
        if self._covered_since_ms is None:
            return True
        if created_ms is None:
            return self.time_ms - self.entry_ttl_ms > self._covered_since_ms
        return created_ms - CLOCK_TOLERANCE_MS > self._covered_since_ms

    def skip_to(self, offset: int, since_ms: int) -> None:
        """Start at an offset; every record from wall time `since_ms` on has it or a higher one."""
        self.position = offset
        self._covered_since_ms = since_ms

    def read_page(
        self, first_offset: int, records: list[LogRecord], wall_ms: int
    ) -> list[TableEvent]:
        """Fold a page that was read from `position` on."""
        if first_offset > self.position:
            self.position = first_offset
            self._gap = True
        # Everything that the log has dropped is older than its retention. The time of the first
        # retained record alone would refuse calls for a minute after each start on a quiet stream.
        dropped_ms = wall_ms - self.retention_ms + CLOCK_TOLERANCE_MS
        if self._gap and not records:
            self._cover_since(dropped_ms)
        self._read = True
        notices: list[TableEvent] = []
        for record in records:
            if record.offset < self.position:
                continue
            if self._gap or record.offset > self.position:
                self._cover_since(min(record.time_ms, dropped_ms))
            self.position = record.offset + 1
            self.time_ms = max(self.time_ms, record.time_ms)
            notices += self._fold(record)
        self._drop_expired()
        return notices

    def _cover_since(self, time_ms: int) -> None:
        self._covered_since_ms = time_ms
        self._gap = False

    def _fold(self, record: LogRecord) -> list[TableEvent]:
        notices: list[TableEvent] = []
        for item in read_entries(record.data):
            match item:
                case Claim():
                    notice = self._fold_claim(item)
                case Release():
                    notice = self._fold_release(item)
                case Settlement():
                    notice = self._fold_settlement(item)
            if notice is not None:
                notices.append(notice)
        return notices

    def _fold_claim(self, claim: Claim) -> TableEvent | None:
        if claim.created_ms is not None:
            age_ms = self.time_ms - claim.created_ms
            if not -CLOCK_TOLERANCE_MS <= age_ms <= self.window_ms + CLOCK_TOLERANCE_MS:
                return Void(claim.claim_id, claim.key_hash)
        entry = self._live_entry(claim.key_hash)
        if entry is None:
            entry = self._entries[claim.key_hash] = KeyEntry(self.time_ms)
        if claim.claim_id == entry.holder or claim.claim_id in entry.excluded:
            return None  # A repeated append.
        if entry.holder is not None:
            _bury(entry, claim.claim_id)
            same = claim.request_hash == entry.request_hash
            return Lost(claim.claim_id, claim.key_hash, same, entry.outcome)
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
            # The release overtook the claim's append. The claim must not count when it arrives,
            # since nobody would send its call.
            _bury(entry, release.claim_id)
            return None
        if entry.outcome is not None:
            return None
        _bury(entry, release.claim_id)
        entry.holder = None
        self._touch(release.key_hash, entry)
        return Freed(release.key_hash)

    def _fold_settlement(self, settlement: Settlement) -> TableEvent | None:
        entry = self._live_entry(settlement.key_hash)
        if entry is None or entry.holder != settlement.claim_id or entry.outcome is not None:
            return None
        entry.outcome = settlement.outcome
        self._note_body(settlement)
        return Settled(settlement.key_hash, settlement.outcome)

    def _live_entry(self, key_hash: str) -> KeyEntry | None:
        entry = self._entries.get(key_hash)
        if entry is not None and entry.time_ms + self.entry_ttl_ms < self.time_ms:
            del self._entries[key_hash]
            return None
        return entry

    def _touch(self, key_hash: str, entry: KeyEntry) -> None:
        """Restart the entry's time; the entries stay sorted by time."""
        del self._entries[key_hash]
        entry.time_ms = self.time_ms
        self._entries[key_hash] = entry

    def _note_body(self, settlement: Settlement) -> None:
        size = len(settlement.outcome.body or b"")
        self._bodies.append((settlement.key_hash, settlement.claim_id, size))
        self._body_bytes += size
        while self._body_bytes > MAX_BODY_BYTES:
            key_hash, claim_id, size = self._bodies.popleft()
            self._body_bytes -= size
            entry = self._entries.get(key_hash)
            if entry is not None and entry.holder == claim_id and entry.outcome is not None:
                entry.outcome = replace(entry.outcome, body=None)

    def _drop_expired(self) -> None:
        while self._entries:
            key_hash, entry = next(iter(self._entries.items()))
            if entry.time_ms + self.entry_ttl_ms >= self.time_ms:
                break
            del self._entries[key_hash]
        while self._bodies and self._bodies[0][0] not in self._entries:
            self._body_bytes -= self._bodies.popleft()[2]


def _bury(entry: KeyEntry, claim_id: str) -> None:
    if claim_id not in entry.excluded:
        entry.excluded = (*entry.excluded[1 - _MAX_DEAD_IDS :], claim_id)
