"""Client connection: a circuits `TCPClient` that uses h11 for HTTP/1.1."""

import os
import re
import socket
import ssl
from collections import deque
from errno import EAGAIN, ECONNREFUSED, EINPROGRESS, EINTR, EINVAL, EWOULDBLOCK
from typing import Any, Protocol

import h11
from circuits.net.sockets import TCPClient
from ibispaddle_core.forwarding.memory_budget import READ_BYTES

from .events import CallFailure, Headers
from .tls import TLS_WANT_ERRORS

Address = tuple[str, int, str]  # Host, port and URL scheme.
_RETRY_ERRNOS = (EAGAIN, EWOULDBLOCK, EINTR)
# Bodies up to this size are written together with the head.
MAX_COPIED_BODY_BYTES = 65_536
# Maximum size of a response head; the listener has the same limit for requests.
MAX_HEAD_BYTES = 65_536
# Maximum number of interim responses (1xx) before a response. Upstreams send one at most.
MAX_INTERIM_RESPONSES = 16
# Larger status codes are invalid (RFC 9110, section 15).
MAX_STATUS = 599
# A line of a head that continues the one before, or the empty line at the end of the head.
_FOLDED_LINE_OR_END = re.compile(rb"\n(?:(?P<folded>[ \t])|\r?\n)")
# Parts of a response, for example chunks, that are processed before other connections are served: about 20 ms.
MAX_EVENTS_PER_TURN = 512


class ConnectionListener(Protocol):
    """Receive the callbacks of a connection."""

    def socket_opened(self, conn: "HttpConnection") -> None:
        """Report a new socket, whose poller events must be passed to the connection."""

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

    def processing_deferred(self, conn: "HttpConnection") -> None:
        """Report that `continue_processing` must be called in the next turn of the event loop."""

    def connection_failed(self, conn: "HttpConnection", failure: CallFailure, text: str) -> None:
        """Report that the connection failed before the response was complete, or while idle."""


