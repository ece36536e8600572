"""Communication between instances: connections, gossip rounds and heartbeats."""

# ruff: noqa: N801

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from circuits import BaseComponent, Event, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.gossip import (
    Digest,
    Entry,
    GossipTable,
    Heartbeat,
    Payload,
    RunnerReport,
    random_targets,
    summary_targets,
)
from ibispaddle_core.membership import MemberKind, MembershipView, MemberState
from ibispaddle_core.scheduling import RunnerLoad
from ibispaddle_core.settings import InstanceSettings

from .events import load_reported, peer_received, runner_failed
from .logs import log_event
from .peer_codec import CapnpCodec, Message, encode
from .peer_transport import Link, PeerTransport
from .timers import TimerQueue
from .tls import peer_contexts

# A heartbeat every 2 s leaves more space in the digests for load reports; five heartbeats fit in
# the time after which an instance counts as down.
HEARTBEAT_INTERVAL_ROUNDS = 4
EXPIRY_INTERVAL_ROUNDS = 10
# Interval at which a digest is sent to an instance that counts as down, so that the two sides of a
# network partition find each other again.
DOWN_INSTANCE_INTERVAL_ROUNDS = 4
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 10_000
MAX_QUEUED_FRAMES = 64
REFUSAL_LOG_INTERVAL_MS = 10_000


class gossip_put(Event):
    """Write a gossip entry of this instance: `gossip_put(payload)`."""


class gossip_received(Event):
    """Deliver new entries of other instances: `gossip_received(entries)`."""


class config_position(Event):
    """Report the active configuration for the heartbeats: `config_position(offset, revision)`."""


class peer_connected(Event):
    """Report a new connection to an instance: `peer_connected(instance_id)`."""


class peer_lost(Event):
    """Report the end of the last connection to an instance: `peer_lost(instance_id, reason)`."""


@dataclass
class _Peer:
    """The connections to one instance and the frames queued for them."""

    links: list[Link] = field(default_factory=list)
    dialling_link: Link | None = None
    queued: deque[bytes] = field(default_factory=deque)
    failures: int = 0
    retry_ms: int = 0


