"""Tests with consumers and runners that read slowly, at an instance that may use 200 MB."""

import re
import socket
import threading
import time
import unittest

from tests.support.http import metric_at
from tests.support.memory import resident_kb
from tests.support.waiting import wait_until

from .processes import KEY, Platform, configuration, route
from .raw_server import RawServer

MEMORY_MB = 200
EVENT_BYTES = 4_096
SEND_BUFFER_BYTES = 65_536  # Of the runners, whose links have small windows.
# Time after which a consumer that reads nothing is given up, and what the checks add to it.
GIVEN_UP_S, SLACK_S = 5.0, 2.5
# Time that calls may take beside slow consumers: the users' timeout of such a call.
CALL_S = 0.6

# Instances check at any time whether they reach a runner; that is no run.
STATUS_REQUEST = b"GET /ibispaddle/report "
STATUS_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class LongStreams(RawServer):
    """A runner with long streams, which cuts off those that remain unread for a time."""

    def __init__(self, events: int, cut_s: float = 60.0) -> None:
        self._events, self._cut_s = events, cut_s
        self.open = self.cuts = self.runs = 0
        self._lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        with sock:
            sock.settimeout(self._cut_s)
            head = sock.recv(65_536)
            if head.startswith(STATUS_REQUEST):
                sock.sendall(STATUS_RESPONSE)
            else:
                self._stream(sock, head)

    def _stream(self, sock: socket.socket, head: bytes) -> None:
        with self._lock:
            self.open += 1
            self.runs += 1
        try:
            with sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
                attempt = re.search(rb"(?i)attempt-id: *(\S+)", head)
                last = re.search(rb"(?i)last-event-id: *(\d+)", head)
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nAttempt-Id: "
                    + (attempt[1] if attempt else b"")
                    + b"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                for number in range(int(last[1]) + 1 if last else 1, self._events + 1):
                    event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
                    sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                sock.sendall(b"0\r\n\r\n")
        except TimeoutError:
            with self._lock:
                self.cuts += 1
        except OSError:
            pass  # The instance has closed the connection.
        finally:
            with self._lock:
                self.open -= 1


