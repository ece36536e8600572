"""Every admitted request ends by its deadline, whichever component stops responding."""

import json
import signal
import socket
import time
from dataclasses import replace

from ibispaddle_bench.fleet import MODEL

from tests.support.http import metric
from tests.support.waiting import wait_until

from .support import API_KEY, PROMPT, SCHEDULING_MARGIN_S, FleetTest, ServiceCall, long_prompt

TIMEOUT_MS = 1_200
# The high decode rate lets the admission accept requests that can't end before their deadline.
FAST_DECODE_CONFIGURATION = {"models": {MODEL: {"decode_tokens_per_s": 1_000_000.0}}}
LONG_TOKENS = 100_000


class UnresponsiveEngineTest(FleetTest):
    """The engine keeps its connections open and doesn't send anything."""

    SPEC = replace(FleetTest.SPEC, configuration=FAST_DECODE_CONFIGURATION, time_scale=5.0)

    def check_no_response_before_the_first_token(self) -> None:
        calls = [self.call(timeout_ms=TIMEOUT_MS, stream=stream) for stream in (True, False)]
        for call in calls:
            self.assert_ended_in_time(call)
            self.assertEqual((call.status, call.run_state), (504, "unknown"), call.describe())
        self.assertEqual(self.in_flight(), 0)

    def check_no_response_after_the_first_token(self, stop_engine) -> None:
        call = self.call(tokens=LONG_TOKENS, timeout_ms=TIMEOUT_MS).wait_for_tokens(3)
        stop_engine()
        self.assert_ended_in_time(call)
        self.assert_answer_valid(call)
        self.assertEqual((call.error.get("code"), call.is_end_received), ("deadline", False))
        self.assertEqual(self.in_flight(), 0)

    def test_frozen_before_the_first_token(self):
        """Guard against a request that waits for an engine that accepted it and never responds."""
        self.runner.set_faults(freeze=True)
        self.check_no_response_before_the_first_token()

    def test_frozen_after_the_first_token(self):
        """Guard against a stream that waits for an engine that froze in its middle."""
        self.check_no_response_after_the_first_token(lambda: self.runner.set_faults(freeze=True))

    def test_stopped_before_the_first_token(self):
        """Guard against a request that waits for an engine whose process is stopped."""
        self.runner.signal(signal.SIGSTOP)
        self.addCleanup(self.runner.signal, signal.SIGCONT)
        self.check_no_response_before_the_first_token()

    def test_stopped_after_the_first_token(self):
        """Guard against a stream that waits for an engine whose process is stopped."""
        self.addCleanup(self.runner.signal, signal.SIGCONT)
        self.check_no_response_after_the_first_token(lambda: self.runner.signal(signal.SIGSTOP))


class KilledEngineTest(FleetTest):
    """The engine's process is killed, without a regular end of its responses."""

    SPEC = replace(FleetTest.SPEC, configuration=FAST_DECODE_CONFIGURATION)
    FLEET_PER_TEST = True

    def test_killed_before_the_first_token(self):
        """Guard against a request that waits for a killed engine."""
        self.runner.set_faults(freeze="tokens")
        call = self.call(timeout_ms=2_000)
        wait_until(lambda: self.runner.state()["running"] + self.runner.state()["waiting"], "run")
        self.runner.kill()
        self.assert_ended_in_time(call)
        self.assertEqual(call.run_state, "unknown", call.describe())
        self.assertEqual(self.in_flight(), 0)

    def test_killed_after_the_first_token(self):
        """Guard against a stream that waits for a killed engine."""
        call = self.call(tokens=LONG_TOKENS, timeout_ms=2_000).wait_for_tokens(3)
        self.runner.kill()
        self.assert_ended_in_time(call)
        self.assert_answer_valid(call)
        self.assertFalse(call.is_end_received)
        self.assertEqual(self.in_flight(), 0)


