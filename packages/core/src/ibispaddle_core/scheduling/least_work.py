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

import msgspec

from ..settings.fleet import ModelConfig
from .cost import CostModel, PromptClass
from .groups import Group
from .health import UpstreamHealth
from .messages import Request
from .placement import Choice, Placement
from .runners import RunnerTable, RunnerView

# Numbers of engines that are compared for one prompt.
JOINT_SIZES = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Engines that are looked at for one prompt, so that a choice costs the same in larger fleets. The best
# ones of so many are about as good as the best of all; if none of them has room, all are looked at.
MAX_COMPARED = 256
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
# Reading that may be left at an engine when it gets a part of a long prompt: less than the time in which a
# waiting prompt looks again.
MAX_UNREAD_MS = 100.0
# Reckoned time of writing an answer, relative to an undisturbed one.
WRITING_MARGIN = 2.0
# Work whose harm differs by less is equal. The choice among equals is random, because several
# instances that see the same work would otherwise all choose the same engine.
NEAR_EQUAL_HARM = 0.002
# Work that a failure rate of 1 stands for, so that an upstream with recent failures is used last.
FAILURE_WORK_MS = 400.0


class _Load(msgspec.Struct, frozen=True, eq=False, gc=False):
    """Hold what is needed of an engine for one choice, so that it is worked out only once.

    A struct is created several times as fast as a data class, and a choice needs one for each engine.
    """

    view: RunnerView
    pending_prefill_ms: float
    requests: int
    # Decides between engines at which the harm is equal; partly random.
    base_rank: float
    is_avoided: bool

    @property
    def upstream_id(self) -> str:
        """Return the id of the engine."""
        return self.view.upstream.upstream_id


