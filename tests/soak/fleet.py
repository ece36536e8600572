"""The processes of a run and the injection of faults."""

import asyncio
import contextlib
import itertools
import json
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from math import inf
from pathlib import Path
from typing import Any

from ibispaddle_bench.processes import ManagedProcess, call_json, start_stand_in

from tests.platform_adapter.linked_instance import SHARED_IP
from tests.platform_adapter.processes import KEY, Instance, configuration, route
from tests.platform_adapter.upstream_links import CutMode, UpstreamLink, UpstreamLinks

from .links import Link, LinkMode
from .plan import PLANNED, STORE_LINK_KINDS, Fault, FaultKind, Plan

# Limits that the platform specifies; the instances get them in their settings.
SHUTDOWN_GRACE_S = 8.0
REVOCATION_LIMIT_S = 5.0
CONFIGURATION_LIMIT_S = 2.0
# The platform restarts a process after a short delay.
RESTART_DELAY_S = 0.3
# Period after a fault in which its consequences may last.
SETTLED_AFTER_FAULT_S = 3.0
READY_TIMEOUT_S = 10.0
# Period for which a runner is listed as draining; it serves for another second after that.
DRAIN_PERIOD_S = 3.0
# Time for which the store is away before it comes back from a copy.
AWAY_S = (0.3, 1.5)
EVACUATED = "b"  # The data centre that is evacuated; the other one is "a".
TEMPORARY_KEYS = ("temporary-1", "temporary-2", "temporary-3")


