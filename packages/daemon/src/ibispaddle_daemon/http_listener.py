"""TCP listener for callers with immediate writes, output buffering and non-blocking TLS."""

import contextlib
import fcntl
import socket
import ssl
import struct
import sys
import termios
from errno import EAGAIN, ECONNABORTED, EINTR, EMFILE, ENFILE, EPROTO, EWOULDBLOCK
from typing import Any, Protocol

from circuits import Event, handler
from circuits.net.sockets import TCPServer

READ_BYTES = 65_536
MAX_ACCEPTS_PER_EVENT = 64  # A higher number would delay running streams.
MAX_CONNECTIONS = 10_000
# Send buffer that the kernel keeps for a caller.
SEND_BUFFER_BYTES = 131_072
_NO_LINGER = struct.pack("ii", 1, 0)
_TRANSIENT_ERRNOS = (EAGAIN, EWOULDBLOCK, EINTR, ECONNABORTED, EMFILE, ENFILE, EPROTO)
_WOULD_BLOCK_ERRORS = (
    BlockingIOError,
    InterruptedError,
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
)


class ConnectionHandler(Protocol):
    """Receive the callbacks of a listener's connections."""

    def connection_made(self, conn: "CallerConnection") -> None:
        """Report a new connection."""

    def bytes_received(self, conn: "CallerConnection", data: bytes) -> None:
        """Report received bytes; empty bytes mean that the caller closed its sending side."""

    def bytes_buffered(self, conn: "CallerConnection") -> None:
        """Report that bytes were buffered because the caller does not read them."""

    def bytes_written(self, conn: "CallerConnection") -> None:
        """Report that a part of the unsent bytes was written."""

    def connection_lost(self, conn: "CallerConnection") -> None:
        """Report a closed connection."""


def kernel_unsent_bytes(sock: Any) -> int:
    """Return the bytes in the kernel that the caller has not received yet, or 0 if that is unknown."""
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return 0
    return int.from_bytes(data, sys.byteorder)


class connection_dropped(Event):  # noqa: N801
    """Report a closed connection after the method that closed it has returned."""


class CallerConnection:
    """Hold the state of an accepted connection."""

    __slots__ = (
        "sock",
        "output",
        "is_closed",
        "close_after_output",
        "handshaking",
        "is_reading",
        "http",
        "has_written",
    )

    def __init__(self, sock: Any, handshaking: bool) -> None:
        self.sock = sock
        self.output = bytearray()
        self.is_closed = False
        self.close_after_output = False
        self.handshaking = handshaking
        self.is_reading = True
        self.http: Any = None  # Protocol state, set by the connection handler.
        self.has_written = False  # Whether buffered bytes were written since the last observation.

    @property
    def unsent_bytes(self) -> int:
        """Return the number of buffered bytes that are not sent yet."""
        return len(self.output)


