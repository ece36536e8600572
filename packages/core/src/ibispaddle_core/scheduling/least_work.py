"""Choice of upstreams by the least harm, with several engines reading one prompt.

An engine computes all its work in passes. A prompt that is read in a pass lengthens it, so the
streams that the engine writes pause, and a short prompt waits for the end of the pass. Reading is
harmless while all that an engine reads in one pass stays within the shortest pause that streams
may make. The longest prompts exceed it even when many engines share them; those are read by few
engines that write few streams. The number of engines is chosen anew for each prompt, which answers
mixes that change within seconds: no engine is set aside for a kind of work.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..settings.fleet import ModelConfig
from .cost import CostModel
from .groups import Group
from .health import UpstreamHealth
from .messages import Request
from .placement import Choice, Placement
from .runners import RunnerTable, RunnerView

# Numbers of engines that are compared for one prompt.
JOINT_SIZES = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Upstreams that have failed a prompt, counting helpers, from which it gets few engines or one.
TRIED_FOR_FEW_HELPERS = 4
TRIED_FOR_NO_HELPER = 6
FEW_ENGINES = 4
# A shorter part is not worth the message to another engine.
MIN_PART_MS = 20.0
# Part of the objective for the first token that a prediction may use up before it counts as risky.
SAFE_PART = 0.5
# Harm, in late streams, of a second by which a pause exceeds the harmless one.
HARM_PER_S = 1.0
# Harm of a second by which an answer begins late; it is little, because what is late is late.
LATE_HARM_PER_S = 0.02
# Harm of using up the whole time to the first token without being late. It makes a prompt that can be
# read by many engines without harm begin soon.
URGENCY = 0.03
# Harm of one millisecond of work in flight at an engine; it decides between harmless choices.
HARM_PER_WORK_MS = 0.0005
# Work that one more stream at an engine stands for; mostly its part in filling slots and memory.
REQUEST_WORK_MS = 6.0
# Work whose harm differs by less is equal. The choice among equals is random, because several
# instances that see the same work would otherwise all choose the same engine.
NEAR_EQUAL_HARM = 0.002
# Work that a failure rate of 1 stands for, so that an upstream with recent failures is used last.
FAILURE_WORK_MS = 400.0


@dataclass(frozen=True, slots=True)
class _Plan:
    """Hold the engines that could read a prompt, the first one answering, with the harm done."""

    views: list[RunnerView]
    part_ms: float
    wait_ms: float
    harm: float


class LeastWorkPlacement:
    """Choose the upstreams at which a request does the least harm."""

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
        room = [view for view in room if not self._must_rest(view, tried, now_ms)]
        room = self._preferred(room, tried, now_ms)
        if not room:
            return None
        may_help = self._usable_helpers(live, cfg, tried, now_ms)
        reading_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        plans = [
            self._plan(req, room, may_help, reading_ms, size, now_ms)
            for size in self.sizes(req, reading_ms, len(tried))
        ]
        plan = min((plan for plan in plans if plan is not None), key=lambda plan: plan.harm)
        tokens = req.prompt_tokens // len(plan.views)
        first, helpers = plan.views[0], tuple(plan.views[1:])
        ttft_ms = _first_token_ms(plan.wait_ms, plan.part_ms, cfg)
        return Choice(first, plan.wait_ms, ttft_ms, tokens, plan.part_ms, helpers, cfg.pass_ms)

    def choose_group(
        self, req: Request, live: list[RunnerView], wanted: set[str], now_ms: int
    ) -> Group | None:
        """Return the engines that hold a prompt which spans engines, or None while none fit."""
        cfg = self._cost.model(req.model)
        reading_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        tokens = self._cost.kv_tokens(req)
        best: _Plan | None = None
        for size in range(max(2, self._cost.segments(req)), cfg.max_helpers + 1):
            fitting = [
                view
                for view in self._preferred(live, set(), now_ms)
                if view.upstream.upstream_id not in wanted
                and _has_room(view, cfg, -(-tokens // size))
                and _may_help(view, cfg)
            ]
            plan = self._plan(req, fitting, fitting, reading_ms, size, now_ms)
            if plan is not None and (best is None or plan.harm < best.harm):
                best = plan
        if best is None:
            return None
        views = sorted(best.views, key=lambda view: view.upstream.upstream_id)
        return Group(views, fits=True, wanted=False)

    def sizes(self, req: Request, reading_ms: float, tried: int) -> list[int]:
        """Return the numbers of engines that are worth comparing.

        Each helper is one more that may fail, so a prompt that has failed gets fewer of them.
        """
        most = self._cost.model(req.model).max_helpers + 1
        if tried >= TRIED_FOR_FEW_HELPERS:
            most = FEW_ENGINES if tried < TRIED_FOR_NO_HELPER else 1
        return [s for s in JOINT_SIZES if s == 1 or (s <= most and reading_ms / s >= MIN_PART_MS)]

    def _plan(
        self,
        req: Request,
        room: list[RunnerView],
        helpers: list[RunnerView],
        reading_ms: float,
        size: int,
        now_ms: int,
    ) -> _Plan | None:
        """Return the least harmful way to read the prompt with so many engines, if there is one."""
        cfg = self._cost.model(req.model)
        part_ms = reading_ms / size
        views = self._least(room, 1, part_ms, cfg, now_ms)
        if size > 1 and views:
            others = [view for view in helpers if view is not views[0]]
            views = [*views, *self._least(others, size - 1, part_ms, cfg, now_ms)]
        if len(views) < size:
            return None
        wait_ms = max(view.unread_ms(now_ms) for view in views)
        harm = sum(self._harm(view, part_ms, cfg, now_ms) for view in views)
        harm += self._lateness(req, _first_token_ms(wait_ms, part_ms, cfg), cfg, now_ms)
        return _Plan(views, part_ms, wait_ms, harm)

    def _lateness(
        self, req: Request, first_token_ms: float, cfg: ModelConfig, now_ms: int
    ) -> float:
        """Return the harm of a late first token, in late streams of the usual size."""
        if req.objective_ms is None:
            return 0.0
        left_ms = max(1.0, req.objective_ms - (now_ms - req.arrived_ms))
        used = first_token_ms / left_ms
        size = max(1.0, req.prompt_tokens / cfg.usual_prompt_tokens)
        risk = min(1.0, max(0.0, (used - SAFE_PART) / (1 - SAFE_PART)))
        late_s = max(0.0, first_token_ms - left_ms) / 1000
        return size * (URGENCY * min(used, 1.0) + risk + LATE_HARM_PER_S * late_s)

    def _harm(self, view: RunnerView, part_ms: float, cfg: ModelConfig, now_ms: int) -> float:
        """Return the harm that reading a part does at an engine, in late streams."""
        unread_ms = view.unread_ms(now_ms)
        added = _pause_harm(unread_ms + part_ms, cfg) - _pause_harm(unread_ms, cfg)
        return view.requests * added

    def _rank(self, view: RunnerView, part_ms: float, cfg: ModelConfig, now_ms: int) -> float:
        """Return the order in which engines are taken: the least harm, then the least work."""
        failure_rate = self._health.failure_rate(view.upstream.upstream_id, now_ms)
        work_ms = view.unread_ms(now_ms) + REQUEST_WORK_MS * view.requests
        work_ms += FAILURE_WORK_MS * failure_rate
        return self._harm(view, part_ms, cfg, now_ms) + HARM_PER_WORK_MS * work_ms

    def _least(
        self, views: list[RunnerView], count: int, part_ms: float, cfg: ModelConfig, now_ms: int
    ) -> list[RunnerView]:
        ranked = [
            (self._rank(view, part_ms, cfg, now_ms) + NEAR_EQUAL_HARM * self._rng.random(), view)
            for view in views
        ]
        ranked.sort(key=lambda item: item[0])
        return [view for _, view in ranked[:count]]

    def _must_rest(self, view: RunnerView, tried: set[str], now_ms: int) -> bool:
        """Return whether the upstream has just failed this very request."""
        upstream_id = view.upstream.upstream_id
        return upstream_id in tried and self._health.is_avoided(upstream_id, now_ms)

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

    def _usable_helpers(
        self, live: list[RunnerView], cfg: ModelConfig, tried: set[str], now_ms: int
    ) -> list[RunnerView]:
        return [
            view
            for view in live
            if view.upstream.upstream_id not in tried
            and _may_help(view, cfg)
            and not self._health.is_avoided(view.upstream.upstream_id, now_ms)
        ]


class FewestRequestsPlacement(LeastWorkPlacement):
    """Choose the upstream with the fewest requests of this instance; a baseline."""

    def sizes(self, req: Request, reading_ms: float, tried: int) -> list[int]:
        """Return 1: each prompt is read by the engine that answers it."""
        return [1]

    def _rank(self, view: RunnerView, part_ms: float, cfg: ModelConfig, now_ms: int) -> float:
        return float(view.own_requests)


def _first_token_ms(wait_ms: float, part_ms: float, cfg: ModelConfig) -> float:
    """Return the time to the first token: half a pass, the reading, and the pass that writes."""
    return wait_ms + part_ms + 1.5 * cfg.pass_ms


def _pause_harm(reading_ms: float, cfg: ModelConfig) -> float:
    """Return the harm to each stream of an engine that reads so much in its next passes."""
    excess_ms = reading_ms - cfg.harmless_reading_ms
    return 0.0 if excess_ms <= 0 else 1.0 + HARM_PER_S * excess_ms / 1000


def _has_room(view: RunnerView, cfg: ModelConfig, kv_tokens: int) -> bool:
    """Return whether the upstream can start one more request at once."""
    if cfg.upstream_slots is not None and view.requests >= cfg.upstream_slots:
        return False
    return cfg.call_ms is not None or view.kv_free() >= kv_tokens


def _may_help(view: RunnerView, cfg: ModelConfig) -> bool:
    """Return whether the engine can take one more part of another engine's prompt."""
    return cfg.upstream_slots is None or view.parts < cfg.upstream_slots


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
