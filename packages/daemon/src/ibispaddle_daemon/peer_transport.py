"""Authenticated TCP connections between instances."""

import errno
import os
import secrets
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import is_endpoint
from ibispaddle_core.gossip import NONCE_BYTES, PROTOCOL, Handshake, HandshakeError, Hello, Proof

from .peer_frames import HEADER, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES, FrameCodec
from .timers import TimerQueue
from .tls import TLS_WANT_ERRORS, PeerContexts

READ_SIZE_BYTES = 65_536
HANDSHAKE_TIMEOUT_MS = 2_000
# The kernel closes a connection whose peer does not read the data sent to it for this long.
TCP_USER_TIMEOUT_MS = 5_000
IDLE_TIMEOUT_MS = 60_000
# Limit of the output buffer of a peer that reads slowly.
MAX_UNSENT_BYTES = 16_777_216
MAX_LINKS = 2_000
# Limits the connections that unauthenticated peers can occupy during the handshake timeout.
MAX_UNAUTHENTICATED_LINKS = 256
LISTEN_BACKLOG = 512
_RETRY_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


@dataclass(eq=False)
class Link:
    """A connection to another instance."""

    sock: socket.socket
    handshake: Handshake
    opened_ms: int
    is_dialled: bool
    is_connecting: bool = False
    is_tls_handshaking: bool = False
    closed: bool = False
    received: bytearray = field(default_factory=bytearray)
    unsent: bytearray = field(default_factory=bytearray)
    last_used_ms: int = 0

    @property
    def peer_id(self) -> str | None:
        """Return the id of the other instance, or None before it is authenticated."""
        peer = self.handshake.peer
        return peer.instance_id if peer is not None and self.handshake.is_complete else None


class LinkListener(Protocol):
    """Receive notifications from the transport."""

    def link_opened(self, link: Link) -> None:
        """Called when the other side has proved that it knows the shared secret."""

    def message_received(self, link: Link, message: Any) -> None:
        """Called for each message of an authenticated peer."""

    def link_closed(self, link: Link, reason: str) -> None:
        """Called when a connection ends; `link.peer_id` is None if it was not authenticated."""


@dataclass
class TrafficCounters:
    """Numbers of frames and bytes sent and received."""

    frames_out: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    bytes_in: int = 0


