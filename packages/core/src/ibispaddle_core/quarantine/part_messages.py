"""Messages about parts of requests that may crash upstreams, shared by all instances.

They are `msgspec.Struct` classes instead of data classes, because they are sent between instances and
stored as they are.
"""

import hashlib

import msgspec

from .deaths import Death

MAX_KEY_LENGTH = 64
KEY_DIGEST_BYTES = 16


def part_key(text: str) -> str:
    """Return the key of a part with an id of a caller's choice, which may be of any length.

    >>> part_key("5c1e07a2")
    '5c1e07a2'
    >>> len(part_key("x" * 1_000))
    32
    """
    if len(text) <= MAX_KEY_LENGTH and text.isascii() and text.isprintable():
        return text
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).hexdigest()


class CrashReport(msgspec.Struct, frozen=True, tag="crash", tag_field="type"):
    """A request without settled output was in flight on an upstream when the upstream crashed.

    `parts` holds the keys of the parts that other requests may have as well, in the order of the
    prompt. `sound_parts` are those of them whose requests got responses before.
    """

    death: Death
    request: str  # Fingerprint of the whole request.
    parts: tuple[str, ...] = ()
    sound_parts: tuple[str, ...] = ()


class PartCleared(msgspec.Struct, frozen=True, tag="cleared", tag_field="type"):
    """An upstream responded to a request with the part after these crashes."""

    part: str
    deaths: tuple[Death, ...]


class PartQuarantined(msgspec.Struct, frozen=True, tag="quarantined", tag_field="type"):
    """Requests with the part are refused until `expires_ms`, a wall-clock time."""

    part: str
    deaths: tuple[Death, ...]
    expires_ms: int
    is_whole_request: bool = False


PartChange = CrashReport | PartCleared | PartQuarantined
