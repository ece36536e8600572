"""Measure the latency that one instance adds to the first byte, compared to calling engines directly.

The same requests are sent to the engine stand-ins directly and through one instance. With `--find-highest`
the rate is increased until the instance can no longer sustain it. Writes JSON lines to standard output or
to a file, and a table to standard error.
"""

import argparse
import dataclasses
import json
import math
import os
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from .fleet import WORKSPACE_KEYS, Fleet, FleetSpec
from .load import LoadReport, LoadSpec, percentile, run_load
from .load_worker import LengthClass
from .sampling import read_costs

TARGET_RATE = 28.0
OUTPUT_TOKENS = 250  # 7,000 tokens/s at 28 requests/s.
TARGET_MEDIAN_MS = 3.0
TARGET_P99_MS = 15.0
# Requests at the start of each load are excluded, because the number of streams still rises.
RAMP_S = 2.0
# A warm-up load before the first measurement opens the connections; it is reported as "cold".
WARM_UP_FACTOR = 1.5
WARM_UP_S = 6.0
# Prompts of 1 k to 1 M tokens, of which one in fifty has more than 100 k.
MIXES = {
    "design": (
        LengthClass(0.80, 1_000, 8_000),
        LengthClass(0.18, 8_000, 100_000),
        LengthClass(0.02, 100_000, 1_000_000),
    ),
    "short": (LengthClass(1.0, 1_000, 8_000),),
}
LENGTH_CLASSES = (
    ("all", 0, 10**9),
    ("<8k", 0, 8_000),
    ("8k-100k", 8_000, 100_000),
    (">100k", 100_000, 10**9),
)
# A worker can handle this many requests/s without distorting its own measurements.
RATE_PER_WORKER = 15.0
MAX_WORKERS = 8
# An overloaded instance relays tokens later than the engine generates them.
MAX_STRETCH = 1.1
# With a higher median, requests wait for the process. The answers of a short load can still end on time,
# because a delayed process reads several tokens at once.
MAX_ADDED_MEDIAN_MS = 50.0
RATE_FACTOR = 1.5
MAX_RATE = 1_000.0
BISECTIONS = 2
PRINTED_FUNCTIONS = 30  # Functions of a profile to print.


def fleet_spec(runners: int, interpreter_options: tuple[str, ...] = ()) -> FleetSpec:
    """Return a fleet with nearly instant prefill, so that the instance dominates the first byte."""
    return FleetSpec(
        entries=1,
        runners=runners,
        services=0,
        prefill_tokens_per_s=50_000_000.0,
        decode_tokens_per_s=60.0,
        kv_tokens=100_000_000,
        engine_options=("--max-batch", "4000"),
        interpreter_options=interpreter_options,
    )


def worker_count(rate: float) -> int:
    """Return the number of worker processes for a rate."""
    return max(2, min(MAX_WORKERS, math.ceil(rate / RATE_PER_WORKER)))


def paired_differences(direct: LoadReport, via_instance: LoadReport, after_s: float) -> list[float]:
    """Return the added time to first byte of each request that was answered in both loads."""
    return [
        routed.first_byte_ms - base.first_byte_ms
        for base, routed in zip(direct.samples, via_instance.samples, strict=True)
        if base.result == routed.result == "answered" and routed.at_s >= after_s
    ]


def summarise(
    report: LoadReport, load: LoadSpec, path: str, after_s: float
) -> Iterator[dict[str, Any]]:
    """Return one record per length class."""
    for name, lowest, highest in LENGTH_CLASSES:
        times = report.times(lambda s: s.first_byte_ms, lowest, highest, after_s)
        if not times:
            continue
        gaps = report.times(lambda s: s.longest_gap_ms, lowest, highest, after_s)
        totals = report.times(lambda s: s.total_ms, lowest, highest, after_s)
        yield {
            "path": path,
            "rate": load.rate,
            "prompts": name,
            "requests": len(times),
            "first_byte_median_ms": round(percentile(times, 0.5), 2),
            "first_byte_p99_ms": round(percentile(times, 0.99), 2),
            "longest_gap_p95_ms": round(percentile(gaps, 0.95), 1),
            "total_median_ms": round(percentile(totals, 0.5), 1),
        }


