"""Claims on idempotency keys: exchanges messages with the committers for this instance's calls."""

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.idempotency import (
    BodyReply,
    BodyRequest,
    ClaimManager,
    ClaimMessage,
    ClaimResponse,
    ClaimUpdateAck,
    DecidedCall,
    SendResult,
    rank_committers,
    scope_of_key,
)
from ibispaddle_core.membership import MembershipView
from ibispaddle_core.settings import FleetConfig, InstanceSettings

from .events import claim_decided, drain_completed, peer_received
from .peer_codec import Message
from .peers import PeerNetwork
from .timers import TimerHandle, TimerQueue

DRAIN_CHECK_INTERVAL_MS = 20


class ClaimCoordinator(BaseComponent):
    """Answer `claim_requested` with `claim_decided` and record the result from `claim_finished`.

    The key is built by `scoped_key`. A decision is `Send`, `Replay` or `Refuse`. After `Send`, the
    caller must fire exactly one `claim_finished(call_id, result)`, where the result is
    `CallCompleted`, `CallNotSent` or `CallUnknown`.
    """

    channel = "claims"

    def __init__(
        self,
        settings: InstanceSettings,
        boot: int,
        view: MembershipView,
        peers: PeerNetwork,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._instance_id = settings.instance_id
        self._view = view
        self._peers = peers
        self._clock = clock
        self._timers = timers
        self.claim_manager = ClaimManager(
            f"{settings.instance_id}/{boot}", settings.claim_window_ms, self._rank_committers
        )
        self._optional_key_time_services: frozenset[str] = frozenset()
        self._channels: dict[str, str] = {}
        self._timer: TimerHandle | None = None
        self._is_draining = False
        self._ranked_instances: tuple[str, ...] = ()
        self._committers_by_partition: dict[int, tuple[str, ...]] = {}

    def _rank_committers(self, partition: int) -> tuple[str, ...]:
        """Return the committers of a partition by rank, cached until the live instances change."""
        ranked = self._view.ranked_instances(self._clock.now_ms())
        if ranked != self._ranked_instances:
            self._ranked_instances = ranked
            self._committers_by_partition.clear()
        if partition not in self._committers_by_partition:
            self._committers_by_partition[partition] = rank_committers(
                partition, ranked, self._instance_id
            )
        return self._committers_by_partition[partition]

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._optional_key_time_services = frozenset(
            name for name, service in config.services.items() if service.key_time == "optional"
        )

    # Calls

    @handler("claim_requested", channel="*")
    def _on_claim_requested(
        self, call_id: str, key: str, request_hash: str, deadline_ms: int, channel: str
    ) -> None:
        self._channels[call_id] = channel
        _, service = scope_of_key(key)
        decided = self.claim_manager.start_call(
            call_id,
            key,
            request_hash,
            deadline_ms,
            self._clock.now_ms(),
            self._clock.wall_ms(),
            service not in self._optional_key_time_services,
        )
        self._publish_decisions(decided)

    @handler("claim_finished", channel="*")
    def _on_claim_finished(self, call_id: str, result: SendResult) -> None:
        self.claim_manager.finish_call(call_id, result, self._clock.now_ms())
        self._publish_decisions([])

    def _publish_decisions(self, decided: list[DecidedCall]) -> None:
        for call in decided:
            channel = self._channels.pop(call.call_id, None)
            if channel is not None:
                self.fire(claim_decided(call.call_id, call.decision), channel)
        self._send_due_messages()

    # Committers

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message | ClaimMessage) -> None:
        match message:
            case ClaimResponse() | ClaimUpdateAck():
                self._publish_decisions(
                    self.claim_manager.receive(instance_id, message, self._clock.now_ms())
                )
            case BodyReply():
                self._publish_decisions(self.claim_manager.receive_body(instance_id, message))
            case BodyRequest():
                self._peers.send(instance_id, self.claim_manager.long_bodies.reply_to(message))

    @handler("peer_lost", channel="*")
    def _on_peer_lost(self, instance_id: str, reason: str) -> None:
        # An idle connection is closed with an empty reason, which is not a failure.
        if reason and len(self.claim_manager.committer_client):
            self.claim_manager.committer_client.connection_lost(instance_id, self._clock.now_ms())
            self._send_due_messages()

    # Timers

    def _send_due_messages(self) -> None:
        """Send the due messages and schedule the next timer."""
        now_ms = self._clock.now_ms()
        committer_client = self.claim_manager.committer_client
        for outgoing in self.claim_manager.due_messages(now_ms):
            if outgoing.instance_id == self._instance_id:
                self.fire(peer_received(outgoing.instance_id, outgoing.message), "*")
            elif not self._peers.send(outgoing.instance_id, outgoing.message):
                committer_client.send_failed(
                    outgoing.message.claim_id, outgoing.instance_id, now_ms
                )
        due_times = (committer_client.next_due_ms(), self.claim_manager.next_deadline_ms())
        due_ms = min((time_ms for time_ms in due_times if time_ms is not None), default=None)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if due_ms is None else self._timers.at(due_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._publish_decisions(self.claim_manager.tick(self._clock.now_ms()))

    # Drain

    @handler("drain_completed", channel="*")
    def _on_drain_completed(self, component: str) -> None:
        if component == "requests" and not self._is_draining:
            self._is_draining = True
            self._check_drained()

    def _check_drained(self) -> None:
        if len(self.claim_manager.committer_client):
            self._timers.after(DRAIN_CHECK_INTERVAL_MS, self._check_drained)
        else:
            self.fire(drain_completed(self.channel), "*")
