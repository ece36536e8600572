"""The work in flight of all instances, as a hub keeps it."""

from collections.abc import Mapping

from ..scheduling import PeerWork, UpstreamWork

# Stands for all instances but one in a picture.
FLEET_INSTANCE_ID = "fleet"
# An instance repeats what it has in flight well within this time. One that does not is gone, and
# with it the connections of its requests.
REPORT_EXPIRY_MS = 1_500
# Interval at which the board looks for instances that are gone.
EXPIRY_CHECK_INTERVAL_MS = 100
# Less reading time than this is what rounding has left of it.
MIN_PREFILL_MS = 0.5

_IDLE = UpstreamWork()


class WorkAggregator:
    """Sum the work of all instances by upstream, and leave out that of the one that asks.

    >>> board = WorkAggregator()
    >>> board.tell(PeerWork("a", {"r1": UpstreamWork(50.0, 1, 5_000)}), now_ms=0)
    >>> board.tell(PeerWork("b", {"r1": UpstreamWork(20.0, 1, 2_000)}), now_ms=0)
    >>> board.others("b", now_ms=10).work
    {'r1': UpstreamWork(prefill_ms=50.0, requests=1, kv_tokens=5000, parts=0)}
    """

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, PeerWork]] = {}
        self._totals: dict[str, UpstreamWork] = {}
        self._reviewed_ms = 0

    def update(self, work: PeerWork, now_ms: int) -> None:
        """Replace what an instance has in flight."""
        known = self._told.pop(work.instance, None)
        if known is not None:
            self._add(known[1].work, -1)
        if work.work or work.avoided:
            self._told[work.instance] = (now_ms, work)
            self._add(work.work, 1)

    def total_excluding(self, instance: str, now_ms: int) -> PeerWork:
        """Return what all other instances have in flight and avoid, as one."""
        self._expire(now_ms)
        known = self._told.get(instance)
        own: Mapping[str, UpstreamWork] = known[1].work if known is not None else {}
        work = dict(self._totals)
        for upstream_id, item in own.items():
            rest = _sum(work.pop(upstream_id, item), item, -1)
            if not _is_idle(rest):
                work[upstream_id] = rest
        return PeerWork(FLEET_INSTANCE_ID, work, self._avoided(instance))

    def _avoided(self, instance: str) -> tuple[str, ...]:
        """Return the upstreams that instances other than this one avoid, by id."""
        told = (work.avoided for name, (_, work) in self._told.items() if name != instance)
        return tuple(sorted({upstream_id for avoided in told for upstream_id in avoided}))

    def _expire(self, now_ms: int) -> None:
        if now_ms < self._reviewed_ms + EXPIRY_CHECK_INTERVAL_MS:
            return
        self._reviewed_ms = now_ms
        for name, (told_ms, work) in list(self._told.items()):
            if now_ms - told_ms > REPORT_EXPIRY_MS:
                del self._told[name]
                self._add(work.work, -1)

    def _add(self, works: Mapping[str, UpstreamWork], sign: int) -> None:
        for upstream_id, work in works.items():
            total = _sum(self._totals.pop(upstream_id, _IDLE), work, sign)
            if not _is_idle(total):
                self._totals[upstream_id] = total


def _sum(known: UpstreamWork, work: UpstreamWork, sign: int) -> UpstreamWork:
    return UpstreamWork(
        known.prefill_ms + sign * work.prefill_ms,
        known.requests + sign * work.requests,
        known.kv_tokens + sign * work.kv_tokens,
        known.parts + sign * work.parts,
    )


def _is_idle(work: UpstreamWork) -> bool:
    return (
        work.prefill_ms < MIN_PREFILL_MS
        and not work.requests
        and not work.kv_tokens
        and not work.parts
    )
