"""Exceptions raised by the gossip package."""


class GossipError(Exception):
    """Base class of gossip errors."""


class DigestFormatError(GossipError):
    """A received digest cannot be decoded."""


class EntryTooLargeError(GossipError):
    """An entry to write is too large for a digest."""
