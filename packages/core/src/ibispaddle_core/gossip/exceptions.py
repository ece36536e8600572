"""Errors of the gossip layer."""


class GossipError(Exception):
    """Base of the gossip errors."""


class DigestFormatError(GossipError):
    """Raise when a received digest cannot be read."""


class EntryTooLargeError(GossipError):
    """Raise when an own entry would not fit into a digest."""
