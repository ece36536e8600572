"""Merged view of instances and upstreams.

The view has three sources: the instance list, which lags behind, heartbeats of other instances, and
observations (local probes and requests, and probe results of other instances). Rules of precedence:

* Observations determine failures: a listed upstream that does not respond is down.
* Every source can report that a member is leaving, and no other source cancels that. A departure in
  the list ends only with a newer list version that says live; a departure reported by the member
  itself ends only with a new boot of the member.
* The list determines membership: a member that is no longer listed gets no new work.
* The configuration determines which upstreams are drained; neither list nor upstream cancels that.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from .entries import InstanceList, ListedState, ListEntry, MemberKind
from .hashing import PROBERS_PER_RUNNER, rendezvous_select

# Maximum age at which a local observation of a runner takes precedence over the reports of its
# probers. A temporary connection error must not keep the runner out of use for longer.
LOCAL_OBSERVATION_MAX_AGE_MS = 3_000
REPORT_MAX_AGE_MS = 5_000
# Gossip in a data centre of 49 instances takes a few seconds to spread an entry; a shorter timeout
# would treat slow gossip as a failure.
HEARTBEAT_TIMEOUT_MS = 10_000
# Heartbeats between data centres share links of fixed capacity, so their delay grows with the
# fleet.
REMOTE_HEARTBEAT_MS_PER_INSTANCE = 300
REMOVE_AFTER_MS = 60_000
MAX_KNOWN_BOOTS = 8
# A reading that removes more than this fraction of a kind needs confirmation by further readings,
# so that a list that is being rebuilt does not empty the fleet.
MAX_UNCONFIRMED_DROP_FRACTION = 0.25
CONFIRM_READINGS = 3
CONFIRM_MIN_MS = 1_000


class MemberState(StrEnum):
    """State of a member."""

    LIVE = "live"
    LEAVING = "leaving"  # Finishes its requests, gets no new work.
    DRAINED = "drained"  # Taken out of use by an operator; finishes its requests.
    DOWN = "down"
    FORGOTTEN = "forgotten"  # Unlisted but responding; finishes its requests, gets no new work.


class ListOutcome(StrEnum):
    """Result of merging a reading of the list."""

    APPLIED = "applied"
    STALE = "stale"  # Older than a version read before; ignored.
    HELD = "held"  # Removals await confirmation by further readings.


@dataclass(frozen=True)
class Member:
    """A member of the view."""

    entry: ListEntry
    state: MemberState


@dataclass(frozen=True)
class _Observation:
    up: bool
    at_ms: int


@dataclass
class _Record:
    entry: ListEntry
    version: int
    first_ms: int
    listed: bool = True
    list_leaving: bool = False
    leaving_boot: str | None = None
    boots: list[str] = field(default_factory=list)  # Recent boots of the member, oldest first.
    heartbeat: tuple[int, int] = (0, 0)
    # Newest version of any gossip entry that the instance wrote.
    newest_entry: tuple[int, int] = (0, 0)
    last_received_ms: int | None = None
    down_since_ms: int | None = None
    local_observation: _Observation | None = None
    reports: dict[str, _Observation] = field(default_factory=dict)
    member: Member | None = None  # Cached while entry and state stay the same.


class MembershipView:
    """Merged view of list, heartbeats and observations.

    >>> view = MembershipView("a")
    >>> view.apply_list(InstanceList(1, (ListEntry("r", MemberKind.RUNNER, "x:1", "dc"),)), now_ms=0)
    <ListOutcome.APPLIED: 'applied'>
    >>> view.observe("r", up=False, now_ms=10)
    >>> view.state("r", now_ms=10)
    <MemberState.DOWN: 'down'>
    """

    def __init__(
        self,
        instance_id: str,
        data_centre: str = "",
        heartbeat_timeout_ms: int = HEARTBEAT_TIMEOUT_MS,
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._heartbeat_timeout_ms = heartbeat_timeout_ms
        # The local instance takes part in shared tasks before the lagging list contains it.
        local_entry = ListEntry(instance_id, MemberKind.ENTRY, "", data_centre)
        self._records: dict[str, _Record] = {instance_id: _Record(local_entry, -1, 0)}
        # Time of the first unconfirmed reading and number of readings, by kind.
        self._unconfirmed: dict[MemberKind, tuple[int, int]] = {}
        self._missing: set[str] = set()
        self._drained: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._sorted_ids: list[str] = []
        self._instances = 1
        self.version = -1

    def apply_list(self, listing: InstanceList, now_ms: int) -> ListOutcome:
        """Merge one reading of the instance list."""
        if listing.version < self.version:
            return ListOutcome.STALE
        self.version = listing.version
        for entry in listing.entries:
            self._apply_entry(entry, listing.version, now_ms)
        listed = {entry.id for entry in listing.entries}
        self._instances = sum(
            record.entry.kind is MemberKind.ENTRY for record in self._records.values()
        )
        self._missing = self._records.keys() - listed
        held = [self._drop_missing(kind, not listed, now_ms) for kind in MemberKind]
        self._remove_unresponsive(now_ms)
        return ListOutcome.HELD if any(held) else ListOutcome.APPLIED

    def _apply_entry(self, entry: ListEntry, version: int, now_ms: int) -> None:
        leaving = entry.state is ListedState.LEAVING
        record = self._records.get(entry.id)
        if record is None:
            self._records[entry.id] = _Record(entry, version, now_ms, list_leaving=leaving)
            self._sorted_ids = []
            return
        # If one version is read twice with different states, the member is leaving.
        record.list_leaving = leaving or (record.list_leaving and version == record.version)
        if entry != record.entry:
            record.entry = entry
        record.version, record.listed = version, True

    def _drop_missing(self, kind: MemberKind, is_empty: bool, now_ms: int) -> bool:
        """Mark unlisted members of a kind; return true if that awaits confirmation.

        An empty list, or one without any of several members of a kind, is never confirmed; the
        members are removed once they stop responding.
        """
        present = [
            member_id
            for member_id, record in self._records.items()
            if record.entry.kind is kind and record.listed and member_id != self._instance_id
        ]
        missing = [member_id for member_id in present if member_id in self._missing]
        is_whole_kind = bool(missing) and len(missing) == len(present)
        if is_whole_kind or len(missing) > max(
            1, int(len(present) * MAX_UNCONFIRMED_DROP_FRACTION)
        ):
            first_ms, readings = self._unconfirmed.get(kind, (now_ms, 0))
            readings += 1
            self._unconfirmed[kind] = (first_ms, readings)
            is_unconfirmed = readings < CONFIRM_READINGS or now_ms - first_ms < CONFIRM_MIN_MS
            if is_unconfirmed or is_empty or (is_whole_kind and len(present) > 1):
                return True
        self._unconfirmed.pop(kind, None)
        for member_id in missing:
            self._records[member_id].listed = False
        return False

    def _remove_unresponsive(self, now_ms: int) -> None:
        for member_id in list(self._missing):
            if member_id == self._instance_id or self.state(member_id, now_ms) is not (
                MemberState.DOWN
            ):
                continue
            record = self._records[member_id]
            if record.down_since_ms is None:
                record.down_since_ms = now_ms
            elif now_ms - record.down_since_ms >= REMOVE_AFTER_MS:
                del self._records[member_id]
                self._sorted_ids = []
                self._missing.discard(member_id)

    def observe_heartbeat(
        self, instance_id: str, boot: int, seq: int, leaving: bool, now_ms: int
    ) -> bool:
        """Merge a heartbeat; return false if its instance is unknown or it is not newer."""
        record = self._records.get(instance_id)
        if record is None or (boot, seq) <= record.heartbeat:
            return False
        record.heartbeat = (boot, seq)
        self.observe_entry(instance_id, boot, seq, now_ms)
        self._update_leaving(record, str(boot), leaving)
        return True

    def observe_entry(self, instance_id: str, boot: int, seq: int, now_ms: int) -> None:
        """Record an entry written by an instance; a newer one shows that it is running."""
        record = self._records.get(instance_id)
        if record is not None and (boot, seq) > record.newest_entry:
            record.newest_entry, record.last_received_ms = (boot, seq), now_ms
            record.down_since_ms = None

    def observe(
        self,
        member_id: str,
        up: bool,
        now_ms: int,
        observer: str | None = None,
        boot_id: str = "",
        leaving: bool = False,
    ) -> None:
        """Merge an observation of an upstream; `observer` is `None` for a local one."""
        record = self._records.get(member_id)
        if record is None:
            return
        observation = _Observation(up, now_ms)
        if observer is None or observer == self._instance_id:
            record.local_observation = observation
        else:
            record.reports[observer] = observation
        if up:
            record.down_since_ms = None
            if boot_id:
                self._update_leaving(record, boot_id, leaving)

    @staticmethod
    def _update_leaving(record: _Record, boot: str, leaving: bool) -> None:
        # A late report about an earlier boot does not end the departure of the current one.
        is_new = boot not in record.boots
        if is_new:
            record.boots = [*record.boots[1 - MAX_KNOWN_BOOTS :], boot]
        if leaving:
            record.leaving_boot = boot
        elif is_new:
            record.leaving_boot = None

    def set_drained(self, upstream_ids: Iterable[str]) -> None:
        """Replace the set of drained upstreams; it may contain ids that are not known yet."""
        self._drained = frozenset(upstream_ids)

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Replace the set of evacuated data centres, whose upstreams count as drained."""
        self._evacuated = frozenset(data_centres)

    def is_drained(self, member_id: str) -> bool:
        """Return whether an operator drained an upstream or its data centre, whatever its state is."""
        record = self._records.get(member_id)
        # Instances drain during a planned stop; the configuration cannot exclude them from shared
        # tasks.
        if record is None or record.entry.kind is MemberKind.ENTRY:
            return False
        return member_id in self._drained or record.entry.data_centre in self._evacuated

    def exclude_pause(self, length_ms: int) -> None:
        """Do not count a pause of the local process, in which no heartbeat could be received."""
        for record in self._records.values():
            record.first_ms += length_ms
            if record.last_received_ms is not None:
                record.last_received_ms += length_ms

    def state(self, member_id: str, now_ms: int) -> MemberState | None:
        """Return the state of a member, or `None` if it is unknown."""
        record = self._records.get(member_id)
        return self._state(member_id, record, now_ms) if record else None

    def _state(self, member_id: str, record: _Record, now_ms: int) -> MemberState:
        if self._is_down(member_id, record, now_ms):
            return MemberState.DOWN
        if member_id == self._instance_id:
            return MemberState.LEAVING if record.list_leaving else MemberState.LIVE
        if record.list_leaving or record.leaving_boot is not None:
            return MemberState.LEAVING
        if self.is_drained(member_id):
            return MemberState.DRAINED
        return MemberState.LIVE if record.listed else MemberState.FORGOTTEN

    def _is_down(self, member_id: str, record: _Record, now_ms: int) -> bool:
        if member_id == self._instance_id:
            return False
        if record.entry.kind is MemberKind.ENTRY:
            last_received_ms = (
                record.first_ms if record.last_received_ms is None else record.last_received_ms
            )
            limit_ms = self._heartbeat_timeout_ms
            if self._data_centre not in ("", record.entry.data_centre):
                limit_ms += self._instances * REMOTE_HEARTBEAT_MS_PER_INSTANCE
            return now_ms - last_received_ms > limit_ms
        local = record.local_observation
        if local is not None and now_ms - local.at_ms <= LOCAL_OBSERVATION_MAX_AGE_MS:
            return not local.up
        fresh = [r for r in record.reports.values() if now_ms - r.at_ms <= REPORT_MAX_AGE_MS]
        if fresh:
            # A prober may have lost its route to the runner; it is down only if no prober reaches
            # it.
            return not any(report.up for report in fresh)
        known = [*record.reports.values(), *([local] if local is not None else [])]
        return bool(known) and not max(known, key=lambda item: item.at_ms).up

    def entry(self, member_id: str) -> ListEntry | None:
        """Return the last listed entry of a member."""
        record = self._records.get(member_id)
        return record.entry if record else None

    def boot(self, instance_id: str) -> int:
        """Return the boot of an instance's last heartbeat, or 0 if none was received."""
        record = self._records.get(instance_id)
        return record.heartbeat[0] if record else 0

    def members(self, now_ms: int, kind: MemberKind | None = None) -> tuple[Member, ...]:
        """Return all members, or those of one kind, sorted by id."""
        if len(self._sorted_ids) != len(self._records):
            self._sorted_ids = sorted(self._records)
        found = []
        for member_id in self._sorted_ids:
            record = self._records[member_id]
            if kind is None or record.entry.kind is kind:
                state = self._state(member_id, record, now_ms)
                member = record.member
                if member is None or member.state is not state or member.entry is not record.entry:
                    member = record.member = Member(record.entry, state)
                found.append(member)
        return tuple(found)

    def ranked_instances(self, now_ms: int, data_centre: str | None = None) -> tuple[str, ...]:
        """Return the ids of the instances that take part in shared tasks, by rank."""
        return tuple(
            member.entry.id
            for member in self.members(now_ms, MemberKind.ENTRY)
            if member.state is MemberState.LIVE and data_centre in (None, member.entry.data_centre)
        )

    def probers(self, runner_id: str, now_ms: int) -> tuple[str, ...]:
        """Return the instances that probe a runner."""
        entry = self.entry(runner_id)
        if entry is None:
            return ()
        local = self.ranked_instances(now_ms, entry.data_centre)
        return rendezvous_select(
            runner_id, local or self.ranked_instances(now_ms), PROBERS_PER_RUNNER
        )

    def probe_assignments(self, now_ms: int) -> tuple[tuple[ListEntry, int], ...]:
        """Return the runners to be probed by this instance, with its position among the probers."""
        ranked: dict[str, list[str]] = {}
        for member in self.members(now_ms, MemberKind.ENTRY):
            if member.state is MemberState.LIVE:
                ranked.setdefault(member.entry.data_centre, []).append(member.entry.id)
        all_ranked = [instance_id for ids in ranked.values() for instance_id in ids]
        assignments = []
        for member in self.members(now_ms, MemberKind.RUNNER):
            candidates = ranked.get(member.entry.data_centre, all_ranked)
            if self._instance_id in candidates:
                chosen = rendezvous_select(member.entry.id, candidates, PROBERS_PER_RUNNER)
                if self._instance_id in chosen:
                    assignments.append((member.entry, chosen.index(self._instance_id)))
        return tuple(assignments)
