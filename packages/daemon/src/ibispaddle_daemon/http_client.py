"""Non-blocking HTTP client: pooled connections, deadlines, cancel, pause and resume."""

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

# Shorter than the 75 s after which common servers close an idle connection.
IDLE_TIMEOUT_MS = 30_000
MAX_IDLE_PER_ADDRESS = 64
MAX_CONNECTIONS = 8_000
MAX_WHOLE_BODY_BYTES = 33_554_432


@dataclass
class _Running:
    """Bind a call to the connection that carries it."""

    call: HttpCall
    conn: HttpConnection | None = None
    status: int = 0
    headers: Headers = ()
    parts: list[bytes] = field(default_factory=list)
    size: int = 0
    timers: list[TimerHandle] = field(default_factory=list)


class HttpClient(BaseComponent):
    """Carry out `http_call` events.

    Every call gets exactly one final event, `call_completed` or `call_ended`, at its deadline at the
    latest. A connection is reused only after a complete response. `contexts` has the TLS contexts by
    the scheme of the URL.
    """

    channel = "http_client"

    def __init__(
        self, clock: Clock | None = None, contexts: Mapping[str, ssl.SSLContext] | None = None
    ) -> None:
        super().__init__()
        self._contexts: dict[str, ssl.SSLContext | None] = {"http": None, **(contexts or {})}
        self._clock = clock or SystemClock()
        self._timers = TimerQueue(self._clock).register(self)
        self._calls: dict[str, _Running] = {}
        self._carried: dict[HttpConnection, _Running] = {}
        self._idle: defaultdict[Address, deque[HttpConnection]] = defaultdict(deque)
        self._expiring: set[Address] = set()
        self._closed: list[HttpConnection] = []
        self._connections = 0
        self._poller: Any = None
        self._by_socket: dict[Any, HttpConnection] = {}

    @property
    def calls_in_flight(self) -> int:
        """Return the number of calls without a final event."""
        return len(self._calls)

    @property
    def open_connections(self) -> int:
        """Return the number of connections that carry a call or are kept for reuse."""
        return self._connections - len(self._closed)

    @handler("http_call")
    def _on_http_call(self, call: HttpCall) -> None:
        self.start_call(call)

    def start_call(self, call: HttpCall) -> None:
        """Start a call, as the event `http_call` does one turn of the event loop later."""
        running = _Running(call)
        if call.call_id in self._calls:
            raise ValueError(f"call id '{call.call_id}' is in use")
        self._calls[call.call_id] = running
        now_ms = self._clock.now_ms()
        if call.deadline_ms <= now_ms:
            self._end(running, CallFailure.TIMEOUT, "the deadline passed before the call began")
            return
        running.timers.append(self._timers.at(call.deadline_ms, lambda: self._expire(running)))
        try:
            parts = urlsplit(call.url)
            address = (parts.hostname or "", parts.port or 80, parts.scheme)
            if parts.scheme not in self._contexts or not address[0]:
                raise ValueError(f"an address and one of {', '.join(self._contexts)} is expected")
        except ValueError as exc:
            self._end(running, CallFailure.PROTOCOL, f"URL '{call.url}': {exc}")
            return
        target = parts.path or "/"
        target += f"?{parts.query}" if parts.query else ""
        headers: Headers = call.headers
        if find_header(headers, "host") is None:
            headers = (("Host", parts.netloc), *headers)
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers += (("Content-Length", str(len(call.body))),)
        conn = self._take(address, call.may_reuse_connection)
        if conn is None:
            self._end(running, CallFailure.BUSY, f"{MAX_CONNECTIONS} connections are in use")
            return
        running.conn = conn
        self._carried[conn] = running
        if not conn.is_open:
            limit_ms = now_ms + call.connect_timeout_ms
            running.timers.append(self._timers.at(limit_ms, lambda: self._give_up(running)))
            conn.open(address, self._contexts[parts.scheme])
        if running.conn is conn:
            try:
                conn.send_request(call.method, target, headers, call.body)
            except (h11.LocalProtocolError, UnicodeError) as exc:
                self._end(running, CallFailure.PROTOCOL, f"the request is not valid: {exc}")

    @handler("http_cancel")
    def _on_http_cancel(self, call_id: str) -> None:
        self.cancel_call(call_id)

    def cancel_call(self, call_id: str) -> None:
        """Close the connection of a call, as the event `http_cancel` does one turn later."""
        if running := self._calls.get(call_id):
            self._end(running, CallFailure.CANCELLED, "the call was cancelled")

    @handler("http_pause")
    def _on_http_pause(self, call_id: str) -> None:
        running = self._calls.get(call_id)
        if running is not None and running.conn is not None:
            running.conn.pause()

    @handler("http_resume")
    def _on_http_resume(self, call_id: str) -> None:
        running = self._calls.get(call_id)
        if running is not None and running.conn is not None:
            running.conn.resume()

    def _take(self, address: Address, may_reuse_connection: bool) -> HttpConnection | None:
        idle = self._idle[address] if may_reuse_connection else ()
        oldest_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
        while idle:
            conn = idle.pop()  # The most recently used one, so that the others can expire.
            if conn.idle_since_ms >= oldest_ms and conn.is_reusable():
                return conn
            conn.shut()
            self._closed.append(conn)
        if self._closed:
            return self._closed.pop()
        if self._connections >= MAX_CONNECTIONS:
            return None
        self._connections += 1
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        return HttpConnection(self, self._poller, self.channel)

    def _expire(self, running: _Running) -> None:
        self._end(running, CallFailure.TIMEOUT, "the deadline passed")

    def _give_up(self, running: _Running) -> None:
        if running.conn is not None and not running.conn.connected:
            text = f"no connection within {running.call.connect_timeout_ms} ms"
            self._end(running, CallFailure.UNREACHABLE, text)

    def _end(self, running: _Running, failure: CallFailure | None = None, text: str = "") -> None:
        """Release the call's connection and fire the final event."""
        call, conn = running.call, running.conn
        if self._calls.get(call.call_id) is not running:
            return
        byte_sent = False
        del self._calls[call.call_id]
        for timer in running.timers:
            timer.cancel()
        if conn is not None:
            byte_sent = conn.byte_sent
            running.conn = None
            self._carried.pop(conn, None)
            if failure is not None or not call.may_reuse_connection:
                conn.shut()
            self._store(conn)
        error = None if failure is None else HttpCallError(failure, text, byte_sent)
        event: Event
        if call.sink is not None:
            call.sink.call_ended(call.call_id, error)
            return
        if call.stream:
            event = call_ended(call.call_id, error)
        else:
            body = b"".join(running.parts)
            event = call_completed(call.call_id, running.status, running.headers, body, error)
        self.fire(event, call.channel)

    def _store(self, conn: HttpConnection) -> None:
        idle = self._idle[conn.address]
        if not conn.is_open:
            self._closed.append(conn)
            return
        conn.idle_since_ms = self._clock.now_ms()
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            oldest = idle.popleft()
            oldest.shut()
            self._closed.append(oldest)
        if conn.address not in self._expiring:
            self._expiring.add(conn.address)
            self._timers.after(IDLE_TIMEOUT_MS, lambda: self._drop_idle(conn.address))

    def _drop_idle(self, address: Address) -> None:
        idle = self._idle[address]
        now_ms = self._clock.now_ms()
        while idle and idle[0].idle_since_ms + IDLE_TIMEOUT_MS <= now_ms:
            conn = idle.popleft()
            conn.shut()
            self._closed.append(conn)
        if idle:
            due_ms = idle[0].idle_since_ms + IDLE_TIMEOUT_MS
            self._timers.at(due_ms, lambda: self._drop_idle(address))
        else:
            self._expiring.discard(address)
            del self._idle[address]

    # Events of the poller. A socket that was closed meanwhile is no longer in the table.

    @handler("_read", priority=1)
    def _on_readable(self, sock: Any) -> None:
        if (conn := self._by_socket.get(sock)) is not None:
            conn.readable()

    @handler("_write", priority=1)
    def _on_writable(self, sock: Any) -> None:
        if (conn := self._by_socket.get(sock)) is not None:
            conn.writable()

    @handler("_disconnect", priority=1)
    def _on_hung_up(self, sock: Any) -> None:
        if (conn := self._by_socket.get(sock)) is not None:
            conn.hung_up()

    @handler("stopped", channel="*")
    def _on_stopped(self, *args: Any) -> None:
        for conn in list(self._by_socket.values()):
            conn.shut()

    # Reports of the connections.

    def socket_opened(self, conn: HttpConnection) -> None:
        """Note which connection owns a socket."""
        self._by_socket[conn.sock] = conn

    def socket_closed(self, conn: HttpConnection) -> None:
        """Forget a socket."""
        self._by_socket.pop(conn.sock, None)

    def request_sent(self, conn: HttpConnection) -> None:
        """Pass on that the first byte was written."""
        running = self._carried.get(conn)
        if running is None:
            return
        if running.call.sink is not None:
            running.call.sink.call_sent(running.call.call_id)
        elif running.call.stream:
            self.fire(call_sent(running.call.call_id), running.call.channel)

    def head_received(self, conn: HttpConnection, status: int, headers: Headers) -> None:
        """Pass on or keep the response's head."""
        if running := self._carried.get(conn):
            running.status, running.headers = status, headers
            if running.call.sink is not None:
                running.call.sink.call_head(running.call.call_id, status, headers)
            elif running.call.stream:
                self.fire(call_head(running.call.call_id, status, headers), running.call.channel)

    def data_received(self, conn: HttpConnection, data: bytes) -> None:
        """Pass on or collect a part of the body."""
        running = self._carried.get(conn)
        if running is None:
            return
        if running.call.sink is not None:
            running.call.sink.call_data(running.call.call_id, data)
            return
        if running.call.stream:
            self.fire(call_data(running.call.call_id, data), running.call.channel)
            return
        running.parts.append(data)
        running.size += len(data)
        if running.size > MAX_WHOLE_BODY_BYTES:
            text = f"the response exceeds {MAX_WHOLE_BODY_BYTES} bytes"
            self._end(running, CallFailure.TOO_LARGE, text)

    def response_completed(self, conn: HttpConnection) -> None:
        """End the call after its complete response."""
        if running := self._carried.get(conn):
            self._end(running)

    def connection_failed(self, conn: HttpConnection, failure: CallFailure, text: str) -> None:
        """End the call, or forget an idle connection that the upstream closed."""
        if running := self._carried.get(conn):
            self._end(running, failure, text)
            return
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
            self._closed.append(conn)
