"""Placement by predicted time to first token."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..shares import ShareCounters
from .claims import MemoryClaimTable
from .cost import CostModel, PromptClass
from .messages import Request
from .prefixes import PrefixIndex
from .runners import RunnerTable, RunnerView
from .subsets import RunnerSubsets

# Bounds the runners examined per step, so that the decision time does not grow with the fleet. Only
# a retry for which no untried runner was found examines all runners.
MAX_CANDIDATES = 32
# Predictions that differ by less are equal. The choice among equals is random, because several
# instances that see the same report would otherwise all choose the same runner.
NEAR_EQUAL_MS = 20.0
# Added to the predicted time of a `SHORT` or `MEDIUM` prompt on a runner that prefills a longer one: the
# current engine step has to end first, and the longer prompt is delayed.
LONG_PREFILL_PENALTY_MS = 20.0
# Wait after which a long prompt claims memory. Earlier claims would block short
# prompts in favour of long prompts that find memory without a claim.
CLAIM_AFTER_MS = 30_000
# The prompts of a neighbour whose consumption is not below the mean by this fraction claim only after
# `LATE_CLAIM_AFTER_MS`. In an overload that all neighbours cause equally, this keeps claims, which
# block short prompts, rare.
CLAIM_MARGIN = 0.15
LATE_CLAIM_AFTER_MS = 100_000
# Runners outside the own subset are examined only if the wait at each runner in it is longer.
MAX_OWN_SUBSET_WAIT_MS = 20.0
# Longest predicted wait at a runner to which a request is sent. It is long enough to keep the engines
# busy. Further requests wait in the queue of the instance, which orders them between neighbours.
MAX_ENGINE_WAIT_MS = {
    PromptClass.SHORT: 400.0,
    PromptClass.MEDIUM: 400.0,
    PromptClass.LONG: 1_000.0,
    PromptClass.SPANNING: 1_000.0,
}


@dataclass(frozen=True, slots=True)
class Choice:
    """Hold the chosen runner with its predicted wait and time to first token."""

    view: RunnerView
    wait_ms: float
    ttft_ms: float
    prefill_tokens: int
    prefill_ms: float = 0.0  # Engine time of the prompt's prefill, per engine if it is divided.
    helpers: tuple[RunnerView, ...] = ()
    pass_ms: float = 0.0  # Duration of a forward pass of the engine, if known.


class Placement(Protocol):
    """Choose a runner for a request."""

    def choose(
        self,
        req: Request,
        tried: set[str],
        idle_only: bool,
        runners: RunnerTable,
        now_ms: int,
    ) -> Choice | None:
        """Return the choice, or None while the request should stay queued.

        With `idle_only`, only runners without waiting or running prefill qualify.
        """

    def priority(self, req: Request) -> int:
        """Return the engine priority of the request; 0 is the highest."""


class PredictedPlacement:
    """Choose the runner with the lowest predicted time to first token."""

    def __init__(
        self,
        cost: CostModel,
        prefixes: PrefixIndex,
        subsets: RunnerSubsets,
        claims: MemoryClaimTable,
        shares: ShareCounters,
        rng: Random,
    ) -> None:
        self._cost = cost
        self._prefixes = prefixes
        self._subsets = subsets
        self._claims = claims
        self._shares = shares
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
        """Return the choice, or None while every runner is too busy or lacks memory."""
        prompt_class = self._cost.prompt_class(req)
        views = runners.available_for(req, now_ms)
        preferred = self._subsets.own_subset(views)
        if len(preferred) > MAX_CANDIDATES:
            preferred = self._rng.sample(preferred, MAX_CANDIDATES)
        if idle_only:
            preferred = [view for view in preferred if view.idle]
        choices = self._choices(req, preferred, tried, now_ms)
        if not choices or min(choice.wait_ms for choice in choices) > MAX_OWN_SUBSET_WAIT_MS:
            others = self._others(req, views, preferred, now_ms)
            if idle_only:
                others = [view for view in others if view.idle]
            choices += self._choices(req, others, tried, now_ms)
        if not choices and prompt_class < PromptClass.LONG:
            rest = [view for view in views if not idle_only or view.idle]
            sample = self._rng.sample(rest, min(len(rest), MAX_CANDIDATES))
            choices = self._choices(req, sample, tried, now_ms)
        if not choices and tried and not idle_only:
            choices = self._choices(req, views, set(), now_ms)
        if not choices:
            if not idle_only and prompt_class is PromptClass.LONG:
                self._claim(req, preferred, now_ms)
            return None
        best = min(choice.ttft_ms for choice in choices)
        return self._rng.choice([c for c in choices if c.ttft_ms <= best + NEAR_EQUAL_MS])

    def _claim(self, req: Request, preferred: list[RunnerView], now_ms: int) -> None:
        """Claim memory at the unclaimed runner of the own subset with the most free memory, if due."""
        is_below_share = self._shares.is_below_share(req.neighbour, CLAIM_MARGIN)
        after_ms = CLAIM_AFTER_MS if is_below_share else LATE_CLAIM_AFTER_MS
        if now_ms < req.arrived_ms + after_ms or self._claims.has_claim(req.request_id):
            return
        unclaimed = [v for v in preferred if not self._claims.is_claimed(v.upstream.upstream_id)]
        # Keep one runner of the subset unclaimed for short prompts, unless it has only one.
        if unclaimed and len(unclaimed) >= min(2, len(preferred)):
            view = max(unclaimed, key=lambda view: view.kv_free())
            self._claims.add(req.request_id, view.upstream.upstream_id, self._cost.kv_tokens(req))

    def _others(
        self, req: Request, views: list[RunnerView], preferred: list[RunnerView], now_ms: int
    ) -> list[RunnerView]:
        if not preferred:
            if len(views) > MAX_CANDIDATES:
                return self._rng.sample(views, MAX_CANDIDATES)
            return views
        secondary = self._subsets.secondary_subset(views, now_ms)[:MAX_CANDIDATES]
        if self._cost.prompt_class(req) < PromptClass.LONG:
            return secondary
        # A report from before the current period may lack the work of the instance that used the subset
        # in the previous one.
        started_ms = self._subsets.period_started_ms(now_ms)
        return [v for v in secondary if v.load is not None and v.load.observed_ms >= started_ms]

    def _choices(
        self, req: Request, views: list[RunnerView], tried: set[str], now_ms: int
    ) -> list[Choice]:
        prompt_class, priority = self._cost.prompt_class(req), self.priority(req)
        needed = self._cost.kv_tokens(req)
        max_age_ms = self._cost.scheduling.load_report_max_age_ms
        reserve = self._cost.scheduling.short_memory_reserve
        if prompt_class is PromptClass.SHORT or self._claims.has_claim(req.request_id):
            reserve = 0.0
        choices = []
        for view in views:
            upstream_id = view.upstream.upstream_id
            if upstream_id in tried:
                continue
            free = view.kv_free() - int(view.kv_total * reserve)
            if needed > free or needed > free - self._claims.claimed_by_others(
                req.request_id, upstream_id
            ):
                continue
            wait_ms = view.wait_ms(prompt_class, priority, now_ms, max_age_ms)
            if wait_ms > MAX_ENGINE_WAIT_MS[prompt_class]:
                continue
            penalty_ms = 0.0
            if prompt_class < PromptClass.LONG and view.is_prefilling_long(now_ms):
                penalty_ms = LONG_PREFILL_PENALTY_MS
            tokens = max(1, req.prompt_tokens - self._prefixes.cached_tokens(req, upstream_id))
            ttft_ms = wait_ms + penalty_ms + tokens / view.prefill_rate
            choices.append(Choice(view, wait_ms, ttft_ms, tokens))
        return choices


def choose_allowed(
    req: Request, allowed: Collection[str], runners: RunnerTable, cost: CostModel, now_ms: int
) -> Choice | None:
    """Return the first allowed runner with enough memory, or None while there is none."""
    for view in runners.available_for(req, now_ms):
        if view.upstream.upstream_id in allowed and view.kv_free() >= cost.kv_tokens(req):
            ttft_ms = req.prompt_tokens / view.prefill_rate
            return Choice(view, 0.0, ttft_ms, req.prompt_tokens)
    return None
