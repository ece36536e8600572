"""HTTP server for callers and operators: limits, and routing of exchanges to components."""

import ssl
from collections.abc import Callable
from socket import socket

from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.settings import FleetConfig, LimitSettings

from .events import exchange_started
from .http_exchange import Exchange
from .http_listener import CallerConnection, Listener
from .http_protocol import HttpServerProtocol
from .responses import respond_error, respond_not_found
from .timers import TimerHandle, TimerQueue

SWEEP_INTERVAL_MS = 1_000
# Time after which a caller that does not read its response is disconnected.
WRITE_STALL_MS = 30_000
# Limit of the total size of the request bodies in memory, for all callers together.
MAX_TOTAL_BODY_BYTES = 268_435_456
RETRY_AFTER_MS = 1_000

_CHANNELS_WITH_ADMISSION = ("request_reader", "services")


class HttpServer(BaseComponent):
    """Receive requests, limit their memory use and pass them to other components.

    `channel_of` returns the channel of the component that handles an exchange.
    """

    channel = "web"

    def __init__(
        self,
        bind: str | socket,
        clock: Clock,
        timers: TimerQueue,
        limits: LimitSettings,
        tls: ssl.SSLContext | None = None,
        is_recovering: Callable[[], bool] = lambda: False,
        channel: str = "web",
        channel_of: Callable[[Exchange], str | None] = lambda exchange: None,
    ) -> None:
        super().__init__(channel=channel)
        self._channel_of = channel_of
        self.clock = clock
        self.draining = False
        self._is_recovering = is_recovering
        # Without a configuration, callers cannot be authenticated.
        self.is_configured = False
        self._timers = timers
        self._limits = limits
        self._protocols: dict[CallerConnection, HttpServerProtocol] = {}
        self._write_progress: dict[CallerConnection, tuple[int, int]] = {}
        self._reserved_body_bytes = 0
        self.active_requests = 0
        self.listener = Listener(bind, self, self.channel, tls).register(self)
        timers.after(SWEEP_INTERVAL_MS, self._sweep)

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self.replace_limits(config.limits)
        self.is_configured = True

    def replace_limits(self, limits: LimitSettings) -> None:
        """Replace the limits that apply to new requests."""
        self._limits = limits

    @handler("drain_started", channel="*")
    def _on_drain_started(self) -> None:
        self.draining = True

    def stop_accepting(self) -> None:
        """Accept the pending connections and stop listening."""
        self.listener.stop_listening()

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress; requests in transit are lost."""
        for conn, protocol in list(self._protocols.items()):
            if protocol.is_idle and not conn.unsent_bytes:
                self.listener.drop(conn)

    @property
    def address(self) -> str:
        """Return the bound address as `HOST:PORT`."""
        return f"{self.listener.host}:{self.listener.port}"

    @property
    def unsent_connections(self) -> int:
        """Return the number of connections with unsent bytes."""
        return sum(1 for conn in self._protocols if conn.unsent_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of unsent bytes of all connections."""
        return sum(conn.unsent_bytes for conn in self._protocols)

    # Limits

    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body."""
        return self._limits.max_body_bytes

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for request bodies; return False if the limit would be exceeded."""
        if self._reserved_body_bytes + size > MAX_TOTAL_BODY_BYTES:
            return False
        self._reserved_body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Release memory that was reserved by `reserve_body`."""
        self._reserved_body_bytes -= size

    def after(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` after `delay_ms`."""
        return self._timers.after(delay_ms, callback)

    def _sweep(self) -> None:
        """Close the connections of callers that do not send a complete request or read a response."""
        self._timers.after(SWEEP_INTERVAL_MS, self._sweep)
        now_ms = self.clock.now_ms()
        for conn, protocol in list(self._protocols.items()):
            if protocol.is_timed_out(now_ms):
                self.listener.drop(conn)
            elif conn.unsent_bytes:
                unsent, since_ms = self._write_progress.get(conn, (-1, now_ms))
                if unsent != conn.unsent_bytes:
                    self._write_progress[conn] = (conn.unsent_bytes, now_ms)
                elif now_ms - since_ms > WRITE_STALL_MS:
                    self.listener.drop(conn)
            else:
                self._write_progress.pop(conn, None)

    # Callbacks of the listener

    def connection_made(self, conn: CallerConnection) -> None:
        """Create the HTTP protocol of a new connection."""
        conn.http = self._protocols[conn] = HttpServerProtocol(
            conn, self, self._limits.max_header_bytes
        )

    def bytes_received(self, conn: CallerConnection, data: bytes) -> None:
        """Pass received bytes to the connection's protocol."""
        conn.http.receive_data(data)

    def bytes_written(self, conn: CallerConnection) -> None:
        """Notify the connection's protocol that unsent bytes were written."""
        conn.http.output_drained()

    def connection_lost(self, conn: CallerConnection) -> None:
        """Remove a closed connection and end its exchange."""
        self._protocols.pop(conn, None)
        self._write_progress.pop(conn, None)
        conn.http.connection_lost()

    # Callbacks of the HTTP protocol

    def request_received(self, exchange: Exchange) -> None:
        """Pass a complete request to the component that handles its path."""
        self.active_requests += 1
        exchange.is_counted = True
        # Called for all paths, because it updates the readiness that `status` reports.
        is_recovering = self._is_recovering()
        channel = self._channel_of(exchange)
        if channel in _CHANNELS_WITH_ADMISSION and not self._admit(exchange, is_recovering):
            return
        if channel is not None:
            self.fire(exchange_started(exchange), channel)
            return
        self._handle_other_path(exchange)

    def _handle_other_path(self, exchange: Exchange) -> None:
        """Respond to a request for a path without a component."""
        respond_not_found(exchange)

    def _admit(self, exchange: Exchange, is_recovering: bool) -> bool:
        if exchange.accepted_while_draining and self.draining:
            error = ProtocolError(
                503, "draining", "The instance is being stopped.", retry_after_ms=RETRY_AFTER_MS
            )
        elif not self.is_configured:
            text = "The instance has no configuration yet."
            error = ProtocolError(503, "starting", text, retry_after_ms=RETRY_AFTER_MS)
        elif is_recovering:
            text = "The process was paused and reads the fleet's state again."
            error = ProtocolError(503, "recovering", text, retry_after_ms=RETRY_AFTER_MS)
        elif self.active_requests > self._limits.max_requests:
            text = f"The instance has reached its limit of {self._limits.max_requests} requests in progress."
            error = ProtocolError(503, "overloaded", text, retry_after_ms=RETRY_AFTER_MS)
        else:
            return True
        respond_error(exchange, error)
        return False

    def request_refused(self, exchange: Exchange, status: int, code: str, text: str) -> None:
        """Respond to a request that is malformed or exceeds a limit."""
        respond_error(exchange, ProtocolError(status, code, text))

    def exchange_ended(self, exchange: Exchange) -> None:
        """Remove an ended exchange from the number of active requests."""
        if exchange.is_counted:
            self.active_requests -= 1
