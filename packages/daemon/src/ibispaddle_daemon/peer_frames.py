"""Framing of the messages between instances, independent of the codec."""

import struct
from typing import Any, Protocol

from result import Result

# The largest message is a configuration state; with 620 workspaces it is well under 1 MiB.
MAX_FRAME_BYTES = 8_388_608
# Before a peer has proved that it knows the shared secret, it may only send a hello and a proof.
MAX_HANDSHAKE_FRAME_BYTES = 1_024
HEADER = struct.Struct(">I")


class PeerFormatError(Exception):
    """Raised when a received message cannot be decoded."""


class FrameCodec(Protocol):
    """Codec of the messages on a connection; must support `Hello` and `Proof`."""

    def encode(self, message: Any) -> bytes:
        """Return the message as one frame, including the header."""

    def decode(self, data: bytes) -> Result[Any, PeerFormatError]:
        """Decode the content of one frame."""