class SlowCallerTest(FleetTest):
    """The caller doesn't read, or reads slower than the engine generates."""

    SPEC = replace(FleetTest.SPEC, configuration=FAST_DECODE_CONFIGURATION, time_scale=500.0)
    TOKENS = 300_000  # About 60 MB of events, which is far more than all socket buffers hold.

    def send(self, timeout_ms: int) -> socket.socket:
        """Send a request on a connection with a small receive buffer."""
        sock = self.enterContext(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(("127.0.0.1", self.entry.port))
        body = json.dumps(
            {
                "model": MODEL,
                "messages": [{"role": "user", "content": PROMPT}],
                "max_tokens": self.TOKENS,
                "stream": True,
            }
        )
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n"
            f"X-Request-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall((head + body).encode())
        wait_until(lambda: self.in_flight() == 1, "admitted request", 0.5)
        return sock

    def check_request_ended(self) -> None:
        self.assertEqual(self.in_flight(), 0)
        wait_until(lambda: self.runner.state()["running"] == 0, "idle engine", 1.0)

    def test_caller_that_reads_nothing(self):
        """Guard against a caller that occupies an engine and the instance by not reading."""
        before = self.runner.state()["tokens_generated"]
        started = time.monotonic()
        self.send(2_000)
        wait_until(lambda: self.in_flight() == 0, "end of the request")
        self.assertLessEqual(time.monotonic() - started, 2.0 + SCHEDULING_MARGIN_S)
        self.assertGreater(time.monotonic() - started, 1.5, "the answer ended by itself")
        self.assertGreater(self.runner.state()["tokens_generated"], before + 100)
        self.check_request_ended()

    def test_caller_that_reads_a_little(self):
        """Guard against a slowly but steadily read stream that outlives its deadline."""
        started = time.monotonic()
        sock = self.send(1_500)
        received = 0
        while self.in_flight():
            received += len(sock.recv(1_000))
            time.sleep(0.02)
            self.assertLessEqual(time.monotonic() - started, 1.5 + SCHEDULING_MARGIN_S)
        self.assertGreater(time.monotonic() - started, 1.2, "the answer ended by itself")
        self.assertGreater(received, 10_000)
        self.check_request_ended()


class StoppedInstanceTest(FleetTest):
    """The instance's process is stopped and continues after the deadline."""

    SPEC = replace(FleetTest.SPEC, configuration=FAST_DECODE_CONFIGURATION)

    def test_stopped_during_a_stream(self):
        """Guard against timers that don't fire after the process was stopped."""
        calls = [
            self.call(tokens=LONG_TOKENS, timeout_ms=1_000, prompt="a").wait_for_tokens(),
            self.call(tokens=LONG_TOKENS, timeout_ms=1_000, prompt="b", stream=False),
        ]
        wait_until(lambda: self.in_flight() == 2, "requests")
        self.entry.signal(signal.SIGSTOP)
        time.sleep(1.5)
        self.entry.signal(signal.SIGCONT)
        continued = time.monotonic()
        for call in calls:
            call.wait()
            self.assertLessEqual(time.monotonic() - continued, SCHEDULING_MARGIN_S)
            self.assert_answer_valid(call)
            self.assertEqual((call.error.get("code"), call.is_end_received), ("deadline", False))
        wait_until(lambda: self.runner.state()["running"] == 0, "idle engine", 1.0)


class QueuedRequestTest(FleetTest):
    SPEC = replace(
        FleetTest.SPEC, runners=2, kv_tokens=2_000, configuration=FAST_DECODE_CONFIGURATION
    )

    def test_queued_request_is_not_sent_after_its_deadline(self):
        """Guard against an instance that, once continued, sends a request past its deadline."""
        for runner in self.fleet.runners:
            runner.set_faults(reject_reservations=True)
        accepted = [runner.state()["accepted"] for runner in self.fleet.runners]
        call = self.call(prompt=long_prompt("veil", 2_500), timeout_ms=1_000)
        wait_until(lambda: self.in_flight() == 1, "admitted request")
        self.entry.signal(signal.SIGSTOP)
        time.sleep(1.2)
        for runner in self.fleet.runners:
            runner.set_faults(reject_reservations=None)
        self.entry.signal(signal.SIGCONT)
        call.wait()
        self.assertLessEqual(call.seconds, 1.2 + SCHEDULING_MARGIN_S)
        self.assertEqual((call.status, call.run_state), (504, "not_run"), call.describe())
        time.sleep(0.3)  # Time for any sent request to arrive.
        self.assertEqual([r.state()["accepted"] for r in self.fleet.runners], accepted)
        for runner in self.fleet.runners:
            wait_until(lambda r=runner: not self.engine_handles(r), "freed handles", 3.0)


class PlatformOutageTest(FleetTest):
    """The log and the instance list are down or slow."""

    SPEC = replace(FleetTest.SPEC, configuration=FAST_DECODE_CONFIGURATION, services=1)
    FLEET_PER_TEST = True

    def test_requests_end_without_log_and_list(self):
        """Guard against requests that wait for the platform."""
        self.fleet.log.kill()
        self.fleet.instance_list.kill()
        for number in range(5):
            call = self.call(prompt=f"{number}", timeout_ms=TIMEOUT_MS)
            self.assert_ended_in_time(call)
            self.assertTrue(call.is_complete, call.describe())
        read = ServiceCall(self.entry, "orders/1", timeout_ms=TIMEOUT_MS)
        self.assert_ended_in_time(read)
        self.assertEqual(read.status, 200)
        key = f"{int(time.time() * 1000)}-deposit"
        deposit = ServiceCall(self.entry, "deposits", "POST", b"{}", timeout_ms=TIMEOUT_MS, key=key)
        self.assert_ended_in_time(deposit)
        self.assertEqual((deposit.status >= 500, deposit.run_state), (True, "not_run"))
        self.assertEqual(self.fleet.services[0].state()["total_runs"], 1)
        self.runner.set_faults(freeze=True)
        call = self.call(timeout_ms=TIMEOUT_MS)
        self.assert_ended_in_time(call)
        self.assertEqual(call.run_state, "unknown", call.describe())

    def test_slow_platform(self):
        """Guard against requests that are delayed by slow responses of the platform."""
        self.fleet.log.set_faults(slow_ms=5_000)
        self.fleet.instance_list.set_faults(delay_ms=5_000)
        # Longer than the timeout of a read of the list.
        ends = time.monotonic() + 2.8
        while time.monotonic() < ends:
            call = self.call(timeout_ms=TIMEOUT_MS)
            self.assert_ended_in_time(call)
            self.assertTrue(call.is_complete, call.describe())
            time.sleep(0.2)


class UnresponsiveServiceTest(FleetTest):
    SPEC = replace(FleetTest.SPEC, runners=0, services=1)

    def test_frozen_service(self):
        """Guard against a call that waits for a service that accepted it and never responds."""
        self.fleet.services[0].set_faults(freeze=True)
        calls = [ServiceCall(self.entry, f"orders/{n}", timeout_ms=700) for n in range(5)]
        for call in calls:
            self.assert_ended_in_time(call)
            self.assertEqual((call.status, call.run_state), (504, "unknown"))
        # The gauge also counts the instance's reads of the list, which take a few milliseconds
        # every 200 ms. Only a leaked call to the service would be counted in all samples.
        readings = [metric(self.entry, "ibispaddle_upstream_calls") for _ in range(5)]
        self.assertEqual(min(readings), 0, readings)
