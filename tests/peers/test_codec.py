"""Tests of the messages between instances: encoding, damaged messages and the handshake."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.gossip import (
    Digest,
    Handshake,
    HandshakeError,
    Hello,
    ListSeen,
    Proof,
    StateReply,
    StateRequest,
)
from ibispaddle_core.idempotency import (
    BodyReply,
    BodyRequest,
    Claim,
    ClaimRequest,
    ClaimResponse,
    ClaimUpdate,
    ClaimUpdateAck,
    ClaimVerdict,
    Outcome,
    Release,
    Settlement,
)
from ibispaddle_core.quarantine import (
    Clearance,
    CrashReport,
    Death,
    Notice,
    NoticeReceived,
    PartCleared,
    PartQuarantined,
    Suspicion,
)
from ibispaddle_core.usage import Counts, UsageAck, UsageSync
from ibispaddle_daemon.peer_codec import HEADER, decode, encode

FIXED = settings(derandomize=True, max_examples=150, deadline=None, database=None)
NUMBER = st.integers(0, 2**63 - 1)
TEXT = st.text(max_size=20).filter(lambda text: "\0" not in text)
DATA = st.binary(max_size=100)
DEATH = st.builds(Death, TEXT, TEXT)
COUNTS = st.builds(Counts, NUMBER, NUMBER, NUMBER, NUMBER)
SUSPICION = st.builds(Suspicion, TEXT, DEATH, NUMBER)
CLEARANCE = st.builds(Clearance, TEXT, st.lists(DEATH, max_size=3).map(tuple), NUMBER)
PART_CHANGE = st.one_of(
    st.builds(CrashReport, DEATH, TEXT, st.lists(TEXT, max_size=3).map(tuple)),
    st.builds(PartCleared, TEXT, st.lists(DEATH, max_size=3).map(tuple)),
    st.builds(PartQuarantined, TEXT, st.lists(DEATH, max_size=3).map(tuple), NUMBER, st.booleans()),
)
OUTCOME = st.builds(
    Outcome, st.none() | st.integers(100, 599), TEXT, st.none() | st.binary(max_size=100)
)
MESSAGE = st.one_of(
    st.builds(Hello, st.integers(0, 65_535), TEXT, NUMBER, DATA),
    st.builds(Proof, DATA),
    st.builds(Digest, DATA),
    st.builds(StateRequest, TEXT, NUMBER, DATA),
    st.builds(StateReply, TEXT, NUMBER, DATA),
    st.builds(
        UsageSync, TEXT, NUMBER, NUMBER, st.lists(st.tuples(TEXT, COUNTS), max_size=4).map(tuple)
    ),
    st.builds(UsageAck, TEXT, NUMBER),
    st.builds(
        Notice,
        NUMBER,
        st.lists(SUSPICION, max_size=3).map(tuple),
        st.lists(CLEARANCE, max_size=3).map(tuple),
        st.lists(PART_CHANGE, max_size=3).map(tuple),
    ),
    st.builds(NoticeReceived, NUMBER),
    st.builds(ListSeen, NUMBER),
    st.builds(ClaimRequest, st.builds(Claim, TEXT, TEXT, TEXT, st.none() | NUMBER), st.booleans()),
    st.builds(
        ClaimResponse, TEXT, st.sampled_from(ClaimVerdict), st.none() | OUTCOME, st.booleans(), TEXT
    ),
    st.builds(BodyRequest, TEXT, TEXT),
    st.builds(BodyReply, TEXT, st.none() | OUTCOME),
    st.builds(
        ClaimUpdate,
        st.builds(Release, TEXT, TEXT) | st.builds(Settlement, TEXT, TEXT, OUTCOME),
        st.booleans(),
    ),
    st.builds(ClaimUpdateAck, TEXT, st.booleans()),
)


class CodecTest(unittest.TestCase):
    @FIXED
    @given(MESSAGE)
    def test_messages_are_encoded_and_decoded(self, message):
        """Guard against fields that are lost or mixed up by the encoding."""
        frame = encode(message)
        self.assertEqual(HEADER.unpack_from(frame)[0], len(frame) - HEADER.size)
        self.assertEqual(decode(frame[HEADER.size :]).ok_value, message)

    @FIXED
    @given(MESSAGE, st.integers(0, 2**32))
    def test_damaged_message_is_decoded_or_rejected(self, message, seed):
        """Guard against a crash or an endless loop on damaged bytes."""
        rng = random.Random(seed)
        data = bytearray(encode(message)[HEADER.size :])
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        decode(bytes(data))
        decode(bytes(data[: rng.randrange(len(data))]))
        decode(rng.randbytes(64))

    def test_arbitrary_bytes_are_rejected(self):
        """Guard against arbitrary bytes that are accepted as a message."""
        for data in (b"", b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\0\0\0\0\xff\xff\xff\x7f"):
            self.assertTrue(decode(data).is_err(), data)

    def test_object_of_another_class_is_rejected(self):
        """Guard against a message that is silently dropped."""
        with self.assertRaises(TypeError):
            encode(object())


def make_handshake(name, secret=b"s", dialler=True, nonce=None, expected=None, boot=1):
    nonce = nonce or name.encode().ljust(32, b"-")
    return Handshake(Hello(1, name, boot, nonce), secret, dialler, expected)


def exchange_messages(dialler, acceptor):
    queue = [(acceptor, message) for message in dialler.start()]
    while queue:
        receiver, message = queue.pop(0)
        other = dialler if receiver is acceptor else acceptor
        queue += [(other, reply) for reply in receiver.receive(message)]


class HandshakeTest(unittest.TestCase):
    def test_equal_secrets_are_accepted_by_both_sides(self):
        """Guard against instances that cannot connect."""
        dialler, acceptor = make_handshake("a", expected="b"), make_handshake("b", dialler=False)
        exchange_messages(dialler, acceptor)
        self.assertEqual(
            (dialler.is_complete, dialler.peer.instance_id, acceptor.peer.instance_id),
            (True, "b", "a"),
        )
        self.assertTrue(acceptor.is_complete)

    def test_peer_with_another_secret_gets_no_proof(self):
        """Guard against an unauthenticated peer that exchanges messages or collects proofs."""
        dialler, acceptor = make_handshake("a", secret=b"wrong"), make_handshake("b", dialler=False)
        with self.assertRaises(HandshakeError):
            exchange_messages(dialler, acceptor)
        self.assertFalse(acceptor.is_complete or dialler.is_complete)

    def test_acceptor_with_another_secret_is_refused(self):
        """Guard against talking to an unauthenticated process at a listed address."""
        dialler = make_handshake("a")
        (hello,) = dialler.start()
        impostor = make_handshake("b", secret=b"wrong", dialler=False)
        (answer,) = impostor.receive(hello)
        dialler.receive(answer)
        with self.assertRaises(HandshakeError):
            dialler.receive(Proof(b"x" * 32))
        self.assertFalse(dialler.is_complete)

    def test_reflected_messages_are_refused(self):
        """Guard against a reflection attack, which sends an instance its own messages."""
        dialler = make_handshake("a")
        (hello,) = dialler.start()
        with self.assertRaises(HandshakeError):
            dialler.receive(hello)
        dialler = make_handshake("a")
        (hello,) = dialler.start()
        (proof,) = dialler.receive(Hello(1, "b", 1, b"n" * 32))
        with self.assertRaises(HandshakeError):
            dialler.receive(proof)

    def test_replayed_proof_is_refused(self):
        """Guard against the replay of a recorded handshake."""
        dialler, acceptor = make_handshake("a"), make_handshake("b", dialler=False)
        (hello,) = dialler.start()
        (answer,) = acceptor.receive(hello)
        (proof,) = dialler.receive(answer)
        again = make_handshake("b", dialler=False, nonce=b"n" * 32)
        again.receive(hello)
        with self.assertRaises(HandshakeError):
            again.receive(proof)

    def test_other_instance_at_the_address_is_refused(self):
        """Guard against sending messages to another instance that now has the address."""
        with self.assertRaises(HandshakeError):
            exchange_messages(make_handshake("a", expected="c"), make_handshake("b", dialler=False))

    def test_messages_before_the_proof_are_refused(self):
        """Guard against processing messages of a peer that is not authenticated."""
        for message in (Digest(b""), Proof(b"x"), NoticeReceived(1)):
            with self.assertRaises(HandshakeError):
                make_handshake("b", dialler=False).receive(message)


if __name__ == "__main__":
    unittest.main()
