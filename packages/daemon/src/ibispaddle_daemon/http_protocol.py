"""HTTP/1.1 on one caller's connection, parsed and framed by h11."""

from collections.abc import Callable
from typing import Any, Protocol

import h11
from ibispaddle_core.clock import Clock

from .events import Headers
from .http_exchange import Exchange
from .http_listener import CallerConnection, Listener

# Time for a caller to send a complete request, and the time an idle connection is kept.
REQUEST_TIMEOUT_MS = 60_000
IDLE_TIMEOUT_MS = 120_000
# Time for a caller to read an error that was sent before its request was complete.
LINGER_MS = 2_000
MAX_PIPELINED_BYTES = 131_072


class ExchangeHandler(Protocol):
    """Receive complete requests and the reasons why others are refused."""

    clock: Clock
    listener: Listener
    draining: bool

    def max_body_bytes(self) -> int:
        """Return the bound of a request body."""

    def reserve_body(self, size: int) -> bool:
        """Return whether so many more bytes of request bodies may be held in memory."""

    def release_body(self, size: int) -> None:
        """Give back bytes of `reserve_body`."""

    def request_received(self, exchange: Exchange) -> None:
        """Report a complete request."""

    def request_refused(self, exchange: Exchange, status: int, code: str, text: str) -> None:
        """Answer a request that cannot be read."""

    def exchange_ended(self, exchange: Exchange) -> None:
        """Report a complete response or a caller that left."""

    def after(self, delay_ms: int, callback: Callable[[], None]) -> Any:
        """Call back later."""


class HttpServerProtocol:
    """Read requests one after the other and frame their responses."""

    def __init__(self, conn: CallerConnection, on: ExchangeHandler, max_header_bytes: int) -> None:
        self.conn = conn
        self.exchange: Exchange | None = None
        self.accepted_while_draining = on.draining
        self._on = on
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
        self._body: list[bytes] = []
        self._size = 0
        self._is_open = True  # The exchange has no complete response yet.
        self._discarding = False
        self._dispatched = False
        self._waiting_since_ms = on.clock.now_ms()
        self._request_begun = False

    def receive_data(self, data: bytes) -> None:
        """Take bytes of the caller."""
        if self._discarding:
            if not data:
                self._on.listener.drop(self.conn)
            return
        if not data and self.exchange is not None:
            # The caller closed its side before the answer was complete: it left.
            self._on.listener.drop(self.conn)
            return
        self._h11.receive_data(data)
        if self.exchange is not None and self._dispatched:
            # The next request waits inside h11, which is bounded here.
            if len(self._h11.trailing_data[0]) > MAX_PIPELINED_BYTES:
                self._on.listener.set_reading(self.conn, False)
            return
        if not self._request_begun:
            self._request_begun = True
            self._waiting_since_ms = self._on.clock.now_ms()
        self._advance()

    def is_timed_out(self, now_ms: int) -> bool:
        """Return whether the caller takes too long to send a request."""
        if self._dispatched:
            return False
        limit_ms = REQUEST_TIMEOUT_MS if self._request_begun else IDLE_TIMEOUT_MS
        return now_ms - self._waiting_since_ms > limit_ms

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self.exchange is None and not self._request_begun

    def connection_lost(self) -> None:
        """Take the end of the connection."""
        exchange, self.exchange = self.exchange, None
        self._release_body()
        if exchange is not None and not exchange.is_complete:
            exchange.is_closed = True
            if exchange.on_closed is not None:
                exchange.on_closed()
            self._on.exchange_ended(exchange)

    def output_drained(self) -> None:
        """Take the news that the caller has read some bytes."""
        if self.exchange is not None and self.exchange.on_drained is not None:
            self.exchange.on_drained()

    def closes_after_response(self) -> bool:
        """Return whether the response has to announce the end of the connection."""
        return self._on.draining or not self._dispatched

    def send(self, event: Any, data: Any = None) -> None:
        """Frame an event of the response and write it."""
        output = self._h11.send(event)
        if data is not None:
            output += self._h11.send(data)
        self._on.listener.send(self.conn, output)

    def end_response(self) -> None:
        """Complete the response and go on with the next request, or close."""
        exchange = self.exchange
        try:
            self._on.listener.send(self.conn, self._h11.send(h11.EndOfMessage()))
        except h11.LocalProtocolError:
            # Fewer bytes than the Content-Length announced: the caller must see a cut connection.
            self._on.listener.drop(self.conn)
        self.exchange = None
        self._release_body()
        if exchange is not None:
            self._on.exchange_ended(exchange)
        if self.conn.closed:
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._dispatched = self._request_begun = False
            self._waiting_since_ms = self._on.clock.now_ms()
            self._h11.start_next_cycle()
            self._on.listener.set_reading(self.conn, True)
            self._advance()
        elif self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            self._on.listener.close_after_output(self.conn)
        else:
            self._linger()

    def abort(self) -> None:
        """Close the connection without completing the response."""
        # Bytes that were written may be taken, but the missing end marks the answer as incomplete.
        self._on.listener.close_after_output(self.conn)

    def _linger(self) -> None:
        """Discard the rest of a refused request, so that the caller can read the refusal."""
        self._discarding = True
        self._on.listener.shutdown_write(self.conn)
        self._on.after(LINGER_MS, lambda: self._on.listener.drop(self.conn))

    def _advance(self) -> None:
        while not self.conn.closed and not self._discarding:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._refuse_unreadable(exc)
                return
            match event:
                case h11.Request():
                    self._begin(event)
                case h11.Data():
                    self._append(bytes(event.data))
                case h11.EndOfMessage():
                    self._dispatch()
                    return
                case h11.ConnectionClosed():
                    self._on.listener.close_after_output(self.conn)
                    return
                case _:
                    return

    def _begin(self, request: h11.Request) -> None:
        headers: Headers = tuple(
            (k.decode("ascii"), v.decode("latin-1")) for k, v in request.headers
        )
        method, target = request.method.decode("ascii"), request.target.decode("ascii", "replace")
        self._request_begun = True
        self.exchange = Exchange(self, method, target, headers, self._on.clock.now_ms())
        length = self.exchange.header("content-length")
        if length is not None and int(length) > self._on.max_body_bytes():
            self._refuse_large()
        elif self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _append(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        if self._size + len(data) > self._on.max_body_bytes():
            self._refuse_large()
        elif not self._on.reserve_body(len(data)):
            text = "The instance holds too many request bodies."
            self._on.request_refused(exchange, 503, "overloaded", text)
        else:
            self._size += len(data)
            self._body.append(data)

    def _dispatch(self) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        self._dispatched = True
        exchange.body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._body.clear()
        self._on.request_received(exchange)

    def _refuse_large(self) -> None:
        if self.exchange is not None:
            text = f"The body exceeds {self._on.max_body_bytes()} bytes."
            self._on.request_refused(self.exchange, 413, "body_too_large", text)

    def _refuse_unreadable(self, exc: h11.RemoteProtocolError) -> None:
        if self._h11.our_state is not h11.IDLE and self.exchange is None:
            self._on.listener.drop(self.conn)
            return
        exchange = self.exchange or Exchange(self, "", "", (), self._on.clock.now_ms())
        self.exchange = exchange
        status = exc.error_status_hint
        code = "headers_too_large" if status == 431 else "invalid_http"
        self._on.request_refused(exchange, status, code, f"The request is not valid HTTP: {exc}.")

    def _release_body(self) -> None:
        if self._size:
            self._on.release_body(self._size)
        self._size = 0
        self._body.clear()
