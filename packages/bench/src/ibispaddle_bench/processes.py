"""Start, control and end the processes of a fleet."""

import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
import weakref
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 15.0
END_TIMEOUT_S = 10.0


class ProcessError(Exception):
    """Raised when a process does not start or does not become ready."""


def call_json(url: str, body: Any = None, method: str = "", timeout_s: float = 5.0) -> Any:
    """Send a request, by default POST if there is a body and GET otherwise, and return the JSON answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method or None)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.loads(response.read())


def reserve_ports(count: int) -> list[socket.socket]:
    """Reserve free ports of 127.0.0.1 and return the sockets that are bound to them.

    While such a socket is open, the operating system doesn't assign its port to outgoing connections
    or to sockets that bind to port 0. A process that sets `SO_REUSEADDR` can still listen on it.
    """
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
    return sockets


@dataclass
class ManagedProcess:
    """A process with an HTTP port; stand-ins with a certificate also have a port for TLS."""

    name: str
    popen: subprocess.Popen[bytes]
    port: int
    command: list[str] = field(default_factory=list)
    log_file: Path | None = None
    tls_port: int = 0

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""
        return f"127.0.0.1:{self.port}"

    @property
    def running(self) -> bool:
        """Return whether the process is still running."""
        return self.popen.poll() is None

    def set_faults(self, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        call_json(f"{self.url}/admin/faults", faults)

    def state(self) -> Any:
        """Return the state and the counters of a stand-in."""
        return call_json(f"{self.url}/admin/state")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        self.close()

    def end(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Terminate the process, kill it after the timeout, and return its exit status."""
        self.signal(signal.SIGTERM)
        try:
            status = self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            # A process stopped by SIGSTOP does not handle SIGTERM, but SIGKILL ends it.
            self.popen.kill()
            status = self.popen.wait()
        self.close()
        return status

    def close(self) -> None:
        """Wait for the process to exit and close its pipes."""
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe is not None:
                pipe.close()


def start_stand_in(kind: str, *options: str, port: int = 0, name: str = "") -> ManagedProcess:
    """Start a stand-in and return it once it is listening.

    The stand-in also ends when this process ends, because its standard input is then closed. Without
    `port`, a free one is used, which stays reserved until the returned object is garbage-collected.
    """
    reserved = None
    if not port:
        (reserved,) = reserve_ports(1)
        port = reserved.getsockname()[1]
    command = [sys.executable, "-m", f"ibispaddle_standins.{kind}", "--end-with-stdin"]
    command += ["--port", str(port), *options]
    popen = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=_environment()
    )
    try:
        line = _read_first_line(popen, START_TIMEOUT_S)
    except ProcessError as exc:
        with popen:
            popen.kill()
        if reserved is not None:
            reserved.close()
        raise ProcessError(f"{name or kind}: {exc}") from exc
    ports = json.loads(line)
    process = ManagedProcess(name or kind, popen, port, command, tls_port=ports["tls_port"])
    if reserved is not None:
        weakref.finalize(process, reserved.close)
    return process


def start_stand_ins(specs: Sequence[tuple[str, str, Sequence[str]]]) -> list[ManagedProcess]:
    """Start several stand-ins concurrently; each spec is (kind, name, options)."""
    # A process spends most of its start time on imports, so the starts run concurrently.
    from concurrent.futures import ThreadPoolExecutor

    with ThreadPoolExecutor(max(1, len(specs))) as pool:
        futures = [
            pool.submit(start_stand_in, kind, *options, name=name) for kind, name, options in specs
        ]
    try:
        return [future.result() for future in futures]
    except ProcessError:
        for future in futures:
            if future.exception() is None:
                future.result().kill()
        raise


def wait_until_ready(url: str, timeout_s: float, process: ManagedProcess | None = None) -> None:
    """Poll a URL until it answers with status 200."""
    deadline_s = time.monotonic() + timeout_s
    last_error = "no answer"
    while time.monotonic() < deadline_s:
        if process is not None and not process.running:
            raise ProcessError(f"{process.name} ended with status {process.popen.returncode}")
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                if response.status == 200:
                    return
        except urllib.error.HTTPError as exc:
            last_error = f"status {exc.code}: {exc.read(500)!r}"
        except OSError as exc:
            last_error = repr(exc)
        time.sleep(0.02)
    raise ProcessError(f"{url} did not answer with 200 within {timeout_s} s; last: {last_error}")


def _environment() -> dict[str, str]:
    return dict(os.environ, PYTHONUNBUFFERED="1")


def _read_first_line(popen: subprocess.Popen[bytes], timeout_s: float) -> bytes:
    assert popen.stdout is not None
    with selectors.DefaultSelector() as selector:
        selector.register(popen.stdout, selectors.EVENT_READ)
        if not selector.select(timeout_s):
            raise ProcessError(f"no port within {timeout_s} s")
    line = popen.stdout.readline()
    if not line:
        raise ProcessError(f"ended with status {popen.wait()} before it listened")
    return line