class Measurement:
    """Run loads on one fleet and collect the records."""

    def __init__(self, fleet: Fleet, args: argparse.Namespace, console: Console) -> None:
        self.fleet = fleet
        self.args = args
        self.console = console
        self.records: list[dict[str, Any]] = []

    @property
    def ramp_s(self) -> float:
        """Return the length of the start of a load whose requests are excluded."""
        return float(min(RAMP_S, self.args.duration_s / 3))

    def warm_up(self) -> None:
        """Run a load that opens the connections, and record the times of the cold instance."""
        self.run(self.args.rate * WARM_UP_FACTOR, "cold", WARM_UP_S)

    def run(
        self, rate: float, path: str, duration_s: float = 0.0
    ) -> tuple[dict[str, dict[str, Any]], LoadReport]:
        """Run one load and return its records by length class, and the report."""
        load = LoadSpec(
            rate=rate,
            duration_s=duration_s or self.args.duration_s,
            output_tokens=self.args.output_tokens,
            mix=MIXES[self.args.mix],
            key=WORKSPACE_KEYS["large"],
            workers=self.args.workers or worker_count(rate),
            seed=self.args.seed,
        )
        via_instance = path != "direct"
        targets = [p.url for p in (self.fleet.entries if via_instance else self.fleet.runners)]
        report = run_load(load, targets, [*self.fleet.entries, *self.fleet.runners])
        records = {
            record["prompts"]: record
            for record in summarise(report, load, path, 0.0 if path == "cold" else self.ramp_s)
        }
        self.records += records.values()
        details = Counter(s.detail[:100] for s in report.samples if s.result != "answered")
        counts = {name: report.count(name) for name in ("answered", "refused", "lost")}
        used = report.cpu_shares
        entries = [process.name for process in self.fleet.entries]
        self.records.append(
            {
                "path": path,
                "rate": rate,
                **counts,
                "reasons": dict(details.most_common(3)),
                "instance_cpu": round(
                    max((used.get(name, 0.0) for name in entries), default=0.0), 3
                ),
                # Fraction of the time in which the instance was ready to run but had no CPU.
                "instance_wait": round(
                    max((report.wait_shares.get(name, 0.0) for name in entries), default=0.0), 3
                ),
                "instance_mib": max(
                    (round(report.resident_mib.get(name, 0.0), 1) for name in entries),
                    default=0.0,
                ),
                "busiest_engine_cpu": round(
                    max(share for name, share in used.items() if name not in entries), 3
                ),
                "workers": load.workers,
                "busiest_worker_cpu": round(report.worker_cpu_share, 3),
                "worker_lag_p99_ms": round(report.worker_lag_p99_ms, 2),
                "generator_limited": report.generator_limited,
                # Other load on the machine delays all processes of the measurement.
                "machine_load": round(os.getloadavg()[0], 1),
                "machine_cores": os.cpu_count(),
            }
        )
        self.console.print(self.records[-1], markup=False)
        return records, report

    def compare(self, rate: float) -> dict[str, Any]:
        """Run the load directly and through the instance, and return the comparison."""
        direct, direct_report = self.run(rate, "direct")
        via_instance, report = self.run(rate, "instance")
        added = [
            {
                "path": "added",
                "rate": rate,
                "prompts": name,
                "requests": record["requests"],
                **{
                    field: round(record[field] - direct[name][field], 2)
                    for field in ("first_byte_median_ms", "first_byte_p99_ms")
                },
            }
            for name, record in via_instance.items()
            if name in direct
        ]
        self.records += added
        paired = paired_differences(direct_report, report, self.ramp_s)
        failed_requests = report.count("refused") + report.count("lost")
        complete = not failed_requests and "all" in via_instance and "all" in direct
        stretch = (
            via_instance["all"]["total_median_ms"] / direct["all"]["total_median_ms"]
            if complete
            else 0.0
        )
        result: dict[str, Any] = {
            "path": "verdict",
            "rate": rate,
            "held": bool(
                complete
                and stretch <= MAX_STRETCH
                and added[0]["first_byte_median_ms"] <= MAX_ADDED_MEDIAN_MS
            ),
            "stretch": round(stretch, 3),
            "paired_median_ms": round(percentile(paired, 0.5), 2),
            "paired_p99_ms": round(percentile(paired, 0.99), 2),
            "generator_limited": report.generator_limited or direct_report.generator_limited,
        }
        result["in_target"] = bool(
            result["held"]
            and added[0]["first_byte_median_ms"] <= TARGET_MEDIAN_MS
            and added[0]["first_byte_p99_ms"] <= TARGET_P99_MS
        )
        self.records.append(result)
        self.console.print(*added, result, sep="\n", markup=False)
        return result

    def find_highest(self) -> dict[str, Any]:
        """Increase the rate until it is not sustained, then find the limit by bisection."""
        highest_held, highest_in_target, rate = 0.0, 0.0, self.args.rate
        lowest_failed = None
        for _ in range(20):
            result = self.compare(rate)
            if result["in_target"]:
                highest_in_target = max(highest_in_target, rate)
            if result["held"]:
                highest_held = max(highest_held, rate)
            else:
                lowest_failed = rate
            if lowest_failed is not None or rate * RATE_FACTOR > MAX_RATE:
                break
            rate *= RATE_FACTOR
        for _ in range(BISECTIONS if lowest_failed is not None and highest_held else 0):
            assert lowest_failed is not None
            rate = (highest_held + lowest_failed) / 2
            result = self.compare(rate)
            if result["in_target"]:
                highest_in_target = max(highest_in_target, rate)
            if result["held"]:
                highest_held = rate
            else:
                lowest_failed = rate
        highest = {
            "path": "highest",
            "held_rate": highest_held,
            "in_target_rate": highest_in_target,
        }
        self.records.append(highest)
        return highest


