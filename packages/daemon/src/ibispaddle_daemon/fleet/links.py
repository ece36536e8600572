"""Connections between instances, opened on demand or by the first hub."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from socket import socket
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
# Maximum number of messages queued for a connection; they are dropped if it fails, and sent again by
# their component.
MAX_PENDING_FRAMES = 16
REJECTION_LOG_INTERVAL_MS = 10_000

MessageHandler = Callable[[str, Any], None]


@dataclass
class _Peer:
    """The connections to one instance and the messages queued for it."""

    links: list[Link] = field(default_factory=list)
    dialling_link: Link | None = None
    pending: deque[bytes] = field(default_factory=deque)
    heard_ms: int = 0  # Time of the last message from it.
    failures: int = 0
    retry_ms: int = 0


class FleetLinks(BaseComponent):
    """Send messages to other instances and dispatch received ones to the handlers in `receivers`.

    Connections are opened by the instance that sends a query; the hub responds on the same connection.
    A hub opens those that `connect` names, over which the other instance can query it as well.
    `on_peer_lost` callbacks get the id of an instance whose last connection failed, or to which messages
    could not be sent.
    """

    channel = "fleet_links"

    def __init__(
        self,
        settings: InstanceSettings,
        boot: int,
        ranking: HubRanking,
        clock: Clock,
        timers: TimerQueue,
        listener: socket | None = None,
    ) -> None:
        """Create the connections; without a listening socket, `peer_listen` of the settings is opened."""
        super().__init__()
        self._ranking, self._clock = ranking, clock
        self._codec = FleetCodec()
        self._rng = random.Random()
        host, _, port = settings.peer_listen.rpartition(":")
        self.transport = PeerTransport(
            settings.instance_id,
            boot,
            b"",
            listener or (host, int(port)),
            clock,
            timers,
            self,
            self._codec,
        ).register(self)
        self._peers: dict[str, _Peer] = {}
        self._dialled_ids: dict[Link, str] = {}
        self._next_rejection_log_ms = 0
        self.receivers: dict[type[FleetMessage], MessageHandler] = {}
        self.on_peer_lost: list[Callable[[str], None]] = []

    @property
    def connected_count(self) -> int:
        """Return the number of connected instances."""
        return len(self.connected_ids())

    def connected_ids(self) -> tuple[str, ...]:
        """Return the ids of the connected instances."""
        return tuple(name for name, peer in self._peers.items() if peer.links)

    def count_heard(self, since_ms: int) -> int:
        """Return the number of instances that have sent a message since a time."""
        return sum(1 for peer in self._peers.values() if peer.links and peer.heard_ms >= since_ms)

    def encode(self, message: FleetMessage) -> bytes:
        """Return the frame of a message that is sent to several instances."""
        return self._codec.encode(message)

    def send(self, instance_id: str, message: FleetMessage) -> bool:
        """Send a message; return False if it can neither be sent nor be queued."""
        return self.send_frame(instance_id, self._codec.encode(message))

    def send_frame(self, instance_id: str, frame: bytes) -> bool:
        """Send an encoded message."""
        peer = self._peers.setdefault(instance_id, _Peer())
        for link in peer.links:
            return self.transport.send(link, frame)
        if peer.dialling_link is None and not self._dial(instance_id, peer):
            return False
        if len(peer.pending) >= MAX_PENDING_FRAMES:
            return False
        peer.pending.append(frame)
        return True

    def answer(self, instance_id: str, message: FleetMessage) -> None:
        """Send a response to an instance, if its connection is still open."""
        peer = self._peers.get(instance_id)
        if peer is not None and peer.links:
            self.transport.send(peer.links[-1], self._codec.encode(message))

    def connect(self, instance_id: str) -> None:
        """Open a connection to a listed instance, unless there is one or the last attempt has just failed."""
        peer = self._peers.setdefault(instance_id, _Peer())
        if not peer.links and peer.dialling_link is None:
            self._dial(instance_id, peer)

    def drop(self, instance_id: str, reason: str) -> None:
        """Close the connections to an instance that may not respond any more."""
        peer = self._peers.get(instance_id)
        if peer is None:
            return
        links = [*peer.links, *([peer.dialling_link] if peer.dialling_link is not None else [])]
        for link in links:
            self.transport.close(link, reason)

    def _dial(self, instance_id: str, peer: _Peer) -> bool:
        candidate = self._ranking.candidate(instance_id)
        if candidate is None or self._clock.now_ms() < peer.retry_ms:
            return False
        link = self.transport.dial(instance_id, candidate.address)
        if link is None:
            return False
        peer.dialling_link = link
        self._dialled_ids[link] = instance_id
        return True

    # Callbacks of the transport

    def link_opened(self, link: Link) -> None:
        """Register the connection and send the queued messages."""
        instance_id = link.peer_id
        assert instance_id is not None
        peer = self._peers.setdefault(instance_id, _Peer())
        if self._dialled_ids.pop(link, None) is not None and peer.dialling_link is link:
            peer.dialling_link = None
        if not peer.links:
            log_event(logevents.PEER_CONNECTED, peer=instance_id)
        peer.links.append(link)
        peer.heard_ms = self._clock.now_ms()
        peer.failures = peer.retry_ms = 0
        while peer.pending and not link.closed:
            self.transport.send(link, peer.pending.popleft())

    def message_received(self, link: Link, message: FleetMessage) -> None:
        """Call the handler of the message's type."""
        peer = self._peers.get(link.peer_id or "")
        if peer is not None:
            peer.heard_ms = self._clock.now_ms()
        message_handler = self.receivers.get(type(message))
        if message_handler is not None and link.peer_id is not None:
            message_handler(link.peer_id, message)

    def link_closed(self, link: Link, reason: str) -> None:
        """Remove the connection; after a failure, delay the next connection attempt."""
        dialled_id = self._dialled_ids.pop(link, None)
        instance_id = link.peer_id or dialled_id
        if instance_id is None:
            now_ms = self._clock.now_ms()
            if now_ms >= self._next_rejection_log_ms:
                self._next_rejection_log_ms = now_ms + REJECTION_LOG_INTERVAL_MS
                log_event(logevents.PEER_REFUSED, reason=reason)
            return
        peer = self._peers.setdefault(instance_id, _Peer())
        was_connected = link in peer.links
        if peer.dialling_link is link:
            peer.dialling_link = None
        if was_connected:
            peer.links.remove(link)
        if reason:
            self._schedule_retry(peer)
        if peer.links or peer.dialling_link is not None:
            return
        is_awaited = was_connected or bool(peer.pending)
        peer.pending.clear()
        if was_connected:
            log_event(logevents.PEER_LOST, peer=instance_id, reason=reason)
        if self._ranking.candidate(instance_id) is None:
            self._peers.pop(instance_id, None)
        if reason and is_awaited:
            for callback in self.on_peer_lost:
                callback(instance_id)

    def _schedule_retry(self, peer: _Peer) -> None:
        peer.failures += 1
        delay_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(peer.failures - 1, 10))
        peer.retry_ms = self._clock.now_ms() + round(delay_ms * self._rng.uniform(0.5, 1.5))
