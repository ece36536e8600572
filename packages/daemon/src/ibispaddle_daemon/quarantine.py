"""Exchange of suspicions between instances, and the log stream `quarantine`."""

# ruff: noqa: N801

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from circuits import BaseComponent, Event, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.membership import MemberKind, MembershipView, MemberState
from ibispaddle_core.quarantine import (
    Clearance,
    Death,
    Notice,
    NoticeReceived,
    PartChange,
    PartCleared,
    PartQuarantine,
    PartQuarantined,
    Quarantine,
    QuarantineEntry,
    Suspicion,
    lift_record,
    parse_record,
    part_record,
    quarantine_record,
)
from ibispaddle_core.settings import InstanceSettings

from .events import log_append, log_follow, peer_send, runner_boot_ended
from .logs import log_event, log_unreadable_record
from .peer_codec import Message
from .timers import TimerHandle, TimerQueue

STREAM = "quarantine"
# A caller that waits for an error response gets it after this time even if peers do not acknowledge.
NOTICE_ACK_TIMEOUT_MS = 1_000
NOTICE_RESEND_INTERVAL_MS = 250
APPEND_RETRY_DELAY_MS = 1_000
EXPIRY_INTERVAL_MS = 60_000


class upstream_died(Event):
    """Report a crash: `upstream_died(upstream_id, boot_id, requests, token, channel)`.

    `requests` are those that were in flight: their parts by fingerprint. Answered by
    `suspicions_shared(token)` on `channel`; the callers must not get a response before that.
    """


class suspicions_shared(Event):
    """Report that all reachable instances know the suspicions: `suspicions_shared(token)`."""


class suspect_completed(Event):
    """Report that a suspect request was completed: `suspect_completed(fingerprint)`."""


class parts_cleared(Event):
    """Report that a response cleared parts: `parts_cleared(changes)`."""


class quarantine_lifted(Event):
    """Request that a quarantine is lifted: `quarantine_lifted(fingerprint, author)`."""


@dataclass
class _PendingNotice:
    notice: Notice
    unacknowledged: set[str]
    deadline_ms: int
    token: object = None
    channel: str = ""


