"""HTTP/1.1 server protocol of one connection, based on h11."""

from collections.abc import Callable
from typing import Any, Protocol

import h11
from ibispaddle_core.clock import Clock

from .events import Headers
from .http_exchange import Exchange
from .http_listener import CallerConnection, Listener

# Time for a caller to send a complete request, and time that an idle connection is kept open.
REQUEST_TIMEOUT_MS = 60_000
IDLE_TIMEOUT_MS = 120_000
# Time for a caller to read an error that was sent before its request was complete; closing the
# connection with unread data would reset it.
LINGERING_CLOSE_MS = 2_000
MAX_PIPELINED_BYTES = 131_072


class ExchangeHandler(Protocol):
    """Receive complete requests, and refuse invalid ones."""

    clock: Clock
    listener: Listener
    draining: bool

    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body."""

    def reserve_body(self, conn: CallerConnection, size: int) -> bool:
        """Reserve memory for request bodies; return False if the limit would be exceeded."""

    def reserve_head(self, conn: CallerConnection, size: int) -> bool:
        """Replace the memory for a connection's unprocessed bytes; return False if there is none."""

    def response_room(self) -> int:
        """Return the number of bytes of unread responses for which there is room."""

    def release_body(self, conn: CallerConnection) -> None:
        """Release the memory that was reserved by `reserve_body`."""

    def request_received(self, exchange: Exchange) -> None:
        """Report a complete request."""

    def request_refused(self, exchange: Exchange, status: int, code: str, text: str) -> None:
        """Respond to a request that is malformed or exceeds a limit."""

    def exchange_ended(self, exchange: Exchange) -> None:
        """Report that the response is complete or that the caller has disconnected."""

    def after(self, delay_ms: int, callback: Callable[[], None]) -> Any:
        """Run `callback` after `delay_ms`."""


