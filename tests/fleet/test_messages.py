"""Tests of the messages between an instance and its hubs."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.gossip import Hello, Proof
from ibispaddle_core.scheduling import UpstreamWork
from ibispaddle_daemon.fleet.messages import (
    FleetCodec,
    TopicDelta,
    TopicQuery,
    TopicResponse,
    WorkQuery,
    WorkSnapshot,
    WorkUpdate,
    decode_work_rows,
    encode_work_rows,
)
from ibispaddle_daemon.fleet.topic_bodies import build_response, decode_response
from ibispaddle_daemon.peer_frames import HEADER

CODEC = FleetCodec()
ROWS = st.lists(st.tuples(st.text(max_size=12), *[st.integers(0, 1_000_000)] * 4), max_size=5).map(
    tuple
)
NAMES = st.lists(st.text(max_size=12), max_size=3).map(tuple)
NUMBERS = st.integers(0, 2**32)
TEXT = st.text(max_size=9)
WAITING = st.lists(st.tuples(TEXT, TEXT, TEXT, NUMBERS, st.integers(-9, 9)), max_size=3).map(tuple)
HOLDERS = st.lists(st.tuples(TEXT, NUMBERS), max_size=3).map(tuple)
MESSAGES = st.one_of(
    st.builds(WorkUpdate, ROWS, NAMES, NUMBERS, NUMBERS, waiting=WAITING, holders=HOLDERS),
    st.builds(WorkQuery, NUMBERS, st.text(max_size=9)),
    st.builds(WorkSnapshot, NUMBERS, ROWS, NAMES, st.none() | st.tuples(NUMBERS, NUMBERS), NUMBERS),
    st.builds(WorkSnapshot, NUMBERS, ROWS, NAMES, waiting=WAITING, holders=HOLDERS),
    st.builds(
        TopicQuery,
        NUMBERS,
        st.dictionaries(st.text(max_size=9), st.none() | NUMBERS, max_size=3),
        st.none() | NUMBERS,
        st.none() | st.dictionaries(st.text(max_size=9), NUMBERS, max_size=3),
    ),
    st.builds(
        TopicResponse, NUMBERS, NUMBERS, st.booleans(), st.booleans(), st.binary(max_size=50)
    ),
    st.builds(Hello, NUMBERS, st.text(max_size=9), NUMBERS, st.binary(max_size=32)),
    st.builds(Proof, st.binary(max_size=32)),
)


class FleetCodecTest(unittest.TestCase):
    @given(MESSAGES)
    def test_encoded_message_is_decoded_unchanged(self, message) -> None:
        """Guards against a message that is decoded as a different one."""
        frame = CODEC.encode(message)
        (length,) = HEADER.unpack_from(frame)
        self.assertEqual(length, len(frame) - HEADER.size)
        self.assertEqual(CODEC.decode(frame[HEADER.size :]).unwrap(), message)

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_do_not_raise(self, data: bytes) -> None:
        """Guards against invalid bytes that crash the process."""
        CODEC.decode(data)

    @given(MESSAGES, st.integers(0, 200))
    def test_truncated_message_is_an_error(self, message, end: int) -> None:
        """Guards against a truncated message that is taken for a complete one."""
        data = CODEC.encode(message)[HEADER.size :]
        if end < len(data):
            self.assertTrue(CODEC.decode(data[:end]).is_err())

    def test_queries_of_an_earlier_release(self) -> None:
        """Guards against instances that cannot read each other's queries while releases are mixed."""
        earlier = msgspec.defstruct(
            "Query",
            [
                ("query_id", int),
                ("offsets", dict[str, int | None]),
                ("wanted_age_ms", int | None, None),
            ],
            frozen=True,
            array_like=True,
            tag="t",
        )
        data = msgspec.msgpack.encode(earlier(7, {"a": 3, "b": None}))
        self.assertEqual(CODEC.decode(data).unwrap(), TopicQuery(7, {"a": 3, "b": None}))
        frame = CODEC.encode(TopicQuery(7, {"a": 3}, 500, {"a": 2}))
        query = msgspec.msgpack.decode(frame[HEADER.size :], type=earlier)
        self.assertEqual(query, earlier(7, {"a": 3}, 500))

    def test_answers_of_an_earlier_release(self) -> None:
        """Guards against data that cannot be read while releases are mixed."""
        earlier = msgspec.defstruct(
            "Delta",
            [("kind", str), ("age_ms", int), ("position", int, 0), ("records", tuple, ())],
            frozen=True,
            array_like=True,
        )
        body = msgspec.msgpack.encode({"a": earlier("newest", 5, 9, (("k", b"1"),))})
        (delta,) = decode_response(TopicResponse(1, 0, False, False, body)).values()
        self.assertEqual(delta, TopicDelta("newest", 5, 9, (("k", b"1"),)))
        response = build_response(1, {"a": TopicDelta("newest", 5, 9, (("k", b"1"),), 2)}, False)
        read = msgspec.msgpack.decode(response.body, type=dict[str, earlier])
        self.assertEqual(read["a"].position, 9)

    def test_work_rows_are_decoded_unchanged(self) -> None:
        """Guards against columns that are swapped by encoding and decoding."""
        work = {"r1": UpstreamWork(12.0, 3, 4_000, 2)}
        self.assertEqual(decode_work_rows(encode_work_rows(work)), work)


if __name__ == "__main__":
    unittest.main()
