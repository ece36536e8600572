"""Placement by the lowest penalty, with the prefill of a prompt divided among several engines.

An engine computes all its work in forward passes. Prefill lengthens a pass, so the streams that the
engine decodes stall, and a short prompt waits for the end of the pass. Prefill has no penalty while
the prefill of one pass stays within the shortest stall that counts (`harmless_reading_ms`). The
longest prompts exceed that limit even when many engines share them; they go to few engines with few
streams. The number of engines is chosen for each prompt and no engine is dedicated to a kind of
work, so that placement follows mixes of requests that change within seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

import msgspec

from ..settings.fleet import ModelConfig
from .cold import ColdUpstreams
from .cost import CostModel, PromptClass
from .distance import NEAR, Distances
from .groups import Group
from .health import UpstreamHealth
from .messages import Request
from .placement import Choice, Placement
from .runners import RunnerTable, RunnerView

# Numbers of engines among which the prefill of a prompt may be divided.
GROUP_SIZES = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Samples this many engines per choice, so that the decision time does not grow with the fleet. The
# best of the sample are about as good as the best of all. If no sampled engine has capacity, all
# engines are examined.
MAX_CANDIDATES = 256
# Numbers of failed upstreams, helpers included, from which a prompt gets at most
# `MAX_ENGINES_AFTER_FAILURES` engines, or a single one.
FEW_ENGINES_AFTER_ATTEMPTS = 4
ONE_ENGINE_AFTER_ATTEMPTS = 6
MAX_ENGINES_AFTER_FAILURES = 4
# A shorter part saves less time than the message to another engine costs.
MIN_PART_MS = 20.0
# Fraction of the time to the first token objective that a prediction may use without a risk penalty.
RISK_FREE_FRACTION = 0.5
# Penalties are in late streams. Per second by which a stall exceeds `harmless_reading_ms`:
PAUSE_PENALTY_PER_S = 1.0
# Per second by which the first token is late. Low, because further delay of a late answer matters less.
LATE_PENALTY_PER_S = 0.02
# For using the whole objective without being late. Starts a prompt early if many engines can share
# its prefill without a penalty.
WAIT_PENALTY = 0.03
# Per millisecond of work in flight at an engine; decides between choices with no other penalty.
PENALTY_PER_WORK_MS = 0.0005
# Work equivalent of one more stream at an engine, mostly for the slot and the memory that it takes.
REQUEST_WORK_MS = 6.0
# Pending prefill above which an engine gets no part of a long prompt that can wait. Not below the
# intervals at which a waiting prompt is tried again (40 ms and 100 ms), so that the engine does not
# run out of prefill before the next try.
MAX_PENDING_PREFILL_MS = 100.0
# Expected decode time of an answer as a multiple of its undisturbed decode time.
DECODE_TIME_FACTOR = 2.0
# Penalties that differ by less are equal. The choice among equals is random, because several
# instances that see the same work would otherwise all choose the same engine.
NEAR_EQUAL_PENALTY = 0.002
# Work equivalent of being cold: a cold upstream is used when the warm ones have this much more work.
COLD_WORK_MS = 200.0
# Work equivalent of a failure rate of 1, so that an upstream with recent failures is used last.
FAILURE_WORK_MS = 400.0


class _Candidate(msgspec.Struct, frozen=True, eq=False, gc=False):
    """Hold the state of an engine that is computed once per choice.

    A `msgspec.Struct`, because it is created several times as fast as a data class and each choice
    needs one per engine.
    """

    view: RunnerView
    pending_prefill_ms: float
    requests: int
    # Decides between engines with equal penalties; partly random.
    base_rank: float
    is_avoided: bool

    @property
    def upstream_id(self) -> str:
        """Return the id of the engine."""
        return self.view.upstream.upstream_id


@dataclass(frozen=True, slots=True)
class _Plan:
    """Hold the engines for a prompt's prefill, the answering one first, and their penalty."""

    candidates: list[_Candidate]
    part_ms: float
    wait_ms: float
    penalty: float


