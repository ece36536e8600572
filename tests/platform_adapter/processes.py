"""Instance processes with the adapter, and stand-ins for the platform's store and runners."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Protocol

from ibispaddle_bench.processes import ManagedProcess, call_json, start_stand_in

from tests.support.http import HttpResponse, call
from tests.support.ports import reserve_ports_for
from tests.support.waiting import wait_until

from . import linked_instance
from .linked_instance import OWN_IP_VARIABLE
from .test_records import ENGINE

KEY = "key-of-blue"
STREAM_HEADERS = {"Token-Count": "1000,200"}
STOP_S = 12.0


class HasAddress(Protocol):
    """A server with an address."""

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 3_000,
        "slo_ms": 300,
        "attempts": 2,
    } | changes


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""
    return {
        "version": version,
        "routes": [
            route("stream", "streaming", "llm", resumable=True, gap_aim_ms=250),
            route("once", "non_idempotent", "shop"),
            route("read", "idempotent", "shop"),
        ],
        "services": [{"name": "llm", "engine": ENGINE}, {"name": "shop"}],
        "tenants": [{"name": "blue", "api_keys": [KEY]}],
    } | changes


class Instance:
    """An instance process with the adapter."""

    def __init__(
        self,
        folder: str,
        number: int,
        store: HasAddress,
        arguments: Sequence[str] = (),
        memory_mb: int | None = None,
        data_centre: str = "a",
        upstream_ip: str | None = None,
        **bounds: Any,
    ) -> None:
        """Start the process; with `upstream_ip`, it reaches upstreams through links there."""
        self.arguments, self.store = arguments, store
        self.data_centre, self.upstream_ip = data_centre, upstream_ip
        front, self.ready_port, *peer_ports = reserve_ports_for(self, 4)
        peers, delegate = sorted(peer_ports)
        self.port, self.peer_port, self.delegate_port = front, peers, delegate
        limits = {"grace_s": 8, "fail_closed": True, "revoke_ms": 5_000, "stall_ms": 300}
        limits |= {"retry_budget_ratio": 0.2, "budget_slack": 100} | bounds
        text = f'node_name = "edge-{number}"\nip = "127.0.0.1"\nzone = "{data_centre}"\n'
        text += f"port_range = [{peers}, {delegate}]\n"
        text += f'[listen]\nfront = "127.0.0.1:{front}"\nready = "127.0.0.1:{self.ready_port}"\n'
        text += f'[platform]\naddress = "{store.address}"\n[bounds]\n'
        text += "".join(f"{key} = {json.dumps(value)}\n" for key, value in limits.items())
        if memory_mb is not None:
            text += f"[limits]\nmemory_mb = {memory_mb}\n"
        text += '[zones]\na = "north"\nb = "south"\n'
        self.path = Path(folder) / f"node-{number}.toml"
        self.path.write_text(text)
        self.lines: list[dict[str, Any]] = []
        self.start()

    def start(self) -> None:
        """Start the process, or restart it with the same addresses after its end."""
        module, environment = "ibispaddle_platform", {"IBISPADDLE_CONFIG": str(self.path)}
        if self.upstream_ip is not None:
            module, environment[OWN_IP_VARIABLE] = linked_instance.__name__, self.upstream_ip
        self.proc = subprocess.Popen(
            [sys.executable, "-m", module, *self.arguments],
            stdout=subprocess.PIPE,
            env=os.environ | environment,
        )
        threading.Thread(target=self._read, args=(self.proc,), daemon=True).start()

    def _read(self, proc: subprocess.Popen[bytes]) -> None:
        assert proc.stdout is not None
        with contextlib.suppress(ValueError):  # The pipe was closed after the process was killed.
            for line in proc.stdout:
                with contextlib.suppress(
                    json.JSONDecodeError
                ):  # Truncated by the end of the process.
                    self.lines.append(json.loads(line))

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        return [line for line in list(self.lines) if line.get("event") == name]

    def wait_for_upstream(self, name: str) -> None:
        """Wait until the instance has read an upstream's entry."""

        def is_known() -> bool:
            return any(line["upstream"] == name for line in self.events("upstream_added"))

        wait_until(is_known, "the upstream in the instance's list")

    def is_ready(self) -> bool:
        """Return whether the instance reports that it is ready."""
        try:
            return call(self.ready_port, "GET", "/readyz").status == 200
        except OSError:
            return False

    def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> HttpResponse:
        """Send a request as a consumer."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        sent = {"Host": "a.example", "Key": KEY, "Attempt-Id": "a1", "Deadline-Ms": "3000"}
        return call(self.port, method, path, body or None, {**sent, **names})

    def stream(self, **headers: str) -> HttpResponse:
        """Send a request for a stream."""
        return self.call("POST", "/stream/x", b"prompt", **{"Token_Count": "1000,200"} | headers)

    def end(self) -> int:
        """Terminate the process gracefully and return its exit status."""
        self.proc.send_signal(signal.SIGTERM)
        return self.proc.wait(STOP_S)

    def close(self) -> None:
        """Kill the process."""
        self.proc.kill()
        self.proc.wait()
        if self.proc.stdout is not None:
            self.proc.stdout.close()


class Platform:
    """A store, runners and instances, as a context manager."""

    def __init__(
        self,
        runners: int = 2,
        services: int = 1,
        instances: int = 1,
        gate: Callable[[str], HasAddress | None] = lambda address: None,
        listed_address: Callable[[str], str] = lambda address: address,
        **options: Any,
    ):
        """Start the processes with options of `Instance`.

        `gate` may return an instance's proxy of the store at an address. `listed_address` is called once
        with each upstream's address and returns that of its entry in the store.
        """
        self._gate, self._listed_address = gate, listed_address
        self._stack = ExitStack()
        self.folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.store = self._stand_in("platform_store")
        self.runners = [self.start_runner(f"llm-{n}", "llm") for n in range(runners)]
        self.services = [self.start_runner(f"shop-{n}", "shop") for n in range(services)]
        self.configure(configuration(1))
        self.instances = [self.start_instance(n, **options) for n in range(instances)]
        self.instance = self.instances[0]

    def __enter__(self) -> "Platform":
        return self

    def __exit__(self, *exc: object) -> None:
        self._stack.close()

    def _stand_in(self, kind: str, *options: str) -> ManagedProcess:
        process = start_stand_in(kind, *options)
        self._stack.callback(process.kill)
        return process

    def start_runner(
        self, name: str, service: str, *arguments: str, **values: Any
    ) -> ManagedProcess:
        """Start a runner with more arguments and register it with more values of its entry."""
        process = self._stand_in("platform_runner", "--id", name, *arguments)
        process.name = name
        self.register_at(name, self._listed_address(process.address), service, **values)
        return process

    def start_instance(self, number: int, **options: Any) -> Instance:
        """Start an instance with options of `Instance` and wait until it is ready."""
        store = self._gate(self.store.address) or self.store
        instance = Instance(self.folder, number, store, **options)
        self._stack.callback(instance.close)
        wait_until(instance.is_ready, "ready")
        return instance

    def followers(self) -> list[Instance]:
        """Return the instances that read the store through another one, which is their hub."""
        found = []
        for instance in self.instances:
            changes = instance.events("relay_changed")
            if changes and changes[-1]["relay"] is not None:
                found.append(instance)
        return found

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write the newest record of a key; None removes it."""
        text = None if value is None else value if isinstance(value, str) else json.dumps(value)
        record = {"topic": topic, "key": key, "value": text}
        call_json(f"{self.store.url}/admin/put", record)

    def compact(self, topic: str) -> None:
        """Drop the history of a topic; the newest record of each key stays."""
        call_json(f"{self.store.url}/admin/compact", {"topic": topic})

    def copy_store(self) -> None:
        """Make a copy of the store, for `restore_store`."""
        call_json(f"{self.store.url}/admin/copy", {})

    def restore_store(self) -> None:
        """Restore the store from its copy, which begins a new era."""
        call_json(f"{self.store.url}/admin/restore", {})

    def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.put("keyed.op", "config", config)

    def register(self, process: ManagedProcess, service: str, state: str = "ready") -> None:
        """Register a runner in the store."""
        self.register_at(process.name, process.address, service, state)

    def register_at(
        self, name: str, address: str, service: str, state: str = "ready", **values: Any
    ) -> None:
        """Register a runner with the given address, and more values of its entry, in the store."""
        entry = {"service": service, "address": address, "zone": "a", "state": state, **values}
        self.put("keyed.servers", name, entry)

    def runs(self) -> Iterator[dict[str, Any]]:
        """Yield all runs of runners and services."""
        for process in (*self.runners, *self.services):
            yield from process.state()["runs"]
