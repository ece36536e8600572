"""Tests of the stall detection of streams, on busy engines and on failed ones.

The load pattern is a burst of prompts of several hundred thousand tokens. An engine sends no events for
two or three seconds while it prefills a part of such a prompt.
"""

import unittest
from collections.abc import Callable

from ibispaddle_core.scheduling import ConfigurationReplaced, RetryPolicy
from ibispaddle_core.settings import FleetConfig

from .fakes import ForwarderFixture, streams

STALL_MS = 5_000  # Configured stall timeout; applies to streams whose callers disconnect earlier.
EVENT = b"id: 1\ndata: a\n\n"


class StallTest(unittest.TestCase):
    def start(self, max_silence_ms: int) -> None:
        route = streams(
            RetryPolicy.ANY_TIME, max_runs=2, timeout_ms=15_000, max_silence_ms=max_silence_ms
        )
        self.fixture = ForwarderFixture(route)
        self.exchange = self.fixture.send()
        self.fixture.answer(EVENT)

    def calls_after(self, idle_ms: int) -> int:
        """Return the number of calls sent after a time without events of the stream."""
        self.fixture.advance(idle_ms)
        return len(self.fixture.client.calls)

    def test_slow_stream_is_not_aborted_while_its_caller_waits(self) -> None:
        """Guards against a slow but healthy stream that is restarted on another upstream."""
        self.start(max_silence_ms=7_200)
        self.assertEqual(self.calls_after(7_199), 1)
        self.fixture.answer(EVENT.replace(b"1", b"2"), is_complete=True)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))

    def test_stalled_stream_is_resumed_on_another_upstream(self) -> None:
        """Guards against a caller that waits for a failed engine until it disconnects."""
        self.start(max_silence_ms=7_200)
        self.assertEqual(self.calls_after(7_200), 2)

    def answer_resumed(self, first: int, *, is_complete: bool = False) -> None:
        self.fixture.answer(EVENT.replace(b"1", b"%d" % first), is_complete=is_complete)

    def test_last_attempt_is_not_ended_for_its_silence(self) -> None:
        """Guards against an answer that is cut although its upstream is at work and would end it (LOST)."""
        self.start(max_silence_ms=720)
        self.assertEqual(self.calls_after(STALL_MS), 2)
        self.answer_resumed(2)
        self.assertEqual(self.calls_after(STALL_MS + 2_000), 2)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (0, 0))
        self.answer_resumed(3, is_complete=True)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))

    def test_stalled_stream_goes_on_if_nothing_can_replace_it(self) -> None:
        """Guards against a stream that is cut because no other upstream or no retry is left (LOST)."""
        for is_alone in (True, False):
            with self.subTest(is_alone=is_alone):
                self.start(max_silence_ms=720)
                if is_alone:
                    self.fixture.list_upstreams("u1")
                else:
                    cfg = FleetConfig.from_document({"scheduling": {"retry_budget": 0.0}})
                    self.fixture.forwarder.handle_event(ConfigurationReplaced(cfg))
                [call] = self.fixture.client.calls
                if is_alone and "u1:" not in call.url:
                    self.fixture.list_upstreams("u2")
                self.assertEqual(self.calls_after(STALL_MS + 2_000), 1)
                self.answer_resumed(2, is_complete=True)
                self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))

    def test_stream_that_goes_on_while_its_silence_is_reported(self) -> None:
        """Guards against a stream that is sent elsewhere although its next event has arrived."""
        self.start(max_silence_ms=720)
        callbacks: list[Callable[[], None]] = []
        self.fixture.forwarder.before_selection = lambda callback, service: callbacks.append(
            callback
        )
        self.fixture.advance(STALL_MS)
        self.answer_resumed(2)
        for callback in callbacks:
            callback()
        self.assertEqual(len(callbacks), 1)
        self.assertEqual(self.calls_after(0), 1)

    def test_upstream_that_appears_later_takes_over(self) -> None:
        """Guards against a stalled stream that is never resumed after no upstream had room at first."""
        self.start(max_silence_ms=720)
        [call] = self.fixture.client.calls
        name = "u1" if "u1:" in call.url else "u2"
        self.fixture.list_upstreams(name)
        self.assertEqual(self.calls_after(STALL_MS), 1)
        self.fixture.list_upstreams("u1", "u2")
        self.assertEqual(self.calls_after(500), 2)

    def test_silence_while_the_caller_does_not_read(self) -> None:
        """Guards against a stall check that repeats for ever while reading is paused (review/1)."""
        self.start(max_silence_ms=720)
        self.exchange.unsent_bytes = 1_000_000
        self.answer_resumed(2)
        self.assertEqual(self.calls_after(STALL_MS + 60), 1)
        self.assertEqual(self.calls_after(60), 1)
        self.exchange.unsent_bytes = 0
        self.exchange.on_drained()
        self.assertEqual(self.calls_after(STALL_MS - 1), 1)
        self.assertEqual(self.calls_after(1), 2)

    def test_stall_timeout_applies_if_the_caller_waits_less(self) -> None:
        """Guards against a stream of a short prompt that is resumed after its caller disconnected."""
        self.start(max_silence_ms=720)
        self.assertEqual(self.calls_after(STALL_MS - 1), 1)
        self.assertEqual(self.calls_after(1), 2)

    def test_stream_of_comments_is_resumed_on_another_upstream(self) -> None:
        """Guards against a stalled stream that never ends because it sends a comment now and then."""
        self.start(max_silence_ms=720)
        for _ in range(4):
            self.fixture.advance(STALL_MS // 4 - 1)
            self.fixture.answer(b": ping\n\n")
        self.assertEqual(self.calls_after(4), 2)


if __name__ == "__main__":
    unittest.main()
