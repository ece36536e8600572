"""Tests of connections in the listen backlog when a stopping process closes its listener."""

import socket
import unittest

from circuits import BaseComponent, handler
from ibispaddle_core.clock import SystemClock
from ibispaddle_core.settings import FleetConfig
from ibispaddle_daemon.http_server import HttpServer
from ibispaddle_daemon.timers import TimerQueue

from tests.support.event_loop import RootComponent
from tests.support.waiting import wait_until

CALLERS = 100  # More than are accepted in one turn of the event loop.
REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class Responder(BaseComponent):
    """Responds to each request."""

    channel = "answers"

    @handler("exchange_started")
    def _on_exchange_started(self, exchange) -> None:
        exchange.respond(200, (), b"whole")


def listen(channel: str) -> tuple[TimerQueue, HttpServer, tuple[str, int]]:
    """Return a server whose requests go to a channel, with its timers and its address."""
    clock = SystemClock()
    timers = TimerQueue(clock)
    server = HttpServer(
        "127.0.0.1:0", clock, timers, FleetConfig().limits, channel_of=lambda exchange: channel
    )
    return timers, server, (server.listener.host, server.listener.port)


class LastConnectionsTest(unittest.TestCase):
    def test_connections_in_the_backlog_are_served(self):
        """Guards against a connection reset for callers that were not accepted yet."""
        timers, server, address = listen("answers")
        callers: list[socket.socket] = []

        def call_and_stop() -> None:
            # The event loop is blocked here, so the connections wait in the system's backlog.
            for _ in range(CALLERS):
                sock = self.enterContext(socket.create_connection(address, timeout=5))
                sock.sendall(REQUEST)
                callers.append(sock)
            server.stop_accepting()

        with RootComponent(timers, server, Responder()):
            timers.after(0, call_and_stop)
            wait_until(lambda: len(callers) == CALLERS, "connections")
            for sock in callers:
                answer = b""
                while piece := sock.recv(4_096):
                    answer += piece
                self.assertTrue(answer.endswith(b"whole"), answer)
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(address, timeout=5)

    def test_only_idle_connections_are_closed(self):
        """Guards against a request that is read from a connection that is about to be closed."""
        timers, server, address = listen("no_component")
        with RootComponent(timers, server):
            idle = self.enterContext(socket.create_connection(address, timeout=5))
            begun = self.enterContext(socket.create_connection(address, timeout=5))
            begun.sendall(REQUEST)
            wait_until(
                lambda: server.active_requests == 1 and server.listener.open_connections == 2,
                "call",
            )
            timers.after(0, server.close_idle_connections)
            self.assertEqual(idle.recv(10), b"")
            self.assertEqual(server.listener.open_connections, 1)


if __name__ == "__main__":
    unittest.main()
