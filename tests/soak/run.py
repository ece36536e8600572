"""Execution of one soak run."""

import asyncio
import tempfile
import time
from collections import Counter
from dataclasses import dataclass

from .callers import Caller
from .fleet import SoakFleet
from .judge import InvariantChecker
from .plan import RECOVERY_S, Plan

CALLERS = 6
# Time for runners to finish requests that their callers have abandoned.
SETTLE_S = 1.0


@dataclass(frozen=True)
class Result:
    """The result of a run."""

    plan: Plan
    violations: tuple[str, ...]
    outcomes: Counter[str]
    logs: dict[int, list[dict]]


def _caller_count(plan: Plan) -> int:
    # Callers wait at instances that reach no upstream; the others must send enough meanwhile.
    return CALLERS * plan.instances // (1 if plan.has_isolation else 2)


async def _run(plan: Plan, folder: str) -> Result:
    fleet = SoakFleet(plan, folder)
    try:
        await fleet.start()
        faults_start_s = time.monotonic()
        callers = [
            Caller(number, plan.seed, lambda: fleet.ports, lambda: fleet.keys)
            for number in range(_caller_count(plan))
        ]
        stop_requested = asyncio.Event()
        caller_tasks = asyncio.gather(*(caller.run(stop_requested.is_set) for caller in callers))
        await fleet.run_faults(faults_start_s)
        await asyncio.sleep(RECOVERY_S)
        ends_s = time.monotonic()
        stop_requested.set()
        await caller_tasks
        await asyncio.sleep(SETTLE_S)
        calls = sorted((call for c in callers for call in c.calls), key=lambda call: call.sent_s)
        violations = tuple(InvariantChecker(fleet, calls, ends_s).find_violations())
        logs = {n: list(instance.lines) for n, instance in enumerate(fleet.instances)}
        return Result(plan, violations, Counter(str(call.outcome) for call in calls), logs)
    finally:
        await fleet.close()


def run(plan: Plan) -> Result:
    """Execute a plan with real processes and check the invariants."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(plan, folder))
