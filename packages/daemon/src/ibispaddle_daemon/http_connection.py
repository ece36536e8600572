"""One client connection: a circuits `TCPClient` that speaks HTTP/1.1 through h11."""

import os
import socket
import ssl
from errno import EAGAIN, EINPROGRESS, EINTR, EWOULDBLOCK
from typing import Any, Protocol

import h11
from circuits.net.sockets import TCPClient

from .events import CallFailure, Headers
from .tls import TLS_WANT_ERRORS

READ_BYTES = 65_536
Address = tuple[str, int, str]  # IP, port and the scheme of the URL.
_RETRY = (EAGAIN, EWOULDBLOCK, EINTR)
# Bound of a response head; the listener has the same bound for requests.
MAX_HEAD_BYTES = 65_536


class ConnectionListener(Protocol):
    """Receive the reports of a connection."""

    def socket_opened(self, conn: "HttpConnection") -> None:
        """Report a new socket, whose events of the poller belong to the connection."""

    def socket_closed(self, conn: "HttpConnection") -> None:
        """Report that the socket is about to be closed."""

    def request_sent(self, conn: "HttpConnection") -> None:
        """Report the first byte written."""

    def head_received(self, conn: "HttpConnection", status: int, headers: Headers) -> None:
        """Report the response's head."""

    def data_received(self, conn: "HttpConnection", data: bytes) -> None:
        """Report a part of the response's body."""

    def response_completed(self, conn: "HttpConnection") -> None:
        """Report a complete response."""

    def connection_failed(self, conn: "HttpConnection", failure: CallFailure, text: str) -> None:
        """Report that the connection ended outside this protocol."""


