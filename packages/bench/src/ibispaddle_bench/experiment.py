"""Run the seeded scheduling experiment and write JSON lines, a table and plots.

    python -m ibispaddle_bench.experiment [--quick] [--seeds 1,2,3] [--out DIRECTORY]

Seeds 1 to 3 are for developing the scheduler; seeds 11 to 13 are reserved for the results in
docs/MEASUREMENTS.md.
"""

import argparse
import json
import pathlib
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from .experiment_scenarios import Scenario, failure_scenarios, scenarios
from .experiment_scenarios import run as run_scenario
from .plots import write_plots

PROCESSES = 4


def format_table(rows: list[dict[str, Any]]) -> str:
    """Return the results as a text table with one line per scenario and policy."""
    columns = {
        "scenario": 14,
        "policy": 15,
        "seed": 5,
        "short_p50_ms": 12,
        "short_p99_ms": 12,
        "slowdown_p99": 12,
        "under32k_p95_ms": 15,
        "long_ratio_p95": 14,
        "refused": 8,
        "late": 5,
        "attempts": 8,
        "calls_failed": 12,
        "held": 6,
        "goodput": 9,
        "decision_us": 11,
    }
    lines = [" ".join(name.rjust(width) for name, width in columns.items())]
    for row in rows:
        cells = []
        for name, width in columns.items():
            value = row.get(name)
            text = f"{value:.3g}" if isinstance(value, float) and value < 1000 else f"{value}"
            if isinstance(value, float) and value >= 1000:
                text = f"{value:.0f}"
            cells.append(("-" if value is None else text).rjust(width))
        lines.append(" ".join(cells))
    return "\n".join(lines)


def mean_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return one row per scenario and policy with the mean of every metric over the seeds."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["scenario"], row["policy"]), []).append(row)
    result = []
    for (scenario, policy), group in groups.items():
        mean: dict[str, Any] = {"scenario": scenario, "policy": policy, "seed": "mean"}
        for name in group[0]:
            values = [row.get(name) for row in group]
            if all(isinstance(v, int | float) for v in values) and name != "seed":
                mean[name] = sum(float(v) for v in values if v is not None) / len(values)
        result.append(mean)
    return result


def add_ratios(rows: list[dict[str, Any]]) -> None:
    """Add the metrics that compare two runs: slowdown of short prompts and goodput under overload."""
    by_key = {(r["policy"], r["seed"], r["scenario"]): r for r in rows}
    for row in rows:
        # The denominator is a run with only the short traffic under the same policy. For baselines,
        # the absolute values should be compared as well.
        short_only = by_key.get((row["policy"], row["seed"], f"{row['scenario']}-short"))
        if short_only is not None and short_only["short_p99_ms"]:
            row["slowdown_p99"] = row["short_p99_ms"] / short_only["short_p99_ms"]
        baseline = by_key.get((row["policy"], row["seed"], "load-100"))
        if row["scenario"] == "load-150" and baseline is not None:
            row["goodput_ratio"] = row["goodput"] / baseline["goodput"]


def main(argv: list[str] | None = None) -> int:
    """Run all scenarios and write results.jsonl, the table and the plots."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("out/bench"))
    parser.add_argument("--quick", action="store_true", help="80%% load, no baselines")
    parser.add_argument("--only", default="", help="comma-separated scenario names")
    parser.add_argument("--policy", default="", help="run only this policy")
    parser.add_argument(
        "--set", action="append", default=[], help="KEY=NUMBER of the scheduling settings"
    )
    parser.add_argument("--processes", type=int, default=PROCESSES)
    args = parser.parse_args(argv)
    settings = {k: json.loads(v) for k, v in (item.split("=") for item in args.set)}
    seeds = [int(seed) for seed in args.seeds.split(",")]
    selected: list[Scenario] = scenarios(seeds, args.quick, tuple(settings.items()))
    if args.only:
        selected += failure_scenarios(seeds, tuple(settings.items()))
        selected = [s for s in selected if s.name in args.only.split(",")]
    if args.policy:
        selected = [s for s in selected if s.policy == args.policy]
    args.out.mkdir(parents=True, exist_ok=True)
    # Longest runs first, so that no process is still running long after the others have ended.
    selected.sort(key=lambda s: -s.weight)
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(run_scenario, selected))
    rows.sort(key=lambda r: (r["scenario"], r["policy"], r["seed"]))
    add_ratios(rows)
    with (args.out / "results.jsonl").open("w") as out:
        for row in rows:
            out.write(json.dumps(row, sort_keys=True) + "\n")
    text = f"{format_table(rows)}\n\n{format_table(mean_rows(rows))}"
    (args.out / "table.txt").write_text(text + "\n")
    print(text)
    for row in rows:
        if "goodput_ratio" in row:
            print(f"goodput 150%/100% {row['policy']} {row['seed']}: {row['goodput_ratio']:.3f}")
        if "share_error" in row:
            print(
                f"share error seed {row['seed']}: {row['share_error']:.4f}, {row['share_detail']}"
            )
    write_plots(rows, args.out)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
