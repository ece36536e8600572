"""Committers of the claims' partitions that this instance is chosen or asked for."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import (
    PARTITIONS,
    ClaimMessage,
    ClaimRequest,
    ClaimUpdate,
    Committer,
    OutgoingMessage,
    partition_of,
    rank_committers,
    stream_of,
)
from ibispaddle_core.membership import MembershipView
from ibispaddle_core.settings import InstanceSettings

from .events import log_append, peer_received, peer_send
from .peer_codec import Message
from .platform_log import LogError, LogFailure, log_follow_since, log_unfollow
from .timers import TimerHandle, TimerQueue

# Time between two comparisons of the followed partitions with the membership view.
REVIEW_MS = 1_000
# How long a partition is followed after the last time that this instance was chosen or asked. Reading
# the window again costs more than following a stream for a minute.
LINGER_MS = 60_000


@dataclass(eq=False)
class _Duty:
    """A followed partition; appends carry the generation, since a partition can be taken up again."""

    committer: Committer
    generation: int
    used_ms: int
    # Records that arrive before the start is known belong to an earlier tail of the same stream.
    is_located: bool = False
    wakeup: TimerHandle | None = None


class CommitterPool(BaseComponent):
    """Follow the streams of some partitions and answer the claims of all instances."""

    channel = "committers"

    def __init__(
        self,
        settings: InstanceSettings,
        boot: int,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._boot = boot
        self._view = view
        self._clock = clock
        self._timers = timers
        self._followed_partitions: dict[int, _Duty] = {}
        self._generations = itertools.count(1)
        self._log_available = False
        # Before the first list, the view holds this instance alone, which would follow everything.
        self._is_listed = False

    @property
    def partitions(self) -> int:
        """Return the number of partitions that are followed."""
        return len(self._followed_partitions)

    @property
    def keys(self) -> int:
        """Return the number of keys in all tables."""
        return sum(len(followed.committer.table) for followed in self._followed_partitions.values())

    # Choice of the partitions

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._review()

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: object) -> None:
        self._is_listed = True
        self._take_up_chosen()

    def _review(self) -> None:
        self._timers.after(REVIEW_MS, self._review)
        self._take_up_chosen()
        now_ms = self._clock.now_ms()
        for partition, followed in list(self._followed_partitions.items()):
            followed.committer.tick(now_ms)
            is_unused = followed.committer.is_ready and followed.committer.is_idle
            if is_unused and now_ms - followed.used_ms > LINGER_MS:
                del self._followed_partitions[partition]
                self.fire(log_unfollow(stream_of(partition), self.channel), "*")

    def _take_up_chosen(self) -> None:
        """Follow the partitions of this instance ahead of the first claim."""
        if not self._is_listed:
            return
        ranked = self._view.ranked_instances(self._clock.now_ms())
        for partition in range(PARTITIONS):
            own_id = self._settings.instance_id
            if rank_committers(partition, ranked, own_id)[0] == own_id:
                self._take_up(partition)

    def _take_up(self, partition: int) -> _Duty:
        followed = self._followed_partitions.get(partition)
        if followed is None:
            settings, generation = self._settings, next(self._generations)
            committer = Committer(
                f"{settings.instance_id}/{self._boot}/{partition}.{generation}",
                settings.claim_window_ms,
                settings.log_retention_ms,
                settings.claim_batch_interval_ms,
            )
            followed = self._followed_partitions[partition] = _Duty(committer, generation, 0)
            age_ms = committer.table.entry_ttl_ms
            self.fire(log_follow_since(stream_of(partition), age_ms, self.channel), "*")
        followed.used_ms = self._clock.now_ms()
        return followed

    def _duty_of(self, stream: str) -> _Duty | None:
        return next(
            (d for p, d in self._followed_partitions.items() if stream_of(p) == stream), None
        )

    # Messages

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message | ClaimMessage) -> None:
        match message:
            case ClaimRequest(claim):
                key_hash = claim.key_hash
            case ClaimUpdate(entry):
                key_hash = entry.key_hash
            case _:
                return
        partition = partition_of(key_hash)
        followed = self._take_up(partition)
        now_ms = self._clock.now_ms()
        self._send(followed.committer.receive(instance_id, message, now_ms, self._log_available))
        self._work(partition, followed)

    def _send(self, messages: list[OutgoingMessage]) -> None:
        for outgoing in messages:
            if outgoing.instance_id == self._settings.instance_id:
                self.fire(peer_received(outgoing.instance_id, outgoing.message), "*")
            else:
                self.fire(peer_send(outgoing.instance_id, outgoing.message), "*")

    # Log

    @handler("log_health", channel="*")
    def _on_log_health(self, available: bool) -> None:
        self._log_available = available

    @handler("log_located")
    def _on_log_located(self, stream: str, offset: int, since_ms: int) -> None:
        followed = self._duty_of(stream)
        if followed is not None:
            followed.committer.table.skip_to(offset, since_ms)
            followed.is_located = True

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Sequence[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        for partition, followed in self._followed_partitions.items():
            if stream_of(partition) == stream and followed.is_located:
                now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
                self._send(
                    followed.committer.read_page(
                        first_offset,
                        list(records),
                        next_offset,
                        now_ms,
                        wall_ms,
                        self._log_available,
                    )
                )
                self._work(partition, followed)

    @handler("log_appended")
    def _on_log_appended(
        self, token: tuple[int, int, str], offset: int | None, error: LogError | None
    ) -> None:
        partition, generation, batch_id = token
        followed = self._followed_partitions.get(partition)
        if followed is None or followed.generation != generation:
            return
        now_ms = self._clock.now_ms()
        if error is None:
            self._send(followed.committer.appended(batch_id))
        elif error.may_have_taken_effect:
            followed.committer.queue.response_lost(batch_id, now_ms)
        else:
            outage = error.failure is not LogFailure.RATE
            self._send(followed.committer.append_refused(batch_id, now_ms, outage))
        self._work(partition, followed)

    # Appends

    def _work(self, partition: int, followed: _Duty) -> None:
        """Append what is due and set the next wake-up."""
        queue = followed.committer.queue
        batch = queue.next_batch(self._clock.now_ms())
        if batch is not None:
            batch_id, data = batch
            token = (partition, followed.generation, batch_id)
            self.fire(log_append(stream_of(partition), data, token, self.channel), "*")
        due_ms = queue.next_due_ms()
        if followed.wakeup is not None:
            followed.wakeup.cancel()
            followed.wakeup = None
        if due_ms is not None:
            followed.wakeup = self._timers.at(due_ms, lambda: self._work(partition, followed))
