"""Frames of the connections between instances, whatever encodes their content."""

import struct
from typing import Any, Protocol

from result import Result

# A configuration state with 620 workspaces is the largest message; it has well under 1 MiB.
MAX_FRAME_BYTES = 8_388_608
# A peer that has not proved the shared secret may send no more than a hello and a proof.
MAX_HANDSHAKE_FRAME_BYTES = 1_024
HEADER = struct.Struct(">I")


class PeerFormatError(Exception):
    """Raise when a received message cannot be read."""


class FrameCodec(Protocol):
    """Translate messages between instances; `Hello` and `Proof` are among them."""

    def encode(self, message: Any) -> bytes:
        """Return the message as one frame, with its header."""

    def decode(self, data: bytes) -> Result[Any, PeerFormatError]:
        """Read the content of one frame."""
