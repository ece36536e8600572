"""Connections to the hubs, opened when there is something to send."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.settings import InstanceSettings

from ..logs import log_event
from ..peer_transport import Link, PeerTransport
from ..timers import TimerQueue
from .messages import FleetCodec, FleetMessage

MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000
# Messages that wait for a connection; they are told anew after it failed.
MAX_PENDING_FRAMES = 16
REFUSAL_LOG_INTERVAL_MS = 10_000

Receiver = Callable[[str, Any], None]


@dataclass
class _Peer:
    """Hold the connections to one instance and what waits for them."""

    links: list[Link] = field(default_factory=list)
    dialling: Link | None = None
    pending: deque[bytes] = field(default_factory=deque)
    failures: int = 0
    retry_ms: int = 0


class FleetLinks(BaseComponent):
    """Send messages to other instances and hand theirs to the receivers.

    Only an instance that asks opens a connection; a hub answers on it. `on_peer_lost` is called with the
    id of an instance whose last connection failed.
    """

    channel = "fleet_links"

    def __init__(
        self,
        settings: InstanceSettings,
        boot: int,
        ranking: HubRanking,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._ranking, self._clock = ranking, clock
        self._codec = FleetCodec()
        self._rng = random.Random()
        host, _, port = settings.peer_listen.rpartition(":")
        self.transport = PeerTransport(
            settings.instance_id,
            boot,
            b"",
            (host, int(port)),
            clock,
            timers,
            self,
            self._codec,
        ).register(self)
        self._peers: dict[str, _Peer] = {}
        self._dialled: dict[Link, str] = {}
        self._refusal_log_ms = 0
        self.receivers: dict[type[FleetMessage], Receiver] = {}
        self.on_peer_lost: list[Callable[[str], None]] = []

    @property
    def connected(self) -> int:
        """Return the number of instances with a connection."""
        return sum(1 for peer in self._peers.values() if peer.links)

    def encode(self, message: FleetMessage) -> bytes:
        """Return the frame of a message that goes to several instances."""
        return self._codec.encode(message)

    def send(self, instance_id: str, message: FleetMessage) -> bool:
        """Send a message; return false if it can neither be sent nor wait for a connection."""
        return self.send_frame(instance_id, self._codec.encode(message))

    def send_frame(self, instance_id: str, frame: bytes) -> bool:
        """Send an encoded message."""
        peer = self._peers.setdefault(instance_id, _Peer())
        for link in peer.links:
            return self.transport.send(link, frame)
        if peer.dialling is None and not self._dial(instance_id, peer):
            return False
        if len(peer.pending) >= MAX_PENDING_FRAMES:
            return False
        peer.pending.append(frame)
        return True

    def answer(self, instance_id: str, message: FleetMessage) -> None:
        """Answer an instance, if its connection is still open."""
        peer = self._peers.get(instance_id)
        if peer is not None and peer.links:
            self.transport.send(peer.links[-1], self._codec.encode(message))

    def drop(self, instance_id: str, reason: str) -> None:
        """Close the connections to an instance, which may have gone silent for good."""
        peer = self._peers.get(instance_id)
        if peer is None:
            return
        links = [*peer.links, *([peer.dialling] if peer.dialling is not None else [])]
        for link in links:
            self.transport.close(link, reason)

    def _dial(self, instance_id: str, peer: _Peer) -> bool:
        candidate = self._ranking.candidate(instance_id)
        if candidate is None or self._clock.now_ms() < peer.retry_ms:
            return False
        link = self.transport.dial(instance_id, candidate.address)
        if link is None:
            return False
        peer.dialling = link
        self._dialled[link] = instance_id
        return True

    # Reports of the transport

    def link_opened(self, link: Link) -> None:
        """Use the connection and send what waits for it."""
        instance_id = link.peer_id
        assert instance_id is not None
        peer = self._peers.setdefault(instance_id, _Peer())
        if self._dialled.pop(link, None) is not None and peer.dialling is link:
            peer.dialling = None
        if not peer.links:
            log_event(logevents.PEER_CONNECTED, peer=instance_id)
        peer.links.append(link)
        peer.failures = peer.retry_ms = 0
        while peer.pending and not link.closed:
            self.transport.send(link, peer.pending.popleft())

    def message_received(self, link: Link, message: FleetMessage) -> None:
        """Hand the message to its receiver."""
        receiver = self.receivers.get(type(message))
        if receiver is not None and link.peer_id is not None:
            receiver(link.peer_id, message)

    def link_closed(self, link: Link, reason: str) -> None:
        """Forget the connection; after a failure the next attempt waits longer."""
        dialled_id = self._dialled.pop(link, None)
        instance_id = link.peer_id or dialled_id
        if instance_id is None:
            now_ms = self._clock.now_ms()
            if now_ms >= self._refusal_log_ms:
                self._refusal_log_ms = now_ms + REFUSAL_LOG_INTERVAL_MS
                log_event(logevents.PEER_REFUSED, reason=reason)
            return
        peer = self._peers.setdefault(instance_id, _Peer())
        was_linked = link in peer.links
        if peer.dialling is link:
            peer.dialling = None
        if was_linked:
            peer.links.remove(link)
        if reason:
            self._back_off(peer)
        if peer.links or peer.dialling is not None:
            return
        peer.pending.clear()
        if was_linked:
            log_event(logevents.PEER_LOST, peer=instance_id, reason=reason)
        if self._ranking.candidate(instance_id) is None:
            self._peers.pop(instance_id, None)
        if reason:
            for report in self.on_peer_lost:
                report(instance_id)

    def _back_off(self, peer: _Peer) -> None:
        peer.failures += 1
        delay_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(peer.failures - 1, 10))
        peer.retry_ms = self._clock.now_ms() + round(delay_ms * self._rng.uniform(0.5, 1.5))
