"""Registry of the parts of requests that crash upstreams.

A part is a piece of a prompt that several requests have in common, or a whole request that is sent
again. A crash casts suspicion on all parts of the requests that were in flight without output. An
upstream that responds to a request with a part clears it of all crashes before. A part that has
caused crashes is never cleared, whatever else its requests contain.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from .deaths import Death, current_boot_id
from .part_messages import CrashReport, PartChange, PartCleared, PartQuarantined

# Suspicions and quarantines end after this time.
WINDOW_MS = 3_600_000
# A prompt part needs this many crashes, by at least two different requests; a request that crashes
# upstreams whatever its parts are must not put its parts into quarantine.
CRASHES_TO_QUARANTINE = 3
REQUESTS_TO_QUARANTINE = 2
# Time from the last of these crashes to the quarantine, within which a response may clear the part.
CONFIRMATION_MS = 500
# The same for a part whose requests were answered before: it is probably only a companion of the part
# that crashes upstreams, and the next response clears it.
SOUND_CONFIRMATION_MS = 2_000
# A part without responses and with this many crashes needs no confirmation.
CRASHES_WITHOUT_CONFIRMATION = 5
MAX_SUSPECTS = 5_000
# Further crashes within the window are not recorded.
MAX_CRASHES_PER_PART = 256
MAX_PARTS_PER_REPORT = 64
# Parts of recent responses that are remembered.
MAX_SOUND_PARTS = 4_096
# Changes that are retained for other instances.
MAX_CHANGES = 4_096
MAX_CHANGES_PER_MESSAGE = 256


@dataclass(frozen=True, slots=True)
class _Crash:
    """A crash with the part: the request in flight, and when the registry learned of it."""

    request: str
    sequence: int
    at_ms: int


@dataclass(slots=True)
class _Suspect:
    """The crashes with a part, and those of which it was cleared."""

    position: int  # In the prompt; the whole request comes last.
    changed_ms: int
    crashes: dict[Death, _Crash] = field(default_factory=dict)
    cleared: set[Death] = field(default_factory=set)
    is_known_sound: bool = False
    quarantined_until_ms: int | None = None


class PartQuarantine:
    """Collect the crash reports of all instances and derive the parts in quarantine from them.

    Times are monotonic milliseconds of this instance, and wall-clock times only in messages. The order of
    crashes and responses is given by `sequence`, which increases with each change.

    >>> quarantine = PartQuarantine()
    >>> for number in range(3):
    ...     report = CrashReport(Death(f"r{number}", "x"), f"request {number}", ("a", "b"))
    ...     quarantine.merge([report], now_ms=number, wall_ms=number)
    >>> [cleared] = quarantine.record_response(("a",), "other request", quarantine.sequence)
    >>> quarantine.merge([cleared], now_ms=9, wall_ms=9)
    >>> [entry.part for entry in quarantine.evaluate(now_ms=600, wall_ms=600)]
    ['b']
    >>> quarantine.blocked_part(("a", "b"), "new request", now_ms=601)
    'b'
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._suspects: dict[str, _Suspect] = {}
        self._parts_by_death: dict[Death, set[str]] = {}
        self._quarantined: set[str] = set()
        # The prompt parts in quarantine. Their crashes do not count against other parts, while those of
        # a whole request do count against its parts.
        self._explaining: set[str] = set()
        self._due_ms: dict[str, int] = {}  # Times at which parts are put into quarantine.
        self._changes: deque[tuple[int, PartChange]] = deque(maxlen=MAX_CHANGES)
        self._sound: dict[str, None] = {}  # The most recent part last.

    # Evidence

    def crash_report(self, death: Death, parts: Sequence[str], request: str) -> CrashReport:
        """Return the report of a request that was in flight when an upstream crashed."""
        unknown = [part for part in parts if part not in self._sound]
        sound = [part for part in parts if part in self._sound]
        if len(parts) > MAX_PARTS_PER_REPORT:
            kept = {*unknown[:MAX_PARTS_PER_REPORT]}
            kept.update(sound[: MAX_PARTS_PER_REPORT - len(kept)])
            parts = [part for part in parts if part in kept]
            sound = [part for part in sound if part in kept]
        return CrashReport(death, request, tuple(parts), tuple(sound))

    def record_response(
        self, parts: Iterable[str], request: str, sequence: int
    ) -> tuple[PartCleared, ...]:
        """Return the suspicions that a response refutes, to be merged and sent to all instances.

        `sequence` is that of the registry when the upstream began to respond.
        """
        cleared = []
        for part in (*parts, request):
            if part != request:
                self._sound.pop(part, None)
                self._sound[part] = None
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            deaths = tuple(
                death
                for death, crash in suspect.crashes.items()
                if death not in suspect.cleared and crash.sequence <= sequence
            )
            if deaths:
                cleared.append(PartCleared(part, deaths))
        while len(self._sound) > MAX_SOUND_PARTS:
            del self._sound[next(iter(self._sound))]
        return tuple(cleared)

    def is_sound(self, part: str) -> bool:
        """Return whether a request with the part got a response recently."""
        return part in self._sound

    @property
    def has_suspects(self) -> bool:
        """Return whether any part is suspect or in quarantine."""
        return bool(self._suspects)

    def is_suspected(self, parts: Iterable[str], request: str) -> bool:
        """Return whether a crash for which a part or the request may be the cause is unexplained."""
        return any(
            part in self._suspects and bool(self._open_deaths(part)) for part in (*parts, request)
        )

    def current_boot_id(
        self, upstream_id: str, reported_boot: str, may_have_died: bool = False
    ) -> str:
        """Return the boot that receives a request, given the last reported one."""
        has_died = self._parts_by_death.__contains__
        return current_boot_id(has_died, upstream_id, reported_boot, may_have_died)

    # Exchange with other instances

    def merge(self, changes: Iterable[PartChange], now_ms: int, wall_ms: int) -> None:
        """Apply changes of this or another instance; known ones have no effect."""
        for change in changes:
            match change:
                case CrashReport():
                    is_new = self._merge_report(change, now_ms)
                case PartCleared():
                    is_new = self._merge_clearance(change, now_ms)
                case PartQuarantined():
                    is_new = self._merge_quarantine(change, now_ms, wall_ms)
            if is_new:
                self._changes.append((self.sequence, change))

    def changes_since(self, sequence: int) -> tuple[int, tuple[PartChange, ...]]:
        """Return the oldest retained changes after a sequence number, and that of the last of them."""
        if sequence >= self.sequence:
            return sequence, ()
        found = [item for item in self._changes if item[0] > sequence]
        if len(found) <= MAX_CHANGES_PER_MESSAGE:
            return self.sequence, tuple(change for _, change in found)
        found = found[:MAX_CHANGES_PER_MESSAGE]
        return found[-1][0], tuple(change for _, change in found)

    def _merge_report(self, report: CrashReport, now_ms: int) -> bool:
        before = self.sequence
        parts = report.parts[:MAX_PARTS_PER_REPORT]
        for position, part in enumerate(parts):
            self._add_crash(part, position, report, now_ms)
        self._add_crash(report.request, MAX_PARTS_PER_REPORT, report, now_ms)
        self._schedule((*parts, report.request), now_ms)
        return self.sequence > before

    def _add_crash(self, part: str, position: int, report: CrashReport, now_ms: int) -> None:
        suspect = self._get_or_add(part, position, now_ms)
        if suspect is None:
            return
        if part in report.sound_parts and not suspect.is_known_sound:
            self.sequence += 1
            suspect.is_known_sound = True
            self._due_ms.pop(part, None)
        if report.death in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES_PER_PART:
            return
        self.sequence += 1
        suspect.changed_ms = now_ms
        suspect.crashes[report.death] = _Crash(report.request, self.sequence, now_ms)
        self._parts_by_death.setdefault(report.death, set()).add(part)

    def _merge_clearance(self, cleared: PartCleared, now_ms: int) -> bool:
        suspect = self._get_or_add(cleared.part, 0, now_ms)
        # A clearance may arrive before its report and takes precedence even then.
        if suspect is None or suspect.cleared.issuperset(cleared.deaths):
            return False
        self.sequence += 1
        suspect.changed_ms = now_ms
        suspect.is_known_sound = True
        self._due_ms.pop(cleared.part, None)
        suspect.cleared.update(cleared.deaths)
        if len(self._open_deaths(cleared.part)) < CRASHES_TO_QUARANTINE:
            suspect.quarantined_until_ms = None
            self._quarantined.discard(cleared.part)
            self._explaining.discard(cleared.part)
        self._schedule(self._companions(cleared.part), now_ms)
        return True

    def _merge_quarantine(self, entry: PartQuarantined, now_ms: int, wall_ms: int) -> bool:
        remaining_ms = min(WINDOW_MS, entry.expires_ms - wall_ms)
        suspect = self._get_or_add(entry.part, 0, now_ms) if remaining_ms > 0 else None
        if suspect is None or suspect.cleared.issuperset(entry.deaths):
            return False
        for death in entry.deaths:
            if death not in suspect.crashes and len(suspect.crashes) < MAX_CRASHES_PER_PART:
                suspect.crashes[death] = _Crash("", self.sequence, now_ms)
                self._parts_by_death.setdefault(death, set()).add(entry.part)
        if suspect.quarantined_until_ms is not None:
            return False
        self.sequence += 1
        suspect.changed_ms = now_ms
        self._due_ms.pop(entry.part, None)
        suspect.quarantined_until_ms = now_ms + remaining_ms
        self._quarantined.add(entry.part)
        if not entry.is_whole_request:
            self._explaining.add(entry.part)
        self._schedule(self._companions(entry.part), now_ms)
        return True

    def _get_or_add(self, part: str, position: int, now_ms: int) -> _Suspect | None:
        suspect = self._suspects.get(part)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS and not self._evict():
                return None
            suspect = self._suspects[part] = _Suspect(position, now_ms)
        suspect.position = max(suspect.position, position)
        return suspect

    def _evict(self) -> bool:
        """Remove the oldest suspect that is not in quarantine, if there is one."""
        part = next((part for part in self._suspects if part not in self._quarantined), None)
        if part is not None:
            self._remove(part)
        return part is not None

    def _remove(self, part: str) -> None:
        suspect = self._suspects.pop(part)
        self._quarantined.discard(part)
        self._explaining.discard(part)
        self._due_ms.pop(part, None)
        for death in suspect.crashes:
            self._forget_death(part, death)

    def _forget_death(self, part: str, death: Death) -> None:
        parts = self._parts_by_death.get(death, set())
        parts.discard(part)
        if not parts:
            self._parts_by_death.pop(death, None)

    # Decision

    def next_due_ms(self) -> int | None:
        """Return the time of the next `evaluate`, or None while no part is about to be quarantined.

        The changes of the other instances must be merged before.
        """
        return min(self._due_ms.values(), default=None)

    def evaluate(self, now_ms: int, wall_ms: int) -> tuple[PartQuarantined, ...]:
        """Put the parts into quarantine whose confirmation time has passed, and return them.

        Once a part is in quarantine, its crashes no longer count against its companions, so the part
        that most probably caused the crashes comes first.
        """
        entries: list[PartQuarantined] = []
        while True:
            due = [part for part, due_ms in self._due_ms.items() if due_ms <= now_ms]
            if not due:
                return tuple(entries)
            part = min(due, key=self._plausibility)
            deaths = self._open_deaths(part)[:CRASHES_TO_QUARANTINE]
            del self._due_ms[part]
            is_whole = self._is_whole_request(part)
            entry = PartQuarantined(part, deaths, wall_ms + WINDOW_MS, is_whole)
            self.merge([entry], now_ms, wall_ms)
            entries.append(entry)

    def _plausibility(self, part: str) -> tuple[bool, bool, int, int, str]:
        """Return the sort key of the suspects; the most probable cause of crashes sorts first."""
        suspect = self._suspects[part]
        return (
            suspect.is_known_sound,
            self._is_whole_request(part),
            -len(self._open_deaths(part)),
            -suspect.position,
            part,
        )

    def _open_deaths(self, part: str) -> tuple[Death, ...]:
        """Return the crashes of which the part is not cleared and that no other part explains."""
        suspect = self._suspects[part]
        return tuple(
            death
            for death in suspect.crashes
            if death not in suspect.cleared
            and not (self._parts_by_death.get(death, set()) & self._explaining - {part})
        )

    def _companions(self, part: str) -> set[str]:
        deaths = self._suspects[part].crashes
        return {other for death in deaths for other in self._parts_by_death.get(death, ())}

    def _confirmation_ms(self, part: str) -> int:
        if self._suspects[part].is_known_sound:
            return SOUND_CONFIRMATION_MS
        has_more = len(self._open_deaths(part)) >= CRASHES_WITHOUT_CONFIRMATION
        return 0 if has_more else CONFIRMATION_MS

    def _schedule(self, parts: Iterable[str], now_ms: int) -> None:
        """Set or remove the time at which parts are put into quarantine."""
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None or suspect.quarantined_until_ms is not None:
                continue
            if not self._has_enough_crashes(part):
                self._due_ms.pop(part, None)
                continue
            due_ms = now_ms + self._confirmation_ms(part)
            self._due_ms[part] = min(due_ms, self._due_ms.get(part, due_ms))

    def _has_enough_crashes(self, part: str) -> bool:
        suspect = self._suspects[part]
        deaths = self._open_deaths(part)
        if suspect.is_known_sound:
            deaths = tuple(death for death in deaths if not any(self._rivals(part, death)))
        if len(deaths) < CRASHES_TO_QUARANTINE:
            return False
        requests = {suspect.crashes[death].request for death in deaths}
        return self._is_whole_request(part) or len(requests) >= REQUESTS_TO_QUARANTINE

    def _is_whole_request(self, part: str) -> bool:
        return any(crash.request == part for crash in self._suspects[part].crashes.values())

    def _rivals(self, part: str, death: Death) -> Iterator[str]:
        """Return the parts that are a more probable cause of a crash than a part that is known sound."""
        for other in self._parts_by_death.get(death, ()):
            suspect = self._suspects[other]
            if other == part or suspect.is_known_sound:
                continue
            deaths = self._open_deaths(other)
            if len({suspect.crashes[item].request for item in deaths}) >= REQUESTS_TO_QUARANTINE:
                yield other

    # Queries

    def blocked_part(self, parts: Iterable[str], request: str, now_ms: int) -> str | None:
        """Return the first part of a request that is in quarantine, or None."""
        if not self._quarantined:
            return None
        return next((part for part in (*parts, request) if self._is_blocked(part, now_ms)), None)

    def _is_blocked(self, part: str, now_ms: int) -> bool:
        return part in self._quarantined and self.remaining_ms(part, now_ms) > 0

    def remaining_ms(self, part: str, now_ms: int) -> int:
        """Return the time until the end of a quarantine, 0 if the part is not in quarantine."""
        suspect = self._suspects.get(part)
        until_ms = suspect.quarantined_until_ms if suspect is not None else None
        return max(0, until_ms - now_ms) if until_ms is not None else 0

    @property
    def quarantined_parts(self) -> frozenset[str]:
        """Return the keys of the parts in quarantine."""
        return frozenset(self._quarantined)

    def entry(self, part: str, now_ms: int, wall_ms: int) -> PartQuarantined | None:
        """Return the entry of a part in quarantine, for other instances, or None."""
        remaining_ms = self.remaining_ms(part, now_ms)
        if not remaining_ms:
            return None
        suspect = self._suspects[part]
        deaths = [death for death in suspect.crashes if death not in suspect.cleared]
        kept = tuple(deaths[:CRASHES_TO_QUARANTINE])
        is_whole = part not in self._explaining
        return PartQuarantined(part, kept, wall_ms + remaining_ms, is_whole)

    def lift(self, part: str) -> tuple[PartCleared, ...]:
        """Return the changes that lift a quarantine, to be merged; none if there is no quarantine.

        The crashes that it explained must not count against its companions from then on.
        """
        if part not in self._quarantined:
            return ()
        deaths = self._suspects[part].crashes.keys()
        return tuple(
            PartCleared(other, tuple(sorted(deaths & self._suspects[other].crashes.keys())))
            for other in sorted(self._companions(part), key=lambda other: (other == part, other))
        )

    def expire(self, now_ms: int) -> None:
        """Remove expired crashes, suspicions and quarantines."""
        for part, suspect in list(self._suspects.items()):
            until_ms = suspect.quarantined_until_ms
            if until_ms is None:
                until_ms = suspect.changed_ms + WINDOW_MS
                self._expire_crashes(part, now_ms - WINDOW_MS)
            if now_ms >= until_ms:
                self._remove(part)

    def _expire_crashes(self, part: str, before_ms: int) -> None:
        suspect = self._suspects[part]
        for death, crash in list(suspect.crashes.items()):
            if crash.at_ms <= before_ms:
                del suspect.crashes[death]
                suspect.cleared.discard(death)
                self._forget_death(part, death)
