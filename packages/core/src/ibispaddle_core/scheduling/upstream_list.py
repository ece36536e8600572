"""The upstreams that may get work: the list, what upstreams state about themselves, and evacuations."""

from collections.abc import Collection

from .cost import CostModel
from .departures import DepartureTable
from .evacuations import EvacuationTable
from .health import UpstreamHealth
from .messages import Upstream, UpstreamResponded
from .pacing import UpstreamPacing
from .runners import RunnerTable


class UpstreamList:
    """Apply the list of upstreams, and what changes it, to the tables of the scheduler."""

    def __init__(
        self,
        cost: CostModel,
        runners: RunnerTable,
        health: UpstreamHealth,
        pacing: UpstreamPacing,
        evacuations: EvacuationTable,
    ) -> None:
        self._cost, self._runners, self._health, self._pacing = cost, runners, health, pacing
        self._evacuations = evacuations
        self._departures = DepartureTable()
        self._listed: tuple[Upstream, ...] = ()
        self.ids: Collection[str] = frozenset()

    def replace(self, upstreams: tuple[Upstream, ...]) -> None:
        """Replace the list; it has no effect before `apply`."""
        self._listed = upstreams
        self.ids = {upstream.upstream_id for upstream in upstreams}

    def apply(self, now_ms: int) -> set[str]:
        """Apply the list to the runners and return the ids of those that are down."""
        upstreams = self._evacuations.apply(self._departures.apply(self._listed))
        down = {view.upstream.upstream_id for view in self._runners.replace(upstreams)}
        self._pacing.cold.replace_upstreams(upstreams, self._cost, now_ms)
        self._health.forget_missing(set(self._runners.views))
        self._pacing.forget_missing(self._runners.views.keys())
        return down

    def apply_limits(self, now_ms: int) -> None:
        """Apply the limits of a new configuration to the listed upstreams."""
        self._pacing.cold.replace_upstreams(self._listed, self._cost, now_ms)

    def record_response(self, event: UpstreamResponded, now_ms: int) -> bool:
        """Record what an upstream states about itself; return whether `apply` must follow."""
        view = self._runners.views.get(event.upstream_id)
        if view is None:
            return False
        self._pacing.observe(event.upstream_id, event.limit_per_s, now_ms)
        if event.cold_remaining_ms is not None:
            self._pacing.cold.observe(event.upstream_id, event.cold_remaining_ms, now_ms)
        if event.retry_after_ms > 0:
            self._pacing.hold(event.upstream_id, event.retry_after_ms, now_ms)
        is_in_use = view.live or self._evacuations.is_marked(event.upstream_id)
        if not event.is_leaving or not is_in_use:
            return False
        self._departures.add(view.upstream)
        return True
