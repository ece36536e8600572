"""Tests of what attempts show about whether the instance reaches the upstreams."""

import random
import unittest

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_daemon.delegation.isolation import Isolation
from ibispaddle_daemon.events import CallFailure, HttpCallError

from tests.forwarding.fakes import ForwarderFixture, streams

UPSTREAMS = ("u1", "u2", "u3")
MAX_REQUESTS = 100  # Upstreams are chosen at random.
RESET = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)
NO_CONNECTION = HttpCallError(CallFailure.UNREACHABLE, "no connection", byte_sent=False)
REFUSED = HttpCallError(CallFailure.UNREACHABLE, "refused", byte_sent=False, is_refused=True)


class AttemptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.isolation = Isolation(self.clock, random.Random(1))
        self.isolation.replace_upstreams(dict.fromkeys(UPSTREAMS, "s"), {})
        route = streams(RetryPolicy.PROVED_NOT_RUN, timeout_ms=9_000)
        self.fixture = ForwarderFixture(route, UPSTREAMS, self.isolation)
        self.fixture.clock.monotonic_ms = self.clock.monotonic_ms = 1_000
        by_url: dict = {}
        for _ in range(MAX_REQUESTS):
            if len(by_url) < len(UPSTREAMS):
                self.fixture.send()
            by_url = {call.url: call for call in self.fixture.client.calls}
        self.calls = list(by_url.values())  # One at each upstream.
        self.assertEqual(len(UPSTREAMS), len(self.calls))

    def advance(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        self.fixture.advance(duration_ms)

    def fail(self, error: HttpCallError, count: int = 3) -> None:
        for call in self.calls[:count]:
            call.sink.call_ended(call.call_id, error)

    def test_reset_connections(self) -> None:
        self.advance(5_000)
        self.fail(RESET, 2)
        self.assertFalse(self.isolation.is_isolated)
        self.fail(RESET)
        self.assertTrue(self.isolation.is_isolated)

    def test_refused_connections(self) -> None:
        self.fail(REFUSED)
        self.assertTrue(self.isolation.is_isolated)

    def test_missing_connections(self) -> None:
        self.advance(250)
        self.fail(NO_CONNECTION)
        self.assertTrue(self.isolation.is_isolated)

    def test_missing_connections_after_a_pause_of_the_process(self) -> None:
        self.advance(4_000)
        self.fail(NO_CONNECTION)
        self.assertFalse(self.isolation.is_isolated)

    def test_response_on_a_connection_that_was_opened_later(self) -> None:
        self.fail(RESET, 2)
        self.advance(10)
        self.fixture.send()
        self.fixture.answer(b"data: 1\n\n")
        self.fail(RESET)
        self.assertFalse(self.isolation.is_isolated)

    def test_response_on_a_connection_that_was_opened_before(self) -> None:
        self.advance(20)
        sink, call_id = self.calls[2].sink, self.calls[2].call_id
        sink.call_head(call_id, 200, ())
        sink.call_data(call_id, b"data: 1\n\n")
        for name in UPSTREAMS:
            self.isolation.record_unreachable(name, "refused")
        self.assertTrue(self.isolation.is_isolated)
        sink.call_data(call_id, b"data: 2\n\n")
        self.assertTrue(self.isolation.is_isolated)


if __name__ == "__main__":
    unittest.main()
