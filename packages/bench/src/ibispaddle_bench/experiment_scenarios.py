"""Scenarios of the experiment and the metrics of a run."""

from dataclasses import dataclass, replace
from typing import Any

from ibispaddle_core.settings.fleet import FleetConfig

from .engine_model import (
    ATTENTION_TOKENS,
    DECODE_STEP_MS,
    KV_TOKENS,
    PREFILL_TOKENS_PER_MS,
    idle_engine_ttft_ms,
)
from .experiment_baselines import POLICIES
from .experiment_failures import FailingPeriod
from .experiment_fleet import NETWORK_MS, FaultPlan, Record, SimulatedFleet
from .workload import LONG_TOKENS, NEIGHBOURS, RUNNERS, Arrival, generate_arrivals

INSTANCES = 8
WARM_UP_MS = 20_000
MEASURED_MS = 60_000
SHARE_MINUTES = 2
SHARE_START_S = 50  # The queues of all neighbours are full by this time.
# Settings for retries, by suffix of the scenario's name: default, effectively unlimited, none.
RETRY_SETTINGS: dict[str, tuple[tuple[str, float], ...]] = {
    "": (),
    "-unlimited": (("retry_budget", 1.0), ("max_attempts", 10)),
    "-no-retry": (("retry_budget", 0.0),),
}
# Eight engines reject or fail half of their attempts for 30 s, all others 4% of them for 60 s.
FAILING_PERIODS = (
    FailingPeriod(30_000, 60_000, tuple(range(8)), 0.25, 0.25),
    FailingPeriod(20_000, 80_000, tuple(range(8, RUNNERS)), 0.02, 0.02),
)
# All engines fail half of their attempts after the prefill.
STORM_PERIODS = (FailingPeriod(30_000, 60_000, tuple(range(RUNNERS)), 0.0, 0.5),)
RESENDS = 3
# Crashes, engines that freeze for a few seconds or run at a third of their speed, delayed reports.
SLOW_PLAN = FaultPlan(
    crashes=[(30_000, 3), (45_000, 20), (46_000, 11)],
    freezes=[(25_000, 28_000, 5), (38_000, 42_000, 13), (58_000, 60_000, 8), (66_000, 70_000, 2)],
    slowdowns=[(32_000, 44_000, 9, 3.0), (50_000, 62_000, 17, 3.0), (60_000, 75_000, 22, 3.0)],
    report_delay_ms=(500, 2_000),
)
LENGTHS = (1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 100_000, 200_000, 400_000, 1_000_001)


@dataclass(frozen=True)
class Scenario:
    """Parameters of one run."""

    name: str
    policy: str
    seed: int
    load: float
    short_only: bool = False
    has_faults: bool = False
    has_backlog: bool = False
    failing_periods: tuple[FailingPeriod, ...] = ()
    resends: int = 0
    has_slow_engines: bool = False
    settings: tuple[tuple[str, float], ...] = ()

    @property
    def weight(self) -> float:
        """Return the expected relative run time of the simulation."""
        return self.load * (0.6 if self.short_only else 1.0) * (3.0 if self.has_backlog else 1.0)


def scenarios(
    seeds: list[int], quick: bool, settings: tuple[tuple[str, float], ...] = ()
) -> list[Scenario]:
    """Return the scenarios for the seeds; `settings` overrides scheduling settings."""
    result = []
    for seed in seeds:
        for policy in ["ibispaddle"] if quick else POLICIES:
            for percent in [80] if quick else [50, 80, 95, 100, 150]:
                name = f"load-{percent}"
                result.append(Scenario(name, policy, seed, percent / 100))
                if percent == 80:
                    result.append(
                        Scenario(f"{name}-short", policy, seed, percent / 100, short_only=True)
                    )
        if not quick:
            result.append(Scenario("faults-80", "ibispaddle", seed, 0.8, has_faults=True))
            result.append(Scenario("backlog", "ibispaddle", seed, 2.5, has_backlog=True))
    return [replace(scenario, settings=settings) for scenario in result]


