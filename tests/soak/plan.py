"""The plan of a soak run: the number of processes and the faults, generated from a seed."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

# Period of traffic before the first fault, and after the end of the last one. The recovery is
# longer than the period for which the platform allows keys to be used without reading the store, so
# that the store is read again within it.
WARM_UP_S = 3.0
RECOVERY_S = 10.0
# Probability that a fault repeats the kind and target of the previous one, because signals and
# network failures tend to occur in series.
REPEAT_PROBABILITY = 0.3


class FaultKind(StrEnum):
    """Kind of a fault."""

    INSTANCE_KILL = "instance_kill"
    INSTANCE_PAUSE = "instance_pause"
    INSTANCE_STOP = "instance_stop"  # Planned: SIGTERM and restart.
    ALL_KILL = "all_kill"
    RUNNER_KILL = "runner_kill"  # The runner isn't restarted, but replaced by a new one.
    RUNNER_PAUSE = "runner_pause"
    RUNNER_RELEASE = "runner_release"  # Planned: a new runner starts, the old one drains and exits.
    RUNNER_FAULT = "runner_fault"
    RUNNER_LINK = "runner_link"
    STORE_LINK = "store_link"  # Between one instance and the store.
    STORE_LINKS = "store_links"  # Between several instances and the store.
    ISOLATION = "isolation"  # Between several instances and all upstreams.
    STORE_FAULT = "store_fault"
    STORE_COMPACT = "store_compact"
    STORE_RESTORE = "store_restore"  # It is away for a moment and comes back from a copy.
    ROUTE_ADDED = "route_added"
    KEY_REVOKED = "key_revoked"
    EVACUATION = "evacuation"  # Of one of two data centres.


PLANNED = (
    FaultKind.INSTANCE_STOP,
    FaultKind.RUNNER_RELEASE,
    FaultKind.ROUTE_ADDED,
    FaultKind.KEY_REVOKED,
    FaultKind.EVACUATION,
)
STORE_LINK_KINDS = (FaultKind.STORE_LINK, FaultKind.STORE_LINKS)
_WEIGHTS = {
    FaultKind.INSTANCE_KILL: 3,
    FaultKind.INSTANCE_PAUSE: 3,
    FaultKind.INSTANCE_STOP: 4,
    FaultKind.ALL_KILL: 0.5,
    FaultKind.RUNNER_KILL: 2,
    FaultKind.RUNNER_PAUSE: 2,
    FaultKind.RUNNER_RELEASE: 3,
    FaultKind.RUNNER_FAULT: 6,
    FaultKind.RUNNER_LINK: 4,
    FaultKind.STORE_LINK: 3,
    FaultKind.STORE_FAULT: 2,
    FaultKind.STORE_COMPACT: 1,
    FaultKind.ROUTE_ADDED: 2,
    FaultKind.KEY_REVOKED: 1,
    FaultKind.EVACUATION: 2,
}
# Weights of STORE_LINKS, ISOLATION and STORE_RESTORE in plans that have them. With the last, there are more
# changes that the store may lose.
_STORE_LINKS_WEIGHT = 8
_ISOLATION_WEIGHT = 6
_STORE_RESTORE_WEIGHT = 6
_LOST_CHANGE_WEIGHTS = {FaultKind.ROUTE_ADDED: 6, FaultKind.KEY_REVOKED: 2}
# Long enough for requests that are sent after the platform's stable window.
_ISOLATION_S = (8.0, 11.0)
_LINK_MODES = ("delay", "reset", "silent", "one_way")
_CUT_MODES = ("reset", "silent", "one_way", "unavailable")
_ISOLATION_MODES = ("hang", "reset", "refuse_new")
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
    """One fault; `target` is an index of instances or runners, modulo their number.

    `count` is the number of instances from that index on, or how often a runner's fault occurs.
    """

    start_s: float
    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0
    variant: str = ""
    count: int = 0


@dataclass(frozen=True)
class Plan:
    """The numbers of processes and the faults of a run."""

    seed: int
    instances: int
    runners: int
    services: int
    faults: tuple[Fault, ...] = field(default=())
    has_short_reads: bool = False  # Whether each answer of the store has one or two records.
    has_isolation: bool = False  # Whether instances reach upstreams through links of their own.


def create_plan(
    seed: int,
    scale: int = 1,
    is_planned_only: bool = False,
    has_short_reads: bool = False,
    has_cut_links: bool = False,
    has_isolation: bool = False,
    has_restored_store: bool = False,
) -> Plan:
    """Return the plan for a seed; `scale` multiplies the number of processes.

    With `has_cut_links`, the store turns away several instances at once, but not all of them. With
    `has_isolation`, some instances, but not all of them, reach no upstream, at least once. With
    `has_restored_store`, the store goes back to a copy at least once.

    >>> create_plan(7) == create_plan(7)
    True
    """
    rng = random.Random(f"soak/{seed}/{scale}/{is_planned_only}")
    instances, runners = scale * rng.randint(2, 4), scale * rng.randint(3, 5)
    services = scale * 2
    faulty_s = rng.uniform(10.0, 16.0)
    kinds = {kind: _WEIGHTS[kind] for kind in (PLANNED if is_planned_only else _WEIGHTS)}
    if has_cut_links:
        instances += 1
        kinds[FaultKind.STORE_LINKS] = _STORE_LINKS_WEIGHT
    if has_isolation:
        instances += 2
        kinds[FaultKind.ISOLATION] = _ISOLATION_WEIGHT
    if has_restored_store:
        kinds |= _LOST_CHANGE_WEIGHTS
        kinds[FaultKind.STORE_RESTORE] = _STORE_RESTORE_WEIGHT
    faults: list[Fault] = []
    for _ in range(rng.randint(8, 16) * (1 + scale) // 2):
        last = faults[-1] if faults else None
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        target = rng.randrange(10_000)
        if last is not None and rng.random() < REPEAT_PROBABILITY:
            kind, target = last.kind, last.target
        if has_isolation and last is None:
            kind = FaultKind.ISOLATION
        if has_restored_store and last is None:
            kind = FaultKind.STORE_RESTORE
        variant, count, duration_s = "", 0, (0.3, 4.0)
        match kind:
            case FaultKind.RUNNER_LINK | FaultKind.STORE_LINK:
                variant = rng.choice(_LINK_MODES)
            case FaultKind.STORE_LINKS:
                variant, count = rng.choice(_CUT_MODES), rng.randint(2, instances - 1)
            case FaultKind.ISOLATION:
                variant, count = rng.choice(_ISOLATION_MODES), rng.randint(1, instances - 1)
                duration_s = _ISOLATION_S
            case FaultKind.RUNNER_FAULT:
                variant, count = rng.choice(_RUNNER_FAULTS)
            case FaultKind.STORE_FAULT:
                variant = rng.choice(_STORE_FAULTS)
        start_s = WARM_UP_S + rng.uniform(0, faulty_s)
        faults.append(Fault(start_s, kind, target, rng.uniform(*duration_s), variant, count))
    faults.sort(key=lambda fault: fault.start_s)
    return Plan(seed, instances, runners, services, tuple(faults), has_short_reads, has_isolation)
