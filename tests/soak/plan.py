"""Faults of one run, drawn from a seed."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

# Traffic before the first fault, and after the last one has ended. The store is read again within the time
# for which the platform lets keys be used without it.
CALM_S = 3.0
RECOVERY_S = 10.0
# A fault is followed by one at the same target this often: signals and cuts come in series.
SERIES_PART = 0.3


class Kind(StrEnum):
    """Name what a fault does."""

    INSTANCE_KILL = "instance_kill"
    INSTANCE_PAUSE = "instance_pause"
    INSTANCE_STOP = "instance_stop"  # Planned: SIGTERM, and a new start.
    ALL_KILL = "all_kill"
    RUNNER_KILL = "runner_kill"  # Gone for good; another one comes.
    RUNNER_PAUSE = "runner_pause"
    RUNNER_RELEASE = "runner_release"  # Planned: a new one comes, the old one drains and ends.
    RUNNER_FAULT = "runner_fault"
    RUNNER_LINK = "runner_link"
    STORE_LINK = "store_link"  # Between one instance and the store.
    STORE_FAULT = "store_fault"
    STORE_COMPACT = "store_compact"
    ROUTE_ADDED = "route_added"
    KEY_REVOKED = "key_revoked"


PLANNED = (Kind.INSTANCE_STOP, Kind.RUNNER_RELEASE, Kind.ROUTE_ADDED, Kind.KEY_REVOKED)
_WEIGHTS = {
    Kind.INSTANCE_KILL: 3,
    Kind.INSTANCE_PAUSE: 3,
    Kind.INSTANCE_STOP: 4,
    Kind.ALL_KILL: 0.5,
    Kind.RUNNER_KILL: 2,
    Kind.RUNNER_PAUSE: 2,
    Kind.RUNNER_RELEASE: 3,
    Kind.RUNNER_FAULT: 6,
    Kind.RUNNER_LINK: 4,
    Kind.STORE_LINK: 3,
    Kind.STORE_FAULT: 2,
    Kind.STORE_COMPACT: 1,
    Kind.ROUTE_ADDED: 2,
    Kind.KEY_REVOKED: 1,
}
_LINK_MODES = ("delay", "reset", "silent", "one_way")
_RUNNER_FAULTS = (
    ("shed", 5),
    ("false_refusal", 3),
    ("error", 4),
    ("cut_after", 2),
    ("lose_answer", 3),
    ("silent", 2),
    ("foreign", 3),
    ("unsigned", 3),
    ("second_answer", 3),
)
_STORE_FAULTS = ("outage", "silent", "lose_answers")


@dataclass(frozen=True)
class Fault:
    """Describe one fault; `target` counts instances or runners, `how` is its variant."""

    at_s: float
    kind: Kind
    target: int = 0
    for_s: float = 0.0
    how: str = ""
    strikes: int = 0


@dataclass(frozen=True)
class Plan:
    """Hold the sizes and faults of a run."""

    seed: int
    instances: int
    runners: int
    services: int
    faults: tuple[Fault, ...] = field(default=())


def plan(seed: int, scale: int = 1, is_planned_only: bool = False) -> Plan:
    """Return the plan of a seed; `scale` multiplies the processes.

    >>> plan(7) == plan(7)
    True
    """
    rng = random.Random(f"soak/{seed}/{scale}/{is_planned_only}")
    instances, runners = scale * rng.randint(2, 4), scale * rng.randint(3, 5)
    services = scale * 2
    faulty_s = rng.uniform(10.0, 16.0)
    kinds = {kind: _WEIGHTS[kind] for kind in (PLANNED if is_planned_only else Kind)}
    faults: list[Fault] = []
    for _ in range(rng.randint(8, 16) * (1 + scale) // 2):
        last = faults[-1] if faults else None
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        target = rng.randrange(10_000)
        if last is not None and rng.random() < SERIES_PART:
            kind, target = last.kind, last.target
        how, strikes = "", 0
        match kind:
            case Kind.RUNNER_LINK | Kind.STORE_LINK:
                how = rng.choice(_LINK_MODES)
            case Kind.RUNNER_FAULT:
                how, strikes = rng.choice(_RUNNER_FAULTS)
            case Kind.STORE_FAULT:
                how = rng.choice(_STORE_FAULTS)
        at_s = CALM_S + rng.uniform(0, faulty_s)
        faults.append(Fault(at_s, kind, target, rng.uniform(0.3, 4.0), how, strikes))
    faults.sort(key=lambda fault: fault.at_s)
    return Plan(seed, instances, runners, services, tuple(faults))
