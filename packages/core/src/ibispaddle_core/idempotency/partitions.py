"""Partitions of the claims: each key belongs to one, and each has a stream of its own."""

from collections.abc import Iterable

from ..membership import rendezvous_select

# Equal at all instances, since a key's claims have to meet in one stream. It is no setting: two
# instances that disagree would let a call run twice.
PARTITIONS = 8


def partition_of(key_hash: str) -> int:
    """Return the partition of a key; `key_hash` is made by `hash_key`."""
    return int(key_hash[:8], 16) % PARTITIONS


def stream_of(partition: int) -> str:
    """Return the name of a partition's stream."""
    return f"claims-{partition}"


def rank_committers(partition: int, instances: Iterable[str], own_id: str) -> tuple[str, ...]:
    """Return the instances to ask for a partition, best first; the asking one is always among them.

    Instances may disagree about this order: the order of the stream decides, not the committer.
    """
    listed = tuple(instances)
    ordered = rendezvous_select(stream_of(partition), listed, len(listed))
    return ordered if own_id in listed else (*ordered, own_id)
