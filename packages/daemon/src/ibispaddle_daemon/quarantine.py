"""Suspicions between instances and the stream `quarantine`."""

# ruff: noqa: N801

import itertools
from collections.abc import Iterable
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
    Quarantine,
    QuarantineEntry,
    Suspicion,
    lift_record,
    parse_record,
    quarantine_record,
)
from ibispaddle_core.settings import InstanceSettings

from .events import log_append, log_follow, peer_send, runner_boot_ended
from .logs import log_event, log_unreadable_record
from .peer_codec import Message
from .timers import TimerQueue

STREAM = "quarantine"
# A caller that waits for its error is answered after this time even if peers are silent.
ACK_TIMEOUT_MS = 1_000
RESEND_INTERVAL_MS = 250
APPEND_RETRY_MS = 1_000
EXPIRY_INTERVAL_MS = 60_000


class upstream_died(Event):
    """Report a death: `upstream_died(upstream_id, boot_id, fingerprints, token, channel)`.

    `fingerprints` are those of the requests that were in flight; answered on `channel` by
    `suspicions_shared(token)`, before which the callers must not be answered.
    """


class suspicions_shared(Event):
    """Report that the reachable instances know the suspicions: `suspicions_shared(token)`."""


class suspect_completed(Event):
    """Report a completed request: `suspect_completed(fingerprint)`."""


class quarantine_lifted(Event):
    """Ask to lift a quarantine: `quarantine_lifted(fingerprint, author)`."""


@dataclass
class _Sending:
    notice: Notice
    waiting: set[str]
    deadline_ms: int
    token: object = None
    channel: str = ""


class QuarantineGuard(BaseComponent):
    """Own the suspicions and the quarantine of this instance.

    `registry` answers questions directly: whether a fingerprint is refused, and which upstreams a
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
        self._sending: dict[int, _Sending] = {}
        self._tokens = itertools.count(1)
        self._appends: dict[int, dict[str, object]] = {}
        self.registry = Quarantine()

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.fire(log_follow(STREAM, 0, self.channel), "*")
        self._timers.after(EXPIRY_INTERVAL_MS, self._expire)

    def _expire(self) -> None:
        self._timers.after(EXPIRY_INTERVAL_MS, self._expire)
        self.registry.expire(self._clock.wall_ms())

    # Own observations

    @handler("upstream_died", channel="*")
    def _on_upstream_died(
        self,
        upstream_id: str,
        boot_id: str,
        fingerprints: Iterable[str],
        token: object,
        channel: str,
    ) -> None:
        death = Death(upstream_id, boot_id)
        suspicions, entries = self.registry.upstream_died(
            death, fingerprints, self._clock.wall_ms()
        )
        self._append_entries(entries)
        self._share(suspicions, (), token, channel)

    @handler("suspect_completed", channel="*")
    def _on_suspect_completed(self, fingerprint: str) -> None:
        clearance = self.registry.completed(fingerprint, self._clock.wall_ms())
        if clearance is not None:
            self._share((), (clearance,))

    @handler("quarantine_lifted", channel="*")
    def _on_quarantine_lifted(self, fingerprint: str, author: str) -> None:
        clearance = self.registry.lift(fingerprint, self._clock.wall_ms())
        if clearance is not None:
            self._append(lift_record(clearance, author))

    # Notices

    def _share(
        self,
        suspicions: tuple[Suspicion, ...],
        clearances: tuple[Clearance, ...],
        token: object = None,
        channel: str = "",
    ) -> None:
        now_ms = self._clock.now_ms()
        waiting = {
            member.entry.id
            for member in self._view.members(now_ms, MemberKind.ENTRY)
            if member.entry.id != self._instance_id and member.state is not MemberState.DOWN
        }
        notice = Notice(next(self._notice_ids), suspicions, clearances)
        if not suspicions and not clearances:
            waiting.clear()
        sending = _Sending(notice, waiting, now_ms + ACK_TIMEOUT_MS, token, channel)
        self._sending[notice.notice_id] = sending
        self._send_notice(sending)

    def _send_notice(self, sending: _Sending) -> None:
        """Send to the peers that have not acknowledged, until all have or the time is over."""
        if sending.notice.notice_id not in self._sending:
            return
        now_ms = self._clock.now_ms()
        if not sending.waiting or now_ms >= sending.deadline_ms:
            del self._sending[sending.notice.notice_id]
            if sending.waiting:
                waiting = sorted(sending.waiting)
                log_event(logevents.SUSPICIONS_UNACKNOWLEDGED, instances=waiting)
            if sending.channel:
                self.fire(suspicions_shared(sending.token), sending.channel)
            return
        for peer_id in sorted(sending.waiting):
            self.fire(peer_send(peer_id, sending.notice), "*")
        delay_ms = min(RESEND_INTERVAL_MS, sending.deadline_ms - now_ms)
        self._timers.after(delay_ms, lambda: self._send_notice(sending))

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case Notice():
                for death in sorted({suspicion.death for suspicion in message.suspicions}):
                    if not self.registry.has_died(death.upstream_id, death.boot_id):
                        self.fire(runner_boot_ended(death.upstream_id, death.boot_id), "*")
                self.registry.merge(message.suspicions, message.clearances)
                self.fire(peer_send(instance_id, NoticeReceived(message.notice_id)), "*")
            case NoticeReceived(notice_id):
                sending = self._sending.get(notice_id)
                if sending is not None:
                    sending.waiting.discard(instance_id)
                    if not sending.waiting:
                        self._send_notice(sending)

    @handler("peer_connected", channel="*")
    def _on_peer_connected(self, instance_id: str) -> None:
        """Tell an instance that may have just started what is under suspicion."""
        suspicions = self.registry.suspicions()
        if suspicions:
            self.fire(peer_send(instance_id, Notice(next(self._notice_ids), suspicions)), "*")

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
            # The record is appended again; a second copy changes nothing.
            self._timers.after(APPEND_RETRY_MS, lambda: self._append(data))

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Iterable[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        for record in records:
            parsed = parse_record(record.data)
            if parsed.is_err():
                log_unreadable_record(stream, record.offset, parsed.unwrap_err())
            else:
                self.registry.fold(parsed.unwrap())
