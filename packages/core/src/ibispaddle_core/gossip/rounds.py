"""Selection of the instances that receive a digest in a gossip round."""

import random
from collections.abc import Mapping, Sequence

FAN_OUT = 3


def random_targets(
    rng: random.Random, instance_id: str, local_instances: Sequence[str], count: int = FAN_OUT
) -> list[str]:
    """Return up to `count` random instances of the data centre other than this one."""
    others = [other for other in local_instances if other != instance_id]
    return rng.sample(others, min(count, len(others)))


def summary_targets(
    instance_id: str, data_centre: str, ranked: Mapping[str, Sequence[str]]
) -> list[str]:
    """Return the instances of other data centres that this instance exchanges summaries with.

    `ranked` contains the ranked instances of each data centre. Each pair of data centres has one
    link; the links of a data centre are distributed over its instances by rank.

    >>> ranked = {"x": ["x1", "x2"], "y": ["y1"], "z": ["z1", "z2"]}
    >>> summary_targets("x1", "x", ranked), summary_targets("x2", "x", ranked)
    (['y1'], ['z1'])
    """
    selected = []
    others = sorted(centre for centre in ranked if centre != data_centre and ranked[centre])
    local_instances = ranked.get(data_centre, ())
    for index, centre in enumerate(others):
        if not local_instances or local_instances[index % len(local_instances)] != instance_id:
            continue
        theirs = sorted(c for c in ranked if c != centre and ranked[c])
        peers = ranked[centre]
        selected.append(peers[theirs.index(data_centre) % len(peers)])
    return selected
