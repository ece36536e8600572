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
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Engines that are looked at for one prompt, so that a choice costs the same in larger fleets. The best
# ones of so many are about as good as the best of all; if none of them has room, all are looked at.
MAX_CANDIDATES = 256
# Upstreams that have failed a prompt, counting helpers, from which it gets few engines or one.
FEW_ENGINES_AFTER_ATTEMPTS = 4
ONE_ENGINE_AFTER_ATTEMPTS = 6
MAX_ENGINES_AFTER_FAILURES = 4
# A shorter part is not worth the message to another engine.
MIN_PART_MS = 20.0
# Part of the objective for the first token that a prediction may use up before it counts as risky.
RISK_FREE_FRACTION = 0.5
# Harm, in late streams, of a second by which a pause exceeds the harmless one.
PAUSE_PENALTY_PER_S = 1.0
# Harm of a second by which an answer begins late; it is little, because what is late is late.
LATE_PENALTY_PER_S = 0.02
# Harm of using up the whole time to the first token without being late. It makes a prompt that can be
# read by many engines without harm begin soon.
WAIT_PENALTY = 0.03
# Harm of one millisecond of work in flight at an engine; it decides between harmless choices.
PENALTY_PER_WORK_MS = 0.0005
# Work that one more stream at an engine stands for; mostly its part in filling slots and memory.
REQUEST_WORK_MS = 6.0
# Reading that may be left at an engine when it gets a part of a long prompt: less than the time in which a
# waiting prompt looks again.
MAX_PENDING_PREFILL_MS = 100.0
# Reckoned time of writing an answer, relative to an undisturbed one.
DECODE_TIME_FACTOR = 2.0
# Work whose harm differs by less is equal. The choice among equals is random, because several
# instances that see the same work would otherwise all choose the same engine.
NEAR_EQUAL_PENALTY = 0.002
# Work that a failure rate of 1 stands for, so that an upstream with recent failures is used last.
FAILURE_WORK_MS = 400.0