class HttpConnection(TCPClient):
    """Carry one call at a time and report to its listener.

    The object opens a new socket for each connection. It is not registered as a component: circuits
    empties its dispatch cache at each registration, which took a fifth of an instance's processor
    time under load. The client receives the poller's events on its own channel and calls `handle_readable`,
    `handle_writable` and `handle_disconnect` of the connection that owns the socket.
    """

    _sock: Any
    _poller: Any

    def __init__(self, listener: ConnectionListener, poller: Any, channel: str) -> None:
        super().__init__(channel=channel)
        self._poller = poller
        self._sock.close()
        self._listener = listener
        self._output = bytearray()
        self._connecting = False
        self._paused = False
        self._broken = False
        self._http: Any = None
        self._tls = False
        self._tcp_open = False
        self.address: Address = ("", 0, "")
        self.idle_since_ms = 0
        self.byte_sent = False

    def open(self, address: Address, tls: ssl.SSLContext | None = None) -> None:
        """Begin to connect; the result is reported to the listener."""
        self.address = address
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._output.clear()
        self._paused = False
        self._broken = False
        self.byte_sent = False
        self._sock = self._create_socket()
        self._tls = tls is not None
        if tls is not None:
            # A connection that ends without the end mark of TLS may have been cut by a stranger.
            self._sock = tls.wrap_socket(
                self._sock,
                do_handshake_on_connect=False,
                suppress_ragged_eofs=False,
                server_hostname=address[0],
            )
        self._connecting, self._tcp_open = True, False
        self._listener.socket_opened(self)
        status = self._sock.connect_ex(address[:2])
        if status == 0:
            self._tcp_open = True
            self._establish()
        elif status == EINPROGRESS:
            self._poller.addWriter(self, self._sock)
        else:
            self._fail(CallFailure.UNREACHABLE, os.strerror(status))

    def send_request(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Queue a request; it is written as soon as the connection is open.

        Raises `h11.LocalProtocolError` or `UnicodeError` if the request is not valid HTTP.
        """
        self.byte_sent = False
        encoded = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        head = self._http.send(h11.Request(method=method, target=target, headers=encoded))
        self._output += head
        if body:
            self._output += self._http.send(h11.Data(data=body))
        self._output += self._http.send(h11.EndOfMessage())
        if not self._connecting:
            self._write_output()

    def is_reusable(self) -> bool:
        """Return whether an idle connection is still open and silent.

        Testing the socket finds a connection that the upstream closed while it was idle, which
        would otherwise leave the run state of the next request unknown.
        """
        try:
            # TLS cannot peek; a byte that it takes shows that the connection is not silent.
            self._sock.recv(1, *(() if self._tls else (socket.MSG_PEEK,)))
        except (BlockingIOError, ssl.SSLWantReadError):
            return self._http.our_state is h11.IDLE
        except OSError:
            return False
        return False

    def pause(self) -> None:
        """Stop reading."""
        if not self._paused and self.is_open:
            self._paused = True
            if not self._connecting:
                self._poller.removeReader(self._sock)

    def resume(self) -> None:
        """Continue reading."""
        if self._paused and self.is_open:
            self._paused = False
            if not self._connecting:
                self._poller.addReader(self, self._sock)

    @property
    def is_open(self) -> bool:
        """Return whether the connection has a socket."""
        return self._connecting or self._connected

    def close_socket(self) -> None:
        """Close the socket without a report."""
        if self.is_open:
            self._listener.socket_closed(self)
            self._poller.discard(self._sock)
            self._connecting = self._connected = False
            self._sock.close()
        self._output.clear()

    def _fail(self, failure: CallFailure, text: str) -> None:
        self.close_socket()
        self._listener.connection_failed(self, failure, text)

    @property
    def sock(self) -> Any:
        """Return the current socket."""
        return self._sock

    def handle_disconnect(self) -> None:
        """Take an error of the socket."""
        sock = self._sock
        if self._connecting:
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            text = os.strerror(status) if status else "the connection ended in its handshake"
            self._fail(CallFailure.UNREACHABLE, text)
        else:
            self._fail(CallFailure.CLOSED, "the connection was reset")

    def handle_writable(self) -> None:
        """Finish to connect and write what is queued."""
        sock = self._sock
        if self._connecting and not self._tcp_open:
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if status:
                self._fail(CallFailure.UNREACHABLE, os.strerror(status))
                return
            self._tcp_open = True
        if not self._connecting or self._establish():
            self._write_output()

    def _establish(self) -> bool:
        """Go on with the TLS handshake, if there is one; return whether the connection is open.

        The upstream is unreachable if the handshake fails: no byte of the request was sent.
        """
        poller, sock = self._poller, self._sock
        if self._tls:
            try:
                sock.do_handshake()
            except TLS_WANT_ERRORS as exc:
                self._listen_for(isinstance(exc, ssl.SSLWantWriteError))
                return False
            except (OSError, ValueError) as exc:
                self._fail(CallFailure.UNREACHABLE, f"the TLS handshake failed: {exc}")
                return False
        self._connecting, self._connected = False, True
        if self._paused and poller.isReading(sock):
            poller.removeReader(sock)
        elif not self._paused and not poller.isReading(sock):
            poller.addReader(self, sock)
        return True

    def _listen_for(self, writing: bool) -> None:
        """Wait for what the handshake needs next."""
        poller, sock = self._poller, self._sock
        if not poller.isReading(sock):
            poller.addReader(self, sock)
        if writing and not poller.isWriting(sock):
            poller.addWriter(self, sock)
        elif not writing and poller.isWriting(sock):
            poller.removeWriter(sock)

    def _write_output(self) -> None:
        if not self._connected:
            return
        if self._output and self._tls:
            # A write that TLS does not complete may have sent a part.
            self._note_sent()
            if not self._connected:
                return
        while self._output:
            # 1 MiB at a time keeps other connections served while a long prompt is written.
            piece = memoryview(self._output)[:1_048_576]
            try:
                count = self._sock.send(piece)
            except TLS_WANT_ERRORS:
                break
            except OSError as exc:
                if exc.errno in _RETRY and not self._tls:
                    break
                # The upstream may have answered before it closed, so the answer is read first.
                self._broken = True
                self._output = bytearray()
                self._receive()
                if self._connected:
                    self._fail(CallFailure.CLOSED, str(exc))
                return
            finally:
                piece.release()
            del self._output[:count]
            self._note_sent()
            if not self._connected:
                return
            if count < 1_048_576 and self._output:
                break
        writing = self._poller.isWriting(self._sock)
        if self._output and not writing:
            self._poller.addWriter(self, self._sock)
        elif not self._output and writing:
            self._poller.removeWriter(self._sock)

    def _note_sent(self) -> None:
        if not self.byte_sent:
            self.byte_sent = True
            self._listener.request_sent(self)

    def handle_readable(self) -> None:
        """Read what has arrived."""
        if self._connecting and self._tcp_open:
            self.handle_writable()
        elif self._connected and not self._paused:
            self._receive()

    def _receive(self) -> None:
        try:
            # More than a record of TLS, so that none of its bytes wait without an event.
            data = self._sock.recv(READ_BYTES)
        except TLS_WANT_ERRORS:
            return
        except OSError as exc:
            if self._tls or exc.errno not in _RETRY:
                self._fail(CallFailure.CLOSED, str(exc))
            return
        if self._http.our_state is h11.IDLE:
            self._fail(CallFailure.CLOSED, "the idle connection ended")
            return
        try:
            self._http.receive_data(data)
            self._deliver()
        except h11.RemoteProtocolError as exc:
            # h11 reports a connection that ends within a message as a protocol error.
            failure = CallFailure.PROTOCOL if data else CallFailure.CLOSED
            self._fail(failure, str(exc))

    def _deliver(self) -> None:
        parts: list[bytes] = []
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._flush(parts)
                raise
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.Response():
                    headers = tuple(
                        (k.decode("ascii"), v.decode("latin-1")) for k, v in event.headers
                    )
                    self._listener.head_received(self, event.status_code, headers)
                case h11.InformationalResponse():
                    pass
                case h11.EndOfMessage():
                    self._flush(parts)
                    self._finish()
                    return
                case _:
                    break
            if not self._connected:
                return
        self._flush(parts)

    def _flush(self, parts: list[bytes]) -> None:
        if parts and self._connected:
            self._listener.data_received(self, parts[0] if len(parts) == 1 else b"".join(parts))
            parts.clear()

    def _finish(self) -> None:
        if not self._connected:
            return
        http = self._http
        reusable = (
            not self._output
            and not self._broken
            and not self._paused
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not http.trailing_data[1]
        )
        if reusable:
            http.start_next_cycle()
        else:
            self.close_socket()
        self._listener.response_completed(self)
