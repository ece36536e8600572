"""Fleets of stand-ins and instances as separate processes.

>>> with Fleet(FleetSpec(entries=3, runners=4, services=1)) as fleet:  # doctest: +SKIP
...     call_json(fleet.entries[0].url + "/healthz")
"""

import hashlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .processes import (
    ManagedProcess,
    ProcessError,
    call_json,
    reserve_ports,
    start_stand_in,
    start_stand_ins,
    wait_until_ready,
)

READY_TIMEOUT_S = 20.0
DRAIN_MARGIN_S = 5.0
MODEL = "m"
SERVICE = "shop"
WORKSPACE_KEYS = {"large": "key-of-large", "small": "key-of-small"}
OPERATOR_KEY = "key-of-operator"
LOG_TAIL_BYTES = 4_000


def sha256_hex(key: str) -> str:
    """Return the hash by which the configuration identifies a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def merge_documents(base: Mapping[str, Any], changes: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of `base` into which `changes` are merged recursively."""
    merged = dict(base)
    for key, value in changes.items():
        old = merged.get(key)
        nested = isinstance(old, Mapping) and isinstance(value, Mapping)
        merged[key] = merge_documents(old, value) if nested else value  # type: ignore[arg-type]
    return merged


@dataclass(frozen=True)
class FleetSpec:
    """The size and the options of a fleet; `entries` is the number of instances.

    `time_scale` speeds up engine time; the rates in the model's configuration are scaled with it.
    """

    entries: int = 3
    runners: int = 3
    services: int = 1
    data_centres: tuple[str, ...] = ("dc.1", "dc.2", "dc.3")
    time_scale: float = 1.0
    prefill_tokens_per_s: float = 25_000.0
    decode_tokens_per_s: float = 60.0
    kv_tokens: int = 400_000
    engine_options: tuple[str, ...] = ()
    service_options: tuple[str, ...] = ()
    log_options: tuple[str, ...] = ()
    list_options: tuple[str, ...] = ()
    configuration: Mapping[str, Any] = field(
        default_factory=dict
    )  # Merged into the default configuration.
    instance_settings: Mapping[str, Any] = field(
        default_factory=dict
    )  # Override the settings of every instance.
    interpreter_options: tuple[
        str, ...
    ] = ()  # For the instances' Python, for example to run a profiler.

    def configuration_document(self) -> dict[str, Any]:
        """Return the base configuration of the fleet."""
        document = {
            "neighbours": {"north": {"weight": 1.0}, "south": {"weight": 1.0}},
            "workspaces": {
                name: {
                    "neighbour": neighbour,
                    "key_sha256": [sha256_hex(WORKSPACE_KEYS[name])],
                    "models": [MODEL],
                    "services": [SERVICE],
                }
                for name, neighbour in (("large", "north"), ("small", "south"))
            },
            "models": {
                MODEL: {
                    "context_tokens": 1_100_000,
                    "engine_kv_tokens": self.kv_tokens,
                    "prefill_tokens_per_s": self.prefill_tokens_per_s * self.time_scale,
                    "decode_tokens_per_s": self.decode_tokens_per_s * self.time_scale,
                }
            },
            "services": {SERVICE: {}},
            "operator_key_sha256": [sha256_hex(OPERATOR_KEY)],
        }
        return merge_documents(document, self.configuration)


