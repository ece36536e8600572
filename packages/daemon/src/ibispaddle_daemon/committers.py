"""Committers of the claim partitions that this instance is assigned or gets requests for."""

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
    ClaimResponse,
    ClaimUpdate,
    ClaimUpdateAck,
    ClaimVerdict,
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
from .platform_log import MAX_BACKOFF_MS, LogError, LogFailure, log_follow_since, log_unfollow
from .timers import TimerHandle, TimerQueue

# Interval at which the followed partitions are compared with the membership view.
PARTITION_CHECK_INTERVAL_MS = 1_000
# A partition is followed this long after its last assignment to this instance or its last request.
# Reading the claim window again costs more than following a stream for a minute.
UNFOLLOW_DELAY_MS = 60_000
# Time after the return of the log in which an instance follows only its assigned partitions: their other
# committers notice the return within this time.
RECOVERY_MS = MAX_BACKOFF_MS + 1_000


@dataclass(eq=False)
class _FollowedPartition:
    """State of a followed partition.

    A partition can be unfollowed and followed again; the generation in the append tokens
    distinguishes the two.
    """

    committer: Committer
    generation: int
    last_used_ms: int
    # Records that arrive before the start offset is known belong to an earlier tail of the stream.
    is_located: bool = False
    timer: TimerHandle | None = None


class CommitterPool(BaseComponent):
    """Run the committers of the followed partitions and answer the claims of all instances."""

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
        self._followed_partitions: dict[int, _FollowedPartition] = {}
        self._generations = itertools.count(1)
        self._log_available = False
        self._has_been_unavailable = False
        self._recovered_ms: int | None = None  # Time of the log's last return.
        # Before the first list the view has only this instance, which would follow everything.
        self._has_instance_list = False

    @property
    def partition_count(self) -> int:
        """Return the number of followed partitions."""
        return len(self._followed_partitions)

    @property
    def key_count(self) -> int:
        """Return the number of keys in all claim tables."""
        return sum(len(followed.committer.table) for followed in self._followed_partitions.values())

    # Partition assignment

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._update_followed()

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: object) -> None:
        self._has_instance_list = True
        self._follow_assigned()

    def _update_followed(self) -> None:
        self._timers.after(PARTITION_CHECK_INTERVAL_MS, self._update_followed)
        self._follow_assigned()
        now_ms = self._clock.now_ms()
        for partition, followed in list(self._followed_partitions.items()):
            followed.committer.tick(now_ms)
            is_unused = followed.committer.is_ready and followed.committer.is_idle
            if is_unused and now_ms - followed.last_used_ms > UNFOLLOW_DELAY_MS:
                self._unfollow(partition)

    def _follow_assigned(self) -> None:
        """Follow the partitions assigned to this instance before their first claim arrives."""
        for partition in self._assigned_partitions():
            self._follow(partition)

    def _assigned_partitions(self) -> list[int]:
        if not self._has_instance_list:
            return []
        own_id = self._settings.instance_id
        ranked = self._view.ranked_instances(self._clock.now_ms())
        return [
            partition
            for partition in range(PARTITIONS)
            if rank_committers(partition, ranked, own_id)[0] == own_id
        ]

    def _follow(self, partition: int) -> _FollowedPartition:
        followed = self._followed_partitions.get(partition)
        if followed is None:
            settings, generation = self._settings, next(self._generations)
            committer = Committer(
                f"{settings.instance_id}/{self._boot}/{partition}.{generation}",
                settings.claim_window_ms,
                settings.log_retention_ms,
                settings.claim_batch_interval_ms,
            )
            followed = self._followed_partitions[partition] = _FollowedPartition(
                committer, generation, 0
            )
            max_age_ms = committer.table.entry_ttl_ms
            self.fire(log_follow_since(stream_of(partition), max_age_ms, self.channel), "*")
        followed.last_used_ms = self._clock.now_ms()
        return followed

    def _find_by_stream(self, stream: str) -> _FollowedPartition | None:
        return next(
            (
                followed
                for partition, followed in self._followed_partitions.items()
                if stream_of(partition) == stream
            ),
            None,
        )

    # Messages

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message | ClaimMessage) -> None:
        match message:
            case ClaimRequest(claim):
                key_hash = claim.key_hash
                refusal: ClaimMessage = ClaimResponse(claim.claim_id, ClaimVerdict.REFUSED)
            case ClaimUpdate(entry):
                key_hash = entry.key_hash
                refusal = ClaimUpdateAck(entry.claim_id, in_stream=False)
            case _:
                return
        partition = partition_of(key_hash)
        if partition not in self._followed_partitions and not self._can_follow_more:
            # The instances that are asked in turn would all read the stream after an outage.
            self._send([OutgoingMessage(instance_id, refusal)])
            return
        followed = self._follow(partition)
        now_ms = self._clock.now_ms()
        self._send(followed.committer.receive(instance_id, message, now_ms, self._log_available))
        self._append_next_batch(partition, followed)

    def _send(self, messages: list[OutgoingMessage]) -> None:
        for outgoing in messages:
            if outgoing.instance_id == self._settings.instance_id:
                self.fire(peer_received(outgoing.instance_id, outgoing.message), "*")
            else:
                self.fire(peer_send(outgoing.instance_id, outgoing.message), "*")

    # Log

    @handler("log_health", channel="*")
    def _on_log_health(self, available: bool) -> None:
        if available and self._has_been_unavailable:
            self._recovered_ms = self._clock.now_ms()
        self._has_been_unavailable = self._has_been_unavailable or not available
        self._log_available = available
        if not available:
            self._unfollow_unread()

    @property
    def _can_follow_more(self) -> bool:
        """Return whether this instance may act as committer of a partition not assigned to it."""
        is_settled = (
            self._recovered_ms is None or self._clock.now_ms() >= self._recovered_ms + RECOVERY_MS
        )
        return self._log_available and is_settled

    def _unfollow_unread(self) -> None:
        """Leave the partitions that are not assigned to this instance and cannot be read now.

        All instances that were asked before they noticed the outage would read the streams after it.
        """
        assigned = set(self._assigned_partitions())
        for partition, followed in list(self._followed_partitions.items()):
            if partition in assigned or followed.committer.is_ready:
                continue
            self._send(followed.committer.refuse_unread())
            if followed.committer.is_idle:
                self._unfollow(partition)

    def _unfollow(self, partition: int) -> None:
        del self._followed_partitions[partition]
        self.fire(log_unfollow(stream_of(partition), self.channel), "*")

    @handler("log_located")
    def _on_log_located(self, stream: str, offset: int, since_ms: int) -> None:
        followed = self._find_by_stream(stream)
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
                self._append_next_batch(partition, followed)

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
            is_outage = error.failure is not LogFailure.RATE
            self._send(followed.committer.append_refused(batch_id, now_ms, is_outage))
        self._append_next_batch(partition, followed)

    # Appends

    def _append_next_batch(self, partition: int, followed: _FollowedPartition) -> None:
        """Append the next batch if it is due and schedule the next timer."""
        queue = followed.committer.queue
        batch = queue.next_batch(self._clock.now_ms())
        if batch is not None:
            batch_id, data = batch
            token = (partition, followed.generation, batch_id)
            self.fire(log_append(stream_of(partition), data, token, self.channel), "*")
        due_ms = queue.next_due_ms()
        if followed.timer is not None:
            followed.timer.cancel()
            followed.timer = None
        if due_ms is not None:
            followed.timer = self._timers.at(
                due_ms, lambda: self._append_next_batch(partition, followed)
            )