class PeerTransport(BaseComponent):
    """Accept and open connections, authenticate them and exchange messages.

    The size of everything that a peer sends is checked before it is parsed. A peer that sends
    anything but valid messages is disconnected.
    """

    channel = "peer_transport"

    def __init__(
        self,
        instance_id: str,
        boot: int,
        secret: bytes,
        bind: tuple[str, int] | socket.socket,
        clock: Clock,
        timers: TimerQueue,
        listener: LinkListener,
        codec: FrameCodec,
        tls: PeerContexts | None = None,
    ) -> None:
        super().__init__()
        self._codec = codec
        self._instance_id, self._boot, self._secret = instance_id, boot, secret
        self._clock, self._timers, self._listener = clock, timers, listener
        self._tls = tls
        self._links: dict[socket.socket, Link] = {}
        self._unauthenticated: set[Link] = set()
        self._poller: Any = None
        self.traffic = TrafficCounters()
        if isinstance(bind, socket.socket):
            self._server = bind
        else:
            self._server = socket.create_server(bind, backlog=LISTEN_BACKLOG)
        self._server.setblocking(False)
        host, port = self._server.getsockname()[:2]
        self.address = f"{host}:{port}"

    @property
    def links(self) -> tuple[Link, ...]:
        """Return all connections."""
        return tuple(self._links.values())

    @handler("registered", "started", channel="*")
    def _on_registered(self, *_: object) -> None:
        poller = findcmp(self.root, BasePoller) if self._poller is None else None
        if poller is not None:
            self._poller = poller
            poller.addReader(self, self._server)
            self._timers.after(IDLE_TIMEOUT_MS // 2, self._close_idle_links)

    @handler("stopped", channel="*")
    def _on_stopped(self, *_: object) -> None:
        self.close_all()

    def close_all(self) -> None:
        """Close the listener and all connections."""
        for link in self.links:
            self.close(link, "the instance is stopping")
        if self._poller is not None:
            self._poller.discard(self._server)
        self._server.close()

    def dial(self, peer_id: str, address: str) -> Link | None:
        """Start to connect; return `None` if no attempt can be made."""
        host, _, port = address.rpartition(":")
        if self._poller is None or len(self._links) >= MAX_LINKS or not is_endpoint(address):
            return None
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        link = self._add_link(sock, is_dialled=True, expected_id=peer_id)
        link.is_connecting = True
        sock = link.sock
        try:
            status = sock.connect_ex((host, int(port)))
        except OSError as exc:
            status = exc.errno or errno.EINVAL
        if status not in (0, errno.EINPROGRESS):
            # Reported in the next iteration of the event loop, after the caller has the link.
            self._timers.after(0, lambda: self.close(link, os.strerror(status)))
            return link
        self._poller.addWriter(self, sock)
        return link

    def _add_link(
        self, sock: socket.socket, is_dialled: bool, expected_id: str | None = None
    ) -> Link:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        if self._tls is not None:
            context = self._tls.client if is_dialled else self._tls.server
            sock = context.wrap_socket(
                sock, server_side=not is_dialled, do_handshake_on_connect=False
            )
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(PROTOCOL, self._instance_id, self._boot, nonce)
        handshake = Handshake(hello, self._secret, is_dialled, expected_id)
        now_ms = self._clock.now_ms()
        link = Link(sock, handshake, now_ms, is_dialled, last_used_ms=now_ms)
        link.is_tls_handshaking = self._tls is not None
        self._links[sock] = link
        self._timers.after(HANDSHAKE_TIMEOUT_MS, lambda: self._check_handshake(link))
        return link

    def _check_handshake(self, link: Link) -> None:
        if not link.handshake.is_complete:
            self.close(link, f"the handshake was not completed within {HANDSHAKE_TIMEOUT_MS} ms")

    def _close_idle_links(self) -> None:
        self._timers.after(IDLE_TIMEOUT_MS // 2, self._close_idle_links)
        oldest_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
        for link in self.links:
            if link.last_used_ms < oldest_ms:
                self.close(link, "")

    def send(self, link: Link, frame: bytes) -> bool:
        """Send an encoded message; return false if the link is closed or its buffer is full."""
        if link.closed:
            return False
        if len(link.unsent) + len(frame) > MAX_UNSENT_BYTES:
            self.close(link, f"more than {MAX_UNSENT_BYTES} bytes are waiting to be sent")
            return False
        self.traffic.frames_out += 1
        self.traffic.bytes_out += len(frame)
        link.last_used_ms = self._clock.now_ms()
        link.unsent += frame
        is_open = not link.is_connecting and not link.is_tls_handshaking
        if is_open and not self._poller.isWriting(link.sock):
            self._write(link)
        return not link.closed

    def close(self, link: Link, reason: str) -> None:
        """Close a connection and notify the listener once; an empty reason is not a failure."""
        if link.closed:
            return
        link.closed = True
        self._links.pop(link.sock, None)
        self._unauthenticated.discard(link)
        self._poller.discard(link.sock)
        link.sock.close()
        self._listener.link_closed(link, reason)

    def _write(self, link: Link) -> None:
        try:
            count = link.sock.send(link.unsent)
            del link.unsent[:count]
        except TLS_WANT_ERRORS:
            pass
        except OSError as exc:
            if exc.errno not in _RETRY_ERRNOS or self._tls is not None:
                self.close(link, str(exc))
                return
        writing = self._poller.isWriting(link.sock)
        if link.unsent and not writing:
            self._poller.addWriter(self, link.sock)
        elif not link.unsent and writing:
            self._poller.removeWriter(link.sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        link = self._links.get(sock)
        if link is None:
            return
        if link.is_connecting:
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if status:
                self.close(link, os.strerror(status))
                return
            link.is_connecting = False
            self._poller.addReader(self, sock)
            if not link.is_tls_handshaking:
                self._advance_handshake(link, link.handshake.start)
        if link.is_tls_handshaking:
            self._continue_tls_handshake(link)
        elif not link.closed:
            self._write(link)

    def _continue_tls_handshake(self, link: Link) -> None:
        """Continue the TLS handshake; the handshake with the shared secret follows it."""
        writing = self._poller.isWriting(link.sock)
        try:
            link.sock.do_handshake()  # type: ignore[attr-defined]
        except ssl.SSLWantReadError:
            if writing:
                self._poller.removeWriter(link.sock)
            return
        except ssl.SSLWantWriteError:
            if not writing:
                self._poller.addWriter(self, link.sock)
            return
        except (OSError, ValueError) as exc:
            self.close(link, f"the TLS handshake failed: {exc}")
            return
        link.is_tls_handshaking = False
        if link.is_dialled:
            self._advance_handshake(link, link.handshake.start)
        if not link.closed:
            self._write(link)

    @handler("_disconnect", priority=1)
    def _on_disconnect(self, sock: socket.socket) -> None:
        link = self._links.get(sock)
        if link is not None:
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.close(link, os.strerror(status) if status else "the connection was reset")

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        if sock is self._server:
            self._accept()
            return
        link = self._links.get(sock)
        if link is None:
            return
        if link.is_tls_handshaking:
            self._continue_tls_handshake(link)
            return
        try:
            # Larger than a TLS record, because data left in the TLS buffer causes no read event.
            data = sock.recv(READ_SIZE_BYTES)
        except TLS_WANT_ERRORS:
            return
        except OSError as exc:
            if exc.errno not in _RETRY_ERRNOS or self._tls is not None:
                self.close(link, str(exc))
            return
        if not data:
            self.close(link, "the peer closed the connection")
            return
        link.received += data
        self._read_frames(link)

    def _accept(self) -> None:
        try:
            sock, _ = self._server.accept()
        except OSError:
            return
        if len(self._links) >= MAX_LINKS or len(self._unauthenticated) >= MAX_UNAUTHENTICATED_LINKS:
            sock.close()
            return
        sock.setblocking(False)
        link = self._add_link(sock, is_dialled=False)
        self._unauthenticated.add(link)
        self._poller.addReader(self, link.sock)

    def _read_frames(self, link: Link) -> None:
        buffer = link.received
        start = 0
        while not link.closed and len(buffer) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(buffer, start)
            is_authenticated = link.handshake.is_complete
            if length > (MAX_FRAME_BYTES if is_authenticated else MAX_HANDSHAKE_FRAME_BYTES):
                self.close(
                    link, f"the peer sent a frame of {length} bytes, which exceeds the limit"
                )
                return
            end = start + HEADER.size + length
            if len(buffer) < end:
                break
            data = bytes(buffer[start + HEADER.size : end])
            start = end
            self.traffic.frames_in += 1
            self.traffic.bytes_in += HEADER.size + length
            self._handle_frame(link, data)
        del buffer[:start]

    def _handle_frame(self, link: Link, data: bytes) -> None:
        decoded = self._codec.decode(data)
        if decoded.is_err():
            self.close(link, f"invalid message: {decoded.unwrap_err()}")
            return
        message = decoded.unwrap()
        link.last_used_ms = self._clock.now_ms()
        if not link.handshake.is_complete:
            self._advance_handshake(link, lambda: link.handshake.receive(message))
            if link.handshake.is_complete and not link.closed:
                self._unauthenticated.discard(link)
                self._listener.link_opened(link)
        elif isinstance(message, Hello | Proof):
            self.close(link, "the peer sent a handshake message after the handshake")
        else:
            self._listener.message_received(link, message)

    def _advance_handshake(self, link: Link, step: Callable[[], Any]) -> None:
        try:
            for reply in step():
                self.send(link, self._codec.encode(reply))
        except HandshakeError as exc:
            self.close(link, str(exc))
