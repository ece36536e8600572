"""Tests of streams whose callers read slowly."""

import unittest

from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_daemon.events import CallFailure, HttpCallError

from .fakes import ForwarderFixture, streams

UNREAD_BYTES = 1_000_000
CUT = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)


class CutWhilePausedTest(unittest.TestCase):
    """The upstream cuts off a stream that is not read; the caller reads on later."""

    def start(self, policy: RetryPolicy) -> None:
        self.fixture = ForwarderFixture(streams(policy, max_runs=3, timeout_ms=10_000))
        self.exchange = self.fixture.send()
        self.exchange.unsent_bytes = UNREAD_BYTES
        self.fixture.answer(b"id: 1\ndata: a\n\n")

    def cut_after_pause(self, pause_ms: int) -> None:
        self.fixture.advance(pause_ms)
        self.exchange.unsent_bytes = 0
        self.exchange.on_drained()
        call = self.fixture.client.calls[0]
        call.sink.call_ended(call.call_id, CUT)
        self.fixture.flush()

    def avoided(self) -> list[str]:
        sched, now_ms = self.fixture.forwarder.scheduler, self.fixture.clock.now_ms()
        return [name for name in ("u1", "u2") if sched.health.is_avoided(name, now_ms)]

    def test_reading_is_paused_and_resumed(self) -> None:
        """Guards against unlimited buffering, and a stream that is never read again."""
        self.start(RetryPolicy.ANY_TIME)
        client = self.fixture.client
        self.assertEqual(client.paused, [client.calls[0].call_id])
        self.exchange.unsent_bytes = 60_000
        self.exchange.on_drained()
        self.assertEqual(client.paused, [])

    def test_less_is_buffered_when_many_are_slow(self) -> None:
        """Guards against many slow callers that exceed the memory together."""
        self.fixture = ForwarderFixture(streams(RetryPolicy.ANY_TIME))
        self.exchange = self.fixture.send()
        self.exchange.unsent_bytes, self.exchange.room = 20_000, 9_000_000
        self.fixture.answer(b"id: 1\ndata: a\n\n")
        self.assertEqual(len(self.fixture.client.paused), 1)
        self.exchange.room = 20_000_000  # Others have ended.
        self.exchange.on_drained()
        self.assertEqual(self.fixture.client.paused, [])

    def test_resumable_stream_goes_on_without_blame(self) -> None:
        """Guards against an upstream that is avoided or checked because of a slow caller."""
        self.start(RetryPolicy.ANY_TIME)
        self.fixture.forwarder.part_guard.check_upstream = lambda *args: self.fail("checked")
        self.cut_after_pause(3_000)
        self.assertEqual(len(self.fixture.client.calls), 2)
        self.assertEqual(self.avoided(), [])
        self.fixture.answer(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", is_complete=True)
        self.assertEqual(self.exchange.sent, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        self.assertEqual(self.exchange.ended, 1)

    def test_stream_that_may_not_be_repeated_is_broken_off(self) -> None:
        """Guards against a second run, and against an incomplete response that looks complete."""
        self.start(RetryPolicy.PROVED_NOT_RUN)
        self.cut_after_pause(3_000)
        self.assertEqual(len(self.fixture.client.calls), 1)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (0, 1))
        self.assertEqual(self.avoided(), [])

    def test_cut_after_a_short_pause_is_a_failure(self) -> None:
        """Guards against an upstream whose crashes aren't noticed because a caller was slow for a moment."""
        self.start(RetryPolicy.ANY_TIME)
        self.cut_after_pause(100)
        self.assertEqual(len(self.avoided()), 1)


if __name__ == "__main__":
    unittest.main()
