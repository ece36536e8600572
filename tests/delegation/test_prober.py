"""Tests of the probes with real sockets: how soon a cut and its end are found."""

import contextlib
import random
import socket
import struct
import threading
import time
import unittest
from types import SimpleNamespace

from circuits import BaseComponent, handler
from circuits.core.events import started
from ibispaddle_core.clock import ManualClock, SystemClock
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_daemon.delegation.isolation import Isolation
from ibispaddle_daemon.delegation.prober import Prober
from ibispaddle_daemon.events import HttpCall, list_changed
from ibispaddle_daemon.http_client import HttpClient
from ibispaddle_daemon.timers import TimerQueue

from tests.support.event_loop import RootComponent
from tests.support.waiting import wait_until

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CODEC = SimpleNamespace(liveness_path="/report")
LONGEST_S = 1.5  # Without traffic: the interval of the probes, a late one, and the round's timeout.
# On a busy machine, the event loop and the servers run late.
MARGIN_S = 0.5
CUTS = ("hang", "reset", "refuse")


class Upstream:
    """Answers each connection, or fails in the way of a cut."""

    def __init__(self) -> None:
        self.mode = "sound"
        self.served = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._conns: list[socket.socket] = []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self._serve(conn)

    def _serve(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError):
            if self.mode == "hang":
                self._conns.append(conn)
                return
            if self.mode == "endless":
                conn.recv(4_096)
                conn.sendall(RESPONSE.replace(b": 2", b": 9"))
                self._conns.append(conn)
                return
            if self.mode == "reset":
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            else:
                conn.recv(4_096)
                conn.sendall(RESPONSE)
                self.served += 1
            conn.close()

    def refuse(self) -> None:
        """Refuse connections until `listen`."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def listen(self) -> None:
        """Accept connections again."""
        self.mode = "sound"
        host, port = self.address.split(":")
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._run, daemon=True).start()

    def cut(self, mode: str) -> None:
        """Begin a cut."""
        self.mode = mode
        if mode == "refuse":
            self.refuse()

    def restore(self) -> None:
        """End a cut."""
        if self.mode == "refuse":
            self.listen()
        self.mode = "sound"


class Calls(BaseComponent):
    """Records the calls of the prober."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[HttpCall] = []

    @handler("http_call", channel="*")
    def _on_http_call(self, call: HttpCall) -> None:
        self.calls.append(call)


class ProberTest(unittest.TestCase):
    """Without traffic, an instance finds a cut of each kind within about 1.5 s, and its end."""

    def setUp(self) -> None:
        clock = SystemClock()
        timers = TimerQueue(clock)
        self.isolation = Isolation(clock, random.Random(1))
        self.changes: list[tuple[bool, float]] = []
        self.isolation.subscribe(lambda state: self.changes.append((state, time.monotonic())))
        self.upstreams = [Upstream() for _ in range(8)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.refuse)
        self.root = RootComponent(
            timers, HttpClient(clock), Prober(self.isolation, CODEC, clock, timers)
        )
        entries = tuple(
            ListEntry(
                f"u{number}",
                MemberKind.RUNNER,
                upstream.address,
                f"dc{number % 2}",
                ListedState.LIVE,
                models=(f"s{number % 3}",),
            )
            for number, upstream in enumerate(self.upstreams)
        )
        self.enterContext(self.root)
        self.root.fire(list_changed(entries), "*")
        wait_until(lambda: any(upstream.served for upstream in self.upstreams), "first probe")

    def test_cuts(self) -> None:
        for mode in CUTS:
            with self.subTest(mode=mode):
                self.changes.clear()
                time.sleep(0.6)
                cut_s = time.monotonic()
                for upstream in self.upstreams:
                    upstream.cut(mode)
                wait_until(lambda: len(self.changes) == 1, f"isolation ({mode})")
                time.sleep(0.8)
                restored_s = time.monotonic()
                for upstream in self.upstreams:
                    upstream.restore()
                wait_until(lambda: len(self.changes) == 2, f"contact ({mode})")
                self.assertEqual([True, False], [state for state, _ in self.changes])
                (_, begun_s), (_, ended_s) = self.changes
                self.assertLess(begun_s - cut_s, LONGEST_S + MARGIN_S)
                self.assertLess(ended_s - restored_s, 0.4 + MARGIN_S)

    def test_responses_without_an_end(self) -> None:
        """Guards against an isolation, and probes all the time, because of responses that never end."""
        for upstream in self.upstreams:
            upstream.mode = "endless"
        time.sleep(2.5)
        self.assertEqual([], self.changes)

    def test_silent_and_dead_upstreams(self) -> None:
        for upstream in self.upstreams[:4]:
            upstream.cut("hang")
        self.upstreams[4].cut("refuse")
        time.sleep(2.5)
        self.assertEqual([], self.changes)
        self.upstreams[4].listen()


class PausedProcessTest(unittest.TestCase):
    def test_responses_that_wait_to_be_read(self) -> None:
        """Guards against an isolation because the instance itself was paused."""
        clock = ManualClock(monotonic_ms=10_000)
        timers = TimerQueue(clock)
        isolation = Isolation(clock, random.Random(1))
        root = Calls()
        prober = Prober(isolation, CODEC, clock, timers)
        for component in (timers, prober):
            component.register(root)
        names = [f"u{number}" for number in range(6)]
        entries = [
            ListEntry(name, MemberKind.RUNNER, f"{name}:1", "dc1", ListedState.LIVE, models=("s",))
            for name in names
        ]

        def turn() -> None:
            timers._on_generate_events(SimpleNamespace(reduce_time_left=lambda left_s: None))
            while len(root):
                root.flush()

        root.fire(list_changed(entries), "*")
        root.fire(started(root), "*")
        turn()
        clock.advance(100)
        isolation.record_unreachable("u0", "reset")
        turn()
        self.assertGreater(len(root.calls), 2)
        clock.advance(4_000)
        turn()
        self.assertFalse(isolation.is_isolated)
        clock.advance(500)  # Nothing is read in this turn either.
        turn()
        self.assertFalse(isolation.is_isolated)
        for call in list(root.calls):
            call.sink.call_head(call.call_id, 200, ())
        turn()
        clock.advance(1_000)
        turn()
        self.assertFalse(isolation.is_isolated)


if __name__ == "__main__":
    unittest.main()
