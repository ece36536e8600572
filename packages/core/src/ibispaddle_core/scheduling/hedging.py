"""Hedges: second attempts that start before the first one has failed.

A hedge repeats work, so it is limited in several ways. The limits are checked from the cheapest to the
one that is counted, and the first that rules out the hedge is reported. A request is considered once.
"""

from collections.abc import Iterable, Mapping

from .admission import Admission
from .cost import CostModel, PromptClass
from .first_outputs import FirstOutputTimes
from .health import UpstreamHealth
from .hedge_budget import HedgeBudget
from .least_work import FEW_ENGINES_AFTER_ATTEMPTS
from .messages import (
    FirstOutputQuantiles,
    FleetAttempts,
    FleetFirstOutputs,
    HedgeLimit,
    Outcome,
    Request,
    RetryPolicy,
)
from .pacing import UpstreamPacing
from .placement import Choice, Placement
from .queue import FairQueue
from .requests import RequestState
from .retries import RetryBudget
from .runners import RunnerTable

# Number of recent samples of a class without which its requests are not hedged.
MIN_SAMPLES = 50
# An attempt is late after this multiple of the time that three in four attempts take, also if so many are
# late that the tail of the distribution consists of them.
LATE_FACTOR = 3.0
# Lower bounds of a delay and of the prediction that it is a multiple of. A hedge within less than the
# message to a hub takes could not be counted in time.
MIN_DELAY_MS = 10
MIN_EXPECTED_MS = 5.0
# Age up to which quantiles of a hub are used.
FLEET_QUANTILES_MAX_AGE_MS = 30_000
# Fraction of the slots of a service's available upstreams that must be free for a hedge.
MIN_FREE_SLOTS = 0.3
# Samples that are kept for the next message to the hubs.
MAX_PENDING_SAMPLES = 256

Sample = tuple[str, float]  # Class, and time to first output as a multiple of its prediction.


def class_name(req: Request, prompt_class: PromptClass) -> str:
    """Return the name of the class in which a request's time to first output is measured."""
    kind = "stream" if req.streams else "call"
    return f"{req.model}/{kind}/{prompt_class.name.lower()}"