@dataclass(frozen=True)
class Disturbance:
    """A period, in monotonic seconds, in which a fault affected a subject."""

    subject: str  # "instance N", "upstreams of instance N", "runner NAME" or "store".
    kind: FaultKind
    begin_s: float
    end_s: float

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Return whether a part of the disturbance is in a period."""
        return self.begin_s < end_s and self.end_s > begin_s


def must_be_informed(
    disturbances: list[Disturbance], number: int, instances: int, begin_s: float, end_s: float
) -> bool:
    """Return whether an instance must have the store's data at the end of a period.

    It must unless it failed, or the store did, in the period. If the store turned it away, it gets the
    data from others, provided that there was one that was not disturbed at all.
    """
    found = [item for item in disturbances if item.overlaps(begin_s, end_s)]
    own = {item.kind for item in found if item.subject in (f"instance {number}", "store")}
    faults = own.difference(PLANNED)
    if not faults:
        return True
    disturbed = {item.subject for item in found}
    is_any_served = any(f"instance {other}" not in disturbed for other in range(instances))
    return faults.issubset(STORE_LINK_KINDS) and is_any_served


@dataclass
class Runner:
    """One runner or service, and the link in front of it."""

    name: str
    service: str
    process: ManagedProcess
    link: Link
    record: Path
    listed_address: str
    draining_s: float = inf


@dataclass
class Changes:
    """Changes by the operator and their failures.

    `revoked` maps each revoked key to the monotonic time at which the store confirmed the change.
    """

    revoked: dict[str, float] = field(default_factory=dict)
    # Times at which EVACUATED was evacuated and restored.
    evacuations: list[tuple[float, float]] = field(default_factory=list)
    # Routes that an instance didn't serve in time, and planned stops and restarts that failed.
    late_routes: list[str] = field(default_factory=list)
    bad_stops: list[str] = field(default_factory=list)
    bad_starts: list[str] = field(default_factory=list)


def data_centre(runner_name: str) -> str:
    """Return the data centre of a runner: every second one is in EVACUATED.

    >>> data_centre("llm-1"), data_centre("llm-2")
    ('a', 'b')
    """
    return EVACUATED if runner_name[-1] in "02468" else "a"


class SoakFleet:
    """The processes of a plan, with the injection of its faults."""

    def __init__(self, plan: Plan, folder: str) -> None:
        self.plan, self.folder = plan, Path(folder)
        self.disturbances: list[Disturbance] = []
        self.changes = Changes()
        self.runners: list[Runner] = []
        self.retired: list[Runner] = []
        self.instances: list[Instance] = []
        self._store_links: list[Link] = []
        # Links to upstreams by instance; without isolation, upstreams are reached directly.
        self._upstream_links: dict[int, list[UpstreamLink]] = {}
        if plan.has_isolation:
            self._upstream_links = {number: [] for number in range(plan.instances)}
        self._cut_modes = dict.fromkeys(self._upstream_links, CutMode.OPEN)
        self._locks: list[asyncio.Lock] = []
        self._numbers = itertools.count(1)
        self._version = 0
        self._store_lock = asyncio.Lock()  # Held while the store is away.
        self._is_copied = False
        self._written: dict[tuple[str, str], str | None] = {}  # Since the copy of the store.
        self._routes: list[dict[str, Any]] = list(configuration(1)["routes"])

    @property
    def ports(self) -> list[int]:
        """Return the ports of all instances, in order."""
        return [instance.port for instance in self.instances]

    @property
    def keys(self) -> list[str]:
        """Return the API keys that callers use, including revoked ones."""
        return [KEY, KEY, *TEMPORARY_KEYS]

    async def start(self) -> None:
        """Start all processes and wait for the instances to be ready."""
        self.store = await asyncio.to_thread(start_stand_in, "platform_store")
        if self.plan.has_short_reads:
            await asyncio.to_thread(self.store.set_faults, max_read_records=1, max_read_items=2)
        await self._publish_configuration()
        for _ in range(self.plan.runners):
            await self._add_runner("llm")
        for _ in range(self.plan.services):
            await self._add_runner("shop")
        for number in range(self.plan.instances):
            link = await Link(self.store.address).open()
            self._store_links.append(link)
            self._locks.append(asyncio.Lock())
            bounds = {"grace_s": SHUTDOWN_GRACE_S, "revoke_ms": int(1000 * REVOCATION_LIMIT_S)}
            upstream_ip = UpstreamLinks.own_ip(number) if self.plan.has_isolation else None
            options = bounds | {"upstream_ip": upstream_ip}
            self.instances.append(Instance(str(self.folder), number, link, **options))
        await asyncio.gather(*(self._wait_ready(instance) for instance in self.instances))

    async def close(self) -> None:
        """Stop all processes that the run has started."""
        for instance in self.instances:
            await asyncio.to_thread(instance.close)
        for runner in (*self.runners, *self.retired):
            runner.link.close()
            await asyncio.to_thread(runner.process.kill)
        for link in self._store_links:
            link.close()
        for upstream_links in self._upstream_links.values():
            for upstream_link in upstream_links:
                await upstream_link.close()
        await asyncio.to_thread(self.store.kill)

    async def run_faults(self, faults_start_s: float) -> None:
        """Inject all faults at their times."""
        await asyncio.gather(*(self._inject(fault, faults_start_s) for fault in self.plan.faults))

    def runs(self) -> list[tuple[str, dict[str, Any]]]:
        """Return all runs with the names of their runners, including runners that have exited."""
        found = []
        for runner in (*self.runners, *self.retired):
            if runner.record.exists():
                for line in runner.record.read_text().splitlines():
                    with contextlib.suppress(
                        json.JSONDecodeError
                    ):  # The last line is incomplete if the runner was killed.
                        found.append((runner.name, json.loads(line)))
        return found

    # Faults

    async def _inject(self, fault: Fault, faults_start_s: float) -> None:
        await asyncio.sleep(max(0.0, faults_start_s + fault.start_s - time.monotonic()))
        match fault.kind:
            case FaultKind.INSTANCE_KILL:
                await self._kill_and_restart(fault.kind, fault.target % len(self.instances))
            case FaultKind.ALL_KILL:
                everyone = range(len(self.instances))
                await asyncio.gather(
                    *(self._kill_and_restart(fault.kind, number) for number in everyone)
                )
            case FaultKind.INSTANCE_PAUSE:
                number = fault.target % len(self.instances)
                await self._pause(f"instance {number}", fault, self.instances[number].proc)
            case FaultKind.INSTANCE_STOP:
                await self._stop_and_restart(fault.target % len(self.instances))
            case FaultKind.RUNNER_KILL:
                await self._kill_and_replace(self._target_runner(fault), fault)
            case FaultKind.RUNNER_PAUSE:
                runner = self._target_runner(fault)
                await self._pause(f"runner {runner.name}", fault, runner.process.popen)
            case FaultKind.RUNNER_RELEASE:
                await self._drain_and_replace(self._target_runner(fault))
            case FaultKind.RUNNER_FAULT:
                await self._inject_runner_fault(self._target_runner(fault), fault)
            case FaultKind.RUNNER_LINK:
                runner = self._target_runner(fault)
                await self._disturb_link(f"runner {runner.name}", fault, runner.link)
            case FaultKind.STORE_LINK:
                number = fault.target % len(self.instances)
                await self._disturb_link(f"instance {number}", fault, self._store_links[number])
            case FaultKind.STORE_LINKS:
                chosen = [(fault.target + n) % len(self.instances) for n in range(fault.count)]
                await asyncio.gather(
                    *(
                        self._disturb_link(f"instance {number}", fault, self._store_links[number])
                        for number in chosen
                    )
                )
            case FaultKind.ISOLATION:
                chosen = [(fault.target + n) % len(self.instances) for n in range(fault.count)]
                await asyncio.gather(*(self._isolate(number, fault) for number in chosen))
            case FaultKind.STORE_FAULT:
                await self._disturb_store(fault)
            case FaultKind.STORE_COMPACT:
                for topic in ("keyed.op", "keyed.servers"):
                    url = f"{self.store.url}/admin/compact"
                    await asyncio.to_thread(call_json, url, {"topic": topic})
            case FaultKind.STORE_RESTORE:
                await self._restore_store(fault)
            case FaultKind.ROUTE_ADDED:
                await self._add_route()
            case FaultKind.KEY_REVOKED:
                await self._revoke()
            case FaultKind.EVACUATION:
                await self._evacuate(fault.duration_s)

    def _target_runner(self, fault: Fault) -> Runner:
        return self.runners[fault.target % len(self.runners)]

    @contextlib.contextmanager
    def _disturbance(self, subject: str, kind: FaultKind) -> Iterator[Disturbance]:
        """Record a disturbance for the time of a `with` block, without an end until then."""
        item = Disturbance(subject, kind, time.monotonic(), inf)
        self.disturbances.append(item)
        try:
            yield item
        finally:
            self.disturbances.remove(item)
            self.disturbances.append(replace(item, end_s=time.monotonic()))

    async def _kill_and_restart(self, kind: FaultKind, number: int) -> None:
        with self._disturbance(f"instance {number}", kind):
            async with self._locks[number]:
                await asyncio.to_thread(self.instances[number].close)
                await self._start_again(number)

    async def _stop_and_restart(self, number: int) -> None:
        with self._disturbance(f"instance {number}", FaultKind.INSTANCE_STOP) as stop:
            async with self._locks[number]:
                proc = self.instances[number].proc
                proc.send_signal(signal.SIGTERM)
                status: int | str = "killed"
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SHUTDOWN_GRACE_S):
                        while (found := proc.poll()) is None:
                            await asyncio.sleep(0.02)
                        status = found
                stopped_s = time.monotonic()
                await asyncio.to_thread(self.instances[number].close)
                await self._start_again(number)
        if status != 0 and not self.is_disturbed(
            number, stop.begin_s - SETTLED_AFTER_FAULT_S, stopped_s
        ):
            self.changes.bad_stops.append(f"instance {number}: {status} after a planned stop")

    async def _start_again(self, number: int) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        instance = self.instances[number]
        instance.start()
        await self._wait_ready(instance)
        if (status := instance.proc.poll()) is not None:
            self.changes.bad_starts.append(f"instance {number}: ended with {status} at its start")

    async def _wait_ready(self, instance: Instance) -> None:
        # An instance may not become ready while the store is down; the run continues nevertheless.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await asyncio.to_thread(instance.is_ready):
                    await asyncio.sleep(0.05)

    async def _pause(self, subject: str, fault: Fault, proc: Any) -> None:
        with self._disturbance(subject, fault.kind):
            if proc.poll() is None:
                proc.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                if proc.poll() is None:
                    proc.send_signal(signal.SIGCONT)

    async def _disturb_link(self, subject: str, fault: Fault, link: Link) -> None:
        with self._disturbance(subject, fault.kind):
            link.set_mode(LinkMode(fault.variant))
            await asyncio.sleep(fault.duration_s)
            link.set_mode(LinkMode.OPEN)

    async def _isolate(self, number: int, fault: Fault) -> None:
        if self._cut_modes[number] is not CutMode.OPEN:
            return  # It is isolated already.
        with self._disturbance(f"upstreams of instance {number}", fault.kind):
            await self._set_cut_mode(number, CutMode(fault.variant))
            await asyncio.sleep(fault.duration_s)
            await self._set_cut_mode(number, CutMode.OPEN)

    async def _set_cut_mode(self, number: int, mode: CutMode) -> None:
        self._cut_modes[number] = mode
        for link in list(self._upstream_links[number]):
            await link.set_mode(mode)

    async def _open_upstream_links(self, address: str) -> str:
        """Open a link of each instance to a runner and return the address to list the runner at."""
        for number, links in self._upstream_links.items():
            link = await UpstreamLink(UpstreamLinks.own_ip(number), address).open()
            await link.set_mode(self._cut_modes[number])
            links.append(link)
        return address.replace("127.0.0.1", SHARED_IP) if self._upstream_links else address

    def senders(self, attempt_id: str) -> set[int]:
        """Return the instances that have sent a request through links of their own."""
        links = self._upstream_links.items()
        return {n for n, found in links if any(attempt_id in link.attempt_ids for link in found)}

    async def _disturb_store(self, fault: Fault) -> None:
        with self._disturbance("store", fault.kind):
            await asyncio.to_thread(self.store.set_faults, **{fault.variant: True})
            await asyncio.sleep(fault.duration_s)
            await asyncio.to_thread(self.store.set_faults, **{fault.variant: None})

    async def _restore_store(self, fault: Fault) -> None:
        """Copy the store, take it away later and restore it; what was written since is written again."""
        if self._is_copied:
            return  # It will be restored from an earlier copy.
        self._is_copied = True
        async with self._store_lock:
            await asyncio.to_thread(call_json, f"{self.store.url}/admin/copy", {})
            self._written.clear()
        await asyncio.sleep(fault.duration_s)
        away_s = AWAY_S[0] + fault.target % 100 / 100 * (AWAY_S[1] - AWAY_S[0])
        with self._disturbance("store", fault.kind):
            async with self._store_lock:
                self._set_store_links(LinkMode.RESET)
                await asyncio.sleep(away_s)
                await asyncio.to_thread(call_json, f"{self.store.url}/admin/restore", {})
                for (topic, key), text in self._written.items():
                    await self._write(topic, key, text)
            self._set_store_links(LinkMode.OPEN)
        self._is_copied = False

    def _set_store_links(self, mode: LinkMode) -> None:
        for link in self._store_links:
            link.set_mode(mode)

    async def _inject_runner_fault(self, runner: Runner, fault: Fault) -> None:
        # The runner may be killed by another fault.
        with self._disturbance(f"runner {runner.name}", fault.kind), contextlib.suppress(OSError):
            await asyncio.to_thread(runner.process.set_faults, **{fault.variant: fault.count})
            await asyncio.sleep(fault.duration_s)
            await asyncio.to_thread(runner.process.set_faults, **{fault.variant: None})

    # Runners

    async def _add_runner(self, service: str) -> Runner:
        name = f"{service}-{next(self._numbers)}"
        record = self.folder / f"{name}.runs"
        options = ("--id", name, "--record", str(record))
        process = await asyncio.to_thread(start_stand_in, "platform_runner", *options)
        link = await Link(process.address).open()
        listed_address = await self._open_upstream_links(link.address)
        runner = Runner(name, service, process, link, record, listed_address)
        self.runners.append(runner)
        await self._register(runner, "ready")
        return runner

    async def _register(self, runner: Runner, state: str) -> None:
        entry = {"service": runner.service, "address": runner.listed_address}
        entry["zone"] = data_centre(runner.name)
        await self._put_in_store("keyed.servers", runner.name, entry | {"state": state})

    async def _kill_and_replace(self, runner: Runner, fault: Fault) -> None:
        """Kill a runner and start a new one; the entry of the killed one is removed later."""
        with self._disturbance(f"runner {runner.name}", fault.kind):
            self._retire(runner)
            await asyncio.to_thread(runner.process.kill)
            runner.link.set_mode(LinkMode.RESET)
            await self._add_runner(runner.service)
            await asyncio.sleep(fault.duration_s)
            await self._put_in_store("keyed.servers", runner.name, None)

    async def _drain_and_replace(self, runner: Runner) -> None:
        """Start a new runner, then drain the old one and stop it."""
        self._retire(runner)
        await self._add_runner(runner.service)
        await self._register(runner, "draining")
        runner.draining_s = time.monotonic()
        await asyncio.sleep(DRAIN_PERIOD_S)
        await self._put_in_store("keyed.servers", runner.name, None)
        await asyncio.sleep(1.0)
        await asyncio.to_thread(runner.process.end)

    def _retire(self, runner: Runner) -> None:
        if runner in self.runners:
            self.runners.remove(runner)
            self.retired.append(runner)

    # Configuration

    async def _put_in_store(self, topic: str, key: str, value: Any) -> None:
        text = None if value is None else json.dumps(value)
        async with self._store_lock:
            await self._write(topic, key, text)
            self._written[topic, key] = text

    async def _write(self, topic: str, key: str, text: str | None) -> None:
        record = {"topic": topic, "key": key, "value": text}
        await asyncio.to_thread(call_json, f"{self.store.url}/admin/put", record)

    async def _publish_configuration(self) -> None:
        self._version += 1
        keys = [KEY, *(key for key in TEMPORARY_KEYS if key not in self.changes.revoked)]
        tenants = [{"name": "blue", "api_keys": keys}]
        config = configuration(self._version, routes=self._routes, tenants=tenants)
        await self._put_in_store("keyed.op", "config", config)

    async def _add_route(self) -> None:
        name = f"added-{next(self._numbers)}"
        self._routes = [*self._routes, route(name, "idempotent", "shop")]
        begin_s = time.monotonic()
        await self._publish_configuration()
        await asyncio.sleep(CONFIGURATION_LIMIT_S)
        for number, instance in enumerate(self.instances):
            period = (begin_s - SETTLED_AFTER_FAULT_S, time.monotonic())
            if self._locks[number].locked() or not must_be_informed(
                self.disturbances, number, len(self.instances), *period
            ):
                continue
            with contextlib.suppress(OSError):
                answer = await asyncio.to_thread(instance.call, "GET", f"/{name}/x")
                if answer.status == 404:
                    self.changes.late_routes.append(f"instance {number}: {name}")

    async def _revoke(self) -> None:
        left = [key for key in TEMPORARY_KEYS if key not in self.changes.revoked]
        if left:
            self.changes.revoked[left[0]] = inf
            await self._publish_configuration()
            self.changes.revoked[left[0]] = time.monotonic()

    async def _evacuate(self, duration_s: float) -> None:
        evacuations = self.changes.evacuations
        if evacuations and evacuations[-1][1] == inf:
            return  # It is evacuated already.
        await self._put_in_store("keyed.op", f"evacuate/{EVACUATED}", {})
        begin_s = time.monotonic()
        evacuations.append((begin_s, inf))
        # Long enough for the check of what runs once it has to be in force.
        await asyncio.sleep(2 * CONFIGURATION_LIMIT_S + duration_s)
        evacuations[-1] = (begin_s, time.monotonic())
        await self._put_in_store("keyed.op", f"evacuate/{EVACUATED}", None)

    def is_isolated(self, number: int, begin_s: float, end_s: float) -> bool:
        """Return whether an instance reached no upstream in a part of a period."""
        return any(
            item.subject == f"upstreams of instance {number}" and item.overlaps(begin_s, end_s)
            for item in self.disturbances
        )

    def is_disturbed(self, number: int, begin_s: float, end_s: float) -> bool:
        """Return whether an unplanned fault affected an instance or the store in a period.

        An instance that is being restarted counts as disturbed as well.
        """
        return self._locks[number].locked() or any(
            item.subject in (f"instance {number}", "store")
            and item.kind not in PLANNED
            and item.overlaps(begin_s, end_s)
            for item in self.disturbances
        )
