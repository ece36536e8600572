"""Rendezvous hashing and rank over a set of instances."""

from collections.abc import Collection, Iterable, Sequence

import xxhash

# Two probers keep a runner observed while one of them fails or is paused.
PROBERS_PER_RUNNER = 2


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the rendezvous weight of a candidate for a key."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()))


def rendezvous_select(key: str, candidates: Iterable[str], count: int = 1) -> tuple[str, ...]:
    """Return the `count` candidates with the highest weight for the key, best first.

    Removing a candidate changes the choice only for keys that had chosen it.
    """
    ordered = sorted(candidates, key=lambda item: (rendezvous_score(key, item), item), reverse=True)
    return tuple(ordered[:count])


def rank(instance_id: str, instance_ids: Collection[str]) -> int:
    """Return the position of an instance in the id-sorted view."""
    return sum(1 for other in instance_ids if other < instance_id)


def successors(instance_id: str, instance_ids: Collection[str], count: int) -> tuple[str, ...]:
    """Return the next instances in id order, cyclically and without the instance itself."""
    others = sorted(set(instance_ids) - {instance_id})
    start = rank(instance_id, others)
    return tuple((others[start:] + others[:start])[:count])


def representative(instance_ids: Sequence[str]) -> str | None:
    """Return the instance of lowest rank, which exchanges summaries between data centres."""
    return min(instance_ids, default=None)