class Hedging:
    """Decide when a request gets a second attempt, and where.

    With `fraction` 0 nothing is measured and no request is hedged.
    """

    def __init__(
        self,
        fraction: float,
        cost: CostModel,
        runners: RunnerTable,
        queue: FairQueue,
        health: UpstreamHealth,
        pacing: UpstreamPacing,
        admission: Admission,
        budget: RetryBudget,
    ) -> None:
        self._cost, self._runners, self._queue = cost, runners, queue
        self._health, self._pacing = health, pacing
        self._admission, self._budget = admission, budget
        self._hedge_budget = HedgeBudget(0.0)
        self._times: FirstOutputTimes | None = None
        self._fleet: dict[str, tuple[int, FirstOutputQuantiles]] = {}
        self._pending_samples: list[Sample] = []
        self.replace_fraction(fraction)

    @property
    def is_enabled(self) -> bool:
        """Return whether requests may be hedged."""
        return self._times is not None

    def replace_fraction(self, fraction: float) -> None:
        """Replace the fraction of requests that may be hedged."""
        if fraction == self._hedge_budget.fraction:
            return
        self._hedge_budget = HedgeBudget(fraction)
        self._times = FirstOutputTimes(fraction) if fraction > 0 else None
        self._fleet.clear()
        self._pending_samples.clear()

    # Measurement

    def record_first_output(self, state: RequestState, now_ms: int) -> None:
        """Record the time that the first attempt took, or at least took before another one won."""
        if self._times is None or not state.req.may_hedge:
            return
        name = class_name(state.req, state.prompt_class)
        ratio = (now_ms - state.sent_ms) / max(MIN_EXPECTED_MS, state.expected_ms)
        self._times.add(name, ratio, now_ms)
        if len(self._pending_samples) < MAX_PENDING_SAMPLES:
            self._pending_samples.append((name, ratio))

    def take_samples(self) -> list[Sample]:
        """Return the samples since the last call, for the hubs."""
        samples, self._pending_samples = self._pending_samples, []
        return samples

    def merge_samples(self, samples: Iterable[Sample], now_ms: int) -> None:
        """Add the samples of another instance, as its hub."""
        if self._times is not None:
            for name, ratio in samples:
                self._times.add(name, ratio, now_ms)

    def own_quantiles(self, now_ms: int) -> Mapping[str, FirstOutputQuantiles]:
        """Return the quantiles that this instance has measured, on a hub those of the fleet."""
        return self._times.all_quantiles(now_ms) if self._times is not None else {}

    def set_fleet_quantiles(self, event: FleetFirstOutputs, now_ms: int) -> None:
        """Replace the quantiles of the classes that a hub has measured."""
        if self._times is not None:
            self._fleet.update((name, (now_ms, item)) for name, item in event.quantiles.items())

    # Delay

    def set_fleet_attempts(self, event: FleetAttempts, now_ms: int) -> None:
        """Replace the first attempts and hedges of all other instances."""
        self._hedge_budget.set_fleet(event, now_ms)

    def delay_ratio(self, name: str, now_ms: int) -> float | None:
        """Return the delay of hedges of a class as a multiple of the prediction, if it is known."""
        if self._times is None:
            return None
        measured_ms, quantiles = self._fleet.get(name, (now_ms, None))
        if quantiles is None or now_ms - measured_ms > FLEET_QUANTILES_MAX_AGE_MS:
            quantiles = self._times.quantiles(name, now_ms)
        if quantiles is None or quantiles.count < MIN_SAMPLES:
            return None
        return min(quantiles.tail, LATE_FACTOR * quantiles.upper_quartile)

    def delay_ratios(self, now_ms: int) -> dict[str, float]:
        """Return the delays in force by class."""
        names = self._fleet.keys() | self.own_quantiles(now_ms).keys()
        ratios = ((name, self.delay_ratio(name, now_ms)) for name in sorted(names))
        return {name: ratio for name, ratio in ratios if ratio is not None}

    def due_ms(self, state: RequestState, now_ms: int) -> int | None:
        """Count a first attempt that starts now; return when it may be hedged, or None for never.

        A hedge is no use if the attempt would be replaced before.
        """
        req = state.req
        if self._times is None:
            return None
        self._hedge_budget.count_first_attempt(now_ms)
        if (
            not req.may_hedge
            or req.retry_policy is RetryPolicy.PROVED_NOT_RUN
            or state.prompt_class is PromptClass.SPANNING
            or not self._has_runs_left(state)
        ):
            return None
        ratio = self.delay_ratio(class_name(req, state.prompt_class), now_ms)
        if ratio is None:
            return None
        delay_ms = max(MIN_DELAY_MS, round(ratio * max(MIN_EXPECTED_MS, state.expected_ms)))
        due_ms = now_ms + delay_ms
        return due_ms if due_ms < state.first_token_due_ms else None

    # Decision

    def choose(self, state: RequestState, placement: Placement, now_ms: int) -> Choice | HedgeLimit:
        """Return the upstream of a hedge, which is counted, or the limit that rules it out."""
        limit = self._exhausted_limit(state, now_ms)
        if limit is not None:
            return limit
        choice = self._find_upstream(state, placement, now_ms)
        if choice is None:
            return HedgeLimit.NO_UPSTREAM
        if not self._hedge_budget.has_room(now_ms):
            return HedgeLimit.FRACTION
        if not self._budget.try_acquire(state.req.model, now_ms):
            return HedgeLimit.RETRY_BUDGET
        self._hedge_budget.count_hedge(now_ms)
        self._budget.count_hedge(state.req.model)
        return choice

    def _exhausted_limit(self, state: RequestState, now_ms: int) -> HedgeLimit | None:
        req = state.req
        if not self._has_runs_left(state):
            return HedgeLimit.RUNS
        if now_ms + self._admission.service_ms(req) > req.deadline_ms:
            return HedgeLimit.DEADLINE
        if self._queue.count(req.model) or not self._has_free_slots(req, now_ms):
            return HedgeLimit.OVERLOAD
        return None

    def _has_runs_left(self, state: RequestState) -> bool:
        """Return whether the route allows two attempts that both run."""
        max_attempts = self._cost.scheduling.max_attempts
        max_runs = max_attempts if state.req.max_runs is None else state.req.max_runs
        return state.runs + 2 <= max_runs and state.attempts < max(max_attempts, max_runs)

    def _has_free_slots(self, req: Request, now_ms: int) -> bool:
        """Return whether enough slots are free, so that a hedge takes none from a first attempt."""
        slots = self._cost.model(req.model).upstream_slots
        if slots is None:
            return True
        views = self._runners.available_for(req, now_ms)
        free = sum(max(0, slots - view.requests) for view in views)
        return free >= MIN_FREE_SLOTS * slots * len(views)

    def _find_upstream(
        self, state: RequestState, placement: Placement, now_ms: int
    ) -> Choice | None:
        """Return an idle upstream that is sound, not limited and has no part in the first attempt."""
        assert state.upstream_id is not None
        excluded = {*state.tried, state.upstream_id, *state.helper_ids}
        # The engines of the late attempt count as tried, so that the hedge depends on few others.
        tried = set(sorted(excluded)[:FEW_ENGINES_AFTER_ATTEMPTS])
        for view in self._runners.live_for(state.req):
            upstream_id = view.upstream.upstream_id
            if (
                self._pacing.is_limited(upstream_id)
                or self._pacing.cold.is_cold(upstream_id, now_ms)
                or self._health.is_avoided(upstream_id, now_ms)
            ):
                excluded.add(upstream_id)
        runners = self._runners.without(excluded)
        choice = placement.choose(state.req, tried, True, runners, now_ms)
        if choice is None or now_ms + choice.ttft_ms > state.req.start_deadline_ms:
            return None
        return choice

    # Result

    def record_late_upstream(self, upstream_id: str, now_ms: int) -> None:
        """Record that a hedge was faster, so that other upstreams are preferred if that repeats."""
        self._health.observe(upstream_id, Outcome.ERROR, now_ms)
