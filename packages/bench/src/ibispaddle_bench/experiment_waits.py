"""Show where the time to first token of long prompts goes at 80% load.

    python -m ibispaddle_bench.experiment_waits [--seeds 1,2,3] [--load 0.8]

Every 50 ms each long prompt without a first token is put into one of these states, as the engines
themselves know it, without the delay of reports. Times are multiples of the prompt's time alone on
an empty fleet.

- behind: queued while another prompt of its instance reserves memory
- unseen: queued although enough engines have the memory and compute no long prompt
- engines: queued; enough engines have the memory, but too many of these compute long prompts
- memory: queued; too few engines have the memory
- reserving: reserves the memory of a group of engines
- shared: sent, and another long prompt is in prefill on one of its engines
- running: sent, and no other long prompt is in prefill on its engines
"""

import argparse
from collections import defaultdict

from ibispaddle_core.scheduling import Dispatch, ReserveMemory

from .engine_model import KV_TOKENS, Engine
from .experiment_fleet import Fleet, Plan, Record
from .experiment_scenarios import (
    INSTANCES,
    MEASURED_MS,
    WARM_UP_MS,
    fleet_config,
    idle_ttft_ms,
    percentile,
    ttft_ms,
)
from .workload import LONG_TOKENS, RUNNERS, arrivals

SAMPLE_MS = 50.0
STATES = ("behind", "unseen", "engines", "memory", "reserving", "shared", "running")
SHORT_RESERVE = 0.15


def long_prefills(engine: Engine) -> list[str]:
    """Return the ids of the long prompts, or their segments, that are in prefill."""
    return [
        job.job_id
        for job in engine.jobs.values()
        if job.priority >= 4 and not job.decoding and job.position < job.prompt_tokens
    ]


class WaitSampler:
    """Sample the state of the long prompts of a fleet while it runs."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.times: dict[str, dict[str, float]] = defaultdict(lambda: dict.fromkeys(STATES, 0.0))
        self._reserving: set[str] = set()
        self._sent: set[str] = set()
        execute = fleet._execute

        def watch(number: int, decision: object) -> None:
            match decision:
                case ReserveMemory(request_id):
                    self._reserving.add(request_id)
                case Dispatch(request_id):
                    self._sent.add(request_id)
            execute(number, decision)  # type: ignore[arg-type]

        fleet._execute = watch  # type: ignore[method-assign]
        fleet.at(0.0, self._sample)

    def _sample(self) -> None:
        fleet = self._fleet
        fleet.at(fleet.now_ms + SAMPLE_MS, self._sample)
        engines = list(fleet.engines.values())
        busy = {engine.engine_id: long_prefills(engine) for engine in engines}
        for name in fleet._open:
            record = fleet.records[name]
            if record.arrival.request.prompt_tokens > LONG_TOKENS and record.first_ms is None:
                self.times[name][self._state(name, record, engines, busy)] += SAMPLE_MS

    def _state(
        self, name: str, record: Record, engines: list[Engine], busy: dict[str, list[str]]
    ) -> str:
        if name in self._sent:
            own = (f"{name}@", f"{name}#")
            mixed = any(
                any(job.startswith(own) for job in jobs)
                and not all(j.startswith(own) for j in jobs)
                for jobs in busy.values()
            )
            return "shared" if mixed else "running"
        if name in self._reserving:
            return "reserving"
        waiting = (self._reserving - self._sent) & self._fleet._open
        if any(self._fleet.records[other].instance == record.instance for other in waiting):
            return "behind"
        request = record.arrival.request
        cost = self._fleet.schedulers[record.instance].cost
        count = cost.preferred_segments(request)
        limit = KV_TOKENS * (1 - SHORT_RESERVE) - cost.kv_tokens(request) / count
        fitting = [engine for engine in engines if engine.used <= limit]
        if len(fitting) < count:
            return "memory"
        free = sum(not busy[engine.engine_id] for engine in fitting)
        return "unseen" if free >= count else "engines"


def main(argv: list[str] | None = None) -> int:
    """Print the parts of the time to first token, for all long prompts and the slowest tenth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--load", type=float, default=0.8)
    args = parser.parse_args(argv)
    for seed in (int(part) for part in args.seeds.split(",")):
        end_ms = WARM_UP_MS + MEASURED_MS
        traffic = arrivals(seed, args.load, end_ms)
        fleet = Fleet(fleet_config({}), seed, INSTANCES, RUNNERS, traffic, Plan())
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
                sum(sampler.times[n][state] / idle_ttft_ms(fleet.records[n].arrival) for n in names)
                / max(1, len(names))
                for state in STATES
            ]
            cells = "  ".join(f"{s} {p:.2f}" for s, p in zip(STATES, parts, strict=True))
            print(f"  {title:13} {len(names):4}  {cells}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
