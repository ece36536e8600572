"""Selection of the hubs among the listed instances.

All instances rank the instance list in the same way: by processor time in descending order, ties by a
hash. The first `HUB_COUNT` instances are the hubs. There is no election: an instance that cannot
reach a hub skips it for a while, and one with an older list may select a different hub. In both cases
that instance only gets a less complete view of the fleet.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..membership import hashing

# One hub answers queries; the other receives the same reports as a standby.
HUB_COUNT = 2
# An unreachable instance is skipped for this time, doubled after each further failure.
INITIAL_BACKOFF_MS = 3_000
MAX_BACKOFF_MS = 48_000
# Consecutive failures, over about ten seconds, after which an instance is taken off the list.
FAILURES_TO_DELIST = 3


@dataclass(frozen=True)
class Candidate:
    """A listed instance that may become a hub; `capacity` is its processor time in cores.

    `delegate_address` is that of its listener for delegated requests; it takes none if it is empty.
    """

    instance_id: str
    address: str
    data_centre: str = ""
    capacity: float = 1.0
    delegate_address: str = ""


@dataclass(slots=True)
class _Backoff:
    until_ms: int
    failures: int


class HubRanking:
    """Rank the listed instances and skip unreachable ones.

    >>> ranking = HubRanking("b")
    >>> ranking.replace_candidates([Candidate("a", "x:1", capacity=2.0), Candidate("b", "x:2")])
    >>> ranking.hubs(now_ms=0)
    ('a', 'b')
    >>> ranking.mark_unreachable("a", now_ms=0)
    >>> ranking.hubs(now_ms=10), ranking.hubs(now_ms=3_000)
    (('b',), ('a', 'b'))
    """

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self._candidates: dict[str, Candidate] = {}
        self._ranked: tuple[str, ...] = ()
        self._position = 0
        self._backoffs: dict[str, _Backoff] = {}

    def replace_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the list of instances."""
        self._candidates = {candidate.instance_id: candidate for candidate in candidates}
        self._ranked = tuple(sorted(self._candidates, key=self._sort_key))
        self._position = sum(name < self.instance_id for name in self._candidates)
        for name in self._backoffs.keys() - self._candidates.keys():
            del self._backoffs[name]

    def _sort_key(self, name: str) -> tuple[float, int, str]:
        capacity = round(self._candidates[name].capacity, 1)
        return (-capacity, hashing.rendezvous_score("hub", name), name)

    @property
    def size(self) -> int:
        """Return the number of listed instances."""
        return len(self._ranked)

    @property
    def position(self) -> int:
        """Return the position of this instance among the listed ones by id, or 0 if it is not listed."""
        return self._position

    def candidate(self, instance_id: str) -> Candidate | None:
        """Return the listed instance with this id, or None."""
        return self._candidates.get(instance_id)

    def mark_unreachable(self, instance_id: str, now_ms: int) -> None:
        """Skip an instance that did not answer, for an exponentially increasing time."""
        backoff = self._backoffs.setdefault(instance_id, _Backoff(0, 0))
        if now_ms < backoff.until_ms:
            return
        backoff.until_ms = now_ms + min(
            MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(backoff.failures, 10)
        )
        backoff.failures += 1

    def instances_to_delist(self, now_ms: int) -> tuple[str, ...]:
        """Return the instances to remove from the list; empty unless this instance is the first hub.

        An unreachable instance that stayed listed would be tried again by each process that starts.
        An instance that recovers registers itself again.
        """
        if self.hubs(now_ms)[:1] != (self.instance_id,):
            return ()
        return tuple(
            name
            for name, backoff in self._backoffs.items()
            if backoff.failures >= FAILURES_TO_DELIST
        )

    def mark_reachable(self, instance_id: str) -> None:
        """Stop skipping an instance that answered."""
        self._backoffs.pop(instance_id, None)

    def hubs(self, now_ms: int, excluded: Collection[str] = ()) -> tuple[str, ...]:
        """Return the hubs, highest rank first."""
        selected: list[str] = []
        for name in self._ranked:
            if name != self.instance_id and (name in excluded or self._is_skipped(name, now_ms)):
                continue
            selected.append(name)
            if len(selected) == HUB_COUNT:
                break
        return tuple(selected)

    def others(self) -> tuple[str, ...]:
        """Return all other listed instances, highest rank first."""
        return tuple(name for name in self._ranked if name != self.instance_id)

    def before(self, excluded: Collection[str] = ()) -> tuple[str, ...]:
        """Return the instances that are ranked before this one, highest rank first."""
        if self.instance_id not in self._ranked:
            return ()
        first = self._ranked[: self._ranked.index(self.instance_id)]
        return tuple(name for name in first if name not in excluded)

    def hubs_before(self, now_ms: int, excluded: Collection[str] = ()) -> tuple[str, ...]:
        """Return the hubs that are ranked before this instance.

        A hub queries only hubs of a higher rank, so two hubs never wait for each other.
        """
        hubs = self.hubs(now_ms, excluded)
        if self.instance_id in hubs:
            return hubs[: hubs.index(self.instance_id)]
        return hubs

    def is_hub(self, now_ms: int, excluded: Collection[str] = ()) -> bool:
        """Return whether this instance considers itself a hub; true if it knows no instance."""
        return not self._ranked or self.instance_id in self.hubs(now_ms, excluded)

    def _is_skipped(self, name: str, now_ms: int) -> bool:
        backoff = self._backoffs.get(name)
        return backoff is not None and now_ms < backoff.until_ms
