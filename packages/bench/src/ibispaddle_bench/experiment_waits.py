"""Break down the time to first token of long prompts by state, by default at 80% load.

    python -m ibispaddle_bench.experiment_waits [--seeds 1,2,3] [--load 0.8]

Every 50 ms each long prompt without a first token is assigned to one of these states, using the actual
state of the engines rather than their delayed reports. Times are multiples of the prompt's time to first
token on an idle fleet.

- behind: queued while another prompt of its instance reserves memory
- unseen: queued although enough engines have the memory and prefill no long prompt
- engines: queued; enough engines have the memory, but too many of them prefill long prompts
- memory: queued; too few engines have the memory
- reserving: reserving memory on a group of engines
- shared: dispatched, and another long prompt is in prefill on one of its engines
- running: dispatched, and no other long prompt is in prefill on its engines
"""

import argparse
from collections import defaultdict

from ibispaddle_core.scheduling import Dispatch, ReserveMemory

from .engine_model import KV_TOKENS, Engine
from .experiment_fleet import FaultPlan, Record, SimulatedFleet
from .experiment_scenarios import (
    INSTANCES,
    MEASURED_MS,
    WARM_UP_MS,
    fleet_config,
    idle_ttft_ms,
    percentile,
    ttft_ms,
)
from .workload import LONG_TOKENS, RUNNERS, generate_arrivals

SAMPLE_MS = 50.0
STATES = ("behind", "unseen", "engines", "memory", "reserving", "shared", "running")
SHORT_MEMORY_RESERVE = 0.15


def long_prefills(engine: Engine) -> list[str]:
    """Return the ids of the long prompts, or their segments, that are in prefill."""
    return [
        job.job_id
        for job in engine.jobs.values()
        if job.priority >= 4 and not job.is_decoding and job.position < job.prompt_tokens
    ]


class WaitSampler:
    """Sample the states of the long prompts while a simulated fleet runs."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self.state_times_ms: dict[str, dict[str, float]] = defaultdict(
            lambda: dict.fromkeys(STATES, 0.0)
        )
        self._reserving: set[str] = set()
        self._sent: set[str] = set()
        execute = fleet._execute

        def execute_and_record(number: int, decision: object) -> None:
            match decision:
                case ReserveMemory(request_id):
                    self._reserving.add(request_id)
                case Dispatch(request_id):
                    self._sent.add(request_id)
            execute(number, decision)  # type: ignore[arg-type]

        fleet._execute = execute_and_record  # type: ignore[method-assign]
        fleet.schedule(0.0, self._sample)

    def _sample(self) -> None:
        fleet = self._fleet
        fleet.schedule(fleet.now_ms + SAMPLE_MS, self._sample)
        engines = list(fleet.engines.values())
        prefills = {engine.engine_id: long_prefills(engine) for engine in engines}
        for name in fleet._open_requests:
            record = fleet.records[name]
            if record.arrival.request.prompt_tokens > LONG_TOKENS and record.first_ms is None:
                self.state_times_ms[name][self._state(name, record, engines, prefills)] += SAMPLE_MS

    def _state(
        self, name: str, record: Record, engines: list[Engine], prefills: dict[str, list[str]]
    ) -> str:
        if name in self._sent:
            job_prefixes = (f"{name}@", f"{name}#")
            is_shared = any(
                any(job.startswith(job_prefixes) for job in jobs)
                and not all(j.startswith(job_prefixes) for j in jobs)
                for jobs in prefills.values()
            )
            return "shared" if is_shared else "running"
        if name in self._reserving:
            return "reserving"
        reserving = (self._reserving - self._sent) & self._fleet._open_requests
        if any(self._fleet.records[other].instance == record.instance for other in reserving):
            return "behind"
        request = record.arrival.request
        cost = self._fleet.schedulers[record.instance].cost
        count = cost.preferred_segments(request)
        limit = KV_TOKENS * (1 - SHORT_MEMORY_RESERVE) - cost.kv_tokens(request) / count
        fitting = [engine for engine in engines if engine.used_tokens <= limit]
        if len(fitting) < count:
            return "memory"
        free = sum(not prefills[engine.engine_id] for engine in fitting)
        return "unseen" if free >= count else "engines"


def main(argv: list[str] | None = None) -> int:
    """Print the time to first token by state, for all long prompts and for the slowest tenth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--load", type=float, default=0.8)
    args = parser.parse_args(argv)
    for seed in (int(part) for part in args.seeds.split(",")):
        end_ms = WARM_UP_MS + MEASURED_MS
        traffic = generate_arrivals(seed, args.load, end_ms)
        fleet = SimulatedFleet(fleet_config({}), seed, INSTANCES, RUNNERS, traffic, FaultPlan())
        sampler = WaitSampler(fleet)
        fleet.run()
        timed = sorted(
            (time_ms / idle_ttft_ms(record.arrival), name)
            for name, record in fleet.records.items()
            if record.arrival.at_ms >= WARM_UP_MS
            and record.arrival.request.prompt_tokens > LONG_TOKENS
            and (time_ms := ttft_ms(record))
        )
        slowest = [name for _, name in timed[-len(timed) // 10 :]]
        spanning = [name for _, name in timed if fleet.records[name].segments > 1]
        ratio = percentile([value for value, _ in timed], 0.95)
        print(f"seed {seed}: {len(timed)} long prompts, ratio p95 {ratio:.1f}")
        groups = {"all": [n for _, n in timed], "slowest tenth": slowest, "spanning": spanning}
        for title, names in groups.items():
            parts = [
                sum(
                    sampler.state_times_ms[n][state] / idle_ttft_ms(fleet.records[n].arrival)
                    for n in names
                )
                / max(1, len(names))
                for state in STATES
            ]
            cells = "  ".join(f"{s} {p:.2f}" for s, p in zip(STATES, parts, strict=True))
            print(f"  {title:13} {len(names):4}  {cells}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