def failure_scenarios(
    seeds: list[int], settings: tuple[tuple[str, float], ...] = ()
) -> list[Scenario]:
    """Return the scenarios with retry limits or slow engines, which run only if selected by name."""
    result = []
    for seed in seeds:
        for percent in (80, 150):
            slow = Scenario(
                f"slow-{percent}", "ibispaddle", seed, percent / 100, has_slow_engines=True
            )
            result.append(replace(slow, settings=settings))
        for suffix, retries in RETRY_SETTINGS.items():
            for name, periods, resends in (
                ("failing-150", FAILING_PERIODS, 0),
                ("resend-150", FAILING_PERIODS, RESENDS),
                ("storm-150", STORM_PERIODS, RESENDS),
            ):
                scenario = Scenario(f"{name}{suffix}", "ibispaddle", seed, 1.5)
                combined = (*retries, *settings)
                result.append(
                    replace(scenario, settings=combined, failing_periods=periods, resends=resends)
                )
    return result


def fleet_config(settings: dict[str, float]) -> FleetConfig:
    """Return the configuration of the experiment."""
    return FleetConfig.from_document(
        {
            "neighbours": {name: {"weight": weight} for name, weight in NEIGHBOURS.items()},
            "models": {
                "m": {
                    "context_tokens": 1_100_000,
                    "engine_kv_tokens": KV_TOKENS,
                    "prefill_tokens_per_s": PREFILL_TOKENS_PER_MS * 1000,
                    "attention_tokens": ATTENTION_TOKENS,
                    "decode_tokens_per_s": 1000 / DECODE_STEP_MS,
                }
            },
            "scheduling": settings,
        }
    )


def run(scenario: Scenario) -> dict[str, Any]:
    """Run one scenario and return its metrics."""
    duration_ms = WARM_UP_MS + (SHARE_MINUTES if scenario.has_backlog else 1) * MEASURED_MS
    # With equal traffic of all neighbours at 2.5 times the capacity, even the neighbour with the
    # highest weight, which is entitled to half of the capacity, has a backlog.
    mix = dict.fromkeys(NEIGHBOURS, 1.0) if scenario.has_backlog else None
    traffic = generate_arrivals(scenario.seed, scenario.load, duration_ms, mix)
    if scenario.short_only:
        traffic = [a for a in traffic if a.request.prompt_tokens < 8_000]
    plan = FaultPlan()
    if scenario.has_faults:
        plan = FaultPlan(
            crashes=[(30_000, 3), (45_000, 20), (46_000, 11)], departures=[(35_000, 7)]
        )
    if scenario.has_slow_engines:
        plan = SLOW_PLAN
    if scenario.failing_periods:
        crashes = [(28_000.0, 23), (40_000.0, 20), (41_000.0, 11), (55_000.0, 3)]
        plan = FaultPlan(
            crashes=crashes,
            failing_periods=list(scenario.failing_periods),
            resends=scenario.resends,
        )
    fleet = SimulatedFleet(
        fleet_config(dict(scenario.settings)),
        scenario.seed,
        INSTANCES,
        RUNNERS,
        traffic,
        plan,
        POLICIES[scenario.policy],
    )
    # The backlog run measures only shares, so its long queues are not drained.
    fleet.run(drain_ms=0.0 if scenario.has_backlog else 400_000.0)
    row = figures(fleet, duration_ms)
    row.update(scenario=scenario.name, policy=scenario.policy, seed=scenario.seed)
    if scenario.has_backlog:
        row.update(share_figures(fleet))
    return row


