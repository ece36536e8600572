"""Tests of the event parser: chunking, line endings and size limit."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.relay import EventTooLargeError, SseParser
from ibispaddle_core.relay.sse import MAX_EVENT_BYTES

PIECES = st.sampled_from(
    [
        b"data: a",
        b"data:b",
        b"data",
        b": comment",
        b"event: x",
        b"\n",
        b"\r",
        b"\r\n",
        b"\xef\xbb\xbf",
    ]
)
STREAMS = st.lists(PIECES | st.binary(max_size=4), max_size=30).map(b"".join)


def split(stream: bytes, cuts: list[int]) -> list[bytes]:
    """Split the stream at the cuts."""
    ends = sorted({cut % (len(stream) + 1) for cut in cuts}) + [len(stream)]
    return [stream[a:b] for a, b in zip([0, *ends], ends, strict=False)]


class SseTest(unittest.TestCase):
    @settings(max_examples=500, deadline=None)
    @given(STREAMS, st.lists(st.integers(0, 200), max_size=20))
    def test_any_split_gives_the_same_events(self, stream, cuts):
        """Guard against bytes that are lost or duplicated at the boundaries of reads."""
        whole = SseParser().feed(stream)
        parser = SseParser()
        parts = [event for part in split(stream, cuts) for event in parser.feed(part)]
        self.assertEqual(parts, whole)
        parser = SseParser()
        single = [event for byte in stream for event in parser.feed(bytes([byte]))]
        self.assertEqual(single, whole)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.text("abc{}: é", min_size=1, max_size=8).map(str.encode), max_size=10),
        st.sampled_from([b"\n", b"\r\n", b"\r"]),
    )
    def test_events_are_returned_as_written(self, events, ending):
        """Guard against a parser that is consistent for any split but changes the content."""
        stream = b"".join(b"data: " + event + ending * 2 for event in events)
        self.assertEqual(SseParser().feed(stream), events)

    def test_event_is_returned_with_its_last_byte(self):
        """Guard against a token that is delayed until the next one."""
        self.assertEqual(SseParser().feed(b"data: a\r\r"), [b"a"])

    def test_endless_event_is_an_error(self):
        """Guard against unbounded memory use if an upstream never terminates an event."""
        parser = SseParser()
        with self.assertRaises(EventTooLargeError):
            for _ in range(MAX_EVENT_BYTES // 65_536 + 2):
                parser.feed(b"x" * 65_536)


if __name__ == "__main__":
    unittest.main()
