"""Mutual authentication by a shared secret when two instances connect.

The dialler sends its proof first, so that an unauthenticated peer gets no proof to guess the secret
offline. The proofs cover both hellos and the role of the sender, so they can be neither replayed
nor reflected.
"""

import hashlib
import hmac
from dataclasses import dataclass

from .exceptions import GossipError

PROTOCOL = 1
NONCE_BYTES = 32


class HandshakeError(GossipError):
    """The peer is rejected."""


@dataclass(frozen=True)
class Hello:
    """First message of each side, with its identity and nonce."""

    protocol: int
    instance_id: str
    boot: int
    nonce: bytes


@dataclass(frozen=True)
class Proof:
    """Proof that the sender knows the shared secret."""

    mac: bytes


class Handshake:
    """One side of the handshake.

    `expected_id` is the instance that the dialler wants to reach; any other instance at its
    address, such as a replacement, is rejected.
    """

    def __init__(
        self, own: Hello, secret: bytes, is_dialler: bool, expected_id: str | None = None
    ) -> None:
        self._own = own
        self._secret = secret
        self._is_dialler = is_dialler
        self._expected_id = expected_id
        self.peer: Hello | None = None
        self.is_complete = False

    def start(self) -> list[Hello | Proof]:
        """Return the messages to send once the connection is open."""
        return [self._own] if self._is_dialler else []

    def receive(self, message: object) -> list[Hello | Proof]:
        """Return the messages to send next; raise `HandshakeError` to reject the peer."""
        match message:
            case Hello() if self.peer is None:
                self._check(message)
                self.peer = message
                return [self._proof(self._is_dialler)] if self._is_dialler else [self._own]
            case Proof() if self.peer is not None:
                expected = self._proof(not self._is_dialler)
                if not hmac.compare_digest(expected.mac, message.mac):
                    raise HandshakeError("the proof of the shared secret is invalid")
                self.is_complete = True
                return [] if self._is_dialler else [self._proof(self._is_dialler)]
        raise HandshakeError(f"unexpected {type(message).__name__} during the handshake")

    def _check(self, hello: Hello) -> None:
        if hello.protocol != PROTOCOL:
            raise HandshakeError(f"protocol {hello.protocol} is not supported")
        if len(hello.nonce) != NONCE_BYTES or hello.nonce == self._own.nonce:
            raise HandshakeError("the nonce is invalid")
        if hello.instance_id == self._own.instance_id:
            raise HandshakeError("the peer has the id of this instance")
        if self._expected_id not in (None, hello.instance_id):
            raise HandshakeError(
                f"connected to '{hello.instance_id}' instead of '{self._expected_id}'"
            )

    def _proof(self, by_dialler: bool) -> Proof:
        assert self.peer is not None
        pair = (self._own, self.peer) if self._is_dialler else (self.peer, self._own)
        mac = hmac.new(self._secret, b"dialler" if by_dialler else b"acceptor", hashlib.sha256)
        for hello in pair:
            for part in (
                hello.instance_id.encode(),
                str(hello.boot).encode(),
                str(hello.protocol).encode(),
                hello.nonce,
            ):
                mac.update(len(part).to_bytes(4, "big") + part)
        return Proof(mac.digest())
