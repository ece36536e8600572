"""Measures the cost to an instance of each further instance, runner, workspace, claim or gossip entry.

`python -m ibispaddle_bench.slopes` prints one JSON object per line: the measured sizes, the
least-squares fit of each slope, and the projection to the design size with its budgets. Real
processes are measured at small sizes; the core is measured within this process at larger sizes.
"""

import argparse
import asyncio
import threading
import time
import urllib.request
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from ibispaddle_core.usage import flush_interval_ms
from ibispaddle_daemon.instance_list import poll_slot_ms

from .fleet import MODEL, Fleet, FleetSpec
from .slopes_core import (
    DESIGN_CENTRES,
    DESIGN_INSTANCES,
    DESIGN_RUNNERS,
    build_claims,
    build_ledger,
    build_table,
    emit,
    fit,
    measure_membership,
    measure_propagation,
    memory_slope,
)

# Numbers of instances and runners in the runs with real processes.
FLEET_SIZES = ((3, 10), (3, 25), (6, 10), (6, 50), (9, 25), (9, 100), (18, 50), (18, 100))
ENGINE_PROCESSES = 4
WARM_UP_S = 5.0
# Numbers of data centres, and of instances in each, for measuring the propagation of an entry.
PROPAGATION_SIZES = ((3, 3), (1, 49), (2, 49), (8, 49))
# Numbers of consumption entries that each instance changes per round.
CHANGED_CONSUMPTION_ENTRIES = (0, 2)
BUDGET_CPU_PERCENT, BUDGET_MEMORY_MB, BUDGET_BYTES_PER_S = 2.4, 128.0, 29_000.0
BUDGET_APPENDS_PER_S = 300.0
GOSSIP_INTERVAL_S = REVIEW_INTERVAL_S = 0.5
# A full digest including its envelope and frame.
FULL_DIGEST_BYTES = 1_240
# Memory per gossip entry, from its measured slope.
ENTRY_BYTES = 730
PROBERS_PER_RUNNER = 2


