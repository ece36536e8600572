"""Tests of the event parsers with streams that never contain an event.

The load pattern is a faulty upstream that sends separators or comments without end, at full speed.
"""

import contextlib
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.relay import RelayError, SseParser, TooManyEmptyEventsError
from ibispaddle_core.relay.event_blocks import EventSplitter
from ibispaddle_core.relay.sse import MAX_EMPTY_EVENTS

READ_BYTES = 65_536
# The users' platform allows 120 ms from an event's receipt to its delivery, for all streams of an instance.
MAX_READ_S = 0.12
PATTERNS = (
    b"\n",
    b"\r\n",
    b"\r",
    b"\n\r\n",
    b":\n\n",
    b":\r\r",
    b"data\n\n",
    b"id: 1\n\n",
    b"data:\n",
    b"x\n\n\n",
)
PARSERS = (EventSplitter, SseParser)


def fastest_read_s(parser: EventSplitter | SseParser, data: bytes) -> float:
    """Return the processor time of the fastest of three reads of the data."""
    times_s = []
    for _ in range(3):
        started_s = time.process_time()
        with contextlib.suppress(RelayError):
            parser.feed(data)
        times_s.append(time.process_time() - started_s)
    return min(times_s)


class EndlessStreamTest(unittest.TestCase):
    def test_read_without_events_does_not_block_the_process(self) -> None:
        """Guards against a parser whose time grows with the square of the number of separators.

        A read of 64 KB of empty lines blocked the process for 2.3 s (review/3).
        """
        for parser in PARSERS:
            for pattern in PATTERNS:
                with self.subTest(parser=parser.__name__, pattern=pattern):
                    data = (pattern * READ_BYTES)[:READ_BYTES]
                    self.assertLess(fastest_read_s(parser(), data), MAX_READ_S)

    def test_endless_comments_are_an_error(self) -> None:
        """Guards against a stream of comments that occupies the process until the deadline."""
        for parser in PARSERS:
            for comment in (b":\n\n", b": ping\r\n\r\n"):
                reader = parser()
                with (
                    self.subTest(parser=parser.__name__, comment=comment),
                    self.assertRaises(TooManyEmptyEventsError),
                ):
                    reader.feed(comment * (MAX_EMPTY_EVENTS + 1))

    def test_comments_between_events_are_accepted(self) -> None:
        """Guards against a long stream that is rejected because of the comments that keep it open."""
        for parser in PARSERS:
            with self.subTest(parser=parser.__name__):
                reader = parser()
                for number in range(3):
                    reader.feed(b": ping\n\n" * (MAX_EMPTY_EVENTS - 1))
                    reader.feed(b"id: %d\ndata: a\n\n" % number)

    @given(
        st.lists(st.sampled_from([b"\n", b"\r\n", b": c", b"data: a", b"id: 4"]), max_size=20),
        st.lists(st.integers(0, 60), max_size=8),
    )
    def test_splitter_finds_the_same_events_for_any_reads(
        self, pieces: list[bytes], cuts: list[int]
    ) -> None:
        """Guards against an event that is split or lost because its end is spread over two reads."""
        stream = b"".join(pieces)
        bounds = [0, *sorted({cut % (len(stream) + 1) for cut in cuts}), len(stream)]
        splitter = EventSplitter()
        found = [
            event
            for begin, end in zip(bounds, bounds[1:], strict=False)
            for event in splitter.feed(stream[begin:end])
            if not event.is_empty
        ]
        whole = [event for event in EventSplitter().feed(stream) if not event.is_empty]
        self.assertEqual([e.event_id for e in found], [e.event_id for e in whole])
        self.assertEqual(
            [e.data.strip(b"\r\n") for e in found], [e.data.strip(b"\r\n") for e in whole]
        )


if __name__ == "__main__":
    unittest.main()
