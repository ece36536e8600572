"""Measures the core within one process: gossip propagation, and memory and CPU time per item."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.gossip import (
    Consumption,
    GossipTable,
    Heartbeat,
    RunnerReport,
    random_targets,
    summary_targets,
)
from ibispaddle_core.idempotency import Claim, ClaimTable, batch_record
from ibispaddle_core.membership import InstanceList, MemberKind, MembershipView, parse_list
from ibispaddle_core.usage import UsageLedger

DESIGN_INSTANCES, DESIGN_RUNNERS, DESIGN_CENTRES = 390, 730, 8
GOSSIP_INTERVAL_MS = 500
BOOT_MS = 1_764_800_000_000
HEARTBEAT_ROUNDS = 4
REPORT_ROUNDS = 2
# Entries that are each written once after the warm-up, to measure their propagation.
WARM_UP_ROUNDS = 30
TRACKED_ENTRIES = 4
TRACKING_ROUNDS = 40


def emit(kind: str, **values: Any) -> dict[str, Any]:
    """Print a result as a JSON line and return it."""
    line = {"result": kind, **values}
    print(json.dumps(line), flush=True)
    return line


def fit(
    rows: Sequence[Mapping[str, float]], target: str, features: Sequence[str]
) -> dict[str, float]:
    """Return the least-squares coefficients of `target` over a constant and the features.

    >>> rows = [{"x": 1, "y": 5}, {"x": 2, "y": 7}, {"x": 3, "y": 9}]
    >>> {name: round(value, 6) for name, value in fit(rows, "y", ["x"]).items()}
    {'constant': 3.0, 'x': 2.0, 'residual': 0.0}
    """
    matrix = np.array([[1.0, *(row[name] for name in features)] for row in rows])
    values = np.array([row[target] for row in rows])
    solution = np.linalg.lstsq(matrix, values, rcond=None)[0]
    residual = float(np.sqrt(np.mean((matrix @ solution - values) ** 2)))
    names = ("constant", *features)
    return {
        **{name: float(v) for name, v in zip(names, solution, strict=True)},
        "residual": residual,
    }


@dataclass
class SimulatedInstance:
    """An instance in the measurement of propagation."""

    name: str
    centre: str
    table: GossipTable
    rng: random.Random
    runners: int
    last_update_round: dict[str, int] = field(default_factory=dict)  # By origin.
    last_update_seq: dict[str, int] = field(default_factory=dict)
    longest_update_gap: int = 0
    known_seqs: dict[tuple[type, str, str], int] = field(default_factory=dict)


class Propagation:
    """Simulates gossip between instances in rounds, without delay or loss.

    Each instance writes a heartbeat every fourth round, a report for each of its runners every
    second round, and `consumers` changed consumption entries every round.
    """

    def __init__(self, centres: int, per_centre: int, consumers: int) -> None:
        names = [f"centre{c}.entry{n:03d}" for c in range(centres) for n in range(per_centre)]
        self.centre_of = {name: name.partition(".")[0] for name in names}
        self.names_by_centre: dict[str, list[str]] = {}
        for name in names:
            self.names_by_centre.setdefault(self.centre_of[name], []).append(name)
        self.nodes: dict[str, SimulatedInstance] = {}
        share = DESIGN_RUNNERS / DESIGN_INSTANCES
        for number, name in enumerate(names):
            runners = int((number + 1) * share) - int(number * share)
            table = GossipTable(name, BOOT_MS, self._locality(self.centre_of[name]))
            rng = random.Random(number)
            self.nodes[name] = SimulatedInstance(name, self.centre_of[name], table, rng, runners)
        self.consumers = consumers
        self.round_number = 0
        self.rng = random.Random(7)
        self.tracked_entries: dict[str, tuple[str, int, dict[str, int]]] = {}
        self.digests = self.new_entry_count = 0
        self.merge_s = 0.0

    def _locality(self, centre: str) -> Callable[[str], bool]:
        return lambda origin: self.centre_of[origin] == centre

    def run_round(self) -> None:
        """Write the entries of one round and exchange digests."""
        self.round_number += 1
        now_ms = self.round_number * GOSSIP_INTERVAL_MS
        for number, node in enumerate(self.nodes.values()):
            payloads: list[Any] = []
            if (self.round_number + number) % HEARTBEAT_ROUNDS == 0:
                payloads.append(Heartbeat(False, 100_000 + number, 99_000))
            if (self.round_number + number) % REPORT_ROUNDS == 0:
                payloads += [self._report(number, i) for i in range(node.runners)]
            payloads += [
                Consumption(f"neighbour.{i}", BOOT_MS + number, self.rng.randrange(10**9))
                for i in range(self.consumers)
            ]
            for payload in payloads:
                node.table.put(payload, now_ms)
        messages = []
        for node in self.nodes.values():
            for target in random_targets(node.rng, node.name, self.names_by_centre[node.centre]):
                messages.append((target, node.table.digest()))
            for target in summary_targets(node.name, node.centre, self.names_by_centre):
                messages.append((target, node.table.summary()))
        for target, digest in messages:
            node = self.nodes[target]
            started = time.thread_time()
            new_entries = node.table.merge(digest, now_ms).unwrap()
            self.merge_s += time.thread_time() - started
            self.new_entry_count += len(new_entries)
            for entry in new_entries:
                # Sequence numbers count the origin's writes, so `measure_ages` can compute the age from them.
                node.known_seqs[entry.key] = entry.seq
                self._record_update(node, entry.origin, entry.seq)
                if entry.payload.subject in self.tracked_entries:
                    _, start, received_rounds = self.tracked_entries[entry.payload.subject]
                    received_rounds.setdefault(target, self.round_number - start + 1)
        self.digests += len(messages)

    def _record_update(self, node: SimulatedInstance, origin: str, seq: int) -> None:
        """Record the rounds between two updates from an origin in the same data centre."""
        if self.centre_of[origin] != node.centre or seq <= node.last_update_seq.get(origin, 0):
            return
        if self.round_number > WARM_UP_ROUNDS and origin in node.last_update_round:
            silence = self.round_number - node.last_update_round[origin]
            node.longest_update_gap = max(node.longest_update_gap, silence)
        node.last_update_round[origin], node.last_update_seq[origin] = self.round_number, seq

    def _report(self, number: int, index: int) -> RunnerReport:
        """Return a report with values of a realistic size that compress poorly."""
        rng = self.rng
        kv_tokens = rng.randrange(400_000)
        return RunnerReport(
            f"centre{number % 8}.runner.{number}.{index}",
            True,
            False,
            f"{hash((number, index)) & 0xFFFFFFFF:08x}",
            self.round_number + 100_000,
            rng.randrange(60),
            rng.randrange(20),
            rng.randrange(500_000),
            kv_tokens,
            400_000,
            rng.randrange(15_000, 25_000),
            rng.randrange(40, 60),
        )

    def track_entry(self, index: int) -> None:
        """Write an entry once and track when each instance receives it."""
        origin = list(self.nodes.values())[index * 11 % len(self.nodes)]
        subject = f"watched.{index}"
        origin.table.put(Consumption(subject, BOOT_MS, 1), self.round_number * GOSSIP_INTERVAL_MS)
        self.tracked_entries[subject] = (origin.name, self.round_number + 1, {})

    def measure_ages(self, kind: type, local: bool) -> dict[str, float]:
        """Return statistics of the age, in rounds, of the entries that instances hold.

        The age is counted from the write of the next version, and is 0 for the newest version.
        """
        seqs = {}
        for node in self.nodes.values():
            for entry in node.table.entries(kind):
                if entry.origin == node.name:
                    seqs[entry.key] = entry.seq
        newest = {name: node.table for name, node in self.nodes.items()}
        ages: list[float] = []
        missing = total = 0
        for node in self.nodes.values():
            for key, newest_seq in seqs.items():
                origin = key[2]
                is_local = self.centre_of[origin] == node.centre
                if origin == node.name or is_local != local or key[1].startswith("watched."):
                    continue
                total += 1
                known_seq = node.known_seqs.get(key)
                if known_seq is None:
                    missing += 1
                    continue
                writes = max(1, newest[origin]._seq) / self.round_number
                ages.append((newest_seq - known_seq) / writes)
        if not total:
            return {}
        return {
            "median": round(float(np.median(ages)), 1) if ages else -1,
            "p99": round(float(np.percentile(ages, 99)), 1) if ages else -1,
            "max": round(max(ages, default=-1), 1),
            "missing": round(missing / total, 4),
        }


def measure_propagation(centres: int, per_centre: int, consumers: int) -> dict[str, Any]:
    """Measure the rounds until instances receive an entry, and the age of the entries that they hold."""
    fleet = Propagation(centres, per_centre, consumers)
    for _ in range(WARM_UP_ROUNDS):
        fleet.run_round()
    for index in range(TRACKED_ENTRIES):
        fleet.track_entry(index)
        fleet.run_round()
    for _ in range(TRACKING_ROUNDS):
        fleet.run_round()
    local: list[int] = []
    remote: list[int] = []
    for origin, _, received_rounds in fleet.tracked_entries.values():
        for name, rounds in received_rounds.items():
            same = fleet.centre_of[name] == fleet.centre_of[origin]
            (local if same else remote).append(rounds)
    expected_local = TRACKED_ENTRIES * (per_centre - 1)
    expected_remote = TRACKED_ENTRIES * per_centre * (centres - 1)
    sample = next(iter(fleet.nodes.values())).table
    return emit(
        "propagation",
        instances=centres * per_centre,
        data_centres=centres,
        changed_consumption_per_round=consumers,
        entries=len(sample),
        local_rounds=_summarise_rounds(local, expected_local),
        remote_rounds=_summarise_rounds(remote, expected_remote),
        local_report_age_rounds=fleet.measure_ages(RunnerReport, True),
        local_heartbeat_age_rounds=fleet.measure_ages(Heartbeat, True),
        longest_local_silence_rounds=max(n.longest_update_gap for n in fleet.nodes.values()),
        remote_report_age_rounds=fleet.measure_ages(RunnerReport, False),
        remote_heartbeat_age_rounds=fleet.measure_ages(Heartbeat, False),
        merge_us_per_digest=round(fleet.merge_s / fleet.digests * 1e6, 1),
        merge_us_per_new_entry=round(fleet.merge_s / max(1, fleet.new_entry_count) * 1e6, 1),
        digest_bytes=round(sum(len(sample.digest()) for _ in range(8)) / 8),
    )


def _summarise_rounds(rounds: list[int], expected: int) -> dict[str, float]:
    if not expected:
        return {}
    return {
        "median": float(np.median(rounds)) if rounds else -1,
        "max": max(rounds, default=-1),
        "reached": round(len(rounds) / expected, 4),
    }


def memory_slope(name: str, sizes: Sequence[int], build: Callable[[int], Any]) -> dict[str, Any]:
    """Measure the memory per item by a fit over several sizes."""
    rows = []
    for size in sizes:
        tracemalloc.start()
        kept = build(size)
        rows.append({"items": size, "bytes": tracemalloc.get_traced_memory()[0]})
        tracemalloc.stop()
        del kept
    return emit("memory", item=name, sizes=list(sizes), fit=fit(rows, "bytes", ["items"]))


def build_table(entries: int) -> GossipTable:
    """Return a gossip table with received entries."""
    table = GossipTable("a", 1)
    for number in range(entries // 20):
        source = GossipTable(f"entry.{number}", 1)
        for index in range(20):
            source.put(RunnerReport(f"runner.{number}.{index}", True, False, "b" * 8, 9, 3, 2), 0)
        while table.merge(source.digest(), 0).unwrap():
            pass
    return table


def build_ledger(workspaces: int) -> UsageLedger:
    """Return a ledger with its own counters and the replicas of two other instances."""
    ledgers = [UsageLedger(f"entry.{number}", 1) for number in range(3)]
    for number in range(workspaces):
        for ledger in ledgers:
            ledger.count(f"workspace.{number}", "n", 10, 10, 10)
    for ledger in ledgers[1:]:
        while (sync := ledger.sync_for("entry.0")) is not None:
            ledger.acknowledge("entry.0", ledgers[0].receive(sync))
    return ledgers[0]


def build_claims(claims: int) -> ClaimTable:
    """Return a claim table with claims read from the log."""
    table = ClaimTable(3_600_000, 86_400_000)
    for number in range(claims):
        claim = Claim(f"entry.1-1-{number}", f"{number:064x}", f"{number:064x}", 1_000)
        table.read_page(number, [LogRecord(number, 1_000, batch_record(str(number), [claim]))], 1)
    return table


def design_list(instances: int, runners: int) -> bytes:
    """Return an instance list of the given size."""
    common = {"state": "live", "service": None, "fenced": False}
    entries = [
        {
            "id": f"{kind}.{number}",
            "kind": kind,
            "address": f"10.20.{number // 250}.{number % 250}:8080",
            "peer_address": f"10.20.{number // 250}.{number % 250}:8081" if count else None,
            "data_centre": f"centre.{number % DESIGN_CENTRES}",
            "models": [f"model.{number % 18}"] if kind == "runner" else [],
            **common,
        }
        for kind, count in (("entry", instances), ("runner", runners))
        for number in range(count)
    ]
    return json.dumps({"version": 7, "entries": entries}).encode()


def timed_us(function: Callable[[], Any], times: int = 30) -> float:
    """Return the mean CPU time of a call in microseconds."""
    started = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - started) / times * 1e6


def measure_membership() -> dict[str, Any]:
    """Measure the CPU time of the membership view's operations at the design size."""
    body = design_list(DESIGN_INSTANCES, DESIGN_RUNNERS)
    listing = parse_list(body).unwrap()
    view = MembershipView("entry.0", "centre.0")
    view.apply_list(listing, 0)
    versions = iter(range(8, 1_000))

    def apply() -> None:
        view.apply_list(InstanceList(next(versions), listing.entries), 0)

    return emit(
        "membership",
        instances=DESIGN_INSTANCES,
        runners=DESIGN_RUNNERS,
        list_bytes=len(body),
        parse_list_us=round(timed_us(lambda: parse_list(body))),
        apply_list_us=round(timed_us(apply)),
        members_us=round(timed_us(lambda: view.members(0))),
        members_of_kind_us=round(timed_us(lambda: view.members(0, MemberKind.ENTRY))),
        probe_duties_us=round(timed_us(lambda: view.probe_assignments(0))),
        probed_runners=len(view.probe_assignments(0)),
    )