class _Candidate(msgspec.Struct, frozen=True, eq=False, gc=False):
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

    candidates: list[_Candidate]
    part_ms: float
    wait_ms: float
    penalty: float


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
        if len(live) > MAX_CANDIDATES:
            sampled = self._rng.sample(live, MAX_CANDIDATES)
            choice = self._choose(req, tried, idle_only, sampled, runners.choice_rank, now_ms)
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
        candidates = self._candidates(views, now_ms)
        with_capacity = [
            candidate
            for candidate in candidates
            if _has_capacity(candidate.view, cfg, needed)
            and not (idle_only and not candidate.view.idle)
            # The upstream has just failed this very request.
            and not (candidate.is_avoided and candidate.upstream_id in tried)
        ]
        with_capacity = _preferred(with_capacity, tried)
        if not with_capacity:
            return None
        if choice_rank and self._cost.prompt_class(req) < PromptClass.LONG:
            with_capacity = self._skip_contended(with_capacity, choice_rank, cfg)
        helper_candidates = [
            candidate
            for candidate in candidates
            if not candidate.is_avoided
            and candidate.upstream_id not in tried
            and _can_help(candidate.view, cfg)
        ]
        prefill_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        plans = [
            self._best_plan(req, with_capacity, helper_candidates, prefill_ms, size, now_ms)
            for size in self.sizes(req, prefill_ms, len(tried))
        ]
        plan = min((plan for plan in plans if plan is not None), key=lambda plan: plan.penalty)
        if self._should_wait(req, plan, now_ms):
            return None
        tokens = req.prompt_tokens // len(plan.candidates)
        answering, *helpers = [candidate.view for candidate in plan.candidates]
        return Choice(
            answering,
            plan.wait_ms,
            _first_token_ms(plan.wait_ms, plan.part_ms, cfg),
            tokens,
            plan.part_ms,
            tuple(helpers),
            cfg.pass_ms,
        )

    def choose_group(
        self, req: Request, live: list[RunnerView], contested: set[str], now_ms: int
    ) -> Group | None:
        """Return the engines that hold a prompt which spans engines, or None while none fit."""
        if len(live) > MAX_CANDIDATES:
            sampled = self._rng.sample(live, MAX_CANDIDATES)
            group = self._choose_group(req, sampled, contested, now_ms)
            if group is not None:
                return group
        return self._choose_group(req, live, contested, now_ms)

    def _choose_group(
        self, req: Request, live: list[RunnerView], contested: set[str], now_ms: int
    ) -> Group | None:
        cfg = self._cost.model(req.model)
        prefill_ms = self._cost.prefill_engine_ms(req.model, req.prompt_tokens)
        tokens = self._cost.kv_tokens(req)
        candidates = [
            candidate
            for candidate in _preferred(self._candidates(live, now_ms), set())
            if candidate.upstream_id not in contested and _can_help(candidate.view, cfg)
        ]
        best: _Plan | None = None
        for size in range(max(2, self._cost.segments(req)), cfg.max_helpers + 1):
            fitting = [
                candidate
                for candidate in candidates
                if _has_capacity(candidate.view, cfg, -(-tokens // size))
            ]
            plan = self._best_plan(req, fitting, fitting, prefill_ms, size, now_ms)
            if plan is not None and (best is None or plan.penalty < best.penalty):
                best = plan
        if best is None or self._should_wait(req, best, now_ms):
            return None
        views = [candidate.view for candidate in best.candidates]
        views.sort(key=lambda view: view.upstream.upstream_id)
        return Group(views, fits=True, contested=False)

    def _skip_contended(
        self, with_capacity: list[_Candidate], choice_rank: int, cfg: ModelConfig
    ) -> list[_Candidate]:
        """Leave the upstreams to which others are about to send, as long as one is left."""
        return self._lowest_penalty(with_capacity, len(with_capacity), MIN_PART_MS, cfg)[
            min(choice_rank, len(with_capacity) - 1) :
        ]

    def _should_wait(self, req: Request, plan: _Plan, now_ms: int) -> bool:
        """Return whether a long prompt waits here until its engines have read the others.

        Engines read the part that came last first. Prompts that are sent one after the other to the same
        engines would all be late, the first one most.
        """
        if (
            plan.wait_ms <= MAX_PENDING_PREFILL_MS
            or self._cost.prompt_class(req) < PromptClass.LONG
        ):
            return False
        prefill_ms = plan.wait_ms + _first_token_ms(0.0, plan.part_ms, self._cost.model(req.model))
        ends_ms = now_ms + prefill_ms + DECODE_TIME_FACTOR * self._cost.decode_ms(req)
        return ends_ms < req.deadline_ms

    def sizes(self, req: Request, prefill_ms: float, tried: int) -> list[int]:
        """Return the numbers of engines that are worth comparing.

        Each helper is one more that may fail, so a prompt that has failed gets fewer of them.
        """
        max_size = self._cost.model(req.model).max_helpers + 1
        if tried >= FEW_ENGINES_AFTER_ATTEMPTS:
            max_size = MAX_ENGINES_AFTER_FAILURES if tried < ONE_ENGINE_AFTER_ATTEMPTS else 1
        return [
            s for s in GROUP_SIZES if s == 1 or (s <= max_size and prefill_ms / s >= MIN_PART_MS)
        ]

    def _candidates(self, views: Iterable[RunnerView], now_ms: int) -> list[_Candidate]:
        return [self._candidate(view, now_ms) for view in views]

    def _candidate(self, view: RunnerView, now_ms: int) -> _Candidate:
        upstream_id = view.upstream.upstream_id
        pending_prefill_ms, requests = view.pending_prefill_ms(now_ms), view.requests
        work_ms = pending_prefill_ms + REQUEST_WORK_MS * requests
        is_avoided = False
        if self._health.has_record(upstream_id):
            work_ms += FAILURE_WORK_MS * self._health.failure_rate(upstream_id, now_ms)
            is_avoided = self._health.is_avoided(upstream_id, now_ms)
        base_rank = PENALTY_PER_WORK_MS * work_ms + NEAR_EQUAL_PENALTY * self._rng.random()
        return _Candidate(view, pending_prefill_ms, requests, base_rank, is_avoided)

    def _best_plan(
        self,
        req: Request,
        with_capacity: list[_Candidate],
        helper_candidates: list[_Candidate],
        prefill_ms: float,
        size: int,
        now_ms: int,
    ) -> _Plan | None:
        """Return the less harmful of two ways to read the prompt with so many engines.

        The engines at which the least streams pause may still read other long prompts. The second
        way leaves out those at which the first token would be late, or a long prompt would wait.
        """
        plan = self._plan(req, with_capacity, helper_candidates, prefill_ms, size, now_ms)
        if plan is None or req.ttft_objective_ms is None:
            return plan
        cfg = self._cost.model(req.model)
        left_ms = req.ttft_objective_ms - (now_ms - req.arrived_ms)
        max_wait_ms = left_ms - _first_token_ms(0.0, plan.part_ms, cfg)
        if self._cost.prompt_class(req) >= PromptClass.LONG:
            max_wait_ms = MAX_PENDING_PREFILL_MS
        if plan.wait_ms <= max_wait_ms or max_wait_ms < 0:
            return plan
        faster = self._plan(
            req,
            [
                candidate
                for candidate in with_capacity
                if candidate.pending_prefill_ms <= max_wait_ms
            ],
            [
                candidate
                for candidate in helper_candidates
                if candidate.pending_prefill_ms <= max_wait_ms
            ],
            prefill_ms,
            size,
            now_ms,
        )
        return plan if faster is None or plan.penalty <= faster.penalty else faster

    def _plan(
        self,
        req: Request,
        with_capacity: list[_Candidate],
        helper_candidates: list[_Candidate],
        prefill_ms: float,
        size: int,
        now_ms: int,
    ) -> _Plan | None:
        """Return the least harmful way to read the prompt with so many engines, if there is one."""
        cfg = self._cost.model(req.model)
        part_ms = prefill_ms / size
        candidates = self._lowest_penalty(with_capacity, 1, part_ms, cfg)
        if size > 1 and candidates:
            others = [
                candidate for candidate in helper_candidates if candidate is not candidates[0]
            ]
            candidates = [*candidates, *self._lowest_penalty(others, size - 1, part_ms, cfg)]
        if len(candidates) < size:
            return None
        wait_ms = max(candidate.pending_prefill_ms for candidate in candidates)
        penalty = sum(_penalty(candidate, part_ms, cfg) for candidate in candidates)
        penalty += self._lateness_penalty(req, _first_token_ms(wait_ms, part_ms, cfg), cfg, now_ms)
        return _Plan(candidates, part_ms, wait_ms, penalty)

    def _lateness_penalty(
        self, req: Request, first_token_ms: float, cfg: ModelConfig, now_ms: int
    ) -> float:
        """Return the harm of a late first token, in late streams of the usual size."""
        if req.ttft_objective_ms is None:
            return 0.0
        left_ms = max(1.0, req.ttft_objective_ms - (now_ms - req.arrived_ms))
        used = first_token_ms / left_ms
        size = max(1.0, req.prompt_tokens / cfg.usual_prompt_tokens)
        risk = min(1.0, max(0.0, (used - RISK_FREE_FRACTION) / (1 - RISK_FREE_FRACTION)))
        late_s = max(0.0, first_token_ms - left_ms) / 1000
        return size * (WAIT_PENALTY * min(used, 1.0) + risk + LATE_PENALTY_PER_S * late_s)

    def _lowest_penalty(
        self, candidates: list[_Candidate], count: int, part_ms: float, cfg: ModelConfig
    ) -> list[_Candidate]:
        """Return the engines with the least harm, then the least work."""
        ranks = self._ranks(candidates, part_ms, cfg)
        if count == 1:
            return [candidates[ranks.index(min(ranks))]] if candidates else []
        order = sorted(range(len(candidates)), key=ranks.__getitem__)
        return [candidates[index] for index in order[:count]]

    def _ranks(self, candidates: list[_Candidate], part_ms: float, cfg: ModelConfig) -> list[float]:
        # The same as `_penalty`, written out: this runs for each engine and each number of engines.
        limit_ms = cfg.harmless_reading_ms
        max_pending_ms = limit_ms - part_ms
        base_penalty = 1.0 - PAUSE_PENALTY_PER_S * max_pending_ms / 1000
        added_penalty = PAUSE_PENALTY_PER_S * part_ms / 1000
        return [
            (
                candidate.base_rank
                if candidate.pending_prefill_ms <= max_pending_ms
                else candidate.base_rank
                + candidate.requests
                * (
                    added_penalty
                    if candidate.pending_prefill_ms > limit_ms
                    else base_penalty + PAUSE_PENALTY_PER_S * candidate.pending_prefill_ms / 1000
                )
            )
            for candidate in candidates
        ]


class FewestRequestsPlacement(LeastWorkPlacement):
    """Choose the upstream with the fewest requests of this instance; a baseline."""

    def sizes(self, req: Request, prefill_ms: float, tried: int) -> list[int]:
        """Return 1: each prompt is read by the engine that answers it."""
        return [1]

    def _ranks(self, candidates: list[_Candidate], part_ms: float, cfg: ModelConfig) -> list[float]:
        return [
            candidate.view.own_requests + NEAR_EQUAL_PENALTY * self._rng.random()
            for candidate in candidates
        ]


def _preferred(candidates: list[_Candidate], tried: set[str]) -> list[_Candidate]:
    """Leave out upstreams that failed, as long as others are left."""
    untried = [
        candidate for candidate in candidates if candidate.upstream_id not in tried
    ] or candidates
    return [candidate for candidate in untried if not candidate.is_avoided] or untried


def _penalty(candidate: _Candidate, part_ms: float, cfg: ModelConfig) -> float:
    """Return the harm that reading a part does at an engine, in late streams."""
    added = _pause_penalty(candidate.pending_prefill_ms + part_ms, cfg) - _pause_penalty(
        candidate.pending_prefill_ms, cfg
    )
    return candidate.requests * added


def _first_token_ms(wait_ms: float, part_ms: float, cfg: ModelConfig) -> float:
    """Return the time to the first token: half a pass, the reading, and the pass that writes."""
    return wait_ms + part_ms + 1.5 * cfg.pass_ms


def _pause_penalty(prefill_ms: float, cfg: ModelConfig) -> float:
    """Return the harm to each stream of an engine that reads so much in its next passes."""
    excess_ms = prefill_ms - cfg.harmless_reading_ms
    return 0.0 if excess_ms <= 0 else 1.0 + PAUSE_PENALTY_PER_S * excess_ms / 1000


def _has_capacity(view: RunnerView, cfg: ModelConfig, kv_tokens: int) -> bool:
    """Return whether the upstream can start one more request at once."""
    if cfg.upstream_slots is not None and view.requests >= cfg.upstream_slots:
        return False
    return cfg.call_ms is not None or view.kv_free() >= kv_tokens


def _can_help(view: RunnerView, cfg: ModelConfig) -> bool:
    """Return whether the engine can take one more part of another engine's prompt."""
    return cfg.upstream_slots is None or view.parts < cfg.upstream_slots


def from_config(
    cost: CostModel, health: UpstreamHealth, rng: Random, default: Placement
) -> Placement:
    """Return the placement that the configuration names."""
    match cost.scheduling.placement:
        case "least_work":
            return LeastWorkPlacement(cost, health, rng)
        case "fewest_requests":
            return FewestRequestsPlacement(cost, health, rng)
        case _:
            return default
