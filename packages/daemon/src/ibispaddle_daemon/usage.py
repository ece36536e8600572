"""Usage accounting: replication to the rank successors and flushes to the log."""

from absl import logging
from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import MembershipView, MemberState, successors
from ibispaddle_core.settings import InstanceSettings
from ibispaddle_core.usage import (
    BOOT_EXPIRY_MS,
    REPLICA_COUNT,
    Flush,
    UsageAck,
    UsageLedger,
    UsageSync,
    flush_interval_ms,
)

from .events import drain_completed, log_append, peer_send
from .peer_codec import Message
from .timers import TimerQueue

USAGE_STREAM = "usage"
# An append without a response counts as failed after this time; appending again is harmless.
APPEND_TIMEOUT_MS = 10_000
TAKEOVER_CHECK_INTERVAL_MS = 2_000
# Number of gossip intervals after which the replicas are selected again.
REPLICA_SELECTION_ROUNDS = 4
DRAIN_RETRY_MS = 200
# Readers ignore records of a boot after `BOOT_EXPIRY_MS` without a record. One record per day keeps
# the boot of an idle instance open.
REFLUSH_INTERVAL_MS = BOOT_EXPIRY_MS // 7


class UsageRecorder(BaseComponent):
    """Count usage in a ledger, replicate it to other instances and flush it to the log."""

    channel = "usage"

    def __init__(
        self,
        settings: InstanceSettings,
        view: MembershipView,
        boot: int,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._instance_id = settings.instance_id
        self._view = view
        self._clock = clock
        self._timers = timers
        self._sync_rounds = 0
        self._replica_ids: list[str] = []
        self._are_requests_drained = False
        self._is_drained = False
        self.ledger = UsageLedger(settings.instance_id, boot)

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._sync()
        self._schedule_flush()
        self._timers.after(TAKEOVER_CHECK_INTERVAL_MS, self._take_over_periodically)
        self._timers.after(REFLUSH_INTERVAL_MS, self._reflush_periodically)

    @handler("usage_counted", channel="*")
    def _on_usage_counted(
        self,
        workspace: str,
        neighbour: str,
        prompt_tokens: int,
        generated_tokens: int,
        engine_ms: float,
    ) -> None:
        self.ledger.count(workspace, neighbour, prompt_tokens, generated_tokens, engine_ms)

    # Replication to the rank successors

    def _sync(self) -> None:
        self._timers.after(self._settings.gossip_interval_ms, self._sync)
        if self._sync_rounds % REPLICA_SELECTION_ROUNDS == 0:
            self._replica_ids = self._select_replicas()
        self._sync_rounds += 1
        for peer_id in self._replica_ids:
            sync = self.ledger.sync_for(peer_id)
            if sync is not None:
                self.fire(peer_send(peer_id, sync), "*")

    def _select_replicas(self) -> list[str]:
        """Return the rank successors that hold replicas, one of them in another data centre.

        Instances with adjacent ids are often in the same data centre and would be lost with it.
        """
        instances = self._view.ranked_instances(self._clock.now_ms())
        successor_ids = successors(self._instance_id, instances, len(instances))
        replica_ids = list(successor_ids[:REPLICA_COUNT])
        for instance_id in successor_ids[1:]:
            entry = self._view.entry(instance_id)
            if entry is not None and entry.data_centre != self._settings.data_centre:
                return [*replica_ids[: REPLICA_COUNT - 1], instance_id]
        return replica_ids

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case UsageSync():
                self.fire(peer_send(instance_id, self.ledger.receive(message)), "*")
            case UsageAck():
                self.ledger.acknowledge(instance_id, message)

    @handler("peer_connected", channel="*")
    def _on_peer_connected(self, instance_id: str) -> None:
        self.ledger.reset_replica(instance_id)

    # Appends to the log

    def _schedule_flush(self) -> None:
        minimum_ms = self._settings.usage_flush_interval_ms
        instances = len(self._view.ranked_instances(self._clock.now_ms()))
        self._timers.after(flush_interval_ms(instances, minimum_ms), self._flush_periodically)

    def _flush_periodically(self) -> None:
        self._schedule_flush()
        self._append(self.ledger.next_flush())

    def _reflush_periodically(self) -> None:
        self._timers.after(REFLUSH_INTERVAL_MS, self._reflush_periodically)
        self.ledger.reflush_all()

    def _take_over_periodically(self) -> None:
        self._timers.after(TAKEOVER_CHECK_INTERVAL_MS, self._take_over_periodically)
        for flush in self.ledger.flush_ended_processes(self._has_ended):
            self._append(flush)

    def _has_ended(self, instance_id: str, boot: int) -> bool:
        now_ms = self._clock.now_ms()
        state = self._view.state(instance_id, now_ms)
        return state in (None, MemberState.DOWN) or self._view.boot(instance_id) > boot

    def _append(self, flush: Flush | None) -> None:
        if flush is None:
            return
        self.fire(log_append(USAGE_STREAM, flush.data, flush.token, self.channel), "*")
        self._timers.after(APPEND_TIMEOUT_MS, lambda: self.ledger.confirm_flush(flush.token, False))

    @handler("log_appended")
    def _on_log_appended(self, token: int, offset: int | None, error: object) -> None:
        if error is not None:
            logging.debug("usage record was not appended: %s", error)
        self.ledger.confirm_flush(token, error is None)
        self._check_drained()

    # Graceful shutdown

    @handler("drain_completed", channel="*")
    def _on_drain_completed(self, component: str) -> None:
        if component == "requests" and not self._are_requests_drained:
            self._are_requests_drained = True
            self._drain()

    def _drain(self) -> None:
        """Append until the log has all counters; the drain timeout ends this if the log is down."""
        self._check_drained()
        if not self._is_drained:
            self._append(self.ledger.next_flush())
            self._timers.after(DRAIN_RETRY_MS, self._drain)

    def _check_drained(self) -> None:
        if self._are_requests_drained and not self._is_drained and self.ledger.is_flushed:
            self._is_drained = True
            self.fire(drain_completed(self.channel), "*")
