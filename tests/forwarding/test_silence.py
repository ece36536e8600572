"""Streams that pause: sound ones at a busy engine, and dead ones.

The load pattern is a burst of prompts of several hundred thousand tokens. An engine that reads a part of one
writes nothing for two or three seconds.
"""

import unittest

from ibispaddle_core.scheduling import RetryPolicy

from .fakes import ForwarderFixture, streams

STALL_MS = 5_000  # The configured silence of streams whose callers leave early.
EVENT = b"id: 1\ndata: a\n\n"


class SilenceTest(unittest.TestCase):
    def start(self, max_silence_ms: int) -> None:
        route = streams(
            RetryPolicy.ANY_TIME, max_runs=2, timeout_ms=15_000, max_silence_ms=max_silence_ms
        )
        self.fixture = ForwarderFixture(route)
        self.exchange = self.fixture.send()
        self.fixture.answer(EVENT)

    def calls_after(self, silent_ms: int) -> int:
        """Return the number of calls that were sent when a stream has been silent for so long."""
        self.fixture.advance(silent_ms)
        return len(self.fixture.client.calls)

    def test_stream_whose_caller_waits_is_not_cut(self) -> None:
        """Guards against a slow but sound stream that is begun anew elsewhere."""
        self.start(max_silence_ms=7_200)
        self.assertEqual(self.calls_after(7_199), 1)
        self.fixture.answer(EVENT.replace(b"1", b"2"), is_complete=True)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))

    def test_dead_stream_goes_on_elsewhere(self) -> None:
        """Guards against a caller that waits for a dead engine until it leaves."""
        self.start(max_silence_ms=7_200)
        self.assertEqual(self.calls_after(7_200), 2)

    def test_caller_that_leaves_early_is_served_elsewhere_in_time(self) -> None:
        """Guards against a stream of a short prompt that is resumed when its caller has left."""
        self.start(max_silence_ms=720)
        self.assertEqual(self.calls_after(STALL_MS - 1), 1)
        self.assertEqual(self.calls_after(1), 2)


if __name__ == "__main__":
    unittest.main()