class PeerNetwork(BaseComponent):
    """Exchange messages with other instances and maintain the gossip table.

    Connections are opened when there is a message to send and closed after a minute without
    traffic. `view` is shared with the components that read the instance list and probe runners.
    """

    channel = "peers"

    def __init__(
        self,
        settings: InstanceSettings,
        secret: bytes,
        view: MembershipView,
        boot: int,
        clock: Clock,
        timers: TimerQueue,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._instance_id = settings.instance_id
        self._view = view
        self._clock = clock
        self._timers = timers
        self._rng = random.Random(seed)
        self.table = GossipTable(settings.instance_id, boot, self._is_local)
        host, _, port = settings.peer_listen.rpartition(":")
        self.transport = PeerTransport(
            settings.instance_id,
            boot,
            secret,
            (host, int(port)),
            clock,
            timers,
            self,
            CapnpCodec(),
            peer_contexts(settings),
        ).register(self)
        self._peers: defaultdict[str, _Peer] = defaultdict(_Peer)
        self._dialled_ids: dict[Link, str] = {}
        self._heartbeat = Heartbeat()
        self._round_count = 0
        self._runner_versions: dict[str, tuple[str, int]] = {}
        self._down_runners: set[str] = set()
        self._config_offsets: dict[str, int] = {}
        self._next_refusal_log_ms = 0

    def _is_local(self, origin: str) -> bool:
        entry = self._view.entry(origin)
        return entry is None or entry.data_centre == self._settings.data_centre

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """Return the ids of the instances with an authenticated connection."""
        return tuple(sorted(name for name, peer in self._peers.items() if peer.links))

    # Gossip

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.table.put(self._heartbeat, self._clock.now_ms())
        self._schedule_round()

    def _schedule_round(self) -> None:
        # Jitter spreads the rounds of instances that were started together.
        interval_ms = self._settings.gossip_interval_ms * self._rng.uniform(0.9, 1.1)
        self._timers.after(round(interval_ms), self._run_round)

    def _run_round(self) -> None:
        self._schedule_round()
        self.gossip()

    def gossip(self) -> None:
        """Run one gossip round."""
        now_ms = self._clock.now_ms()
        self._round_count += 1
        if self._round_count % HEARTBEAT_INTERVAL_ROUNDS == 0:
            self.table.put(self._heartbeat, now_ms)
        if self._round_count % EXPIRY_INTERVAL_ROUNDS == 0:
            self.table.expire(now_ms)
        live: dict[str, list[str]] = {}  # Instance ids by data centre.
        down: list[str] = []
        for member in self._view.members(now_ms, MemberKind.ENTRY):
            if member.state is MemberState.LIVE:
                live.setdefault(member.entry.data_centre, []).append(member.entry.id)
            elif member.state is MemberState.DOWN:
                down.append(member.entry.id)
        own_data_centre = self._settings.data_centre
        targets = random_targets(self._rng, self._instance_id, live.get(own_data_centre, []))
        if down and self._round_count % DOWN_INSTANCE_INTERVAL_ROUNDS == 0:
            targets.append(self._rng.choice(down))
        for peer_id in targets:
            self.send(peer_id, Digest(self.table.digest()))
        for peer_id in summary_targets(self._instance_id, own_data_centre, live):
            self.send(peer_id, Digest(self.table.summary()))

    @handler("gossip_put", channel="*")
    def _on_gossip_put(self, payload: Payload) -> None:
        self.table.put(payload, self._clock.now_ms())

    @handler("config_position", channel="*")
    def _on_config_position(self, offset: int, revision: int) -> None:
        self._update_heartbeat(Heartbeat(self._heartbeat.leaving, offset, revision))

    @handler("drain_started", channel="*")
    def _on_drain_started(self) -> None:
        current = self._heartbeat
        self._update_heartbeat(Heartbeat(True, current.config_offset, current.config_revision))
        self.gossip()

    def _update_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat != self._heartbeat:
            self._heartbeat = heartbeat
            self.table.put(heartbeat, self._clock.now_ms())

    def _merge_digest(self, link: Link, data: bytes) -> None:
        merged = self.table.merge(data, self._clock.now_ms())
        if merged.is_err():
            self.transport.close(link, f"invalid digest: {merged.unwrap_err()}")
            return
        other_entries = []
        now_ms = self._clock.now_ms()
        for entry in merged.unwrap():
            self._view.observe_entry(entry.origin, entry.boot, entry.seq, now_ms)
            match entry.payload:
                case Heartbeat():
                    self._apply_heartbeat(entry, entry.payload)
                case RunnerReport():
                    self._apply_report(entry.origin, entry.payload)
                case _:
                    other_entries.append(entry)
        if other_entries:
            self.fire(gossip_received(other_entries), "*")

    def _apply_heartbeat(self, entry: Entry, heartbeat: Heartbeat) -> None:
        now_ms = self._clock.now_ms()
        self._view.observe_heartbeat(entry.origin, entry.boot, entry.seq, heartbeat.leaving, now_ms)
        if self._config_offsets.get(entry.origin) != heartbeat.config_offset:
            self._config_offsets[entry.origin] = heartbeat.config_offset
            self.fire(peer_received(entry.origin, heartbeat), "*")

    def _apply_report(self, origin: str, report: RunnerReport) -> None:
        now_ms = self._clock.now_ms()
        name = report.upstream_id
        self._view.observe(name, report.up, now_ms, origin, report.boot_id, report.leaving)
        is_down = self._view.state(name, now_ms) is MemberState.DOWN
        if not report.up:
            if is_down and name not in self._down_runners:
                self._down_runners.add(name)
                self.fire(runner_failed(name), "*")
            return
        if is_down:
            return  # This instance observed a failure after the report was made.
        known = self._runner_versions.get(name)
        # Both probers of a runner report the same load; the second report is dropped.
        is_duplicate = known is not None and known[0] == report.boot_id and report.seq <= known[1]
        if is_duplicate and name not in self._down_runners:
            return
        self._down_runners.discard(name)
        self._runner_versions[name] = (report.boot_id, report.seq)
        self.fire(load_reported(to_runner_load(report, now_ms)), "*")

    # Messages

    @handler("peer_send", channel="*")
    def _on_peer_send(self, instance_id: str, message: Message) -> None:
        self.send(instance_id, message)

    @handler("peer_broadcast", channel="*")
    def _on_peer_broadcast(self, message: Message) -> None:
        frame = encode(message)
        for member in self._view.members(self._clock.now_ms(), MemberKind.ENTRY):
            if member.entry.id != self._instance_id and member.state is not MemberState.DOWN:
                self._send_frame(member.entry.id, frame)

    def send(self, instance_id: str, message: Message) -> bool:
        """Send a message, or queue it while connecting; return false if neither is possible."""
        return self._send_frame(instance_id, encode(message))

    def _send_frame(self, instance_id: str, frame: bytes) -> bool:
        peer = self._peers[instance_id]
        for link in peer.links:
            return self.transport.send(link, frame)
        if peer.dialling_link is None and not self._dial(instance_id, peer):
            return False
        if len(peer.queued) >= MAX_QUEUED_FRAMES:
            return False
        peer.queued.append(frame)
        return True

    def _dial(self, instance_id: str, peer: _Peer) -> bool:
        now_ms = self._clock.now_ms()
        entry = self._view.entry(instance_id)
        if entry is None or not entry.peer_address or now_ms < peer.retry_ms:
            return False
        link = self.transport.dial(instance_id, entry.peer_address)
        if link is None:
            return False
        peer.dialling_link = link
        self._dialled_ids[link] = instance_id
        return True

    # Transport callbacks

    def link_opened(self, link: Link) -> None:
        """Add the connection and send the queued frames."""
        instance_id = link.peer_id
        assert instance_id is not None
        peer = self._peers[instance_id]
        if self._dialled_ids.pop(link, None) is not None and peer.dialling_link is link:
            peer.dialling_link = None
        is_first = not peer.links
        # Both sides prefer the connection opened by the instance with the lower id; the other one
        # becomes idle and is closed.
        is_preferred = link.is_dialled == (self._instance_id < instance_id)
        peer.links.insert(0 if is_preferred else len(peer.links), link)
        peer.failures = peer.retry_ms = 0
        while peer.queued and not link.closed:
            self.transport.send(link, peer.queued.popleft())
        if is_first:
            log_event(logevents.PEER_CONNECTED, peer=instance_id)
            self.fire(peer_connected(instance_id), "*")

    def message_received(self, link: Link, message: Message) -> None:
        """Merge a digest; fire `peer_received` for any other message."""
        if isinstance(message, Digest):
            self._merge_digest(link, message.data)
        else:
            self.fire(peer_received(link.peer_id, message), "*")

    def link_closed(self, link: Link, reason: str) -> None:
        """Remove the connection; after a failure the next attempt is delayed exponentially."""
        dialled_id = self._dialled_ids.pop(link, None)
        instance_id = link.peer_id or dialled_id
        if instance_id is None:
            now_ms = self._clock.now_ms()
            if now_ms >= self._next_refusal_log_ms:
                self._next_refusal_log_ms = now_ms + REFUSAL_LOG_INTERVAL_MS
                log_event(logevents.PEER_REFUSED, reason=reason)
            return
        peer = self._peers[instance_id]
        if peer.dialling_link is link:
            peer.dialling_link = None
            self._schedule_retry(peer)
            if not peer.links:
                peer.queued.clear()
        if link in peer.links:
            peer.links.remove(link)
            if reason:
                self._schedule_retry(peer)
            if not peer.links:
                log_event(logevents.PEER_LOST, peer=instance_id, reason=reason)
                self.fire(peer_lost(instance_id, reason), "*")
        if not peer.links and peer.dialling_link is None and self._view.entry(instance_id) is None:
            del self._peers[instance_id]

    def _schedule_retry(self, peer: _Peer) -> None:
        peer.failures += 1
        delay_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(peer.failures - 1, 10))
        peer.retry_ms = self._clock.now_ms() + round(delay_ms * self._rng.uniform(0.5, 1.5))


def to_runner_load(report: RunnerReport, now_ms: int) -> RunnerLoad:
    """Convert a gossip report to the scheduler's message."""
    return RunnerLoad(
        report.upstream_id,
        report.boot_id,
        report.seq,
        now_ms,
        report.running,
        report.waiting,
        report.queued_prefill_tokens,
        report.kv_tokens_used,
        report.kv_tokens_total,
        float(report.prefill_tokens_per_s),
        float(report.decode_tokens_per_s),
    )