class HttpServerProtocol:
    """Parse requests sequentially and serialize their responses."""

    def __init__(
        self, conn: CallerConnection, server: ExchangeHandler, max_header_bytes: int
    ) -> None:
        self.conn = conn
        self.exchange: Exchange | None = None
        self.accepted_while_draining = server.draining
        self._server = server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._head_size = 0  # Bytes of an incomplete head or of pipelined requests.
        self._is_open = True  # Whether the exchange has no complete response yet.
        self._is_discarding = False
        self._is_dispatched = False
        self._wait_started_ms = server.clock.now_ms()
        self._is_request_started = False

    def receive_data(self, data: bytes) -> None:
        """Process bytes received from the caller."""
        if self._is_discarding:
            if not data:
                self._server.listener.drop(self.conn)
            return
        if not data and self.exchange is not None:
            # A caller that closes its sending side before the response is complete counts as
            # disconnected.
            self._server.listener.drop(self.conn)
            return
        self._h11.receive_data(data)
        if self.exchange is not None and self._is_dispatched:
            # h11 buffers pipelined requests; the size of its buffer is limited here.
            pipelined = len(self._h11.trailing_data[0])
            if not self._reserve_head(pipelined):
                self._server.listener.drop(self.conn)
            elif pipelined > MAX_PIPELINED_BYTES:
                self._server.listener.set_reading(self.conn, False)
            return
        if not self._is_request_started:
            self._is_request_started = True
            self._wait_started_ms = self._server.clock.now_ms()
        self._process_events()
        is_head_incomplete = self.exchange is None and not self._is_discarding
        if (
            is_head_incomplete
            and not self.conn.is_closed
            and not self._reserve_head(len(self._h11.trailing_data[0]))
        ):
            self._refuse_overload()

    def is_timed_out(self, now_ms: int) -> bool:
        """Return whether the caller took too long to send a request."""
        if self._is_dispatched:
            return False
        limit_ms = REQUEST_TIMEOUT_MS if self._is_request_started else IDLE_TIMEOUT_MS
        return now_ms - self._wait_started_ms > limit_ms

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self.exchange is None and not self._is_request_started

    def connection_lost(self) -> None:
        """Handle the end of the connection."""
        exchange, self.exchange = self.exchange, None
        self._release_body()
        self._reserve_head(0)
        if exchange is not None and not exchange.is_complete:
            exchange.is_closed = True
            if exchange.on_closed is not None:
                exchange.on_closed()
            self._server.exchange_ended(exchange)

    def output_drained(self) -> None:
        """Notify the exchange that a part of the unsent bytes was written."""
        if self.exchange is not None and self.exchange.on_drained is not None:
            self.exchange.on_drained()

    def closes_after_response(self) -> bool:
        """Return whether the response must have the header `Connection: close`."""
        return self._server.draining or not self._is_dispatched

    def send(self, event: Any, data: Any = None) -> None:
        """Serialize h11 events of the response and write them."""
        output = self._h11.send(event)
        if data is not None:
            output += self._h11.send(data)
        self._server.listener.send(self.conn, output)

    def end_response(self) -> None:
        """Complete the response, then process the next request or close the connection."""
        exchange = self.exchange
        try:
            self._server.listener.send(self.conn, self._h11.send(h11.EndOfMessage()))
        except h11.LocalProtocolError:
            # The body is shorter than its Content-Length. The connection is closed at once, so that
            # the caller detects the incomplete response.
            self._server.listener.drop(self.conn)
        self.exchange = None
        self._release_body()
        if exchange is not None:
            self._server.exchange_ended(exchange)
        if self.conn.is_closed:
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._is_dispatched = self._is_request_started = False
            self._wait_started_ms = self._server.clock.now_ms()
            self._h11.start_next_cycle()
            self._server.listener.set_reading(self.conn, True)
            self._process_events()
        elif self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            self._server.listener.close_after_output(self.conn)
        else:
            self._close_lingering()

    def abort(self) -> None:
        """Close the connection without completing the response."""
        # Buffered bytes are still sent; the missing end of the message shows that it is incomplete.
        self._server.listener.close_after_output(self.conn)

    def _close_lingering(self) -> None:
        """Discard the rest of a refused request while the caller reads the error response."""
        self._is_discarding = True
        self._server.listener.shutdown_write(self.conn)
        self._server.after(LINGERING_CLOSE_MS, lambda: self._server.listener.drop(self.conn))

    def _process_events(self) -> None:
        while not self.conn.is_closed and not self._is_discarding:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._refuse_malformed(exc)
                return
            match event:
                case h11.Request():
                    self._start_request(event)
                case h11.Data():
                    self._append_body(bytes(event.data))
                case h11.EndOfMessage():
                    self._dispatch()
                    return
                case h11.ConnectionClosed():
                    self._server.listener.close_after_output(self.conn)
                    return
                case _:
                    return

    def _start_request(self, request: h11.Request) -> None:
        headers: Headers = tuple(
            (k.decode("ascii"), v.decode("latin-1")) for k, v in request.headers
        )
        method, target = request.method.decode("ascii"), request.target.decode("ascii", "replace")
        self._is_request_started = True
        self._reserve_head(0)
        self.exchange = Exchange(self, method, target, headers, self._server.clock.now_ms())
        length = self.exchange.header("content-length")
        if length is not None and int(length) > self._server.max_body_bytes():
            self._refuse_large_body()
        elif self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _append_body(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        if self._body_size + len(data) > self._server.max_body_bytes():
            self._refuse_large_body()
        elif not self._server.reserve_body(self.conn, len(data)):
            self._refuse_overload()
        else:
            self._body_size += len(data)
            self._body_parts.append(data)

    @property
    def incomplete_body_bytes(self) -> int:
        """Return the received part of a body that is not complete yet."""
        return 0 if self._is_dispatched else self._body_size

    def give_up_request(self) -> None:
        """Refuse a request whose caller has stopped sending it."""
        self._refuse_overload()

    def response_room(self) -> int:
        """Return the number of bytes of unread responses for which there is room."""
        return self._server.response_room()

    def _refuse_overload(self) -> None:
        """Refuse a request for which the instance has no memory."""
        exchange = self.exchange or Exchange(self, "", "", (), self._server.clock.now_ms())
        self.exchange = exchange
        self._release_body()
        text = "The instance holds too many requests."
        self._server.request_refused(exchange, 503, "overloaded", text)

    def _dispatch(self) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        self._is_dispatched = True
        exchange.body = (
            self._body_parts[0] if len(self._body_parts) == 1 else b"".join(self._body_parts)
        )
        self._body_parts.clear()
        self._server.request_received(exchange)

    def _refuse_large_body(self) -> None:
        if self.exchange is not None:
            text = f"The body exceeds {self._server.max_body_bytes()} bytes."
            self._server.request_refused(self.exchange, 413, "body_too_large", text)

    def _refuse_malformed(self, exc: h11.RemoteProtocolError) -> None:
        if self._h11.our_state is not h11.IDLE and self.exchange is None:
            self._server.listener.drop(self.conn)
            return
        exchange = self.exchange or Exchange(self, "", "", (), self._server.clock.now_ms())
        self.exchange = exchange
        status = exc.error_status_hint
        code = "headers_too_large" if status == 431 else "invalid_http"
        self._server.request_refused(
            exchange, status, code, f"The request is not valid HTTP: {exc}."
        )

    def _reserve_head(self, size: int) -> bool:
        """Replace the memory for unprocessed bytes; return False if there is none."""
        if size == self._head_size:
            return True
        self._head_size = size
        return self._server.reserve_head(self.conn, size)

    def _release_body(self) -> None:
        if self._body_size:
            self._server.release_body(self.conn)
        self._body_size = 0
        self._body_parts.clear()
