"""Tests of responses that arrive when the request's deadline expires."""

import unittest

from .fakes import TIMEOUT_MS, ForwarderFixture, streams

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class DeadlineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = ForwarderFixture(streams())
        self.exchange = self.fixture.send()

    def test_stream_that_starts_at_the_deadline_is_aborted(self) -> None:
        """Guards against an incomplete stream that ends like a complete one."""
        self.fixture.clock.advance(TIMEOUT_MS)
        self.fixture.answer(EVENTS)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (0, 1))
        self.assertEqual(self.fixture.forwarder.requests_in_flight, 0)

    def test_request_that_expires_before_it_is_sent_has_not_run(self) -> None:
        """Guards against an unknown run state for a call that was never sent."""
        self.fixture.forwarder.before_selection = lambda then, service: None  # No hub answers.
        exchange = self.fixture.send("a2")
        self.fixture.advance(TIMEOUT_MS)
        self.assertEqual((exchange.status, exchange.ended), (503, 1))
        self.assertEqual(len(self.fixture.client.calls), 1)


if __name__ == "__main__":
    unittest.main()
