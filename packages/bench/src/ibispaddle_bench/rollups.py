"""Measure the size, appends, CPU time and memory of a rollup of the usage aggregate.

Run with `python -m ibispaddle_bench.rollups`. Every instance has counters for every workspace, which is
the largest aggregate of a fleet.
"""

import gc
import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
from ibispaddle_core.usage import UsageAggregate, UsageAggregateReader, UsageRecord, split_rollup

SIZES = ((9, 10), (9, 620), (390, 620))
# Counters of about a year: 12 million requests and their tokens, spread over the workspaces.
COUNTERS = (120_000, 2_500_000_000, 60_000_000, 3_000_000_000)
START_MS = 1_790_000_000_000


def _flushes(instances: int, workspaces: int) -> Iterator[UsageRecord]:
    for offset in range(instances):
        counters = {
            f"workspace-{number:03}": [value + number for value in COUNTERS]
            for number in range(workspaces)
        }
        data = {"instance_boot": f"entry.{offset}-{START_MS + offset}", "counters": counters}
        yield UsageRecord(offset, START_MS, msgspec.json.decode(msgspec.json.encode(data)))


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _cpu_ms(started_s: float) -> float:
    return (time.process_time() - started_s) * 1_000


def measure(instances: int, workspaces: int) -> str:
    """Write and read one rollup, and return the results as a line of text."""
    gc.collect()
    before_mb = _resident_mb()
    aggregate = UsageAggregate()
    for record in _flushes(instances, workspaces):
        aggregate.fold(record)
    aggregate_mb = _resident_mb() - before_mb
    started_s = time.process_time()
    parts = list(split_rollup(aggregate.to_rollup(f"entry.0-{START_MS}")))
    bodies = [msgspec.json.encode(part.to_record()) for part in parts]
    write_ms = _cpu_ms(started_s)
    reader = UsageAggregateReader()
    steps_ms = []
    for offset, body in enumerate(bodies, instances):
        started_s = time.process_time()
        record = UsageRecord(offset, START_MS, msgspec.json.decode(body))
        reader.read_page(instances, [record])
        steps_ms.append(_cpu_ms(started_s))
    assert reader.complete
    assert reader.aggregate.totals() == aggregate.totals()
    sizes = [len(body) for body in bodies]
    return (
        f"{instances} instances, {workspaces} workspaces: {len(parts)} appends,"
        f" {sum(sizes):,} bytes, largest {max(sizes):,};"
        f" write {write_ms:.1f} ms; read {sum(steps_ms):.1f} ms, longest step {max(steps_ms):.1f};"
        f" account {aggregate_mb:.0f} MB"
    )


if __name__ == "__main__":
    for size in SIZES:
        print(measure(*size))
    print(f"load average {os.getloadavg()[0]:.1f}")
