"""Hashes of a request's content."""

import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec

from .steps import Steps, finish

# Block size and digest of the runners' prefix cache: a prefix is identified by the BLAKE2b digest
# (8 bytes) of the prompt's UTF-8 text up to the end of a block.
BLOCK_CHARACTERS = 4_096
PREFIX_DIGEST_BYTES = 8
FINGERPRINT_BYTES = 16
# Bytes hashed in one step. A step takes about half a millisecond, so that hashing the megabytes of a
# long prompt does not delay running streams.
STEP_BYTES = 64 * BLOCK_CHARACTERS

# Fields that affect the delivery of the answer but not its content.
_DELIVERY_FIELDS = frozenset(("stream", "stream_options", "user", "metadata", "store"))
_ENCODER = msgspec.json.Encoder(order="sorted")


def content_fingerprint(kind: str, document: Mapping[str, Any], key: bytes) -> str:
    """Return the keyed hash of a request's model, messages and parameters.

    A request that is sent again has the same fingerprint, regardless of the order of its JSON keys. The
    secret key (at most 64 bytes) prevents callers from constructing collisions.

    >>> a = content_fingerprint("chat", {"model": "m", "messages": []}, b"k")
    >>> a == content_fingerprint("chat", {"messages": [], "model": "m", "stream": True}, b"k")
    True
    """
    return finish(fingerprint_steps(kind, document, key))


def fingerprint_steps(kind: str, document: Mapping[str, Any], key: bytes) -> Steps[str]:
    """Compute `content_fingerprint`, yielding between short steps."""
    content = {name: value for name, value in document.items() if name not in _DELIVERY_FIELDS}
    digest = hashlib.blake2b(kind.encode() + b"\0", digest_size=FINGERPRINT_BYTES, key=key)
    encoded = memoryview(_ENCODER.encode(content))
    for begin in range(0, len(encoded), STEP_BYTES):
        if begin:
            yield
        digest.update(encoded[begin : begin + STEP_BYTES])
    return digest.hexdigest()


def part_steps(document: Mapping[str, Any], key: bytes) -> Steps[tuple[str, ...]]:
    """Compute the keyed hashes of the parts that other requests may have as well, in order.

    These are the messages of a chat but for the last one, which belongs to the request alone. A
    completion's prompt is one text without parts.
    """
    parts = []
    for message in document.get("messages", ())[:-1]:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=key)
        encoded = memoryview(_ENCODER.encode(message))
        for begin in range(0, len(encoded), STEP_BYTES):
            if begin:
                yield
            digest.update(encoded[begin : begin + STEP_BYTES])
        parts.append(digest.hexdigest())
    return tuple(parts)


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return one hash per complete block of the prompt, longest prefix last."""
    return finish(prefix_hash_steps(prompt))


def prefix_hash_steps(prompt: str) -> Steps[tuple[str, ...]]:
    """Compute `prefix_hashes`, yielding between short steps."""
    digest = hashlib.blake2b(digest_size=PREFIX_DIGEST_BYTES)
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode("utf-8", "surrogatepass"))
        hashes.append(digest.hexdigest())
        if end % STEP_BYTES == 0:
            yield
    return tuple(hashes)