class Listener(TCPServer):
    """Accept connections and pass the received bytes to a connection handler.

    The base class waits for a writable event before each write and blocks the process during TLS
    handshakes. Both would delay all other streams, so these methods are overridden.
    """

    _sock: Any
    _poller: Any

    def __init__(
        self,
        bind: str | socket.socket,
        connection_handler: ConnectionHandler,
        channel: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(bind, channel=channel)
        # Accepted sockets inherit the size.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.secure = tls is not None
        self._tls = tls
        self._handler = connection_handler
        self._connections: dict[Any, CallerConnection] = {}
        self.unsent_bytes = 0  # Of all connections.

    @property
    def open_connections(self) -> int:
        """Return the number of accepted connections that are open."""
        return len(self._connections)

    def send(self, conn: CallerConnection, data: bytes) -> None:
        """Write as much as the socket accepts and buffer the rest."""
        if conn.is_closed or not data:
            return
        if not conn.output:
            try:
                count = conn.sock.send(data)
            except _WOULD_BLOCK_ERRORS:
                count = 0
            except OSError:
                self.drop(conn)
                return
            if count == len(data):
                return
            data = data[count:]
        conn.output += data
        self.unsent_bytes += len(data)
        if not self._poller.isWriting(conn.sock):
            self._poller.addWriter(self, conn.sock)
        self._handler.bytes_buffered(conn)

    def close_after_output(self, conn: CallerConnection) -> None:
        """Close the connection once all buffered bytes are sent."""
        if conn.output:
            conn.close_after_output = True
        else:
            self.drop(conn)

    def shutdown_write(self, conn: CallerConnection) -> None:
        """Shut down the sending side of the socket, but keep reading."""
        if not conn.is_closed and not conn.output and not self.secure:
            with contextlib.suppress(OSError):
                conn.sock.shutdown(socket.SHUT_WR)

    def set_reading(self, conn: CallerConnection, is_reading: bool) -> None:
        """Stop or continue reading from the caller."""
        if conn.is_closed or conn.is_reading == is_reading:
            return
        conn.is_reading = is_reading
        if is_reading:
            self._poller.addReader(self, conn.sock)
        else:
            self._poller.removeReader(conn.sock)

    def drop(self, conn: CallerConnection) -> None:
        """Close the connection immediately; its handler is notified by a later event."""
        if conn.is_closed:
            return
        conn.is_closed = True
        self._poller.discard(conn.sock)
        del self._connections[conn.sock]
        self.unsent_bytes -= len(conn.output)
        conn.output.clear()
        with contextlib.suppress(OSError):
            conn.sock.close()
        self.fire(connection_dropped(conn))

    def reset(self, conn: CallerConnection) -> None:
        """Close the connection with a reset, so that the kernel keeps nothing for the caller."""
        if not conn.is_closed:
            with contextlib.suppress(OSError):  # The caller has closed the connection already.
                conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.drop(conn)

    def stop_listening(self) -> None:
        """Accept the pending connections and close the listening socket.

        When a listening socket is closed, the kernel resets the connections in its backlog, even if
        their requests have already arrived.
        """
        if self._sock is not None:
            while self._accept():
                pass
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    @handler("connection_dropped")
    def _on_connection_dropped(self, conn: CallerConnection) -> None:
        self._handler.connection_lost(conn)

    @handler("close")
    def close(self, sock: Any = None) -> None:
        """Close the listening socket and all connections."""
        self.stop_listening()
        for conn in list(self._connections.values()):
            self.drop(conn)

    @handler("_disconnect", priority=1)
    def _on_disconnect(self, sock: Any) -> None:
        if conn := self._connections.get(sock):
            self.drop(conn)

    @handler("_read", priority=1)
    def _on_read(self, sock: Any) -> None:
        if sock is self._sock:
            self._accept()
            return
        conn = self._connections.get(sock)
        if conn is None or not conn.is_reading:
            return
        if conn.handshaking:
            self._continue_handshake(conn)
        else:
            self._receive(conn)

    @handler("_write", priority=1)
    def _on_write(self, sock: Any) -> None:
        conn = self._connections.get(sock)
        if conn is None:
            return
        if conn.handshaking:
            self._continue_handshake(conn)
            return
        if conn.output:
            piece = memoryview(conn.output)[:262_144]
            try:
                count = sock.send(piece)
            except _WOULD_BLOCK_ERRORS:
                return
            except OSError:
                self.drop(conn)
                return
            finally:
                piece.release()
            del conn.output[:count]
            self.unsent_bytes -= count
            conn.has_written = True
        if not conn.output:
            self._poller.removeWriter(sock)
            if conn.close_after_output:
                self.drop(conn)
                return
        self._handler.bytes_written(conn)

    def _accept(self) -> bool:
        """Accept a batch of connections; return whether more may be pending."""
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                if exc.errno in _TRANSIENT_ERRNOS:
                    return False
                raise
            if len(self._connections) >= MAX_CONNECTIONS:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
            conn = CallerConnection(sock, self._tls is not None)
            self._connections[sock] = conn
            self._poller.addReader(self, sock)
            self._handler.connection_made(conn)
        return True

    def _continue_handshake(self, conn: CallerConnection) -> None:
        try:
            conn.sock.do_handshake()
        except ssl.SSLWantReadError:
            return
        except ssl.SSLWantWriteError:
            if not self._poller.isWriting(conn.sock):
                self._poller.addWriter(self, conn.sock)
            return
        except OSError:
            self.drop(conn)
            return
        conn.handshaking = False
        if self._poller.isWriting(conn.sock):
            self._poller.removeWriter(conn.sock)
        self._receive(conn)

    def _receive(self, conn: CallerConnection) -> None:
        while not conn.is_closed and conn.is_reading:
            try:
                data = conn.sock.recv(READ_BYTES)
            except _WOULD_BLOCK_ERRORS:
                return
            except OSError:
                self.drop(conn)
                return
            self._handler.bytes_received(conn, data)
            # Bytes that TLS has already decrypted cause no further poller event.
            if not data or self._tls is None or not conn.sock.pending():
                return
