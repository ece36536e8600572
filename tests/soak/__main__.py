"""Command line for soak runs.

    python -m tests.soak --seeds 50 --jobs 2 --logs out/soak
    python -m tests.soak --first 17 --seeds 1 --scale 10

Each run starts dozens of processes, ends only those, and prints one line and its violations. The
logs of a run with violations are written to a file.
"""

import argparse
import json
import pathlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

from .plan import create_plan
from .run import Result, run


def run_seed(seed: int, *options: Any) -> Result:
    """Execute the run of a seed with the options of `create_plan`."""
    return run(create_plan(seed, *options))


def write_log(result: Result, folder: pathlib.Path) -> None:
    """Write the faults, the violations and the log lines of a run to a file."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [*map(str, result.plan.faults), *result.violations]
    for number, logged in result.logs.items():
        lines += [f"{number} {json.dumps(line)}" for line in logged]
    (folder / f"seed-{result.plan.seed}.log").write_text("\n".join(lines) + "\n")


def main() -> int:
    """Execute the runs and return 1 if any of them has violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--minutes", type=float, help="start no runs after this many minutes")
    parser.add_argument("--scale", type=int, default=1, help="factor for the number of processes")
    parser.add_argument("--jobs", type=int, default=1, help="number of concurrent runs")
    parser.add_argument("--planned", action="store_true", help="planned operations only, no faults")
    parser.add_argument(
        "--short-reads", action="store_true", help="one or two records in each answer of the store"
    )
    parser.add_argument(
        "--cut-links", action="store_true", help="the store turns away several instances at once"
    )
    parser.add_argument(
        "--isolate", action="store_true", help="several instances at once reach no upstream"
    )
    parser.add_argument(
        "--restored-store", action="store_true", help="the store comes back from a copy"
    )
    parser.add_argument("--logs", type=pathlib.Path, default=pathlib.Path("out/soak"))
    args = parser.parse_args()
    ends = time.monotonic() + 60 * args.minutes if args.minutes else None
    failed_runs = finished_runs = 0
    with ProcessPoolExecutor(args.jobs) as pool:
        seeds = range(args.first, args.first + args.seeds)
        options = (
            args.scale,
            args.planned,
            args.short_reads,
            args.cut_links,
            args.isolate,
            args.restored_store,
        )
        futures = [pool.submit(run_seed, seed, *options) for seed in seeds]
        for future in as_completed(futures):
            result = future.result()
            finished_runs += 1
            failed_runs += bool(result.violations)
            print(f"seed {result.plan.seed}: {dict(result.outcomes)}")
            for violation in result.violations:
                print(f"  {violation}")
            if result.violations:
                write_log(result, args.logs)
            sys.stdout.flush()
            if ends is not None and time.monotonic() > ends:
                for waiting in futures:
                    waiting.cancel()
                break
    print(f"{finished_runs} runs, {failed_runs} with violations")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
