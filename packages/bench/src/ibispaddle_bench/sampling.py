"""Sampling profiler that runs a Python module.

`python -m ibispaddle_bench.sampling OUTPUT -m MODULE ARGUMENT...` runs the module, records its stack
every two milliseconds of CPU time, and writes the counts to OUTPUT at the end. The deterministic
profilers of the standard library overstate the cost of small functions several times.
"""

import json
import runpy
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Any

INTERVAL_S = 0.002
# Files of the profiler itself, which are at the bottom of every stack.
IGNORED_FILES = ("<frozen runpy>", "sampling.py")


class Sampler:
    """Counts the functions on the stack at each sample."""

    def __init__(self) -> None:
        self.samples = 0
        self.own: Counter[str] = Counter()
        self.cumulative: Counter[str] = Counter()

    def start(self) -> None:
        """Start sampling."""
        signal.signal(signal.SIGPROF, self.sample)
        signal.setitimer(signal.ITIMER_PROF, INTERVAL_S, INTERVAL_S)

    def sample(self, number: int, frame: FrameType | None) -> None:
        """Count the stack of one sample."""
        self.samples += 1
        seen: set[str] = set()
        is_top = True
        while frame is not None:
            code = frame.f_code
            if not code.co_filename.endswith(IGNORED_FILES):
                name = f"{short_path(code.co_filename)}:{code.co_firstlineno} {code.co_qualname}"
                if is_top:
                    self.own[name] += 1
                    is_top = False
                seen.add(name)
            frame = frame.f_back
        self.cumulative.update(seen)

    def write(self, path: Path) -> None:
        """Stop sampling and write the counts."""
        signal.setitimer(signal.ITIMER_PROF, 0)
        counts = {"samples": self.samples, "own": self.own, "cumulative": self.cumulative}
        path.write_text(json.dumps(counts))


def short_path(path: str) -> str:
    """Return a path relative to its source, package or library folder."""
    for folder in ("/site-packages/", "/src/", "/lib/python3.11/"):
        _, found, rest = path.rpartition(folder)
        if found:
            return rest
    return path


@dataclass(frozen=True)
class Cost:
    """Fractions of the samples with a function on top of the stack, and anywhere on it."""

    function: str
    own: float
    cumulative: float


def read_costs(path: Path) -> list[Cost]:
    """Return the costs in a profile, largest own fraction first."""
    counts: dict[str, Any] = json.loads(path.read_text())
    total = max(1, counts["samples"])
    costs = [
        Cost(name, counts["own"].get(name, 0) / total, count / total)
        for name, count in counts["cumulative"].items()
    ]
    return sorted(costs, key=lambda cost: (-cost.own, -cost.cumulative))


def main() -> None:
    """Run the module that the command line names."""
    if len(sys.argv) < 4 or sys.argv[2] != "-m":
        sys.exit("usage: python -m ibispaddle_bench.sampling OUTPUT -m MODULE ARGUMENT...")
    output, module = Path(sys.argv[1]), sys.argv[3]
    sys.argv[:] = [module, *sys.argv[4:]]
    sampler = Sampler()
    sampler.start()
    try:
        runpy.run_module(module, run_name="__main__", alter_sys=True)
    finally:
        sampler.write(output)


if __name__ == "__main__":
    main()
