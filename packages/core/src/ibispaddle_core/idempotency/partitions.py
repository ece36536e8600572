"""Partitions of the claims: each key belongs to one partition, which has its own stream."""

from collections.abc import Iterable

from ..membership import rendezvous_select

# All claims of a key must be in the same stream. This is not a setting, because a call could run
# twice if two instances used different values.
PARTITIONS = 8


def partition_of(key_hash: str) -> int:
    """Return the partition of a key, given its `hash_key` value."""
    return int(key_hash[:8], 16) % PARTITIONS


def stream_of(partition: int) -> str:
    """Return the name of a partition's stream."""
    return f"claims-{partition}"


def rank_committers(partition: int, instances: Iterable[str], own_id: str) -> tuple[str, ...]:
    """Return the candidate committers of a partition in order of preference.

    The result always includes `own_id`. Instances may rank differently: the order of the stream
    decides which claim comes first, not the committer.
    """
    candidates = tuple(instances)
    ranked = rendezvous_select(stream_of(partition), candidates, len(candidates))
    return ranked if own_id in candidates else (*ranked, own_id)
