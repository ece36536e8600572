"""Idempotency keys: scope, creation time and age."""

import hashlib
import re
from enum import StrEnum

# Maximum clock skew between a caller, an instance and the log.
CLOCK_TOLERANCE_MS = 60_000

_SEPARATOR = "\x1f"
_UUID7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z", re.I)
_MILLISECONDS = re.compile(r"([0-9]{13})-.")


class KeyAge(StrEnum):
    """Position of a key's creation time relative to the claim window."""

    USABLE = "usable"
    MISSING = "missing"
    EXPIRED = "expired"
    FUTURE = "future"


def scoped_key(workspace: str, service: str, key: str) -> str:
    """Return a key that is unique across workspaces and services.

    Without the scope, two workspaces that use the same key would receive each other's responses.
    """
    return _SEPARATOR.join((workspace, service, key))


def scope_of_key(key: str) -> tuple[str, str]:
    """Return the workspace and the service of a scoped key; empty strings for an unscoped key."""
    parts = key.split(_SEPARATOR, 2)
    return (parts[0], parts[1]) if len(parts) == 3 else ("", "")


def key_created_ms(key: str) -> int | None:
    """Return the creation time embedded in a key, in milliseconds since the Unix epoch, or None.

    >>> key_created_ms("1700000000000-order-17")
    1700000000000
    >>> key_created_ms("018bcfe5-6800-7000-8000-000000000000")
    1700000000000
    """
    caller_key = key.rsplit(_SEPARATOR, 1)[-1]
    if _UUID7.match(caller_key):
        return int(caller_key[:8] + caller_key[9:13], 16)
    prefix = _MILLISECONDS.match(caller_key)
    return int(prefix.group(1)) if prefix else None


def key_age(created_ms: int | None, wall_ms: int, window_ms: int) -> KeyAge:
    """Classify a creation time against the wall clock."""
    if created_ms is None:
        return KeyAge.MISSING
    if created_ms > wall_ms + CLOCK_TOLERANCE_MS:
        return KeyAge.FUTURE
    return KeyAge.EXPIRED if created_ms < wall_ms - window_ms else KeyAge.USABLE


def hash_key(key: str) -> str:
    """Return the first 128 bits of the key's SHA-256 hash in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()[:32]
