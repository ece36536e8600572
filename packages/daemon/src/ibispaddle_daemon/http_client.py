"""Non-blocking HTTP client with connection pooling, deadlines, cancellation and flow control."""

import ssl
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import h11
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from ibispaddle_core.clock import Clock, SystemClock
from ibispaddle_core.forwarding.memory_budget import MAX_BUFFERED_CALLS_BYTES

from .buffer_limit import BufferLimit
from .events import (
    CallFailure,
    Headers,
    HttpCall,
    HttpCallError,
    call_completed,
    call_data,
    call_ended,
    call_head,
    call_sent,
    find_header,
)
from .http_connection import Address, HttpConnection
from .timers import TimerHandle, TimerQueue

# Shorter than the 75 s after which common servers close idle connections.
IDLE_TIMEOUT_MS = 30_000
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
MAX_CONNECTIONS = 8_000


@dataclass
class _ActiveCall:
    """Hold a call, its connection and the received part of its response."""

    call: HttpCall
    conn: HttpConnection | None = None
    status: int = 0
    headers: Headers = ()
    parts: list[bytes] = field(default_factory=list)
    size: int = 0
    timers: list[TimerHandle] = field(default_factory=list)


class HttpClient(BaseComponent):
    """Execute HTTP calls that are requested by `http_call` events.

    Every call gets exactly one final event, `call_completed` or `call_ended`, no later than its
    deadline. A connection is reused only after a complete response. `contexts` maps URL schemes to
    TLS contexts, and `max_buffered_bytes` is the size of the buffered responses of all calls together.
    """

    channel = "http_client"

    def __init__(
        self,
        clock: Clock | None = None,
        contexts: Mapping[str, ssl.SSLContext] | None = None,
        max_buffered_bytes: int = MAX_BUFFERED_CALLS_BYTES,
    ) -> None:
        super().__init__()
        self._contexts: dict[str, ssl.SSLContext | None] = {"http": None, **(contexts or {})}
        self._clock = clock or SystemClock()
        self._timers = TimerQueue(self._clock).register(self)
        self._calls: dict[str, _ActiveCall] = {}
        self._call_by_connection: dict[HttpConnection, _ActiveCall] = {}
        self._idle_connections: defaultdict[Address, deque[HttpConnection]] = defaultdict(deque)
        self._addresses_with_timer: set[Address] = set()
        self._closed_connections: list[HttpConnection] = []
        self._connection_count = 0
        self._buffered = BufferLimit(max_buffered_bytes)  # Of calls that are not streamed.
        self._paused_calls: set[str] = set()
        self.pause_count = 0  # Since the start.
        self._poller: Any = None
        self._connection_by_socket: dict[Any, HttpConnection] = {}

    @property
    def calls_in_flight(self) -> int:
        """Return the number of calls without a final event."""
        return len(self._calls)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, in use or idle."""
        return self._connection_count - len(self._closed_connections)

    @property
    def paused_calls(self) -> int:
        """Return the number of calls whose responses are not being read."""
        return len(self._paused_calls)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffered responses of calls that are not streamed."""
        return self._buffered.total_bytes

    @handler("http_call")
    def _on_http_call(self, call: HttpCall) -> None:
        self.start_call(call)

    def start_call(self, call: HttpCall) -> None:
        """Start a call immediately; the event `http_call` does so in the next iteration."""
        active = _ActiveCall(call)
        if call.call_id in self._calls:
            raise ValueError(f"call id '{call.call_id}' is already in use")
        self._calls[call.call_id] = active
        now_ms = self._clock.now_ms()
        if call.deadline_ms <= now_ms:
            self._finish_call(
                active, CallFailure.TIMEOUT, "the deadline passed before the call started"
            )
            return
        active.timers.append(self._timers.at(call.deadline_ms, lambda: self._on_deadline(active)))
        try:
            parts = urlsplit(call.url)
            address = (parts.hostname or "", parts.port or 80, parts.scheme)
            if parts.scheme not in self._contexts or not address[0]:
                raise ValueError(
                    f"expected a host and one of the schemes {', '.join(self._contexts)}"
                )
        except ValueError as exc:
            self._finish_call(
                active, CallFailure.PROTOCOL, f"the URL '{call.url}' is not valid: {exc}"
            )
            return
        target = parts.path or "/"
        target += f"?{parts.query}" if parts.query else ""
        headers: Headers = call.headers
        if find_header(headers, "host") is None:
            headers = (("Host", parts.netloc), *headers)
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers += (("Content-Length", str(len(call.body))),)
        conn = self._acquire_connection(address, call.may_reuse_connection)
        if conn is None:
            self._finish_call(
                active, CallFailure.BUSY, f"all {MAX_CONNECTIONS} connections are in use"
            )
            return
        active.conn = conn
        self._call_by_connection[conn] = active
        if not conn.is_open:
            limit_ms = now_ms + call.connect_timeout_ms
            active.timers.append(
                self._timers.at(limit_ms, lambda: self._on_connect_timeout(active))
            )
            conn.open(address, self._contexts[parts.scheme])
        if active.conn is conn:
            try:
                conn.send_request(call.method, target, headers, call.body)
            except (h11.LocalProtocolError, UnicodeError) as exc:
                self._finish_call(active, CallFailure.PROTOCOL, f"the request is not valid: {exc}")
                return
        if call.write_timeout_ms is not None and conn.has_unsent_data:
            self._schedule_write_check(active, conn, call.write_timeout_ms)

    def _schedule_write_check(
        self, active: _ActiveCall, conn: HttpConnection, timeout_ms: int
    ) -> None:
        """End the call if its upstream reads nothing of the request within the timeout."""
        written = conn.written_bytes

        def check() -> None:
            if active.conn is not conn or not conn.has_unsent_data:
                return
            if conn.written_bytes > written:
                self._schedule_write_check(active, conn, timeout_ms)
                return
            text = f"the upstream read nothing of the request for {timeout_ms} ms"
            self._finish_call(active, CallFailure.TIMEOUT, text)

        active.timers.append(self._timers.after(timeout_ms, check))

    @handler("http_cancel")
    def _on_http_cancel(self, call_id: str) -> None:
        self.cancel_call(call_id)

    def cancel_call(self, call_id: str) -> None:
        """Cancel a call immediately; the event `http_cancel` does so in the next iteration."""
        if active := self._calls.get(call_id):
            self._finish_call(active, CallFailure.CANCELLED, "the call was cancelled")

    @handler("http_pause")
    def _on_http_pause(self, call_id: str) -> None:
        self.pause_call(call_id)

    def pause_call(self, call_id: str) -> None:
        """Stop reading a call's response immediately."""
        active = self._calls.get(call_id)
        if active is not None and active.conn is not None:
            active.conn.pause()
            self._paused_calls.add(call_id)
            self.pause_count += 1

    @handler("http_resume")
    def _on_http_resume(self, call_id: str) -> None:
        self.resume_call(call_id)

    def resume_call(self, call_id: str) -> None:
        """Continue to read a call's response."""
        active = self._calls.get(call_id)
        if active is not None and active.conn is not None:
            self._paused_calls.discard(call_id)
            active.conn.resume()

    def _acquire_connection(
        self, address: Address, may_reuse_connection: bool
    ) -> HttpConnection | None:
        idle = self._idle_connections[address] if may_reuse_connection else ()
        oldest_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
        while idle:
            conn = idle.pop()  # The most recently used connection, so that the others can expire.
            if conn.idle_since_ms >= oldest_ms and conn.is_reusable():
                return conn
            conn.close_socket()
            self._closed_connections.append(conn)
        if self._closed_connections:
            return self._closed_connections.pop()
        if self._connection_count >= MAX_CONNECTIONS:
            return None
        self._connection_count += 1
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        return HttpConnection(self, self._poller, self.channel)

    def _on_deadline(self, active: _ActiveCall) -> None:
        self._finish_call(active, CallFailure.TIMEOUT, "the deadline passed")

    def _on_connect_timeout(self, active: _ActiveCall) -> None:
        if active.conn is not None and not active.conn.connected:
            text = f"no connection within {active.call.connect_timeout_ms} ms"
            self._finish_call(active, CallFailure.UNREACHABLE, text)

    def _finish_call(
        self, active: _ActiveCall, failure: CallFailure | None = None, text: str = ""
    ) -> None:
        """Release the call's connection and report the end of the call."""
        call, conn = active.call, active.conn
        if self._calls.get(call.call_id) is not active:
            return
        byte_sent = is_refused = False
        del self._calls[call.call_id]
        self._buffered.release(call.call_id)
        self._paused_calls.discard(call.call_id)
        for timer in active.timers:
            timer.cancel()
        if conn is not None:
            byte_sent, is_refused = conn.byte_sent, conn.is_refused
            active.conn = None
            self._call_by_connection.pop(conn, None)
            if failure is not None or not call.may_reuse_connection:
                conn.close_socket()
            self._release_connection(conn)
        error = None if failure is None else HttpCallError(failure, text, byte_sent, is_refused)
        event: Event
        if call.sink is not None:
            call.sink.call_ended(call.call_id, error)
            return
        if call.stream:
            event = call_ended(call.call_id, error)
        else:
            body = b"".join(active.parts)
            event = call_completed(call.call_id, active.status, active.headers, body, error)
        self.fire(event, call.channel)

    def _release_connection(self, conn: HttpConnection) -> None:
        idle = self._idle_connections[conn.address]
        if not conn.is_open:
            self._closed_connections.append(conn)
            return
        conn.idle_since_ms = self._clock.now_ms()
        idle.append(conn)
        if len(idle) > MAX_IDLE_CONNECTIONS_PER_ADDRESS:
            oldest = idle.popleft()
            oldest.close_socket()
            self._closed_connections.append(oldest)
        if conn.address not in self._addresses_with_timer:
            self._addresses_with_timer.add(conn.address)
            self._timers.after(
                IDLE_TIMEOUT_MS, lambda: self._close_expired_connections(conn.address)
            )

    def _close_expired_connections(self, address: Address) -> None:
        idle = self._idle_connections[address]
        now_ms = self._clock.now_ms()
        while idle and idle[0].idle_since_ms + IDLE_TIMEOUT_MS <= now_ms:
            conn = idle.popleft()
            conn.close_socket()
            self._closed_connections.append(conn)
        if idle:
            due_ms = idle[0].idle_since_ms + IDLE_TIMEOUT_MS
            self._timers.at(due_ms, lambda: self._close_expired_connections(address))
        else:
            self._addresses_with_timer.discard(address)
            del self._idle_connections[address]

    # Poller events. A socket that has been closed in the meantime is no longer in the mapping.

    @handler("_read", priority=1)
    def _on_readable(self, sock: Any) -> None:
        if (conn := self._connection_by_socket.get(sock)) is not None:
            conn.handle_readable()

    @handler("_write", priority=1)
    def _on_writable(self, sock: Any) -> None:
        if (conn := self._connection_by_socket.get(sock)) is not None:
            conn.handle_writable()

    @handler("_disconnect", priority=1)
    def _on_disconnect(self, sock: Any) -> None:
        if (conn := self._connection_by_socket.get(sock)) is not None:
            conn.handle_disconnect()

    @handler("stopped", channel="*")
    def _on_stopped(self, *args: Any) -> None:
        for conn in list(self._connection_by_socket.values()):
            conn.close_socket()

    # Callbacks of the connections

    def socket_opened(self, conn: HttpConnection) -> None:
        """Register the socket of a connection."""
        self._connection_by_socket[conn.sock] = conn

    def socket_closed(self, conn: HttpConnection) -> None:
        """Unregister the socket of a connection."""
        self._connection_by_socket.pop(conn.sock, None)

    def request_sent(self, conn: HttpConnection) -> None:
        """Report the first written byte of a streamed call."""
        active = self._call_by_connection.get(conn)
        if active is None:
            return
        if active.call.sink is not None:
            active.call.sink.call_sent(active.call.call_id)
        elif active.call.stream:
            self.fire(call_sent(active.call.call_id), active.call.channel)

    def head_received(self, conn: HttpConnection, status: int, headers: Headers) -> None:
        """Store the head of a response, and report it if the call is streamed."""
        if active := self._call_by_connection.get(conn):
            active.status, active.headers = status, headers
            if active.call.sink is not None:
                active.call.sink.call_head(active.call.call_id, status, headers)
            elif active.call.stream:
                self.fire(call_head(active.call.call_id, status, headers), active.call.channel)

    def data_received(self, conn: HttpConnection, data: bytes) -> None:
        """Report a part of a streamed body, or buffer it."""
        active = self._call_by_connection.get(conn)
        if active is None:
            return
        if active.call.sink is not None:
            active.call.sink.call_data(active.call.call_id, data)
            return
        if active.call.stream:
            self.fire(call_data(active.call.call_id, data), active.call.channel)
            return
        active.parts.append(data)
        active.size += len(data)
        is_within_total = self._buffered.update(active.call.call_id, active.size)
        limit = active.call.max_body_bytes
        if active.size > limit:
            self._abort_response(active, f"the response exceeds {limit} bytes")
        elif not is_within_total:
            text = f"the responses of all calls exceed {self._buffered.max_bytes} bytes"
            self._abort_response(active, text)

    def _abort_response(self, active: _ActiveCall, text: str) -> None:
        active.parts.clear()
        self._finish_call(active, CallFailure.TOO_LARGE, text)

    def response_completed(self, conn: HttpConnection) -> None:
        """Finish the call after its complete response."""
        if active := self._call_by_connection.get(conn):
            self._finish_call(active)

    def processing_deferred(self, conn: HttpConnection) -> None:
        """Let the connection go on in the next turn of the event loop."""
        self._timers.after(0, conn.continue_processing)

    def connection_failed(self, conn: HttpConnection, failure: CallFailure, text: str) -> None:
        """Finish the call with an error, or remove an idle connection that the upstream closed."""
        if active := self._call_by_connection.get(conn):
            self._finish_call(active, failure, text)
            return
        idle = self._idle_connections.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
            self._closed_connections.append(conn)
