"""Aggregation on a hub of the work that all instances have in flight."""

from collections import Counter
from collections.abc import Mapping
from itertools import islice

from ..scheduling import PeerWork, UpstreamWork, WaitingPrompt
from ..scheduling.reservation_order import MAX_FLEET_REPORTED, in_turn

# Instance id in a sum over all instances but one.
FLEET_INSTANCE_ID = "fleet"
# Instances repeat their report well within this time. One that does not is considered terminated,
# along with the connections of its requests.
REPORT_EXPIRY_MS = 1_500
EXPIRY_CHECK_INTERVAL_MS = 100
# Age up to which the order of all waiting prompts is reused; instances ask each 50 ms while one waits.
ORDER_MAX_AGE_MS = 25
# A smaller remaining prefill time is a rounding error.
MIN_PREFILL_MS = 0.5

_IDLE = UpstreamWork()


class WorkAggregator:
    """Sum the work by upstream over all instances except the requesting one.

    >>> aggregator = WorkAggregator()
    >>> aggregator.update(PeerWork("a", {"r1": UpstreamWork(50.0, 1, 5_000)}), now_ms=0)
    >>> aggregator.update(PeerWork("b", {"r1": UpstreamWork(20.0, 1, 2_000)}), now_ms=0)
    >>> aggregator.total_excluding("b", now_ms=10).work
    {'r1': UpstreamWork(prefill_ms=50.0, requests=1, kv_tokens=5000, parts=0)}
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[int, PeerWork]] = {}  # With the time of receipt.
        self._totals: dict[str, UpstreamWork] = {}
        self._last_expiry_ms = 0
        self._holders: Counter[str] = Counter()
        # The waiting prompts of all instances in the fleet's order, with their instances.
        self._waiting: list[tuple[str, WaitingPrompt]] = []
        self._waiting_ms: int | None = None  # Time at which the order was computed.
        self._has_new_waiting = False

    def update(self, work: PeerWork, now_ms: int) -> None:
        """Replace the work that an instance has in flight."""
        previous = self._reports.pop(work.instance, None)
        if previous is not None:
            self._remove(previous[1])
        if work.work or work.avoided or work.waiting:
            self._reports[work.instance] = (now_ms, work)
            self._add(work.work, 1)
            self._holders.update(work.holders)
            self._has_new_waiting |= bool(work.waiting)

    def total_excluding(self, instance: str, now_ms: int) -> PeerWork:
        """Return the total work of all other instances and the upstreams that they avoid."""
        self._expire(now_ms)
        report = self._reports.get(instance)
        own: Mapping[str, UpstreamWork] = report[1].work if report is not None else {}
        work = dict(self._totals)
        for upstream_id, item in own.items():
            remaining = _add_signed(work.pop(upstream_id, item), item, -1)
            if not _is_idle(remaining):
                work[upstream_id] = remaining
        waiting = self._first_waiting(instance, now_ms)
        holders: Mapping[str, int] = {}
        if waiting:
            own_holders = report[1].holders if report is not None else {}
            holders = dict(self._holders - Counter(own_holders))
        return PeerWork(
            FLEET_INSTANCE_ID, work, self._avoided(instance), waiting=waiting, holders=holders
        )

    def _avoided(self, instance: str) -> tuple[str, ...]:
        """Return the upstreams that instances other than this one avoid, by id."""
        reported = (work.avoided for name, (_, work) in self._reports.items() if name != instance)
        return tuple(sorted({upstream_id for avoided in reported for upstream_id in avoided}))

    def _first_waiting(self, instance: str, now_ms: int) -> tuple[WaitingPrompt, ...]:
        """Return the first waiting prompts of all other instances in the fleet's order."""
        is_old = self._waiting_ms is None or now_ms - self._waiting_ms >= ORDER_MAX_AGE_MS
        if self._has_new_waiting and is_old:
            self._has_new_waiting, self._waiting_ms = False, now_ms
            instances = {
                prompt: name for name, (_, work) in self._reports.items() for prompt in work.waiting
            }
            ordered = in_turn(instances, self._holders)
            self._waiting = [(instances[prompt], prompt) for prompt in ordered]
        others = (prompt for name, prompt in self._waiting if name != instance)
        return tuple(islice(others, MAX_FLEET_REPORTED))

    def _expire(self, now_ms: int) -> None:
        if now_ms < self._last_expiry_ms + EXPIRY_CHECK_INTERVAL_MS:
            return
        self._last_expiry_ms = now_ms
        for name, (received_ms, work) in list(self._reports.items()):
            if now_ms - received_ms > REPORT_EXPIRY_MS:
                del self._reports[name]
                self._remove(work)

    def _remove(self, work: PeerWork) -> None:
        self._add(work.work, -1)
        self._holders.subtract(work.holders)
        self._has_new_waiting |= bool(work.waiting)

    def _add(self, works: Mapping[str, UpstreamWork], sign: int) -> None:
        for upstream_id, work in works.items():
            total = _add_signed(self._totals.pop(upstream_id, _IDLE), work, sign)
            if not _is_idle(total):
                self._totals[upstream_id] = total


def _add_signed(total: UpstreamWork, work: UpstreamWork, sign: int) -> UpstreamWork:
    return UpstreamWork(
        total.prefill_ms + sign * work.prefill_ms,
        total.requests + sign * work.requests,
        total.kv_tokens + sign * work.kv_tokens,
        total.parts + sign * work.parts,
    )


def _is_idle(work: UpstreamWork) -> bool:
    return (
        work.prefill_ms < MIN_PREFILL_MS
        and not work.requests
        and not work.kv_tokens
        and not work.parts
    )