def percentile(values: list[float], fraction: float) -> float | None:
    """Return a percentile by nearest rank, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def ttft_ms(record: Record) -> float | None:
    """Return the time to first token without the network delay, or None without a first token."""
    if record.first_ms is None:
        return None
    return record.first_ms - record.arrival.at_ms - 2 * NETWORK_MS


def idle_ttft_ms(arrival: Arrival, segments: int = 0) -> float:
    """Return the time to first token of the request on an idle fleet.

    The default for `segments` is the smallest number that fits the engines' memory.
    """
    request = arrival.request
    limit = int(KV_TOKENS * 0.85)
    segments = segments or -(-(request.prompt_tokens + request.max_output_tokens) // limit)
    reserve_ms = 2 * NETWORK_MS * segments if segments > 1 else 0.0
    return idle_engine_ttft_ms(request.prompt_tokens, segments) + reserve_ms


def figures(fleet: SimulatedFleet, end_ms: float) -> dict[str, Any]:
    """Return the metrics of the measurement window, which ends at `end_ms`."""
    window = [r for r in fleet.records.values() if WARM_UP_MS <= r.arrival.at_ms < end_ms]
    timed = [(r.arrival.request.prompt_tokens, t, r) for r in window if (t := ttft_ms(r))]
    short = [t for tokens, t, _ in timed if tokens < 8_000]
    long = [t / idle_ttft_ms(r.arrival) for tokens, t, r in timed if tokens > LONG_TOKENS]
    completed = [r for r in fleet.records.values() if r.outcome == "completed" and r.end_ms]
    completed_in_window = [r for r in completed if WARM_UP_MS <= (r.end_ms or 0) < end_ms]
    tokens = sum(
        r.arrival.request.prompt_tokens + r.arrival.output_tokens for r in completed_in_window
    )
    refused: dict[str, int] = {}
    for record in window:
        if record.outcome != "completed":
            refused[record.outcome] = refused.get(record.outcome, 0) + 1
    late_requests = [
        r
        for r in fleet.records.values()
        if (r.end_ms or fleet.now_ms) > r.arrival.request.deadline_ms + 2
    ]
    by_length = []
    for low, high in zip(LENGTHS, LENGTHS[1:], strict=False):
        times = [t for count, t, _ in timed if low <= count < high]
        by_length.append(
            [low, len(times), *(percentile(times, p) or 0.0 for p in (0.5, 0.95, 0.99))]
        )
    long_all = [r for r in window if r.arrival.request.prompt_tokens > LONG_TOKENS]
    # A call is a request including the copies that its caller resent.
    calls = [
        r
        for r in fleet.records.values()
        if WARM_UP_MS <= r.first_sent_ms < end_ms and not r.is_resent
    ]
    first_token_times = [
        (r.first_ms or 0.0) - r.first_sent_ms
        for r in calls
        if r.outcome == "completed" and r.arrival.request.prompt_tokens < 8_000
    ]
    held_tokens = sum(e.used_tokens for e in fleet.engines.values())
    return {
        "requests": len(window),
        "short_p50_ms": percentile(short, 0.5),
        "short_p99_ms": percentile(short, 0.99),
        "under32k_p95_ms": percentile([t for count, t, _ in timed if count < 32_000], 0.95),
        "long_ratio_p50": percentile(long, 0.5),
        "long_ratio_p95": percentile(long, 0.95),
        "long_own_ratio_p95": percentile(
            [
                t / idle_ttft_ms(r.arrival, r.segments)
                for count, t, r in timed
                if count > LONG_TOKENS
            ],
            0.95,
        ),
        "long_done": sum(r.outcome == "completed" for r in long_all),
        "long_all": len(long_all),
        "spanning_ratio_p95": percentile(
            [t / idle_ttft_ms(r.arrival) for _, t, r in timed if r.segments > 1], 0.95
        ),
        "refused": sum(refused.values()),
        "outcomes": refused,
        "late": len(late_requests),
        "attempts": sum(r.dispatches for r in window),
        "calls": len(calls),
        "calls_failed": sum(r.outcome != "completed" for r in calls),
        "call_short_p99_ms": percentile(first_token_times, 0.99),
        "held": held_tokens if all(r.end_ms for r in fleet.records.values()) else None,
        "late_dispatches": fleet.late_dispatches,
        "goodput": tokens / (end_ms - WARM_UP_MS) * 1000,
        "goodput_requests": len(completed_in_window) / (end_ms - WARM_UP_MS) * 1000,
        "utilisation": sum(e.busy_ms for e in fleet.engines.values())
        / (fleet.now_ms * len(fleet.engines)),
        "decision_us": 1e6 * fleet.decision_s / max(1, len(fleet.records)),
        "by_length": by_length,
    }


def share_figures(fleet: SimulatedFleet) -> dict[str, Any]:
    """Return the largest deviation of a neighbour's fraction of any minute from its fair share."""
    total_weight = sum(NEIGHBOURS.values())
    max_error = 0.0
    detail: dict[str, float] = {}
    last_start_s = WARM_UP_MS // 1000 + (SHARE_MINUTES - 1) * 60
    for start_s in range(SHARE_START_S, last_start_s + 1, 5):
        used = {
            name: sum(
                engine.consumed_ms.get(name, {}).get(second, 0.0)
                for engine in fleet.engines.values()
                for second in range(start_s, start_s + 60)
            )
            for name in NEIGHBOURS
        }
        total = sum(used.values())
        for name, weight in NEIGHBOURS.items():
            error = used[name] / total - weight / total_weight
            if abs(error) > abs(detail.get(name, 0.0)):
                detail[name] = round(error, 4)
            max_error = max(max_error, abs(error))
    return {"share_error": max_error, "share_detail": detail}
