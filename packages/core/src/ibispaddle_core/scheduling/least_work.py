"""Choice of upstreams by the least work in flight, with several engines reading one prompt.

An engine computes all its work in passes. A long prompt that one engine reads alone lengthens its
passes to half a second, so the streams it writes pause and a short prompt waits. The reading is
therefore cut into parts of tens of milliseconds, each on another engine, and every part and every
short prompt goes where the least reading is left. This answers mixes that change within seconds: no
engine is set aside for a kind of work.
"""

from collections.abc import Iterable
from random import Random

from ..settings.fleet import ModelConfig
from .cost import CostModel
from .health import UpstreamHealth
from .messages import Request
from .placement import Choice, Placement
from .runners import RunnerTable, RunnerView

# Work that one more stream at an engine stands for when engines are compared; mostly its part in
# filling the slots and the memory.
REQUEST_WORK_MS = 6.0
# Upstreams whose work differs by less are equal. The choice among them is random, because several
# instances that see the same work would otherwise all choose the same one.
NEAR_EQUAL_MS = 4.0
# Added per unit of failure rate, so that an upstream with recent failures is used last.
FAILURE_WORK_MS = 400.0


class LeastWorkPlacement:
    """Choose the upstream with the least work in flight of all instances."""

    def __init__(self, cost: CostModel, health: UpstreamHealth, rng: Random) -> None:
        self._cost = cost
        self._health = health
        self._rng = rng

    def priority(self, req: Request) -> int:
        """Return the engine priority of the request."""
        return self._cost.priority(req)

    def choose(
        self,
        req: Request,
        tried: set[str],
        spare_only: bool,
        runners: RunnerTable,
        now_ms: int,
    ) -> Choice | None:
        """Return the choice, or None while no upstream has a free slot and the memory."""
        cfg = self._cost.model(req.model)
        live = runners.live(req.model)
        needed = self._cost.kv_tokens(req)
        room = [view for view in live if _has_room(view, cfg, needed)]
        if spare_only:
            room = [view for view in room if view.idle]
        first = self._least(self._preferred(room, tried, now_ms), now_ms)
        if first is None:
            return None
        reading_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        parts = self.parts(req, reading_ms, len(live))
        helpers = self._helpers(live, first, tried, parts - 1, now_ms) if parts > 1 else []
        part_ms = reading_ms / (len(helpers) + 1)
        wait_ms = max(view.unread_ms(now_ms) for view in (first, *helpers))
        tokens = req.prompt_tokens // (len(helpers) + 1)
        return Choice(first, wait_ms, wait_ms + part_ms, tokens, part_ms, tuple(helpers))

    def parts(self, req: Request, reading_ms: float, live: int) -> int:
        """Return the number of engines that read the prompt."""
        cfg = self._cost.model(req.model)
        wanted = int(reading_ms / self._cost.scheduling.joint_part_ms)
        return max(1, min(wanted, cfg.max_helpers + 1, live))

    def _preferred(
        self, views: Iterable[RunnerView], tried: set[str], now_ms: int
    ) -> list[RunnerView]:
        """Leave out upstreams that failed, as long as others are left."""
        views = list(views)
        untried = [view for view in views if view.upstream.upstream_id not in tried] or views
        sound = [
            view
            for view in untried
            if not self._health.is_avoided(view.upstream.upstream_id, now_ms)
        ]
        return sound or untried

    def _work_ms(self, view: RunnerView, now_ms: int) -> float:
        failure_rate = self._health.failure_rate(view.upstream.upstream_id, now_ms)
        work_ms = view.unread_ms(now_ms) + REQUEST_WORK_MS * view.requests
        return work_ms + FAILURE_WORK_MS * failure_rate

    def _least(self, views: list[RunnerView], now_ms: int) -> RunnerView | None:
        if not views:
            return None
        ranked = [(self._work_ms(view, now_ms), view) for view in views]
        limit_ms = min(work_ms for work_ms, _ in ranked) + NEAR_EQUAL_MS
        return self._rng.choice([view for work_ms, view in ranked if work_ms <= limit_ms])

    def _helpers(
        self, live: list[RunnerView], first: RunnerView, tried: set[str], count: int, now_ms: int
    ) -> list[RunnerView]:
        others = [
            view
            for view in live
            if view is not first
            and view.upstream.upstream_id not in tried
            and not self._health.is_avoided(view.upstream.upstream_id, now_ms)
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda view: self._work_ms(view, now_ms))
        return others[:count]


class FewestRequestsPlacement(LeastWorkPlacement):
    """Choose the upstream with the fewest requests of this instance; a baseline."""

    def _work_ms(self, view: RunnerView, now_ms: int) -> float:
        return NEAR_EQUAL_MS * 2 * view.own_requests

    def parts(self, req: Request, reading_ms: float, live: int) -> int:
        """Return 1: each prompt is read by the engine that answers it."""
        return 1


def _has_room(view: RunnerView, cfg: ModelConfig, kv_tokens: int) -> bool:
    """Return whether the upstream can start one more request at once."""
    if cfg.upstream_slots is not None and view.requests >= cfg.upstream_slots:
        return False
    return cfg.call_ms is not None or view.kv_free() >= kv_tokens


def from_config(
    cost: CostModel, health: UpstreamHealth, rng: Random, predicted: Placement
) -> Placement:
    """Return the placement that the configuration names."""
    match cost.scheduling.placement:
        case "least_work":
            return LeastWorkPlacement(cost, health, rng)
        case "fewest_requests":
            return FewestRequestsPlacement(cost, health, rng)
        case _:
            return predicted