class LeastWorkPlacement:
    """Choose the upstreams at which a request has the lowest penalty."""

    def __init__(
        self,
        cost: CostModel,
        health: UpstreamHealth,
        rng: Random,
        cold: ColdUpstreams | None = None,
        distances: Distances | None = None,
    ) -> None:
        self._distances = distances or Distances("")
        self._cold = cold or ColdUpstreams()
        self._cost = cost
        self._health = health
        self._rng = rng

    def priority(self, req: Request) -> int:
        """Return the engine priority of the request; 0 is the highest."""
        return self._cost.priority(req)

    def choose(
        self,
        req: Request,
        tried: set[str],
        idle_only: bool,
        runners: RunnerTable,
        now_ms: int,
    ) -> Choice | None:
        """Return the choice, or None while no upstream has a free slot and enough memory."""
        live = runners.available_for(req, now_ms)
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
        candidates = self._candidates(views, now_ms, self._distances.work_ms(cfg))
        with_capacity = [
            c
            for c in candidates
            if _has_capacity(c.view, cfg, needed) and not (idle_only and not c.view.idle)
            # The upstream has just failed this request.
            and not (c.is_avoided and c.upstream_id in tried)
        ]
        with_capacity = _preferred(with_capacity, tried)
        if not with_capacity:
            return None
        if choice_rank and self._cost.prompt_class(req) < PromptClass.LONG:
            with_capacity = self._skip_contended(with_capacity, choice_rank, cfg)
        helper_candidates = [
            c
            for c in candidates
            if not c.is_avoided and c.upstream_id not in tried and _can_help(c.view, cfg)
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
        answering, *helpers = [c.view for c in plan.candidates]
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
        """Return the engines to reserve for a divided prompt, or None if none fit.

        `contested` are the runners that an older prompt of another instance waits for.
        """
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
        far_ms = self._distances.work_ms(cfg)
        candidates = [
            c
            for c in _preferred(self._candidates(live, now_ms, far_ms), set())
            if c.upstream_id not in contested and _can_help(c.view, cfg)
        ]
        best: _Plan | None = None
        for size in range(max(2, self._cost.min_segments(req)), cfg.max_helpers + 1):
            fitting = [c for c in candidates if _has_capacity(c.view, cfg, -(-tokens // size))]
            plan = self._best_plan(req, fitting, fitting, prefill_ms, size, now_ms)
            if plan is not None and (best is None or plan.penalty < best.penalty):
                best = plan
        if best is None or self._should_wait(req, best, now_ms):
            return None
        views = [c.view for c in best.candidates]
        views.sort(key=lambda view: view.upstream.upstream_id)
        return Group(views, fits=True, contested=False)

    def _skip_contended(
        self, with_capacity: list[_Candidate], choice_rank: int, cfg: ModelConfig
    ) -> list[_Candidate]:
        """Leave out upstreams to which other instances are about to send, but keep at least one."""
        return self._lowest_penalty(with_capacity, len(with_capacity), MIN_PART_MS, cfg)[
            min(choice_rank, len(with_capacity) - 1) :
        ]

    def _should_wait(self, req: Request, plan: _Plan, now_ms: int) -> bool:
        """Return whether a long prompt stays queued until its engines finish their pending prefill.

        Engines prefill the part that arrived last first. Prompts that are sent one after the other to
        the same engines would all be late, the first one most.
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
        """Return the numbers of engines to compare for a prompt.

        Each helper is one more engine that may fail, so a prompt that has failed gets fewer helpers.
        """
        max_size = self._cost.model(req.model).max_helpers + 1
        if tried >= FEW_ENGINES_AFTER_ATTEMPTS:
            max_size = MAX_ENGINES_AFTER_FAILURES if tried < ONE_ENGINE_AFTER_ATTEMPTS else 1
        return [
            s for s in GROUP_SIZES if s == 1 or (s <= max_size and prefill_ms / s >= MIN_PART_MS)
        ]

    def _candidates(
        self, views: Iterable[RunnerView], now_ms: int, far_ms: Mapping[str, float] = NEAR
    ) -> list[_Candidate]:
        if not far_ms:
            return [self._candidate(view, now_ms) for view in views]
        return [
            self._candidate(view, now_ms, far_ms.get(view.upstream.data_centre, 0.0))
            for view in views
        ]

    def _candidate(self, view: RunnerView, now_ms: int, far_ms: float = 0.0) -> _Candidate:
        upstream_id = view.upstream.upstream_id
        pending_prefill_ms, requests = view.pending_prefill_ms(now_ms), view.requests
        work_ms = pending_prefill_ms + REQUEST_WORK_MS * requests + far_ms
        is_avoided = False
        if self._health.has_record(upstream_id):
            work_ms += FAILURE_WORK_MS * self._health.failure_rate(upstream_id, now_ms)
            is_avoided = self._health.is_avoided(upstream_id, now_ms)
        if self._cold.has_any and self._cold.is_cold(upstream_id, now_ms):
            work_ms += COLD_WORK_MS
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
        """Return the plan with the lower penalty of two plans with `size` engines.

        The first plan has the engines at which the fewest streams stall, which may have other long
        prompts pending. The second plan leaves out engines at which the first token would be late or
        a long prompt would wait.
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
            [c for c in with_capacity if c.pending_prefill_ms <= max_wait_ms],
            [c for c in helper_candidates if c.pending_prefill_ms <= max_wait_ms],
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
        """Return the plan with `size` engines and the lowest penalty, or None if there are too few."""
        cfg = self._cost.model(req.model)
        part_ms = prefill_ms / size
        candidates = self._lowest_penalty(with_capacity, 1, part_ms, cfg)
        if size > 1 and candidates:
            others = [c for c in helper_candidates if c is not candidates[0]]
            candidates = [*candidates, *self._lowest_penalty(others, size - 1, part_ms, cfg)]
        if len(candidates) < size:
            return None
        wait_ms = max(c.pending_prefill_ms for c in candidates)
        penalty = sum(_penalty(c, part_ms, cfg) for c in candidates)
        penalty += self._lateness_penalty(req, _first_token_ms(wait_ms, part_ms, cfg), cfg, now_ms)
        return _Plan(candidates, part_ms, wait_ms, penalty)

    def _lateness_penalty(
        self, req: Request, first_token_ms: float, cfg: ModelConfig, now_ms: int
    ) -> float:
        """Return the penalty of a late first token, in late streams of the usual prompt size."""
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
        """Return the engines with the lowest penalty, then the least work."""
        ranks = self._ranks(candidates, part_ms, cfg)
        if count == 1:
            return [candidates[ranks.index(min(ranks))]] if candidates else []
        order = sorted(range(len(candidates)), key=ranks.__getitem__)
        return [candidates[index] for index in order[:count]]

    def _ranks(self, candidates: list[_Candidate], part_ms: float, cfg: ModelConfig) -> list[float]:
        # Equivalent to `_penalty`, inlined because it runs for each engine and each group size.
        limit_ms = cfg.harmless_reading_ms
        max_pending_ms = limit_ms - part_ms
        base_penalty = 1.0 - PAUSE_PENALTY_PER_S * max_pending_ms / 1000
        added_penalty = PAUSE_PENALTY_PER_S * part_ms / 1000
        return [
            (
                c.base_rank
                if c.pending_prefill_ms <= max_pending_ms
                else c.base_rank
                + c.requests
                * (
                    added_penalty
                    if c.pending_prefill_ms > limit_ms
                    else base_penalty + PAUSE_PENALTY_PER_S * c.pending_prefill_ms / 1000
                )
            )
            for c in candidates
        ]


class FewestRequestsPlacement(LeastWorkPlacement):
    """Choose the upstream with the fewest requests of this instance, as a baseline."""

    def sizes(self, req: Request, prefill_ms: float, tried: int) -> list[int]:
        """Return only 1, because the answering engine prefills the whole prompt."""
        return [1]

    def _ranks(self, candidates: list[_Candidate], part_ms: float, cfg: ModelConfig) -> list[float]:
        return [c.view.own_requests + NEAR_EQUAL_PENALTY * self._rng.random() for c in candidates]


def _preferred(candidates: list[_Candidate], tried: set[str]) -> list[_Candidate]:
    """Leave out tried and avoided upstreams unless no others are left."""
    untried = [c for c in candidates if c.upstream_id not in tried] or candidates
    return [c for c in untried if not c.is_avoided] or untried


def _penalty(candidate: _Candidate, part_ms: float, cfg: ModelConfig) -> float:
    """Return the penalty of the prefill of a part at an engine, in late streams."""
    added = _pause_penalty(candidate.pending_prefill_ms + part_ms, cfg) - _pause_penalty(
        candidate.pending_prefill_ms, cfg
    )
    return candidate.requests * added


def _first_token_ms(wait_ms: float, part_ms: float, cfg: ModelConfig) -> float:
    """Return the time to first token: the wait, half a pass, the prefill and one decode pass."""
    return wait_ms + part_ms + 1.5 * cfg.pass_ms


def _pause_penalty(prefill_ms: float, cfg: ModelConfig) -> float:
    """Return the penalty per stream of an engine with this much pending prefill."""
    excess_ms = prefill_ms - cfg.harmless_reading_ms
    return 0.0 if excess_ms <= 0 else 1.0 + PAUSE_PENALTY_PER_S * excess_ms / 1000


def _has_capacity(view: RunnerView, cfg: ModelConfig, kv_tokens: int) -> bool:
    """Return whether the upstream has a slot and the memory for one more request."""
    if cfg.upstream_slots is not None and view.requests >= cfg.upstream_slots:
        return False
    return cfg.call_ms is not None or view.kv_free() >= kv_tokens


def _can_help(view: RunnerView, cfg: ModelConfig) -> bool:
    """Return whether the engine can prefill one more part of another engine's prompt."""
    return cfg.upstream_slots is None or view.parts < cfg.upstream_slots


def placement_from_config(
    cost: CostModel,
    health: UpstreamHealth,
    rng: Random,
    default: Placement,
    cold: ColdUpstreams | None = None,
    distances: Distances | None = None,
) -> Placement:
    """Return the configured placement."""
    match cost.scheduling.placement:
        case "least_work":
            return LeastWorkPlacement(cost, health, rng, cold, distances)
        case "fewest_requests":
            return FewestRequestsPlacement(cost, health, rng, cold, distances)
        case _:
            return default
