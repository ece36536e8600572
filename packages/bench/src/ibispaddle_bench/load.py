"""Generate load from several worker processes and evaluate the results."""

import os
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .load_worker import LengthClass, Sample, WorkerReport, WorkerSpec
from .processes import ManagedProcess

START_DELAY_S = 1.0  # The workers need this time to start.
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Above these values a worker distorts its own measurements.
MAX_WORKER_CPU_SHARE = 0.7
MAX_WORKER_LAG_P99_MS = 3.0


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value at a fraction of the sorted values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def cpu_seconds(process: ManagedProcess) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def waiting_seconds(process: ManagedProcess) -> float:
    """Return how long a process has waited for a CPU while it was ready to run."""
    try:
        return int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0  # The kernel does not provide scheduler statistics.


def resident_mib(process: ManagedProcess) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_048_576


@dataclass(frozen=True)
class LoadSpec:
    """Parameters of a load; `rate` is the total number of requests per second of all workers."""

    rate: float
    duration_s: float
    output_tokens: int
    mix: tuple[LengthClass, ...]
    key: str
    workers: int = 3
    seed: int = 1


@dataclass
class LoadReport:
    """The samples of all workers and the CPU use of the watched processes."""

    samples: list[Sample] = field(default_factory=list)
    worker_cpu_share: float = 0.0
    worker_lag_p99_ms: float = 0.0
    cpu_shares: dict[str, float] = field(default_factory=dict)
    wait_shares: dict[str, float] = field(default_factory=dict)
    resident_mib: dict[str, float] = field(default_factory=dict)

    @property
    def generator_limited(self) -> bool:
        """Return whether the load generator itself may have increased the measured times."""
        return (
            self.worker_cpu_share > MAX_WORKER_CPU_SHARE
            or self.worker_lag_p99_ms > MAX_WORKER_LAG_P99_MS
        )

    def count(self, result: str) -> int:
        """Return the number of requests with a result."""
        return sum(sample.result == result for sample in self.samples)

    def times(
        self,
        get_time: Callable[[Sample], float],
        lowest: int = 0,
        highest: int = sys.maxsize,
        after_s: float = 0.0,
    ) -> list[float]:
        """Return `get_time(sample)` for each answered request with a prompt length in the range."""
        return [
            get_time(sample)
            for sample in self.samples
            if sample.result == "answered"
            and lowest <= sample.prompt_tokens < highest
            and sample.at_s >= after_s
        ]


def run_load(
    load: LoadSpec, targets: Sequence[str], watched: Sequence[ManagedProcess] = ()
) -> LoadReport:
    """Run the load from several processes and return the merged report.

    Requests are sent to the targets in round-robin order. CPU use is measured in the second half of the
    load, because the number of streams still rises until the first answers have ended.
    """
    start_wall_s = time.time() + START_DELAY_S
    workers = []
    for number in range(load.workers):
        spec = WorkerSpec(
            targets=[*targets[number % len(targets) :], *targets[: number % len(targets)]],
            key=load.key,
            rate=load.rate / load.workers,
            duration_s=load.duration_s,
            output_tokens=load.output_tokens,
            mix=list(load.mix),
            seed=load.seed * 1_000 + number,
            start_wall_s=start_wall_s,
        )
        command = [sys.executable, "-m", "ibispaddle_bench.load_worker"]
        popen = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert popen.stdin is not None
        popen.stdin.write(msgspec.json.encode(spec) + b"\n")
        popen.stdin.flush()
        workers.append(popen)
    try:
        return _collect(load, workers, watched, start_wall_s)
    finally:
        for popen in workers:
            if popen.poll() is None:
                popen.kill()
            popen.wait()


def _collect(
    load: LoadSpec,
    workers: list[subprocess.Popen[bytes]],
    watched: Sequence[ManagedProcess],
    start_wall_s: float,
) -> LoadReport:
    report = LoadReport()
    # Measure the second half of the load, in which the number of streams is steady.
    time.sleep(max(0.0, start_wall_s + load.duration_s / 2 - time.time()))
    before = {p.name: (cpu_seconds(p), waiting_seconds(p)) for p in watched}
    started = time.monotonic()
    time.sleep(max(0.0, start_wall_s + load.duration_s - time.time()))
    elapsed = max(0.001, time.monotonic() - started)
    for process in watched:
        if process.running:
            cpu_s, waiting_s = before[process.name]
            report.cpu_shares[process.name] = (cpu_seconds(process) - cpu_s) / elapsed
            report.wait_shares[process.name] = (waiting_seconds(process) - waiting_s) / elapsed
            report.resident_mib[process.name] = resident_mib(process)
    for popen in workers:
        output, _ = popen.communicate(timeout=180)
        worker_report = msgspec.json.decode(output, type=WorkerReport)
        report.samples += worker_report.samples
        report.worker_cpu_share = max(report.worker_cpu_share, worker_report.cpu_share)
        report.worker_lag_p99_ms = max(report.worker_lag_p99_ms, worker_report.lag_p99_ms)
    return report
