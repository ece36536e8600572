"""TCP listener for callers: immediate writes, counted unsent bytes and non-blocking TLS."""

import contextlib
import socket
import ssl
from errno import EAGAIN, ECONNABORTED, EINTR, EMFILE, ENFILE, EPROTO, EWOULDBLOCK
from typing import Any, Protocol

from circuits import Event, handler
from circuits.net.sockets import TCPServer

READ_BYTES = 65_536
MAX_ACCEPTS = 64  # Per turn of the event loop, so that running streams are not held up.
MAX_CONNECTIONS = 10_000
_PASSING = (EAGAIN, EWOULDBLOCK, EINTR, ECONNABORTED, EMFILE, ENFILE, EPROTO)
_WAIT = (BlockingIOError, InterruptedError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


class ConnectionHandler(Protocol):
    """Receive what happens on the connections of a listener."""

    def connection_made(self, conn: "CallerConnection") -> None:
        """Report a new connection."""

    def bytes_received(self, conn: "CallerConnection", data: bytes) -> None:
        """Report bytes; empty bytes stand for the end of the caller's side."""

    def bytes_written(self, conn: "CallerConnection") -> None:
        """Report that unsent bytes became fewer."""

    def connection_lost(self, conn: "CallerConnection") -> None:
        """Report the end of a connection."""


class connection_dropped(Event):  # noqa: N801
    """Report a closed connection outside of the call that closed it."""


class CallerConnection:
    """One accepted connection."""

    __slots__ = ("sock", "output", "closed", "close_after_output", "handshaking", "reading", "http")

    def __init__(self, sock: Any, handshaking: bool) -> None:
        self.sock = sock
        self.output = bytearray()
        self.closed = False
        self.close_after_output = False
        self.handshaking = handshaking
        self.reading = True
        self.http: Any = None  # State of the protocol; owned by the connection handler.

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the caller has not taken yet."""
        return len(self.output)


class Listener(TCPServer):
    """Accept connections and hand their bytes to a handler.

    circuits' own server waits for a writable event before each write and blocks the process during
    a TLS handshake; both would delay all other streams.
    """

    _sock: Any
    _poller: Any

    def __init__(
        self,
        bind: str | socket.socket,
        on: ConnectionHandler,
        channel: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(bind, channel=channel)
        self.secure = tls is not None
        self._tls = tls
        self._on = on
        self._connections: dict[Any, CallerConnection] = {}

    @property
    def open_connections(self) -> int:
        """Return the number of accepted connections that are open."""
        return len(self._connections)

    def send(self, conn: CallerConnection, data: bytes) -> None:
        """Write as much as the socket takes and keep the rest."""
        if conn.closed or not data:
            return
        if not conn.output:
            try:
                count = conn.sock.send(data)
            except _WAIT:
                count = 0
            except OSError:
                self.drop(conn)
                return
            if count == len(data):
                return
            data = data[count:]
        conn.output += data
        if not self._poller.isWriting(conn.sock):
            self._poller.addWriter(self, conn.sock)

    def close_after_output(self, conn: CallerConnection) -> None:
        """Close the connection once the caller has taken all bytes."""
        if conn.output:
            conn.close_after_output = True
        else:
            self.drop(conn)

    def shutdown_write(self, conn: CallerConnection) -> None:
        """Tell the caller that no more bytes follow, but keep reading."""
        if not conn.closed and not conn.output and not self.secure:
            with contextlib.suppress(OSError):
                conn.sock.shutdown(socket.SHUT_WR)

    def set_reading(self, conn: CallerConnection, reading: bool) -> None:
        """Stop or continue reading from the caller."""
        if conn.closed or conn.reading == reading:
            return
        conn.reading = reading
        if reading:
            self._poller.addReader(self, conn.sock)
        else:
            self._poller.removeReader(conn.sock)

    def drop(self, conn: CallerConnection) -> None:
        """Close the connection at once; its handler is told by an event."""
        if conn.closed:
            return
        conn.closed = True
        self._poller.discard(conn.sock)
        del self._connections[conn.sock]
        conn.output.clear()
        with contextlib.suppress(OSError):
            conn.sock.close()
        self.fire(connection_dropped(conn))

    def stop_listening(self) -> None:
        """Accept the connections that wait, and refuse new ones from now on.

        The system resets a connection that it has accepted and the process has not when the listening
        socket closes, also if its request has arrived.
        """
        if self._sock is not None:
            while self._accept():
                pass
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    @handler("connection_dropped")
    def _on_connection_dropped(self, conn: CallerConnection) -> None:
        self._on.connection_lost(conn)

    @handler("close")
    def close(self, sock: Any = None) -> None:
        """Close everything when the process stops."""
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
        if conn is None or not conn.reading:
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
            except _WAIT:
                return
            except OSError:
                self.drop(conn)
                return
            finally:
                piece.release()
            del conn.output[:count]
        if not conn.output:
            self._poller.removeWriter(sock)
            if conn.close_after_output:
                self.drop(conn)
                return
        self._on.bytes_written(conn)

    def _accept(self) -> bool:
        """Accept some connections; return whether others may wait."""
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                if exc.errno in _PASSING:
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
            self._on.connection_made(conn)
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
        while not conn.closed and conn.reading:
            try:
                data = conn.sock.recv(READ_BYTES)
            except _WAIT:
                return
            except OSError:
                self.drop(conn)
                return
            self._on.bytes_received(conn, data)
            # Decrypted bytes that TLS already holds cause no further event of the poller.
            if not data or self._tls is None or not conn.sock.pending():
                return