class CountingProxy:
    """Forwards connections to an address and counts bytes and connections."""

    def __init__(self, address: str, loop: asyncio.AbstractEventLoop) -> None:
        host, _, port = address.rpartition(":")
        self._upstream = (host, int(port))
        self.bytes = 0
        self.connections = 0
        self.address = asyncio.run_coroutine_threadsafe(self._listen(), loop).result(5)

    async def _listen(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(reader, up_writer), self._copy(up_reader, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class SlopeFleet(Fleet):
    """A fleet that lists many runners served by a few engines, with counting proxies in between."""

    def __init__(self, spec: FleetSpec, listed_runners: int) -> None:
        super().__init__(spec)
        self.listed_runners = listed_runners
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.proxies: dict[str, list[CountingProxy]] = {}

    def start_stand_ins(self) -> None:
        super().start_stand_ins()
        self.proxies = {
            "log": [CountingProxy(self.log.address, self.loop)],
            "list": [CountingProxy(self.instance_list.address, self.loop)],
            "probes": [CountingProxy(runner.address, self.loop) for runner in self.runners],
        }

    def settings(self, name: str, port: int, peer_port: int) -> dict[str, Any]:
        values = super().settings(name, port, peer_port)
        return values | {
            "log_url": f"http://{self.proxies['log'][0].address}",
            "list_url": f"http://{self.proxies['list'][0].address}",
            "trace_url": "",
        }

    def listed_entries(self) -> list[dict[str, Any]]:
        entries = [e for e in super().listed_entries() if e["kind"] == "entry"]
        for number in range(self.listed_runners):
            name = f"runner.{number + 1}"
            proxy = self.proxies["probes"][number % len(self.runners)]
            entry = {"id": name, "kind": "runner", "address": proxy.address, "state": "live"}
            more = {"service": None, "fenced": False, "models": [MODEL]}
            entries.append(entry | more | {"data_centre": self.data_centre(name)})
        return entries

    def counted_bytes(self) -> dict[str, int]:
        """Return the number of bytes forwarded by the proxies, by kind of traffic."""
        return {name: sum(p.bytes for p in group) for name, group in self.proxies.items()}


def cpu_ns(pid: int) -> int:
    """Return the CPU time of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


def peer_counters(url: str) -> dict[str, float]:
    """Return an instance's counters of peer traffic."""
    with urllib.request.urlopen(f"{url}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    peer_lines = [line.split() for line in lines if line.startswith("ibispaddle_peer_")]
    names = [
        words[0].removeprefix("ibispaddle_peer_").removesuffix("_total") for words in peer_lines
    ]
    return {name: float(words[-1]) for name, words in zip(names, peer_lines, strict=True)}


def measure_fleet(instances: int, runners: int, seconds: float, centres: int = 1) -> dict[str, Any]:
    """Run real instances without requests and return the mean use of resources per instance."""
    names = tuple(f"dc.{number + 1}" for number in range(centres))
    spec = FleetSpec(entries=instances, runners=ENGINE_PROCESSES, services=0, data_centres=names)
    fleet = SlopeFleet(spec, runners)
    with fleet:
        time.sleep(WARM_UP_S)
        pids = [entry.pid for entry in fleet.entries]
        before = ([cpu_ns(pid) for pid in pids], fleet.counted_bytes())
        peers_before = [peer_counters(entry.url) for entry in fleet.entries]
        started = time.monotonic()
        time.sleep(seconds)
        # CPU time is read before the metrics, because serving metrics uses CPU time as well.
        after = ([cpu_ns(pid) for pid in pids], fleet.counted_bytes())
        elapsed = time.monotonic() - started
        peers_after = [peer_counters(entry.url) for entry in fleet.entries]
        memory_mb = sum(map(resident_mb, pids)) / instances
    instance_seconds = instances * elapsed
    row: dict[str, Any] = {"instances": instances, "runners": runners, "data_centres": centres}
    row["probed_runners"] = PROBERS_PER_RUNNER * runners / instances
    cpu = sum(b - a for a, b in zip(before[0], after[0], strict=True))
    row["cpu_percent"] = cpu / 1e9 / instance_seconds * 100
    row["memory_mb"] = memory_mb
    for name in before[1]:
        row[f"{name}_bytes_per_s"] = (after[1][name] - before[1][name]) / instance_seconds
    for name in ("sent_bytes", "received_bytes", "sent_messages", "received_messages"):
        changes = [b[name] - a[name] for a, b in zip(peers_before, peers_after, strict=True)]
        row[f"peer_{name}_per_s"] = sum(changes) / instance_seconds
    return emit("fleet", **{k: round(v, 3) if isinstance(v, float) else v for k, v in row.items()})


def print_projections(
    fleets: Sequence[Mapping[str, float]],
    membership: Mapping[str, float],
    propagations: Sequence[Mapping[str, Any]],
) -> None:
    """Print the fits and their projections to the design size, compared with the budgets.

    Costs that grow with the size of the fleet are taken from the measurements of the core at the design
    size, because the runs with real processes are too small for an extrapolation.
    """
    single = [row for row in fleets if row["data_centres"] == 1]
    fits = {
        name: fit(single, name, features)
        for name, features in (
            ("cpu_percent", ("probed_runners",)),
            ("memory_mb", ("instances", "runners")),
            ("probes_bytes_per_s", ("probed_runners",)),
            ("log_bytes_per_s", ("instances",)),
        )
    }
    for name, values in fits.items():
        rounded = {key: round(value, 5) for key, value in values.items()}
        emit("fit", target=name, runs=len(single), coefficients=rounded)
    probed = PROBERS_PER_RUNNER * DESIGN_RUNNERS / DESIGN_INSTANCES
    print_traffic_projection(fits, membership, probed)
    merge_us = [row["merge_us_per_digest"] for row in propagations]
    digests_per_s = 3 / GOSSIP_INTERVAL_S
    members_per_s = {"members_us": 1 / REVIEW_INTERVAL_S, "members_of_kind_us": 2.5}
    cpu = {
        "at_small_sizes": fits["cpu_percent"]["constant"],
        "probes": fits["cpu_percent"]["probed_runners"] * probed,
        "view": sum(membership[name] * rate for name, rate in members_per_s.items()) / 1e4,
        # The constant already includes merges of small tables.
        "larger_digests": (max(merge_us) - min(merge_us)) * digests_per_s / 1e4 if merge_us else 0,
    }
    parts = {name: round(value, 3) for name, value in cpu.items()}
    emit_budget("cpu_percent", sum(cpu.values()), BUDGET_CPU_PERCENT, parts)
    entry_bytes = ENTRY_BYTES * (propagations[-1]["entries"] if propagations else 0)
    memory = {
        "at_small_sizes": fits["memory_mb"]["constant"],
        "listed": fits["memory_mb"]["instances"] * DESIGN_INSTANCES
        + fits["memory_mb"]["runners"] * DESIGN_RUNNERS,
        "gossip_entries": entry_bytes / 1e6,
    }
    parts = {name: round(value, 2) for name, value in memory.items()}
    emit_budget("memory_mb", sum(memory.values()), BUDGET_MEMORY_MB, parts)
    appends = DESIGN_INSTANCES * 1000 / flush_interval_ms(DESIGN_INSTANCES)
    emit_budget("usage_appends_per_s", appends, BUDGET_APPENDS_PER_S, {})


def print_traffic_projection(
    fits: Mapping[str, Mapping[str, float]], membership: Mapping[str, float], probed: float
) -> None:
    """Print the control traffic of an instance at the design size in both directions."""
    # The size of digests is limited; at the design size every digest is full.
    digests_per_s = 1 / GOSSIP_INTERVAL_S
    local = DESIGN_INSTANCES / DESIGN_CENTRES
    turn_s = poll_slot_ms(500, round(membership["list_bytes"]), round(local)) / 1000
    parts = {
        "gossip": 2 * 3 * FULL_DIGEST_BYTES * digests_per_s,
        "summaries": 2 * (DESIGN_CENTRES - 1) / local * FULL_DIGEST_BYTES * digests_per_s,
        "probes": fits["probes_bytes_per_s"]["constant"]
        + fits["probes_bytes_per_s"]["probed_runners"] * probed,
        "list": membership["list_bytes"] / (turn_s * local),
        "log": fits["log_bytes_per_s"]["constant"],
    }
    rounded = {name: round(value) for name, value in parts.items()}
    list_bytes_per_s = round(membership["list_bytes"] / 0.5)
    emit_budget("bytes_per_s", sum(parts.values()), BUDGET_BYTES_PER_S, rounded)
    emit("list_without_turns", bytes_per_s=list_bytes_per_s)


def emit_budget(name: str, value: float, budget: float, parts: Mapping[str, float]) -> None:
    """Print a projection and its budget."""
    emit(
        "budget", name=name, projected=round(value, 2), budget=budget, fits=value <= budget, **parts
    )


def parse_sizes(values: Iterable[str]) -> list[tuple[int, int]]:
    """Parse sizes written as INSTANCES:RUNNERS."""
    return [(int(a), int(b)) for a, _, b in (value.partition(":") for value in values)]


def main() -> None:
    """Run the measurements and print the results."""
    parser = argparse.ArgumentParser(prog="python -m ibispaddle_bench.slopes", description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="length of each fleet run")
    parser.add_argument("--sizes", nargs="*", help="fleet runs as INSTANCES:RUNNERS")
    parser.add_argument("--core-only", action="store_true", help="start no processes")
    parser.add_argument("--fleet-only", action="store_true", help="skip the core measurements")
    args = parser.parse_args()
    sizes = parse_sizes(args.sizes) if args.sizes else list(FLEET_SIZES)
    propagations = []
    if not args.fleet_only:
        memory_slope("gossip_entry", (2_000, 4_000, 8_000), build_table)
        memory_slope("workspace", (500, 1_000, 2_000), build_ledger)
        memory_slope("claim", (2_000, 4_000, 8_000), build_claims)
        for centres, per_centre in PROPAGATION_SIZES:
            for consumers in CHANGED_CONSUMPTION_ENTRIES:
                propagations.append(measure_propagation(centres, per_centre, consumers))
    membership = measure_membership()
    if not args.core_only:
        rows = [measure_fleet(instances, runners, args.seconds) for instances, runners in sizes]
        rows.append(measure_fleet(18, 50, args.seconds, centres=3))
        print_projections(rows, membership, propagations)


if __name__ == "__main__":
    main()
