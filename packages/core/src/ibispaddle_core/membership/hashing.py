"""Rendezvous hashing and ranking over a set of instances."""

from collections.abc import Collection, Iterable, Sequence

import xxhash

# With two probers a runner is still probed while one of them fails or is paused.
PROBERS_PER_RUNNER = 2


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the rendezvous weight of a candidate for a key."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()))


def rendezvous_select(key: str, candidates: Iterable[str], count: int = 1) -> tuple[str, ...]:
    """Return the `count` candidates with the highest weight for a key, highest first.

    Removing a candidate changes the selection only for the keys that had selected it.
    """
    ordered = sorted(candidates, key=lambda item: (rendezvous_score(key, item), item), reverse=True)
    return tuple(ordered[:count])


def rank(instance_id: str, instance_ids: Collection[str]) -> int:
    """Return the position of an instance in the order of ids."""
    return sum(1 for other in instance_ids if other < instance_id)


def successors(instance_id: str, instance_ids: Collection[str], count: int) -> tuple[str, ...]:
    """Return the next instances in the cyclic order of ids, without the instance itself."""
    others = sorted(set(instance_ids) - {instance_id})
    start = rank(instance_id, others)
    return tuple((others[start:] + others[:start])[:count])


def representative(instance_ids: Sequence[str]) -> str | None:
    """Return the instance with the lowest id, or None if there is none."""
    return min(instance_ids, default=None)