@dataclass(frozen=True, slots=True)
class _Plan:
    """Hold the engines that could read a prompt, the first one answering, with the harm done."""

    loads: list[_Load]
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
        idle_only: bool,
        runners: RunnerTable,
        now_ms: int,
    ) -> Choice | None:
        """Return the choice, or None while no upstream has a free slot and the memory."""
        live = runners.live(req.model)
        if len(live) > MAX_COMPARED:
            some = self._rng.sample(live, MAX_COMPARED)
            choice = self._choose(req, tried, idle_only, some, runners.choice_rank, now_ms)
            if choice is not None:
                return choice
        return self._choose(req, tried, idle_only, live, runners.choice_rank, now_ms)

    def _choose(
        self,
        req: Request,
        tried: set[str],
        idle_only: bool,
        views: list[RunnerView],
        choice_rank: int,
        now_ms: int,
    ) -> Choice | None:
        cfg = self._cost.model(req.model)
        needed = self._cost.kv_tokens(req)
        loads = self._loads(views, now_ms)
        room = [
            load
            for load in loads
            if _has_room(load.view, cfg, needed) and not (idle_only and not load.view.idle)
            # The upstream has just failed this very request.
            and not (load.is_avoided and load.upstream_id in tried)
        ]
        room = _preferred(room, tried)
        if not room:
            return None
        if choice_rank and self._cost.prompt_class(req) < PromptClass.LONG:
            room = self._without_best(room, choice_rank, cfg)
        may_help = [
            load
            for load in loads
            if not load.is_avoided and load.upstream_id not in tried and _may_help(load.view, cfg)
        ]
        prefill_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        plans = [
            self._best_plan(req, room, may_help, prefill_ms, size, now_ms)
            for size in self.sizes(req, prefill_ms, len(tried))
        ]
        plan = min((plan for plan in plans if plan is not None), key=lambda plan: plan.harm)
        if self._should_wait(req, plan, now_ms):
            return None
        tokens = req.prompt_tokens // len(plan.loads)
        first, *helpers = [load.view for load in plan.loads]
        return Choice(
            first,
            plan.wait_ms,
            _first_token_ms(plan.wait_ms, plan.part_ms, cfg),
            tokens,
            plan.part_ms,
            tuple(helpers),
            cfg.pass_ms,
        )

    def choose_group(
        self, req: Request, live: list[RunnerView], wanted: set[str], now_ms: int
    ) -> Group | None:
        """Return the engines that hold a prompt which spans engines, or None while none fit."""
        if len(live) > MAX_COMPARED:
            some = self._rng.sample(live, MAX_COMPARED)
            group = self._choose_group(req, some, wanted, now_ms)
            if group is not None:
                return group
        return self._choose_group(req, live, wanted, now_ms)

    def _choose_group(
        self, req: Request, live: list[RunnerView], wanted: set[str], now_ms: int
    ) -> Group | None:
        cfg = self._cost.model(req.model)
        prefill_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        tokens = self._cost.kv_tokens(req)
        loads = [
            load
            for load in _preferred(self._loads(live, now_ms), set())
            if load.upstream_id not in wanted and _may_help(load.view, cfg)
        ]
        best: _Plan | None = None
        for size in range(max(2, self._cost.segments(req)), cfg.max_helpers + 1):
            fitting = [load for load in loads if _has_room(load.view, cfg, -(-tokens // size))]
            plan = self._best_plan(req, fitting, fitting, prefill_ms, size, now_ms)
            if plan is not None and (best is None or plan.harm < best.harm):
                best = plan
        if best is None or self._should_wait(req, best, now_ms):
            return None
        views = [load.view for load in best.loads]
        views.sort(key=lambda view: view.upstream.upstream_id)
        return Group(views, fits=True, wanted=False)

    def _without_best(self, room: list[_Load], choice_rank: int, cfg: ModelConfig) -> list[_Load]:
        """Leave the upstreams to which others are about to send, as long as one is left."""
        return self._least(room, len(room), MIN_PART_MS, cfg)[min(choice_rank, len(room) - 1) :]

    def _should_wait(self, req: Request, plan: _Plan, now_ms: int) -> bool:
        """Return whether a long prompt waits here until its engines have read the others.

        Engines read the part that came last first. Prompts that are sent one after the other to the same
        engines would all be late, the first one most.
        """
        if plan.wait_ms <= MAX_UNREAD_MS or self._cost.prompt_class(req) < PromptClass.LONG:
            return False
        prefill_ms = plan.wait_ms + _first_token_ms(0.0, plan.part_ms, self._cost.model(req.model))
        ends_ms = now_ms + prefill_ms + WRITING_MARGIN * self._cost.decode_ms(req)
        return ends_ms < req.deadline_ms

    def sizes(self, req: Request, prefill_ms: float, tried: int) -> list[int]:
        """Return the numbers of engines that are worth comparing.

        Each helper is one more that may fail, so a prompt that has failed gets fewer of them.
        """
        most = self._cost.model(req.model).max_helpers + 1
        if tried >= TRIED_FOR_FEW_HELPERS:
            most = FEW_ENGINES if tried < TRIED_FOR_NO_HELPER else 1
        return [s for s in JOINT_SIZES if s == 1 or (s <= most and prefill_ms / s >= MIN_PART_MS)]

    def _loads(self, views: Iterable[RunnerView], now_ms: int) -> list[_Load]:
        return [self._load(view, now_ms) for view in views]

    def _load(self, view: RunnerView, now_ms: int) -> _Load:
        upstream_id = view.upstream.upstream_id
        pending_prefill_ms, requests = view.pending_prefill_ms(now_ms), view.requests
        work_ms = pending_prefill_ms + REQUEST_WORK_MS * requests
        is_avoided = False
        if self._health.has_record(upstream_id):
            work_ms += FAILURE_WORK_MS * self._health.failure_rate(upstream_id, now_ms)
            is_avoided = self._health.is_avoided(upstream_id, now_ms)
        base_rank = HARM_PER_WORK_MS * work_ms + NEAR_EQUAL_HARM * self._rng.random()
        return _Load(view, pending_prefill_ms, requests, base_rank, is_avoided)

    def _best_plan(
        self,
        req: Request,
        room: list[_Load],
        may_help: list[_Load],
        prefill_ms: float,
        size: int,
        now_ms: int,
    ) -> _Plan | None:
        """Return the less harmful of two ways to read the prompt with so many engines.

        The engines at which the least streams pause may still read other long prompts. The second
        way leaves out those at which the first token would be late, or a long prompt would wait.
        """
        plan = self._plan(req, room, may_help, prefill_ms, size, now_ms)
        if plan is None or req.ttft_objective_ms is None:
            return plan
        cfg = self._cost.model(req.model)
        left_ms = req.ttft_objective_ms - (now_ms - req.arrived_ms)
        most_ms = left_ms - _first_token_ms(0.0, plan.part_ms, cfg)
        if self._cost.prompt_class(req) >= PromptClass.LONG:
            most_ms = MAX_UNREAD_MS
        if plan.wait_ms <= most_ms or most_ms < 0:
            return plan
        early = self._plan(
            req,
            [load for load in room if load.pending_prefill_ms <= most_ms],
            [load for load in may_help if load.pending_prefill_ms <= most_ms],
            prefill_ms,
            size,
            now_ms,
        )
        return plan if early is None or plan.harm <= early.harm else early

    def _plan(
        self,
        req: Request,
        room: list[_Load],
        may_help: list[_Load],
        prefill_ms: float,
        size: int,
        now_ms: int,
    ) -> _Plan | None:
        """Return the least harmful way to read the prompt with so many engines, if there is one."""
        cfg = self._cost.model(req.model)
        part_ms = prefill_ms / size
        loads = self._least(room, 1, part_ms, cfg)
        if size > 1 and loads:
            others = [load for load in may_help if load is not loads[0]]
            loads = [*loads, *self._least(others, size - 1, part_ms, cfg)]
        if len(loads) < size:
            return None
        wait_ms = max(load.pending_prefill_ms for load in loads)
        harm = sum(_harm(load, part_ms, cfg) for load in loads)
        harm += self._lateness(req, _first_token_ms(wait_ms, part_ms, cfg), cfg, now_ms)
        return _Plan(loads, part_ms, wait_ms, harm)

    def _lateness(
        self, req: Request, first_token_ms: float, cfg: ModelConfig, now_ms: int
    ) -> float:
        """Return the harm of a late first token, in late streams of the usual size."""
        if req.ttft_objective_ms is None:
            return 0.0
        left_ms = max(1.0, req.ttft_objective_ms - (now_ms - req.arrived_ms))
        used = first_token_ms / left_ms
        size = max(1.0, req.prompt_tokens / cfg.usual_prompt_tokens)
        risk = min(1.0, max(0.0, (used - SAFE_PART) / (1 - SAFE_PART)))
        late_s = max(0.0, first_token_ms - left_ms) / 1000
        return size * (URGENCY * min(used, 1.0) + risk + LATE_HARM_PER_S * late_s)

    def _least(
        self, loads: list[_Load], count: int, part_ms: float, cfg: ModelConfig
    ) -> list[_Load]:
        """Return the engines with the least harm, then the least work."""
        ranks = self._ranks(loads, part_ms, cfg)
        if count == 1:
            return [loads[ranks.index(min(ranks))]] if loads else []
        order = sorted(range(len(loads)), key=ranks.__getitem__)
        return [loads[index] for index in order[:count]]

    def _ranks(self, loads: list[_Load], part_ms: float, cfg: ModelConfig) -> list[float]:
        # The same as `_harm`, written out: this runs for each engine and each number of engines.
        limit_ms = cfg.harmless_reading_ms
        harmless_ms = limit_ms - part_ms
        first = 1.0 - HARM_PER_S * harmless_ms / 1000
        further = HARM_PER_S * part_ms / 1000
        return [
            (
                load.base_rank
                if load.pending_prefill_ms <= harmless_ms
                else load.base_rank
                + load.requests
                * (
                    further
                    if load.pending_prefill_ms > limit_ms
                    else first + HARM_PER_S * load.pending_prefill_ms / 1000
                )
            )
            for load in loads
        ]


class FewestRequestsPlacement(LeastWorkPlacement):
    """Choose the upstream with the fewest requests of this instance; a baseline."""

    def sizes(self, req: Request, prefill_ms: float, tried: int) -> list[int]:
        """Return 1: each prompt is read by the engine that answers it."""
        return [1]

    def _ranks(self, loads: list[_Load], part_ms: float, cfg: ModelConfig) -> list[float]:
        return [load.view.own_requests + NEAR_EQUAL_HARM * self._rng.random() for load in loads]


def _preferred(loads: list[_Load], tried: set[str]) -> list[_Load]:
    """Leave out upstreams that failed, as long as others are left."""
    untried = [load for load in loads if load.upstream_id not in tried] or loads
    return [load for load in untried if not load.is_avoided] or untried


def _harm(load: _Load, part_ms: float, cfg: ModelConfig) -> float:
    """Return the harm that reading a part does at an engine, in late streams."""
    added = _pause_harm(load.pending_prefill_ms + part_ms, cfg) - _pause_harm(
        load.pending_prefill_ms, cfg
    )
    return load.requests * added


def _first_token_ms(wait_ms: float, part_ms: float, cfg: ModelConfig) -> float:
    """Return the time to the first token: half a pass, the reading, and the pass that writes."""
    return wait_ms + part_ms + 1.5 * cfg.pass_ms


def _pause_harm(prefill_ms: float, cfg: ModelConfig) -> float:
    """Return the harm to each stream of an engine that reads so much in its next passes."""
    excess_ms = prefill_ms - cfg.harmless_reading_ms
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
