"""HTTP listener for callers and operators: bounds, and which component gets an exchange."""

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
# Time without progress after which a caller that does not read its response is disconnected.
WRITE_STALL_MS = 30_000
# Request bodies that are held in memory at the same time, all callers together.
MAX_HELD_BODY_BYTES = 268_435_456
RETRY_AFTER_MS = 1_000

_WORK_CHANNELS = ("request_reader", "services")


class HttpServer(BaseComponent):
    """Read requests, bound what they hold in memory, and hand them to other components.

    `channel_of` gives the channel of the component that answers an exchange.
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
        # Without a configuration in force, callers' keys cannot be judged.
        self.is_configured = False
        self._timers = timers
        self._limits = limits
        self._protocols: dict[CallerConnection, HttpServerProtocol] = {}
        self._written: dict[CallerConnection, tuple[int, int]] = {}
        self._held_bytes = 0
        self.active_requests = 0
        self.listener = Listener(bind, self, self.channel, tls).register(self)
        timers.after(SWEEP_INTERVAL_MS, self._sweep)

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self.replace_limits(config.limits)
        self.is_configured = True

    def replace_limits(self, limits: LimitSettings) -> None:
        """Use other limits for what callers may send from now on."""
        self._limits = limits

    @handler("drain_started", channel="*")
    def _on_drain_started(self) -> None:
        self.draining = True

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and refuse new ones from now on."""
        self.listener.stop_listening()

    def close_idle_connections(self) -> None:
        """Close the connections on which no request has begun; one that is on its way is not read."""
        for conn, protocol in list(self._protocols.items()):
            if protocol.is_idle and not conn.unsent_bytes:
                self.listener.drop(conn)

    @property
    def address(self) -> str:
        """Return the address that the listener is bound to."""
        return f"{self.listener.host}:{self.listener.port}"

    @property
    def unsent_connections(self) -> int:
        """Return the number of connections with bytes that the caller has not taken."""
        return sum(1 for conn in self._protocols if conn.unsent_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that callers have not taken yet."""
        return sum(conn.unsent_bytes for conn in self._protocols)

    # Bounds

    def max_body_bytes(self) -> int:
        """Return the bound of a request body."""
        return self._limits.max_body_bytes

    def reserve_body(self, size: int) -> bool:
        """Return whether so many more bytes of request bodies may be held."""
        if self._held_bytes + size > MAX_HELD_BODY_BYTES:
            return False
        self._held_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Give back bytes of `reserve_body`."""
        self._held_bytes -= size

    def after(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Call back later."""
        return self._timers.after(delay_ms, callback)

    def _sweep(self) -> None:
        """Close connections of callers that neither send nor read."""
        self._timers.after(SWEEP_INTERVAL_MS, self._sweep)
        now_ms = self.clock.now_ms()
        for conn, protocol in list(self._protocols.items()):
            if protocol.is_timed_out(now_ms):
                self.listener.drop(conn)
            elif conn.unsent_bytes:
                unsent, since_ms = self._written.get(conn, (-1, now_ms))
                if unsent != conn.unsent_bytes:
                    self._written[conn] = (conn.unsent_bytes, now_ms)
                elif now_ms - since_ms > WRITE_STALL_MS:
                    self.listener.drop(conn)
            else:
                self._written.pop(conn, None)

    # Reports of the listener

    def connection_made(self, conn: CallerConnection) -> None:
        """Begin to speak HTTP on a connection."""
        conn.http = self._protocols[conn] = HttpServerProtocol(
            conn, self, self._limits.max_header_bytes
        )

    def bytes_received(self, conn: CallerConnection, data: bytes) -> None:
        """Pass bytes to the connection's protocol."""
        conn.http.receive_data(data)

    def bytes_written(self, conn: CallerConnection) -> None:
        """Let the owner of the exchange go on."""
        conn.http.output_drained()

    def connection_lost(self, conn: CallerConnection) -> None:
        """Forget a connection and end its exchange."""
        self._protocols.pop(conn, None)
        self._written.pop(conn, None)
        conn.http.connection_lost()

    # Reports of the connections' protocol

    def request_received(self, exchange: Exchange) -> None:
        """Hand a complete request to the component of its path."""
        self.active_requests += 1
        exchange.is_counted = True
        recovering = self._is_recovering()  # Told to `status` before this exchange.
        channel = self._channel_of(exchange)
        if channel in _WORK_CHANNELS and not self._admit(exchange, recovering):
            return
        if channel is not None:
            self.fire(exchange_started(exchange), channel)
            return
        self._answer_other(exchange)

    def _answer_other(self, exchange: Exchange) -> None:
        """Answer a request for a path that no component serves."""
        respond_not_found(exchange)

    def _admit(self, exchange: Exchange, recovering: bool) -> bool:
        if exchange.accepted_while_draining and self.draining:
            error = ProtocolError(
                503, "draining", "The instance is being stopped.", retry_after_ms=RETRY_AFTER_MS
            )
        elif not self.is_configured:
            text = "The instance has no configuration yet."
            error = ProtocolError(503, "starting", text, retry_after_ms=RETRY_AFTER_MS)
        elif recovering:
            text = "The process was paused and reads the fleet's state again."
            error = ProtocolError(503, "recovering", text, retry_after_ms=RETRY_AFTER_MS)
        elif self.active_requests > self._limits.max_requests:
            text = f"The instance holds {self._limits.max_requests} requests."
            error = ProtocolError(503, "overloaded", text, retry_after_ms=RETRY_AFTER_MS)
        else:
            return True
        respond_error(exchange, error)
        return False

    def request_refused(self, exchange: Exchange, status: int, code: str, text: str) -> None:
        """Answer a request that cannot be read."""
        respond_error(exchange, ProtocolError(status, code, text))

    def exchange_ended(self, exchange: Exchange) -> None:
        """Count a finished exchange."""
        if exchange.is_counted:
            self.active_requests -= 1
