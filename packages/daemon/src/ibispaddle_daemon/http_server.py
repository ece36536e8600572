"""HTTP server for callers and operators: limits, and routing of exchanges to components."""

import ssl
from collections.abc import Callable
from socket import socket

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.forwarding.memory_budget import (
    SPARE_FRACTION,
    MemoryBudget,
    SlowPeer,
    senders_to_give_up,
)
from ibispaddle_core.settings import FleetConfig, LimitSettings

from .buffer_limit import BufferLimit
from .events import exchange_started
from .http_exchange import Exchange
from .http_listener import CallerConnection, Listener
from .http_protocol import HttpServerProtocol
from .logs import log_event
from .responses import respond_error, respond_not_found
from .slow_readers import SlowReaders
from .timers import TimerHandle, TimerQueue

SWEEP_INTERVAL_MS = 1_000
RETRY_AFTER_MS = 1_000

_CHANNELS_WITH_ADMISSION = ("request_reader", "services")


class HttpServer(BaseComponent):
    """Receive requests, limit their memory use and pass them to other components.

    `channel_of` returns the channel of the component that handles an exchange. `paused_calls` returns the
    number of upstream responses whose reading is paused, which take memory in the kernel. The limits of
    memory hold for this server and the one in `shares_memory_of` together.
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
        budget: MemoryBudget | None = None,
        paused_calls: Callable[[], int] = lambda: 0,
        shares_memory_of: "HttpServer | None" = None,
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
        self._budget = budget or MemoryBudget.from_memory()
        self._paused_calls = paused_calls
        self._bodies = BufferLimit(self._budget.request_bodies)
        self._heads = BufferLimit(self._budget.request_heads)
        self._listeners: list[Listener] = []
        if shares_memory_of is not None:
            other = shares_memory_of
            self._budget, self._paused_calls = other._budget, other._paused_calls
            self._bodies, self._heads = other._bodies, other._heads
            self._listeners = other._listeners
        self._slow_readers = SlowReaders(clock)
        self._body_progress_ms: dict[CallerConnection, int] = {}
        self.active_requests = 0
        self.listener = Listener(bind, self, self.channel, tls).register(self)
        self._listeners.append(self.listener)
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
        """Return the number of unsent bytes of all connections, with those of the sharing servers."""
        return sum(listener.unsent_bytes for listener in self._listeners)

    @property
    def request_body_bytes(self) -> int:
        """Return the size of the request bodies in memory."""
        return self._bodies.total_bytes

    @property
    def request_head_bytes(self) -> int:
        """Return the size of the incomplete heads and pipelined requests in memory."""
        return self._heads.total_bytes

    @property
    def given_up_callers(self) -> int:
        """Return the number of callers that were given up since the start."""
        return self._slow_readers.given_up

    # Limits

    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body."""
        return self._limits.max_body_bytes

    def reserve_body(self, conn: CallerConnection, size: int) -> bool:
        """Reserve memory for a request body; return False if there is none.

        Callers that have stopped sending their requests are given up for it.
        """
        self._body_progress_ms[conn] = self.clock.now_ms()
        excess = self._bodies.total_bytes + size - self._bodies.max_bytes
        if excess > 0 and not self._give_up_senders(excess):
            log_event(logevents.REQUEST_NOT_TAKEN, bytes=size, held=self._bodies.total_bytes)
            return False
        self._bodies.add(conn, size)
        return True

    def release_body(self, conn: CallerConnection) -> None:
        """Release the memory that was reserved by `reserve_body`."""
        self._bodies.release(conn)
        self._body_progress_ms.pop(conn, None)

    def reserve_head(self, conn: CallerConnection, size: int) -> bool:
        """Replace the memory for a connection's unprocessed bytes; return False if there is none."""
        if not size:
            self._heads.release(conn)
            return True
        if self._heads.update(conn, size):
            return True
        self._heads.release(conn)
        log_event(logevents.REQUEST_NOT_TAKEN, bytes=size, held=self._heads.total_bytes)
        return False

    def _give_up_senders(self, needed_bytes: int) -> bool:
        """Refuse callers that have stopped sending; return whether that made enough room."""
        now_ms = self.clock.now_ms()
        conns = list(self._body_progress_ms)
        senders = (
            SlowPeer(number, conn.http.incomplete_body_bytes, self._body_progress_ms[conn])
            for number, conn in enumerate(conns)
            if conn.http.incomplete_body_bytes
        )
        chosen = senders_to_give_up(senders, needed_bytes, now_ms)
        for conn in (conns[number] for number in chosen):
            idle_ms = now_ms - self._body_progress_ms[conn]
            held = conn.http.incomplete_body_bytes
            log_event(logevents.REQUEST_GIVEN_UP, held=held, idle_ms=idle_ms)
            self._slow_readers.given_up += 1
            conn.http.give_up_request()
        return bool(chosen)

    def response_room(self) -> int:
        """Return the number of bytes of unread responses for which there is room."""
        return self._budget.room(self.unsent_bytes, self._paused_calls())

    def after(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` after `delay_ms`."""
        return self._timers.after(delay_ms, callback)

    def _sweep(self) -> None:
        """Close the connections of callers that do not send a complete request or read a response."""
        self._timers.after(SWEEP_INTERVAL_MS, self._sweep)
        now_ms = self.clock.now_ms()
        self._slow_readers.observe(self._protocols)
        for conn, protocol in list(self._protocols.items()):
            if protocol.is_timed_out(now_ms):
                self.listener.drop(conn)
            elif protocol.exchange is not None and protocol.exchange.is_upstream_waiting:
                protocol.output_drained()  # Others may have made room.
        for conn in self._slow_readers.stopped(now_ms):
            self._give_up(conn, "not_reading")

    def _give_up(self, conn: CallerConnection, reason: str) -> None:
        exchange = conn.http.exchange
        if exchange is not None:
            exchange.close_reason = "caller_not_reading"
        log_event(
            logevents.CALLER_GIVEN_UP,
            reason=reason,
            path=exchange.path[:200] if exchange is not None else None,
            held=conn.unsent_bytes,
            idle_ms=self._slow_readers.idle_ms(conn),
            unread_bytes=self.unsent_bytes,
        )
        self._slow_readers.given_up += 1
        self.listener.reset(conn)

    # Callbacks of the listener

    def connection_made(self, conn: CallerConnection) -> None:
        """Create the HTTP protocol of a new connection."""
        conn.http = self._protocols[conn] = HttpServerProtocol(
            conn, self, self._limits.max_header_bytes
        )

    def bytes_received(self, conn: CallerConnection, data: bytes) -> None:
        """Pass received bytes to the connection's protocol."""
        conn.http.receive_data(data)

    def bytes_buffered(self, conn: CallerConnection) -> None:
        """Give up callers if the unread responses of all exceed the budget."""
        self._slow_readers.buffered(conn)
        room = self.response_room()
        if room >= 0:
            return
        self._slow_readers.observe(self._protocols)
        spare = int(SPARE_FRACTION * self._budget.unread_responses)
        for chosen in self._slow_readers.to_give_up(-room, spare):
            self._give_up(chosen, "memory")

    def bytes_written(self, conn: CallerConnection) -> None:
        """Notify the connection's protocol that unsent bytes were written."""
        conn.http.output_drained()

    def connection_lost(self, conn: CallerConnection) -> None:
        """Remove a closed connection and end its exchange."""
        self._protocols.pop(conn, None)
        self._slow_readers.forget(conn)
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
        retry_after_ms = RETRY_AFTER_MS if status == 503 else 0
        respond_error(exchange, ProtocolError(status, code, text, retry_after_ms=retry_after_ms))

    def exchange_ended(self, exchange: Exchange) -> None:
        """Remove an ended exchange from the number of active requests."""
        if exchange.is_counted:
            self.active_requests -= 1
