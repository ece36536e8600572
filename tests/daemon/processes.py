"""Instances and stand-ins as real processes on ports that the operating system chooses."""

import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path
from typing import Any

from ibispaddle_bench.processes import ManagedProcess, call_json, start_stand_in

from tests.support.entries import runner_entry
from tests.support.http import metric
from tests.support.waiting import wait_until

KEY = "key-of-the-workspace"
STOP_S = 15


def service_entry(name: str, address: str, service: str = "shop") -> dict:
    """Return the instance list entry of a service."""
    return runner_entry(name, address) | {"kind": "service", "models": [], "service": service}


def fleet_document(**changes: Any) -> dict[str, Any]:
    """Return a base configuration with one workspace."""
    document = {
        "neighbours": {"n": {"weight": 1.0}},
        # With this high decode rate, admission also accepts requests that the stand-in cannot finish
        # before their deadline.
        "models": {"m": {"context_tokens": 2_000_000, "decode_tokens_per_s": 100_000.0}},
        "services": {"shop": {}},
        "workspaces": {
            "w": {
                "neighbour": "n",
                "key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()],
                "models": ["m"],
                "services": ["shop"],
                "request_timeout_ms": 20_000,
            }
        },
    }
    return document | changes


class Instance:
    """An `ibispaddled` process and its log records."""

    def __init__(self, folder: str, list_url: str, document: dict, **settings: Any) -> None:
        base = Path(folder) / "base.json"
        base.write_text(json.dumps(document))
        path = Path(folder) / "instance.json"
        values = {
            "instance_id": "entry.1",
            "data_centre": "dc1",
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "log_url": "http://127.0.0.1:9",
            "list_url": list_url,
            "base_file": str(base),
            "list_poll_interval_ms": 100,
            "probe_interval_ms": 100,
        }
        path.write_text(json.dumps(values | settings))
        self.lines: list[dict[str, Any]] = []
        self.proc = subprocess.Popen(
            [sys.executable, "-m", "ibispaddle_daemon", "--settings", str(path)],
            stderr=subprocess.PIPE,
            env=dict(os.environ, OPENAI_LOG="warning"),
        )
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()
        wait_until(lambda: self.events("instance_started") or self.proc.poll() is not None, "start")
        if not self.events("instance_started"):
            raise AssertionError(f"the instance did not start: {self.lines}")
        self.address = self.events("instance_started")[0]["listen"]
        self.url = f"http://{self.address}"

    def _read(self) -> None:
        for line in self.proc.stderr:
            try:
                self.lines.append(json.loads(line))
            except ValueError:
                self.lines.append({"event": "not_json", "text": line.decode(errors="replace")})

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log records of an event."""
        return [line for line in list(self.lines) if line.get("event") == name]

    def problems(self) -> list[dict[str, Any]]:
        """Return the log records that are not events or that report an exception."""
        return [line for line in list(self.lines) if "event" not in line or "exception" in line]

    def wait_ready(self) -> None:
        """Wait until the instance accepts requests."""
        wait_until(lambda: self.events("instance_ready"), "readiness")

    def metric(self, name: str) -> float:
        """Return the sum of a metric's values."""
        return metric(self, name)

    def stop(self, timeout_s: float = STOP_S) -> int:
        """Send SIGTERM and return the exit status."""
        self.proc.send_signal(signal.SIGTERM)
        return self.proc.wait(timeout_s)

    def close(self) -> None:
        """Kill the process if it is still running."""
        if self.proc.poll() is None:
            self.proc.kill()
            self.proc.wait()
        self.reader.join(5)
        self.proc.stderr.close()


class Fleet:
    """One instance with an instance list, a log, runners and services."""

    def __init__(
        self,
        runners: int = 1,
        runner_args: tuple[str, ...] = ("--time-scale", "20"),
        services: int = 0,
        document: dict | None = None,
        service_args: tuple[str, ...] = (),
        **settings: Any,
    ) -> None:
        self.stack = contextlib.ExitStack()
        try:
            folder = self.stack.enter_context(tempfile.TemporaryDirectory())
            self.list = self.add("instances")
            self.log = self.add("log")
            settings = {"log_url": self.log.url} | settings
            self.runners = [self.add("engine", *runner_args) for _ in range(runners)]
            self.services = [self.add("service", *service_args) for _ in range(services)]
            self.publish()
            document = document or fleet_document()
            self.instance = Instance(folder, self.list.url, document, **settings)
            self.stack.callback(self.instance.close)
            self.instance.wait_ready()
            if runners:
                wait_until(lambda: self.reachable() >= runners, "probed runners")
        except BaseException:
            self.stack.close()
            raise

    def reachable(self) -> int:
        """Return the number of runners to which the instance has a connection."""
        return int(self.instance.metric("ibispaddle_upstream_connections")) - 1

    def add(self, kind: str, *options: str) -> ManagedProcess:
        """Start a stand-in that is stopped with the fleet."""
        stand_in = start_stand_in(kind, *options)
        self.stack.callback(stand_in.end)
        return stand_in

    def listed_address(self, upstream: ManagedProcess) -> str:
        """Return the address of an upstream in the instance list."""
        return upstream.address

    def publish(self, states: dict[int, str] | None = None) -> None:
        """Write the instance list."""
        states = states or {}
        entries = [
            runner_entry(f"runner.{i}", self.listed_address(runner), states.get(i, "live"))
            for i, runner in enumerate(self.runners)
        ]
        entries += [
            service_entry(f"shop.{i}", self.listed_address(s)) for i, s in enumerate(self.services)
        ]
        call_json(f"{self.list.url}/admin/entries", {"entries": entries}, method="PUT")

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc: object) -> None:
        self.stack.close()