def print_table(console: Console, records: list[dict[str, Any]]) -> None:
    """Print the records with times as a table."""
    table = Table(title="First byte, ms")
    names = ("rate", "path", "prompts", "requests", "first_byte_median_ms", "first_byte_p99_ms")
    for name in names:
        table.add_column(name.removeprefix("first_byte_"), justify="right")
    for record in records:
        if "prompts" in record:
            table.add_row(*(str(record[name]) for name in names))
    console.print(table)


def print_costs(console: Console, profile: Path) -> None:
    """Print the functions with the largest own and cumulative fractions of a profile."""
    costs = read_costs(profile)
    by_total = sorted(costs, key=lambda cost: -cost.cumulative)
    for title, chosen in (
        ("own", costs[:PRINTED_FUNCTIONS]),
        ("cumulative", by_total[: 2 * PRINTED_FUNCTIONS]),
    ):
        table = Table(title=f"Processor time of the instance, by {title} share")
        for name in ("own %", "cumulative %", "function"):
            table.add_column(name, justify="left" if name == "function" else "right")
        for cost in chosen:
            table.add_row(f"{cost.own:.1%}", f"{cost.cumulative:.1%}", cost.function)
        console.print(table)


def main() -> int:
    """Measure and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=TARGET_RATE, help="requests/s")
    parser.add_argument("--duration-s", type=float, default=12.0, help="length of one load")
    parser.add_argument("--output-tokens", type=int, default=OUTPUT_TOKENS)
    parser.add_argument("--mix", choices=sorted(MIXES), default="design")
    parser.add_argument(
        "--workers", type=int, default=0, help="processes that generate load; 0: from the rate"
    )
    parser.add_argument("--runners", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--find-highest", action="store_true")
    parser.add_argument("--direct-only", action="store_true", help="measure the engines alone")
    parser.add_argument("--output", type=Path, help="file for the JSON lines")
    parser.add_argument(
        "--profile", type=Path, help="file for a profile of the instance; print its largest costs"
    )
    args = parser.parse_args()
    console = Console(stderr=True)
    profiler = (
        ("-m", "ibispaddle_bench.sampling", str(args.profile.resolve())) if args.profile else ()
    )
    spec = fleet_spec(args.runners, profiler)
    if args.direct_only:
        spec = dataclasses.replace(spec, entries=0)
    with Fleet(spec) as fleet:
        measurement = Measurement(fleet, args, console)
        if args.direct_only:
            measurement.run(args.rate, "direct")
        else:
            measurement.warm_up()
            if args.find_highest:
                measurement.find_highest()
            else:
                measurement.compare(args.rate)
    lines = "".join(json.dumps(record) + "\n" for record in measurement.records)
    if args.output:
        args.output.write_text(lines)
    else:
        sys.stdout.write(lines)
    print_table(console, measurement.records)
    if args.profile:
        print_costs(console, args.profile)
    return 0


if __name__ == "__main__":
    sys.exit(main())
