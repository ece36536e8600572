"""Bounded exchange of versioned entries between instances."""

from .entries import (
    Consumption,
    Entry,
    Heartbeat,
    MemoryClaims,
    Payload,
    RunnerReport,
    WaitingLargePrompts,
)
from .exceptions import DigestFormatError, EntryTooLargeError, GossipError
from .handshake import NONCE_BYTES, PROTOCOL, Handshake, HandshakeError, Hello, Proof
from .messages import Digest, ListSeen, StateReply, StateRequest
from .rounds import FAN_OUT, random_targets, summary_targets
from .table import ENTRY_LIFETIME_MS, MAX_DIGEST_BYTES, GossipTable

__all__ = [
    "ENTRY_LIFETIME_MS",
    "FAN_OUT",
    "MAX_DIGEST_BYTES",
    "NONCE_BYTES",
    "PROTOCOL",
    "Consumption",
    "Digest",
    "DigestFormatError",
    "Entry",
    "EntryTooLargeError",
    "GossipError",
    "GossipTable",
    "Handshake",
    "HandshakeError",
    "Heartbeat",
    "Hello",
    "WaitingLargePrompts",
    "ListSeen",
    "MemoryClaims",
    "Payload",
    "Proof",
    "RunnerReport",
    "StateReply",
    "StateRequest",
    "summary_targets",
    "random_targets",
]
