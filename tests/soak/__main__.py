"""Play runs of the soak by hand.

    python -m tests.soak --seeds 50 --jobs 2 --logs out/soak
    python -m tests.soak --first 17 --seeds 1 --scale 10

Each run starts some dozens of processes, ends only these, and prints one line. The logs of a run that broke a
promise are kept.
"""

import argparse
import json
import pathlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed

from .plan import create_plan
from .run import Result, run


def run_seed(seed: int, scale: int, is_planned_only: bool) -> Result:
    """Play the run of a seed."""
    return run(create_plan(seed, scale, is_planned_only))


def write_log(result: Result, folder: pathlib.Path) -> None:
    """Write the plan, the problems and the log lines of a run."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [*map(str, result.plan.faults), *result.violations]
    for number, logged in result.logs.items():
        lines += [f"{number} {json.dumps(line)}" for line in logged]
    (folder / f"seed-{result.plan.seed}.log").write_text("\n".join(lines) + "\n")


def main() -> int:
    """Play the seeds and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=50, help="the number of seeds")
    parser.add_argument("--minutes", type=float, help="end after so many minutes")
    parser.add_argument("--scale", type=int, default=1, help="multiplies the processes")
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument("--planned", action="store_true", help="planned work only")
    parser.add_argument("--logs", type=pathlib.Path, default=pathlib.Path("out/soak"))
    args = parser.parse_args()
    ends = time.monotonic() + 60 * args.minutes if args.minutes else None
    broken = played = 0
    with ProcessPoolExecutor(args.jobs) as pool:
        seeds = range(args.first, args.first + args.seeds)
        futures = [pool.submit(run_seed, seed, args.scale, args.planned) for seed in seeds]
        for future in as_completed(futures):
            result = future.result()
            played += 1
            broken += bool(result.violations)
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
    print(f"{played} runs, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
