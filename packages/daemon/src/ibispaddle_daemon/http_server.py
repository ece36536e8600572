"""HTTP listener for callers and operators, built on circuits.web."""

import ssl
from collections.abc import Callable
from io import BytesIO
from socket import socket
from typing import Any

from circuits import Event, handler
from circuits.web.events import request as web_request
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request as WebRequest
from circuits.web.wrappers import Response as WebResponse
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.settings import FleetConfig, LimitSettings

from .events import exchange_started
from .http_exchange import Exchange
from .http_listener import CallerConnection, Listener
from .http_protocol import CallerHttp
from .responses import not_found, respond_error
from .timers import TimerHandle, TimerQueue

SWEEP_INTERVAL_MS = 1_000
# Time without progress after which a caller that does not read its response is disconnected.
WRITE_STALL_MS = 30_000
# Request bodies that are held in memory at the same time, all callers together.
MAX_HELD_BODY_BYTES = 268_435_456
RETRY_AFTER_MS = 1_000

# Paths whose requests go to a component by an event; all others go through circuits.web.
_CHANNELS = {
    "v1": "request_reader",
    "services": "services",
    "healthz": "status",
    "readyz": "status",
    "metrics": "status",
    "operator": "operators",
}
_WORK_CHANNELS = ("request_reader", "services")


def channel_of_path(exchange: Exchange) -> str | None:
    """Return the channel of the component that answers the exchange's path, if there is one."""
    return _CHANNELS.get(exchange.path.split("/", 2)[1] if "/" in exchange.path else "")


class HttpServer(BaseServer):
    """Read requests, bound what they hold in memory, and hand them to other components.

    Requests for other paths are fired as circuits.web `request` events on channel `web`, with the
    exchange in the attribute `exchange` of the request, so that any circuits.web handler can answer.
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
        channel_of: Callable[[Exchange], str | None] = channel_of_path,
    ) -> None:
        super(BaseServer, self).__init__(channel=channel)
        self._channel_of = channel_of
        self._display_banner = False
        self.clock = clock
        self.draining = False
        self._is_recovering = is_recovering
        # Without a configuration in force, callers' keys cannot be judged.
        self.configured = False
        self._timers = timers
        self._limits = limits
        self._protocols: dict[CallerConnection, CallerHttp] = {}
        self._written: dict[CallerConnection, tuple[int, int]] = {}
        self._held_bytes = 0
        self.active = 0
        self.http = WebProtocol(self).register(self)
        self.listener = Listener(bind, self, self.channel, tls).register(self)
        self.server = self.listener
        timers.after(SWEEP_INTERVAL_MS, self._sweep)

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self.replace_limits(config.limits)
        self.configured = True

    def replace_limits(self, limits: LimitSettings) -> None:
        """Use other limits for what callers may send from now on."""
        self._limits = limits

    @handler("drain_started", channel="*")
    def _on_drain_started(self) -> None:
        self.draining = True

    @handler("signal", override=True)
    def _on_signal(self, *args: Any) -> None:
        """Leave signals to the application, which drains."""

    @handler("ready", override=True)
    def _on_ready(self, *args: Any) -> None:
        """Print no banner."""

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
            if protocol.is_overdue(now_ms):
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
        conn.http = self._protocols[conn] = CallerHttp(conn, self, self._limits.max_header_bytes)

    def bytes_received(self, conn: CallerConnection, data: bytes) -> None:
        """Pass bytes to the connection's protocol."""
        conn.http.receive(data)

    def bytes_written(self, conn: CallerConnection) -> None:
        """Let the owner of the exchange go on."""
        conn.http.drained()

    def connection_lost(self, conn: CallerConnection) -> None:
        """Forget a connection and end its exchange."""
        self._protocols.pop(conn, None)
        self._written.pop(conn, None)
        conn.http.lost()

    # Reports of the connections' protocol

    def request_received(self, exchange: Exchange) -> None:
        """Hand a complete request to the component of its path."""
        self.active += 1
        exchange.is_counted = True
        recovering = self._is_recovering()  # Told to `status` before this exchange.
        channel = self._channel_of(exchange)
        if channel in _WORK_CHANNELS and not self._admit(exchange, recovering):
            return
        if channel is not None:
            self.fire(exchange_started(exchange), channel)
            return
        try:
            event = self.http.to_web(exchange)
        except Exception as exc:  # circuits.web raises various errors on malformed headers.
            text = f"The request is not valid: {type(exc).__name__}."
            respond_error(exchange, ProtocolError(400, "invalid_http", text))
            return
        self.fire(event, self.channel)

    def _admit(self, exchange: Exchange, recovering: bool) -> bool:
        if exchange.on_new_connection and self.draining:
            error = ProtocolError(
                503, "draining", "The instance is being stopped.", retry_after_ms=RETRY_AFTER_MS
            )
        elif not self.configured:
            text = "The instance has no configuration yet."
            error = ProtocolError(503, "starting", text, retry_after_ms=RETRY_AFTER_MS)
        elif recovering:
            text = "The process was paused and reads the fleet's state again."
            error = ProtocolError(503, "recovering", text, retry_after_ms=RETRY_AFTER_MS)
        elif self.active > self._limits.max_requests:
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
            self.active -= 1


class WebProtocol(HTTP):
    """Connect circuits.web's `request` and `response` events with exchanges."""

    def __init__(self, server: HttpServer) -> None:
        super().__init__(server, channel=server.channel)

    def to_web(self, exchange: Exchange) -> Event:
        """Return the `request` event for an exchange."""
        req = WebRequest(
            exchange.sock,
            exchange.method,
            "https" if self._server.secure else "http",
            exchange.path,
            (1, 1),
            exchange.query,
            server=self._server,
        )
        for name, value in exchange.headers:
            req.headers.add_header(name, value)
        req.body = BytesIO(exchange.body)
        req.exchange = exchange
        return web_request(req, WebResponse(req, encoding="utf-8"))

    @handler("read", override=True)
    def _on_read(self, *args: Any) -> None:
        """Leave parsing to h11."""

    @handler("disconnect", override=True)
    def _on_disconnect(self, *args: Any) -> None:
        """Leave connections to the listener."""

    @handler("ready", priority=1.0, override=True)
    def _on_ready(self, *args: Any) -> None:
        """Keep no base URL."""

    @handler("response", override=True)
    def _on_response(self, res: Any) -> None:
        res.prepare()
        headers = tuple(
            (name, value)
            for name, value in res.headers.items()
            if name.lower() not in ("content-length", "transfer-encoding", "connection")
        )
        exchange = res.request.exchange
        if res.stream:
            exchange.start(int(res.status.status), headers)
            return
        parts = (part.encode() if isinstance(part, str) else part for part in res.body if part)
        exchange.respond(int(res.status.status), headers, b"".join(parts))

    @handler("stream", override=True)
    def _on_stream(self, res: Any, data: bytes | str | None) -> None:
        if data is None:
            res.request.exchange.end()
        else:
            res.request.exchange.write(data.encode() if isinstance(data, str) else data)

    @handler("httperror", override=True)
    def _on_httperror(self, event: Any, req: Any, res: Any, code: int, **kwargs: Any) -> None:
        exchange = req.exchange
        if event.code == 404:
            not_found(exchange)
            return
        text = str(event.description) or f"The request failed with status {event.code}."
        respond_error(exchange, ProtocolError(event.code, "request_failed", text))

    @handler("exception", channel="*", override=True)
    def _on_exception(self, *args: Any, **kwargs: Any) -> None:
        """Leave logging to the application; `request_failure` answers the caller."""
