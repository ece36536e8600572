"""Which instances are the hubs.

All instances rank the list of instances in the same way: those with the most processor time first,
equal ones by a hash. The first ones are the hubs. There is no election: an instance that cannot reach
a hub leaves it out for a while, and one whose list is older may choose another. Both only make the
picture of the fleet that they get less complete.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..membership import hashing

# One hub answers; the other one has been told the same and takes over.
HUB_COUNT = 2
# Time for which a hub that did not answer is left out, doubled with each further time.
INITIAL_BACKOFF_MS = 3_000
MAX_BACKOFF_MS = 48_000
# An instance that did not answer this often in a row, over about ten seconds, is gone.
FAILURES_TO_DELIST = 3


@dataclass(frozen=True)
class Candidate:
    """Describe a listed instance; `capacity` is its processor time in cores."""

    instance_id: str
    address: str
    data_centre: str = ""
    capacity: float = 1.0


@dataclass(slots=True)
class _Suspicion:
    until_ms: int
    failures: int


class HubRanking:
    """Rank the listed instances and leave out those that do not answer.

    >>> ranking = HubRanking("b")
    >>> ranking.replace([Candidate("a", "x:1", capacity=2.0), Candidate("b", "x:2")])
    >>> ranking.hubs(now_ms=0)
    ('a', 'b')
    >>> ranking.suspect("a", now_ms=0)
    >>> ranking.hubs(now_ms=10), ranking.hubs(now_ms=3_000)
    (('b',), ('a', 'b'))
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._candidates: dict[str, Candidate] = {}
        self._order: tuple[str, ...] = ()
        self._suspicions: dict[str, _Suspicion] = {}

    def replace_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Take over the list of instances."""
        self._candidates = {candidate.instance_id: candidate for candidate in candidates}
        self._order = tuple(sorted(self._candidates, key=self._sort_key))
        for name in self._suspicions.keys() - self._candidates.keys():
            del self._suspicions[name]

    def _sort_key(self, name: str) -> tuple[float, int, str]:
        capacity = round(self._candidates[name].capacity, 1)
        return (-capacity, hashing.rendezvous_score("hub", name), name)

    @property
    def size(self) -> int:
        """Return the number of listed instances."""
        return len(self._order)

    def candidate(self, instance_id: str) -> Candidate | None:
        """Return a listed instance."""
        return self._candidates.get(instance_id)

    def mark_unreachable(self, instance_id: str, now_ms: int) -> None:
        """Leave out an instance that did not answer."""
        known = self._suspicions.setdefault(instance_id, _Suspicion(0, 0))
        if now_ms < known.until_ms:
            return
        known.until_ms = now_ms + min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(known.failures, 10))
        known.failures += 1

    def instances_to_delist(self, now_ms: int) -> tuple[str, ...]:
        """Return the instances that the first hub takes off the list; other ones take off none.

        Such an instance would be asked again by each process that starts. One that comes back lists
        itself anew.
        """
        if self.hubs(now_ms)[:1] != (self._instance_id,):
            return ()
        return tuple(
            name for name, known in self._suspicions.items() if known.failures >= FAILURES_TO_DELIST
        )

    def mark_reachable(self, instance_id: str) -> None:
        """Trust an instance that answered."""
        self._suspicions.pop(instance_id, None)

    def hubs(self, now_ms: int, excluded: Collection[str] = ()) -> tuple[str, ...]:
        """Return the hubs, best first.

        An instance that is a hub itself asks only those before it, so two never wait for each other.
        """
        found: list[str] = []
        for name in self._order:
            if name != self._instance_id and (name in excluded or self._is_suspect(name, now_ms)):
                continue
            found.append(name)
            if len(found) == HUB_COUNT:
                break
        return tuple(found)

    def hubs_before(self, now_ms: int, excluded: Collection[str] = ()) -> tuple[str, ...]:
        """Return the hubs that are ranked before this instance."""
        hubs = self.hubs(now_ms, excluded)
        if self._instance_id in hubs:
            return hubs[: hubs.index(self._instance_id)]
        return hubs

    def is_hub(self, now_ms: int, excluded: Collection[str] = ()) -> bool:
        """Return whether this instance is a hub as far as it knows, or knows no instance."""
        return not self._order or self._instance_id in self.hubs(now_ms, excluded)

    def _is_suspect(self, name: str, now_ms: int) -> bool:
        suspicion = self._suspicions.get(name)
        return suspicion is not None and now_ms < suspicion.until_ms