class HttpConnection(TCPClient):
    """Carry one call at a time and report its progress to a listener.

    The object can be reused and creates a new socket each time it is opened. It is not registered
    as a component, because circuits clears its dispatch cache at each registration, which took a
    fifth of an instance's CPU time under load. Instead, the client receives the poller's events on
    its own channel and calls `handle_readable`, `handle_writable` and `handle_disconnect` of the
    connection that owns the socket.
    """

    _sock: Any
    _poller: Any

    def __init__(self, listener: ConnectionListener, poller: Any, channel: str) -> None:
        super().__init__(channel=channel)
        self._poller = poller
        self._sock.close()
        self._listener = listener
        self._output: deque[memoryview] = deque()
        self._connecting = False
        self._paused = False
        self._is_deferred = False  # Received data waits for `continue_processing`.
        self._interim_responses = 0
        self._write_error: OSError | None = None
        self._http: Any = None
        self._uses_tls = False
        self._tcp_open = False
        self.address: Address = ("", 0, "")
        self.idle_since_ms = 0
        self.byte_sent = False
        self.written_bytes = 0
        self.is_refused = False

    def open(self, address: Address, tls: ssl.SSLContext | None = None) -> None:
        """Start to connect; a failure is reported to the listener."""
        self.address = address
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._output.clear()
        self._paused = self._is_deferred = False
        self._write_error = None
        self.byte_sent = self.is_refused = False
        self._sock = self._create_socket()
        self._uses_tls = tls is not None
        if tls is not None:
            # Without a TLS close_notify, the end of the connection may be a truncation attack.
            self._sock = tls.wrap_socket(
                self._sock,
                do_handshake_on_connect=False,
                suppress_ragged_eofs=False,
                server_hostname=address[0],
            )
        self._connecting, self._tcp_open = True, False
        self._listener.socket_opened(self)
        try:
            status = self._sock.connect_ex(address[:2])
        except OSError as exc:  # The host name cannot be resolved.
            status = exc.errno or EINVAL
        if status == 0:
            self._tcp_open = True
            self._establish()
        elif status == EINPROGRESS:
            self._poller.addWriter(self, self._sock)
        else:
            self._fail_to_connect(status)

    def send_request(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Queue a request; it is written as soon as the connection is open.

        Raises `h11.LocalProtocolError` or `UnicodeError` if the request is not valid HTTP.
        """
        self.byte_sent = False
        self.written_bytes = 0
        self._interim_responses = 0
        encoded = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        head = self._http.send(h11.Request(method=method, target=target, headers=encoded))
        if body:
            self._http.send_with_data_passthrough(h11.Data(data=body))  # Has a Content-Length.
        self._http.send(h11.EndOfMessage())
        if len(body) <= MAX_COPIED_BODY_BYTES:
            self._output.append(memoryview(head + body))
        else:
            self._output.extend((memoryview(head), memoryview(body)))
        if not self._connecting:
            self._write_output()

    def is_reusable(self) -> bool:
        """Return whether an idle connection is still open and has no unread data.

        The check detects a connection that the upstream closed while it was idle. Sending the next
        request on it would leave the run state of that request unknown.
        """
        try:
            # TLS sockets do not support MSG_PEEK. A byte that is read here is lost, but then the
            # connection is not reused.
            self._sock.recv(1, *(() if self._uses_tls else (socket.MSG_PEEK,)))
        except (BlockingIOError, ssl.SSLWantReadError):
            return self._http.our_state is h11.IDLE
        except OSError:
            return False
        return False

    def pause(self) -> None:
        """Stop reading."""
        if not self._paused and self.is_open:
            self._paused = True
            if not self._connecting and not self._is_deferred:
                self._poller.removeReader(self._sock)

    def resume(self) -> None:
        """Continue reading."""
        if self._paused and self.is_open:
            self._paused = False
            if not self._connecting and not self._is_deferred:
                self._poller.addReader(self, self._sock)

    @property
    def has_unsent_data(self) -> bool:
        """Return whether a part of the request is still to be written."""
        return bool(self._output)

    @property
    def is_open(self) -> bool:
        """Return whether the connection has a socket."""
        return self._connecting or self._connected

    def close_socket(self) -> None:
        """Close the socket without a callback to report it."""
        if self.is_open:
            self._listener.socket_closed(self)
            self._poller.discard(self._sock)
            self._connecting = self._connected = self._is_deferred = False
            self._sock.close()
        self._output.clear()

    def _fail(self, failure: CallFailure, text: str) -> None:
        self.close_socket()
        self._listener.connection_failed(self, failure, text)

    def _fail_to_connect(self, status: int) -> None:
        self.is_refused = status == ECONNREFUSED
        self._fail(CallFailure.UNREACHABLE, os.strerror(status))

    @property
    def sock(self) -> Any:
        """Return the current socket."""
        return self._sock

    def handle_disconnect(self) -> None:
        """Handle an error or hangup of the socket."""
        sock = self._sock
        if self._connecting:
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if status:
                self._fail_to_connect(status)
            else:
                text = "the connection was closed during the handshake"
                self._fail(CallFailure.UNREACHABLE, text)
        else:
            self._fail(CallFailure.CLOSED, "the connection was reset")

    def handle_writable(self) -> None:
        """Complete the connection and write queued output."""
        sock = self._sock
        if self._connecting and not self._tcp_open:
            status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if status:
                self._fail_to_connect(status)
                return
            self._tcp_open = True
        if not self._connecting or self._establish():
            self._write_output()

    def _establish(self) -> bool:
        """Continue the TLS handshake, if TLS is used; return whether the connection is established.

        A failed handshake is reported as `UNREACHABLE`, because no byte of the request was sent.
        """
        poller, sock = self._poller, self._sock
        if self._uses_tls:
            try:
                sock.do_handshake()
            except TLS_WANT_ERRORS as exc:
                self._poll_for_handshake(isinstance(exc, ssl.SSLWantWriteError))
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

    def _poll_for_handshake(self, writing: bool) -> None:
        """Poll the socket for the event that the handshake needs next."""
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
        if self._output and self._uses_tls:
            # An incomplete TLS write may already have sent a part of the data.
            self._report_first_byte()
            if not self._connected:
                return
        while self._output:
            # At most 1 MiB per write, so that a long prompt does not delay other connections.
            piece = self._output[0][:1_048_576]
            try:
                count = self._sock.send(piece)
            except TLS_WANT_ERRORS:
                break
            except OSError as exc:
                if exc.errno in _RETRY_ERRNOS and not self._uses_tls:
                    break
                # The upstream may have responded before it closed the connection, so its response
                # is read first.
                self._write_error = exc
                self._output.clear()
                self._receive()
                if self._connected:
                    self._fail(CallFailure.CLOSED, str(exc))
                return
            self.written_bytes += count
            self._output[0] = self._output[0][count:]
            if not self._output[0]:
                self._output.popleft()
            self._report_first_byte()
            if not self._connected:
                return
            if count < len(piece):
                break
        writing = self._poller.isWriting(self._sock)
        if self._output and not writing:
            self._poller.addWriter(self, self._sock)
        elif not self._output and writing:
            self._poller.removeWriter(self._sock)

    def _report_first_byte(self) -> None:
        if not self.byte_sent:
            self.byte_sent = True
            self._listener.request_sent(self)

    def handle_readable(self) -> None:
        """Read from the socket."""
        if self._connecting and self._tcp_open:
            self.handle_writable()
        elif self._connected and not self._paused and not self._is_deferred:
            self._receive()

    def _receive(self) -> None:
        try:
            # Larger than a TLS record, so that no decrypted bytes remain without a poller event.
            data = self._sock.recv(READ_BYTES)
        except TLS_WANT_ERRORS:
            return
        except OSError as exc:
            if self._uses_tls or exc.errno not in _RETRY_ERRNOS:
                self._fail(CallFailure.CLOSED, str(exc))
            return
        if self._http.our_state is h11.IDLE:
            self._fail(CallFailure.CLOSED, "the idle connection was closed")
            return
        if not data and self._is_reset_by_write():
            self._fail(CallFailure.CLOSED, str(self._write_error))
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._fail(CallFailure.PROTOCOL, str(exc))
            return
        self._process_received(is_closed=not data)

    def _is_reset_by_write(self) -> bool:
        """Return whether a write has failed because the upstream reset the connection.

        The system reports a reset only once. If a write gets the error, reads then return no data, as
        after a regular end, which would complete a response without a length. A write fails with a
        broken pipe instead if the upstream had ended its side before the reset. With TLS, reads
        return no data only after a close_notify.
        """
        return not (
            self._uses_tls
            or self._write_error is None
            or isinstance(self._write_error, BrokenPipeError)
        )

    def continue_processing(self) -> None:
        """Process received data that was deferred."""
        if not self._is_deferred:
            return
        self._is_deferred = False
        if not self._paused:
            self._poller.addReader(self, self._sock)
        self._process_received()

    def _process_received(self, is_closed: bool = False) -> None:
        try:
            self._process_events()
        except h11.RemoteProtocolError as exc:
            # h11 also reports a connection that is closed within a message as a protocol error.
            self._fail(CallFailure.CLOSED if is_closed else CallFailure.PROTOCOL, str(exc))

    def _process_events(self) -> None:
        parts: list[bytes] = []
        for _ in range(MAX_EVENTS_PER_TURN):
            if self._http.their_state is h11.SEND_RESPONSE:
                self._check_for_folded_line()
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._report_data(parts)
                raise
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.Response():
                    self._check_status_line(event)
                    headers = tuple(
                        (k.decode("ascii"), v.decode("latin-1")) for k, v in event.headers
                    )
                    self._listener.head_received(self, event.status_code, headers)
                case h11.InformationalResponse():
                    self._interim_responses += 1
                    if self._interim_responses > MAX_INTERIM_RESPONSES:
                        text = f"more than {MAX_INTERIM_RESPONSES} interim responses"
                        raise h11.RemoteProtocolError(text)
                case h11.EndOfMessage():
                    self._report_data(parts)
                    self._complete_response()
                    return
                case _:
                    self._report_data(parts)
                    return
            if not self._connected:
                return
        self._report_data(parts)
        if self._connected:
            self._is_deferred = True
            if not self._paused:
                self._poller.removeReader(self._sock)
            self._listener.processing_deferred(self)

    def _check_for_folded_line(self) -> None:
        """Raise `h11.RemoteProtocolError` if the received part of a head has a folded line.

        h11 would append it to the field before. A line that is a field of its own, for example one that
        states the length, would be lost, so gateways may reject the response (RFC 9112, section 5.2).
        """
        found = _FOLDED_LINE_OR_END.search(self._http.trailing_data[0])
        if found is not None and found["folded"]:
            raise h11.RemoteProtocolError("a line of the head begins with a blank")

    def _check_status_line(self, response: h11.Response) -> None:
        """Raise `h11.RemoteProtocolError` for a status line that h11 accepts although it is invalid."""
        if response.status_code > MAX_STATUS:
            text = f"the status {response.status_code} is not between 100 and {MAX_STATUS}"
            raise h11.RemoteProtocolError(text)
        if not response.http_version.startswith(b"1."):
            version = response.http_version.decode("ascii")
            raise h11.RemoteProtocolError(f"the response has the version {version} of HTTP")

    def _report_data(self, parts: list[bytes]) -> None:
        if parts and self._connected:
            self._listener.data_received(self, parts[0] if len(parts) == 1 else b"".join(parts))
            parts.clear()

    def _complete_response(self) -> None:
        if not self._connected:
            return
        http = self._http
        reusable = (
            not self._output
            and self._write_error is None
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
