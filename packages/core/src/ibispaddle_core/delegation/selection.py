"""Selection of the instance that serves a delegated request."""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Time for which an instance that refuses all requests is left out, and one that failed comes last.
EXCLUSION_MS = 1_000
# Instances of the own data centre that may fail with a request before others come first.
MAX_TRIED_NEAR = 2


@dataclass(frozen=True)
class Delegate:
    """An instance that takes delegated requests; `capacity` is its processor time in cores."""

    instance_id: str
    address: str
    data_centre: str
    capacity: float


class DelegateSelection:
    """Choose the delegate of a request: near, and with few delegated requests for its capacity.

    Of two at random, the one with less is chosen, so that instances that are cut off at the same time
    spread their requests although none knows of the others'.

    >>> selection = DelegateSelection("dc1", random.Random(1))
    >>> selection.replace([Delegate("a", "x:1", "dc1", 1.0), Delegate("b", "x:2", "dc2", 1.0)])
    >>> selection.choose(None, tried=(), now_ms=0).instance_id
    'a'
    >>> selection.choose(None, tried=("a",), now_ms=0).instance_id
    'b'
    >>> selection.choose(frozenset({"dc1"}), tried=("a",), now_ms=0) is None
    True
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre, self._rng = data_centre, rng
        self._delegates: dict[str, Delegate] = {}
        self._near_ids: set[str] = set()
        self._in_flight: dict[str, int] = {}  # By instance; without those that have none.
        self._excluded_until_ms: dict[str, int] = {}
        self._suspected_until_ms: dict[str, int] = {}
        # Those that refused or failed, and have not served since.
        self._failed_ids: set[str] = set()

    def replace(self, delegates: Iterable[Delegate]) -> None:
        """Replace the instances that take delegated requests."""
        self._delegates = {delegate.instance_id: delegate for delegate in delegates}
        self._near_ids = {
            name
            for name, delegate in self._delegates.items()
            if delegate.data_centre == self._data_centre
        }
        for times in (self._excluded_until_ms, self._suspected_until_ms):
            for name in times.keys() - self._delegates.keys():
                del times[name]
        self._failed_ids &= self._delegates.keys()

    def choose(
        self, data_centres: frozenset[str] | None, tried: Collection[str], now_ms: int
    ) -> Delegate | None:
        """Return an instance for a request, or None.

        `data_centres` are those of the request's home, None for all, and `tried` the instances that
        have failed with it. Instances of the own data centre come first, and suspected ones last.
        """
        near: list[Delegate] = []
        far: list[Delegate] = []
        suspected: list[Delegate] = []
        for name, delegate in self._delegates.items():
            is_near = name in self._near_ids
            if name in tried or now_ms < self._excluded_until_ms.get(name, now_ms):
                continue
            if (
                not is_near
                and data_centres is not None
                and delegate.data_centre not in data_centres
            ):
                continue
            if now_ms < self._suspected_until_ms.get(name, now_ms):
                suspected.append(delegate)
            else:
                (near if is_near else far).append(delegate)
        # A data centre may be cut off as a whole.
        tried_near = sum(name in tried for name in self._near_ids)
        first = far or near if tried_near >= MAX_TRIED_NEAR else near or far
        pool = first or suspected
        if not pool:
            return None
        return min(self._rng.sample(pool, min(2, len(pool))), key=self._load)

    def begin(self, instance_id: str) -> None:
        """Record that a request is delegated to an instance."""
        self._in_flight[instance_id] = self._in_flight.get(instance_id, 0) + 1

    def end(self, instance_id: str) -> None:
        """Record the end of a delegated request."""
        count = self._in_flight.get(instance_id, 0) - 1
        if count > 0:
            self._in_flight[instance_id] = count
        else:
            self._in_flight.pop(instance_id, None)

    def exclude(self, instance_id: str, now_ms: int) -> None:
        """Leave out an instance that refuses all requests for a while."""
        self._excluded_until_ms[instance_id] = now_ms + EXCLUSION_MS
        self._failed_ids.add(instance_id)

    def suspect(self, instance_id: str, now_ms: int) -> None:
        """Choose an instance that failed only if there is no other, for a while."""
        self._suspected_until_ms[instance_id] = now_ms + EXCLUSION_MS
        self._failed_ids.add(instance_id)

    def record_served(self, instance_id: str) -> None:
        """Record that an instance has passed on an upstream's response."""
        self._failed_ids.discard(instance_id)

    def forget_failures(self) -> None:
        """Take all instances for delegates again, because the situation has changed."""
        self._failed_ids.clear()

    def has_delegate(self) -> bool:
        """Return whether there is an instance that has not refused or failed last."""
        return not self._failed_ids.issuperset(self._delegates)

    def _load(self, delegate: Delegate) -> float:
        """Return the delegated requests in flight for each core, with the one to choose for."""
        count = self._in_flight.get(delegate.instance_id, 0) + 1
        return count / max(delegate.capacity, 0.01)