class SlowReadersTest(unittest.TestCase):
    def start(self, events: int, runners: int = 1, cut_s: float = 60.0) -> None:
        self.platform = self.enterContext(Platform(runners=0, services=1, memory_mb=MEMORY_MB))
        self.instance = self.platform.instance
        engine = {"slots": 500, "kv_capacity": 10**8, "step_ms": 1.0, "read_per_s": 2e5}
        self.platform.configure(
            configuration(
                2,
                services=[{"name": "llm", "engine": engine}, {"name": "shop"}],
                routes=[
                    route(
                        "stream",
                        "streaming",
                        "llm",
                        resumable=True,
                        timeout_ms=30_000,
                        slo_ms=2_000,
                    ),
                    route("read", "idempotent", "shop"),
                ],
            )
        )
        self.streams = [LongStreams(events, cut_s) for _ in range(runners)]
        for number, runner in enumerate(self.streams):
            self.addCleanup(runner.close)
            runner.name = f"long-{number}"
            self.platform.register(runner, "llm")
        wait_until(lambda: len(self.instance.events("upstream_added")) > runners, "runners")
        wait_until(lambda: self.instance.events("config_in_force")[1:], "version")

    def metric(self, name: str) -> float:
        return metric_at(self.instance.ready_port, name)

    def connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.settimeout(20)
        sock.connect(("127.0.0.1", self.instance.port))
        self.addCleanup(sock.close)
        return sock

    def open_stream(self, name: str) -> socket.socket:
        sock = self.connect()
        head = f"POST /stream/x HTTP/1.1\r\nHost: a.example\r\nKey: {KEY}\r\nAttempt-Id: {name}\r\n"
        head += "Token-Count: 1000,200\r\nDeadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(head.encode())
        return sock

    def call_times(self, duration_s: float) -> list[float]:
        """Return the durations of calls that are sent one after the other."""
        times = []
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s:
            started_s = time.monotonic()
            name = f"c{len(times)}"
            self.assertEqual(self.instance.call("GET", "/read/x", Attempt_Id=name).status, 200)
            times.append(time.monotonic() - started_s)
            time.sleep(0.05)
        return times

    def test_consumer_that_stops_reading_among_others(self) -> None:
        """Guards against a slot that is held until the deadline, and against others who notice it."""
        self.start(events=2_000)
        sock = self.open_stream("stopped")
        started_s = time.monotonic()
        wait_until(lambda: self.streams[0].open == 1, "stream")
        times = self.call_times(GIVEN_UP_S - 1)
        self.assertEqual(self.streams[0].open, 1)
        wait_until(lambda: self.streams[0].open == 0, "free slot", 10)
        self.assertLess(time.monotonic() - started_s, GIVEN_UP_S + SLACK_S)
        self.assertLess(max(times), CALL_S)

        def ends() -> dict[str, str]:
            lines = self.instance.events("forwarding_ended")
            return {line["request"]: line["code"] for line in lines}

        # The runner can notice the end before the test has read the instance's log.
        wait_until(lambda: "stopped" in ends(), "end")
        (event,) = self.instance.events("caller_given_up")  # Logged before the end.
        self.assertEqual(event["reason"], "not_reading")
        self.assertEqual(ends()["stopped"], "caller_not_reading")
        with self.assertRaises(ConnectionError):  # Not an end that looks complete.
            while sock.recv(65_536):
                pass
        self.assertEqual(self.metric("ibispaddle_callers_given_up_total"), 1)

    def test_slow_but_sound_consumer_gets_everything(self) -> None:
        """Guards against a consumer that is cut because it reads slowly (report of operators)."""
        self.start(events=3_000)
        sock = self.open_stream("slow")
        data = bytearray()
        ends_s = time.monotonic() + GIVEN_UP_S + SLACK_S
        while time.monotonic() < ends_s:  # About 80 kB/s.
            data += sock.recv(4_096)
            time.sleep(0.05)
        self.assertEqual(self.streams[0].open, 1)
        while not data.endswith(b"0\r\n\r\n"):
            part = sock.recv(65_536)
            self.assertTrue(part)
            data += part
        self.assertEqual(re.findall(rb"id: (\d+)\n", data), [b"%d" % n for n in range(1, 3_001)])
        self.assertEqual(self.instance.events("caller_given_up"), [])

    def test_stream_that_its_runner_cut_off_in_a_pause(self) -> None:
        """Guards against lost events, and against a runner that is avoided because of a consumer."""
        self.start(events=1_500, runners=2, cut_s=1.0)
        sock = self.open_stream("late")
        wait_until(lambda: sum(runner.cuts for runner in self.streams) == 1, "cut", 8)
        data = bytearray()
        while not data.endswith(b"0\r\n\r\n"):
            part = sock.recv(65_536)
            self.assertTrue(part)
            data += part
        self.assertEqual(re.findall(rb"id: (\d+)\n", data), [b"%d" % n for n in range(1, 1_501)])
        self.assertEqual(sum(runner.runs for runner in self.streams), 2)
        self.assertTrue(self.instance.events("response_cut_while_paused"))
        self.assertEqual(self.instance.events("upstream_crashed"), [])

    def test_two_hundred_slow_consumers(self) -> None:
        """Guards against an instance that runs out of memory because of many slow consumers."""
        self.start(events=1_000, runners=4)
        for number in range(200):
            self.open_stream(f"s{number}")
            time.sleep(0.01)  # The runners of this test accept connections slowly.
        peak_kb = peak_paused = 0.0
        ends_s = time.monotonic() + 3.0
        while time.monotonic() < ends_s:
            self.assertEqual(self.instance.call("GET", "/read/x").status, 200)
            peak_kb = max(peak_kb, resident_kb(self.instance.proc.pid))
            peak_paused = max(peak_paused, self.metric("ibispaddle_paused_calls"))
            time.sleep(0.1)
        self.assertLess(peak_kb, 1_000 * MEMORY_MB)
        self.assertGreater(peak_paused, 150)
        wait_until(lambda: not any(runner.open for runner in self.streams), "free slots", 15)
        wait_until(lambda: self.metric("ibispaddle_held_bytes") < 100_000, "free memory")
        reasons = {event["reason"] for event in self.instance.events("caller_given_up")}
        self.assertEqual(reasons, {"not_reading"})

    def test_many_slow_request_bodies(self) -> None:
        """Guards against bodies that are never complete and take all the memory."""
        self.start(events=1)
        size = 2_000_000
        head = f"POST /read/x HTTP/1.1\r\nHost: a.example\r\nKey: {KEY}\r\n"
        head += f"Content-Length: {size}\r\n\r\n"
        senders = [self.connect() for _ in range(60)]
        for sock in senders:
            sock.sendall(head.encode() + b"x" * (size // 2))
        time.sleep(1.5)  # All have stopped sending.
        peak_kb = resident_kb(self.instance.proc.pid)
        for number in range(20):
            status = self.instance.call(
                "POST", "/read/x", b"y" * size, Attempt_Id=f"b{number}"
            ).status
            self.assertEqual(status, 200)
            peak_kb = max(peak_kb, resident_kb(self.instance.proc.pid))
        self.assertLess(peak_kb, 1_000 * MEMORY_MB)
        refused = 0
        for sock in senders:
            sock.setblocking(False)
            try:
                answer = sock.recv(65_536)
            except OSError:
                continue
            self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
            self.assertIn(b"retry-after: ", answer.lower())
            refused += 1
        self.assertGreater(refused, 30)


if __name__ == "__main__":
    unittest.main()
