"""Tests of retries of forwarded requests, which wait for the fleet's current work."""

import unittest

from ibispaddle_core.scheduling import (
    FleetAttempts,
    FleetPaces,
    PeerWork,
    RetryPolicy,
    UpstreamWork,
)
from ibispaddle_daemon.events import CallFailure, HttpCallError

from .fakes import ForwarderFixture, streams

RESET = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)


class RetryTest(unittest.TestCase):
    def setUp(self) -> None:
        route = streams(RetryPolicy.ANY_TIME, max_runs=3, timeout_ms=10_000)
        self.fixture = ForwarderFixture(route, ("u1", "u2", "u3"))
        self.waiting: list = []
        self.exchange = self.fixture.send()
        self.fixture.forwarder.before_selection = lambda then, service: self.waiting.append(then)

    def fail(self) -> None:
        call = self.fixture.client.calls[-1]
        call.sink.call_ended(call.call_id, RESET)

    def go_on(self) -> None:
        waiting, self.waiting[:] = list(self.waiting), []
        for then in waiting:
            then()

    def test_retry_waits_for_the_work_of_the_others(self) -> None:
        """Guards against a retry on an upstream that other instances have filled in the meantime."""
        self.fail()
        self.assertEqual(len(self.fixture.client.calls), 1)
        first = self.fixture.client.calls[0].url
        busy = next(name for name in ("u1", "u2", "u3") if name not in first)
        work = PeerWork("fleet", {busy: UpstreamWork(5_000.0, 7, 0)})
        self.fixture.forwarder.update_fleet_work(work, FleetAttempts(None), FleetPaces(None))
        self.go_on()
        self.assertEqual(len(self.fixture.client.calls), 2)
        self.assertNotIn(busy, self.fixture.client.calls[1].url)
        self.assertNotEqual(self.fixture.client.calls[1].url, first)

    def test_no_retry_after_caller_disconnected(self) -> None:
        """Guards against work for a caller that has disconnected."""
        self.fail()
        self.exchange.on_closed()
        self.go_on()
        self.assertEqual(len(self.fixture.client.calls), 1)
        self.assertEqual(self.fixture.forwarder.scheduler.active, 0)

    def test_request_that_expires_before_the_retry_is_answered_once(self) -> None:
        """Guards against a retry after the timeout response."""
        self.fail()
        self.fixture.clock.advance(10_000)
        self.fixture.forwarder.schedule_waiting()
        self.assertEqual((self.exchange.status, self.exchange.ended), (504, 1))
        self.go_on()
        self.assertEqual(len(self.fixture.client.calls), 1)
        self.assertEqual(self.exchange.ended, 1)


if __name__ == "__main__":
    unittest.main()