class QuarantineManager(BaseComponent):
    """Maintain the suspicions and the quarantine on this instance.

    `registry` is queried directly for whether a fingerprint is in quarantine and which upstreams a
    suspect may use. Its times are wall-clock milliseconds.
    """

    channel = "quarantine"

    def __init__(
        self, settings: InstanceSettings, view: MembershipView, clock: Clock, timers: TimerQueue
    ) -> None:
        super().__init__()
        self._instance_id = settings.instance_id
        self._view = view
        self._clock = clock
        self._timers = timers
        self._notice_ids = itertools.count(1)
        self._pending_notices: dict[int, _PendingNotice] = {}
        self._tokens = itertools.count(1)
        self._appends: dict[int, dict[str, object]] = {}
        self.registry = Quarantine()
        self.parts = PartQuarantine()
        self._evaluation_timer: TimerHandle | None = None

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.fire(log_follow(STREAM, 0, self.channel), "*")
        self._timers.after(EXPIRY_INTERVAL_MS, self._expire)

    def _expire(self) -> None:
        self._timers.after(EXPIRY_INTERVAL_MS, self._expire)
        self.registry.expire(self._clock.wall_ms())
        self.parts.expire(self._clock.now_ms())

    # Observations of this instance

    @handler("upstream_died", channel="*")
    def _on_upstream_died(
        self,
        upstream_id: str,
        boot_id: str,
        requests: Mapping[str, tuple[str, ...]],
        token: object,
        channel: str,
    ) -> None:
        death = Death(upstream_id, boot_id)
        suspicions, entries = self.registry.upstream_died(death, requests, self._clock.wall_ms())
        self._append_entries(entries)
        reports = tuple(
            self.parts.crash_report(death, parts, fingerprint)
            for fingerprint, parts in requests.items()
            if parts
        )
        self._merge_parts(reports)
        self._send_to_peers(suspicions, (), token, channel, reports)

    @handler("suspect_completed", channel="*")
    def _on_suspect_completed(self, fingerprint: str) -> None:
        clearance = self.registry.completed(fingerprint, self._clock.wall_ms())
        if clearance is not None:
            self._send_to_peers((), (clearance,))

    @handler("quarantine_lifted", channel="*")
    def _on_quarantine_lifted(self, fingerprint: str, author: str) -> None:
        clearance = self.registry.lift(fingerprint, self._clock.wall_ms())
        if clearance is not None:
            self._append(lift_record(clearance, author))
        for cleared in self.parts.lift(fingerprint):
            part = Clearance(cleared.part, cleared.deaths, self._clock.wall_ms())
            self._append(lift_record(part, author))

    # Parts of requests

    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return the requests and the parts in quarantine."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        parts = (
            self.parts.entry(part, now_ms, wall_ms) for part in sorted(self.parts.quarantined_parts)
        )
        return self.registry.entries(wall_ms) + tuple(
            QuarantineEntry(entry.part, entry.deaths, entry.expires_ms)
            for entry in parts
            if entry is not None
        )

    def _merge_parts(self, changes: Iterable[PartChange]) -> None:
        self.parts.merge(changes, self._clock.now_ms(), self._clock.wall_ms())
        if self._evaluation_timer is not None:
            self._evaluation_timer.cancel()
            self._evaluation_timer = None
        due_ms = self.parts.next_due_ms()
        if due_ms is not None:
            self._evaluation_timer = self._timers.at(due_ms, self._evaluate)

    def _evaluate(self) -> None:
        self._evaluation_timer = None
        entries = self.parts.evaluate(self._clock.now_ms(), self._clock.wall_ms())
        for entry in entries:
            upstreams = [death.upstream_id for death in entry.deaths]
            log_event(logevents.PART_QUARANTINED, part=entry.part, upstreams=upstreams)
            self._append(part_record(entry))
        if entries:
            self._send_to_peers((), (), part_changes=entries)
        self._merge_parts(())

    @handler("parts_cleared", channel="*")
    def _on_parts_cleared(self, changes: tuple[PartCleared, ...]) -> None:
        self._merge_parts(changes)
        self._send_to_peers((), (), part_changes=changes)

    # Notices

    def _send_to_peers(
        self,
        suspicions: tuple[Suspicion, ...],
        clearances: tuple[Clearance, ...],
        token: object = None,
        channel: str = "",
        part_changes: tuple[PartChange, ...] = (),
    ) -> None:
        now_ms = self._clock.now_ms()
        unacknowledged = {
            member.entry.id
            for member in self._view.members(now_ms, MemberKind.ENTRY)
            if member.entry.id != self._instance_id and member.state is not MemberState.DOWN
        }
        notice = Notice(next(self._notice_ids), suspicions, clearances, part_changes)
        if not suspicions and not clearances and not part_changes:
            unacknowledged.clear()
        pending = _PendingNotice(
            notice, unacknowledged, now_ms + NOTICE_ACK_TIMEOUT_MS, token, channel
        )
        self._pending_notices[notice.notice_id] = pending
        self._send_notice(pending)

    def _send_notice(self, pending: _PendingNotice) -> None:
        """Send to the peers that have not acknowledged, until all have or the timeout is over."""
        if pending.notice.notice_id not in self._pending_notices:
            return
        now_ms = self._clock.now_ms()
        if not pending.unacknowledged or now_ms >= pending.deadline_ms:
            del self._pending_notices[pending.notice.notice_id]
            if pending.unacknowledged:
                unacknowledged = sorted(pending.unacknowledged)
                log_event(logevents.SUSPICIONS_UNACKNOWLEDGED, instances=unacknowledged)
            if pending.channel:
                self.fire(suspicions_shared(pending.token), pending.channel)
            return
        for peer_id in sorted(pending.unacknowledged):
            self.fire(peer_send(peer_id, pending.notice), "*")
        delay_ms = min(NOTICE_RESEND_INTERVAL_MS, pending.deadline_ms - now_ms)
        self._timers.after(delay_ms, lambda: self._send_notice(pending))

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case Notice():
                for death in sorted({suspicion.death for suspicion in message.suspicions}):
                    if not self.registry.has_died(death.upstream_id, death.boot_id):
                        self.fire(runner_boot_ended(death.upstream_id, death.boot_id), "*")
                self.registry.merge(message.suspicions, message.clearances)
                self._merge_parts(message.part_changes)
                self.fire(peer_send(instance_id, NoticeReceived(message.notice_id)), "*")
            case NoticeReceived(notice_id):
                pending = self._pending_notices.get(notice_id)
                if pending is not None:
                    pending.unacknowledged.discard(instance_id)
                    if not pending.unacknowledged:
                        self._send_notice(pending)

    @handler("peer_connected", channel="*")
    def _on_peer_connected(self, instance_id: str) -> None:
        """Send the suspicions to an instance that may have just started."""
        suspicions = self.registry.suspicions()
        _, part_changes = self.parts.changes_since(0)
        if suspicions or part_changes:
            notice = Notice(next(self._notice_ids), suspicions, (), part_changes)
            self.fire(peer_send(instance_id, notice), "*")

    # Log

    def _append_entries(self, entries: Iterable[QuarantineEntry]) -> None:
        for entry in entries:
            self._append(quarantine_record(entry))

    def _append(self, data: dict[str, object]) -> None:
        token = next(self._tokens)
        self._appends[token] = data
        self.fire(log_append(STREAM, data, token, self.channel), "*")

    @handler("log_appended")
    def _on_log_appended(self, token: int, offset: int | None, error: object) -> None:
        data = self._appends.pop(token, None)
        if data is not None and error is not None:
            # Appending is retried; a duplicate record has no effect.
            self._timers.after(APPEND_RETRY_DELAY_MS, lambda: self._append(data))

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Iterable[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        for record in records:
            parsed = parse_record(record.data)
            if parsed.is_err():
                log_unreadable_record(stream, record.offset, parsed.unwrap_err())
                continue
            match parsed.unwrap():
                case PartQuarantined() as entry:
                    self._merge_parts([entry])
                case Clearance(fingerprint, deaths) as clearance:
                    self.registry.fold(clearance)
                    self._merge_parts([PartCleared(fingerprint, deaths)])
                case QuarantineEntry() as request_entry:
                    self.registry.fold(request_entry)
