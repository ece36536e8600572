"""Identifiers of bounded length that are built of names which others choose."""

import hashlib

DIGEST_BYTES = 8


def digest(*names: str) -> str:
    """Return 16 hexadecimal digits that identify some names in this order.

    >>> digest("a", "b") == digest("ab"), len(digest("a" * 1_000))
    (False, 16)
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in names:
        data = name.encode("utf-8", "surrogatepass")
        hashed.update(len(data).to_bytes(8, "big") + data)
    return hashed.hexdigest()


def shorten(name: str, max_length: int) -> str:
    """Return a name, or its beginning with a digest if it is longer than `max_length`.

    >>> shorten("edge_1", 20)
    'edge_1'
    >>> len(shorten("edge_" * 20, 20)), shorten("edge_" * 20, 20)[:3]
    (20, 'edg')
    """
    if len(name) <= max_length:
        return name
    suffix = "." + digest(name)
    return name[: max_length - len(suffix)] + suffix
