"""Demonstration: about a hundred requests of 1 k to 1 M tokens to a fleet of processes.

Engine time is scaled so that a prompt of a million tokens takes about a second.
"""

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from .callers import CallOutcome, CallResult, call_service, complete_chat, make_prompt, new_session
from .fleet import SERVICE, WORKSPACE_KEYS, Fleet, FleetSpec

TIME_SCALE = 20.0
RUNNERS = 6  # Two groups of three: a prompt of 1 M tokens spans three engines.
# Number of requests, and lowest and highest prompt length in tokens.
LENGTH_MIX = ((48, 1_000, 4_000), (24, 4_000, 16_000), (10, 16_000, 100_000), (6, 100_000, 330_000))
LARGEST_PROMPT_TOKENS = (600_000, 1_000_000)
SERVICE_CALLS = 10
OUTPUT_TOKENS = 64
TIMEOUT_MS = 50_000
LENGTH_BOUNDS = (4_000, 16_000, 100_000, 400_000, 1_100_000)
MEMORY_RELEASE_TIMEOUT_S = 15.0


@dataclass(frozen=True)
class PlannedCall:
    """A planned call of the demonstration; 0 tokens means a service call."""

    name: str
    at_s: float
    tokens: int = 0
    stream: bool = True
    key: str = WORKSPACE_KEYS["small"]


def plan_calls(seed: int, duration_s: float) -> list[PlannedCall]:
    """Return the planned calls in order of their start."""
    rng = random.Random(seed)
    lengths = [rng.randint(low, high) for count, low, high in LENGTH_MIX for _ in range(count)]
    lengths += [*LARGEST_PROMPT_TOKENS, *([0] * SERVICE_CALLS)]
    rng.shuffle(lengths)
    interval_s = duration_s / len(lengths)
    return [
        PlannedCall(
            name=f"request-{seed}-{index}",
            at_s=index * interval_s,
            tokens=tokens,
            stream=rng.random() < 0.8,
            key=rng.choice(list(WORKSPACE_KEYS.values())),
        )
        for index, tokens in enumerate(lengths)
    ]


async def run_calls(
    fleet: Fleet, calls: list[PlannedCall], progress: Progress
) -> list[tuple[PlannedCall, CallOutcome]]:
    """Run every call at its planned time and return the outcomes."""
    started = time.perf_counter()
    task = progress.add_task("requests", total=len(calls))

    async with new_session() as session:

        async def run(index: int, planned: PlannedCall) -> tuple[PlannedCall, CallOutcome]:
            await asyncio.sleep(max(0.0, planned.at_s - (time.perf_counter() - started)))
            url = fleet.entries[index % len(fleet.entries)].url
            if planned.tokens:
                prompt = make_prompt(planned.name, planned.tokens)
                outcome = await complete_chat(
                    session, url, planned.key, prompt, OUTPUT_TOKENS, planned.stream, TIMEOUT_MS
                )
            else:
                call_key = f"{time.time_ns() // 1_000_000}-{planned.name}"
                path, body = f"{SERVICE}/holds/{index}", planned.name.encode()
                outcome = await call_service(session, url, planned.key, path, body, call_key)
            progress.advance(task)
            return planned, outcome

        return await asyncio.gather(*(run(index, planned) for index, planned in enumerate(calls)))


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at a fraction of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def first_token_table(outcomes: list[tuple[PlannedCall, CallOutcome]]) -> Table:
    """Return a table of the time to first token by prompt length."""
    table = Table(title=f"Time to first token, ms (engine time runs {TIME_SCALE:g} times as fast)")
    for column in ("prompt tokens", "streamed", "median", "95th percentile", "highest"):
        table.add_column(column, justify="right")
    low = 0
    for high in LENGTH_BOUNDS:
        times = [
            outcome.first_byte_ms
            for planned, outcome in outcomes
            if low < planned.tokens <= high
            and planned.stream
            and outcome.result is CallResult.ANSWERED
        ]
        if times:
            cells = (percentile(times, 0.5), percentile(times, 0.95), max(times))
            table.add_row(
                f"{low:,} to {high:,}", str(len(times)), *(f"{value:.1f}" for value in cells)
            )
        low = high
    return table


def print_unanswered(console: Console, outcomes: list[tuple[PlannedCall, CallOutcome]]) -> None:
    """Print the calls without an answer, grouped by reason."""
    groups: dict[str, list[str]] = {}
    for planned, outcome in outcomes:
        if outcome.result is not CallResult.ANSWERED:
            kind = f"{planned.tokens} tokens" if planned.tokens else "service call"
            call = f"{planned.name} ({kind}, {outcome.total_ms:.0f} ms)"
            groups.setdefault(f"{outcome.result}: {outcome.detail}", []).append(call)
    for reason, names in groups.items():
        console.print(f"{len(names)} {reason}\n  {', '.join(names)}", markup=False)


def wait_for_free_memory(fleet: Fleet) -> int:
    """Wait until the engines have freed all memory; return the tokens still in use at the timeout."""
    deadline_s = time.monotonic() + MEMORY_RELEASE_TIMEOUT_S
    while True:
        held_tokens = sum(runner.state()["kv_tokens_used"] for runner in fleet.runners)
        if not held_tokens or time.monotonic() > deadline_s:
            return held_tokens
        time.sleep(0.1)


def main() -> int:
    """Run the demonstration and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=20.0, help="time between the starts")
    args = parser.parse_args()
    console = Console()
    console.print(f"starting 3 instances, {RUNNERS} runners, 2 services and the platform")
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    spec = FleetSpec(entries=3, runners=RUNNERS, services=2, time_scale=TIME_SCALE)
    with Fleet(spec) as fleet:
        with Progress(*columns, TimeElapsedColumn(), console=console) as progress:
            calls = plan_calls(args.seed, args.duration_s)
            outcomes = asyncio.run(run_calls(fleet, calls, progress))
        held_tokens = wait_for_free_memory(fleet)
    console.print(first_token_table(outcomes))
    print_unanswered(console, outcomes)
    console.print(f"engine memory held after the load: {held_tokens} tokens")
    counts = Counter(outcome.result for _, outcome in outcomes)
    summary = ", ".join(f"{counts[result]} {result}" for result in CallResult)
    print(f"demo: {summary}")
    return 1 if counts[CallResult.LOST] or held_tokens else 0


if __name__ == "__main__":
    sys.exit(main())