class Fleet:
    """Starts the processes of a fleet and ends only these; `entries` holds the instances."""

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.folder = Path(tempfile.mkdtemp(prefix="ibispaddle-fleet-"))
        self.log: ManagedProcess
        self.instance_list: ManagedProcess
        self.collector: ManagedProcess
        self.runners: list[ManagedProcess] = []
        self.services: list[ManagedProcess] = []
        self.entries: list[ManagedProcess] = []
        self.states: dict[str, str] = {}  # State in the instance list by name; the default is live.
        self.unlisted: set[str] = set()
        self._settings: dict[str, dict[str, Any]] = {}
        self._processes: list[ManagedProcess] = []
        self._reserved: list[socket.socket] = []

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end()

    def start(self) -> None:
        """Start all processes and wait until every instance is ready."""
        self.start_stand_ins()
        names = [f"entry.{number + 1}" for number in range(self.spec.entries)]
        # The ports stay reserved until the fleet ends, including while an instance restarts.
        self._reserved = reserve_ports(2 * len(names))
        ports = [sock.getsockname()[1] for sock in self._reserved]
        for index, name in enumerate(names):
            self._settings[name] = self.settings(name, ports[2 * index], ports[2 * index + 1])
        self.publish()
        for name in names:
            self.entries.append(self.start_entry(name))
        with ThreadPoolExecutor(max(1, len(names))) as pool:
            list(pool.map(self.wait_for_entry, self.entries))

    def start_stand_ins(self) -> None:
        """Start the stand-ins of the platform and of the upstreams."""
        spec = self.spec
        engine = [
            *("--models", MODEL, "--prefill-rate", str(spec.prefill_tokens_per_s)),
            *("--decode-rate", str(spec.decode_tokens_per_s), "--kv-tokens", str(spec.kv_tokens)),
            *("--time-scale", str(spec.time_scale), *spec.engine_options),
        ]
        service = ["--service", SERVICE, *spec.service_options]
        started = start_stand_ins(
            [
                ("log", "log", spec.log_options),
                ("instances", "instances", spec.list_options),
                ("collector", "collector", ()),
                *(("engine", f"runner.{n + 1}", engine) for n in range(spec.runners)),
                *(("service", f"service.{n + 1}", service) for n in range(spec.services)),
            ]
        )
        self._processes += started
        self.log, self.instance_list, self.collector = started[:3]
        self.runners = started[3 : 3 + spec.runners]
        self.services = started[3 + spec.runners :]

    def settings(self, name: str, port: int, peer_port: int) -> dict[str, Any]:
        """Return the settings of an instance and create the files that they refer to."""
        base_file, secret_file = self.folder / "base.json", self.folder / "peer-secret"
        if not base_file.exists():
            base_file.write_text(json.dumps(self.spec.configuration_document()))
            secret_file.write_text(secrets.token_hex(32))
            secret_file.chmod(0o600)
        settings: dict[str, Any] = {
            "instance_id": name,
            "data_centre": self.data_centre(name),
            "listen": f"127.0.0.1:{port}",
            "peer_listen": f"127.0.0.1:{peer_port}",
            "log_url": self.log.url,
            "list_url": self.instance_list.url,
            "trace_url": self.collector.url,
            "peer_secret_file": str(secret_file),
            "base_file": str(base_file),
        }
        return settings | dict(self.spec.instance_settings)

    def data_centre(self, name: str) -> str:
        """Return the data centre of a process; processes of a kind are distributed evenly."""
        number = int(name.rpartition(".")[2])
        return self.spec.data_centres[(number - 1) % len(self.spec.data_centres)]

    def start_entry(self, name: str) -> ManagedProcess:
        """Start or restart an instance without waiting until it is ready."""
        settings = self._settings[name]
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        log_file = self.folder / f"{name}.log"
        command = [sys.executable, *self.spec.interpreter_options]
        command += ["-m", "ibispaddle_daemon", "--settings", str(file)]
        with log_file.open("ab") as output:
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
                cwd=self.folder,
            )
        port = int(settings["listen"].rpartition(":")[2])
        process = ManagedProcess(name, popen, port, command, log_file)
        self._processes.append(process)
        return process

    def wait_for_entry(self, entry: ManagedProcess, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until an instance is ready; on failure, the error includes the end of its log."""
        try:
            wait_until_ready(f"{entry.url}/readyz", timeout_s, entry)
        except ProcessError as exc:
            raise ProcessError(f"{exc}\n{self.log_tail(entry)}") from exc

    def restart_entry(self, index: int) -> ManagedProcess:
        """Restart an instance that has ended, with the same settings, and wait until it is ready."""
        self.entries[index] = self.start_entry(self.entries[index].name)
        self.wait_for_entry(self.entries[index])
        return self.entries[index]

    def restart_runner(self, index: int) -> ManagedProcess:
        """Restart an engine that has ended, on the same port and with a new boot id."""
        old = self.runners[index]
        options = old.command[old.command.index("--port") + 2 :]
        self.runners[index] = start_stand_in(
            "engine", *options, port=old.port, name=self.runners[index].name
        )
        self._processes.append(self.runners[index])
        return self.runners[index]

    def listed_entries(self) -> list[dict[str, Any]]:
        """Return the current entries for the instance list."""
        described = [
            *(
                ("entry", name, s["listen"], {"peer_address": s["peer_listen"]})
                for name, s in self._settings.items()
            ),
            *(("runner", r.name, r.address, {"models": [MODEL]}) for r in self.runners),
            *(("service", s.name, s.address, {"service": SERVICE}) for s in self.services),
        ]
        defaults: dict[str, Any] = {"models": [], "service": None, "fenced": False}
        return [
            defaults
            | {
                "id": name,
                "kind": kind,
                "address": address,
                "data_centre": self.data_centre(name),
                "state": self.states.get(name, "live"),
                **more,
            }
            for kind, name, address, more in described
            if name not in self.unlisted
        ]

    def publish(self) -> None:
        """Write the current entries to the instance list."""
        entries = {"entries": self.listed_entries()}
        call_json(f"{self.instance_list.url}/admin/entries", entries, method="PUT")

    def log_tail(self, entry: ManagedProcess) -> str:
        """Return the end of an instance's log."""
        if entry.log_file is None:
            return ""
        return entry.log_file.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def end(self, grace_s: float = 2.0) -> None:
        """End all processes of this fleet, the instances before the stand-ins."""
        instances = [p for p in self._processes if p.log_file is not None]
        for process in instances:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in [*instances, *(p for p in self._processes if p.log_file is None)]:
            process.end(grace_s)
        self._processes.clear()
        for sock in self._reserved:
            sock.close()
        self._reserved.clear()
        shutil.rmtree(self.folder, ignore_errors=True)
