"""Stand-ins that a supervisor restarts as soon as they end."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

from ibispaddle_bench.processes import call_json

from .ports import reserve_ports_for
from .upstreams import RawUpstream, read_request

POLL_S = 0.005


class SupervisedStandIn:
    """Restarts a stand-in as soon as it ends.

    With `keeps_socket`, the supervisor holds the listening socket, so that connections are accepted while
    no process runs, and the next process serves them. Otherwise the next process listens at a new port.
    """

    # Time from the end of a process to the start of the next one.
    RESTART_DELAY_S = 0.0

    def __init__(self, kind: str, keeps_socket: bool, **faults: Any) -> None:
        self._kind, self._keeps_socket = kind, keeps_socket
        self._faults = json.dumps(faults)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.crashes = 0
        self._successor: RawUpstream | None = None
        self._is_stopping = False
        self._start()
        self._thread = threading.Thread(target=self._supervise, daemon=True)
        self._thread.start()

    def options(self, born_ms: int) -> tuple[str, ...]:
        """Return the options of a process that starts at a wall-clock time, besides the common ones."""
        return ()

    def on_started(self, born_ms: int) -> None:
        """Called when a process listens."""

    def _start(self) -> None:
        if not self._keeps_socket:
            # The port stays reserved, because lists name it until their entries change.
            (port,) = reserve_ports_for(self, 1)
            self._listener.close()
            self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        born_ms = time.time_ns() // 1_000_000
        fd = self._listener.fileno()
        command = [sys.executable, "-m", f"ibispaddle_standins.{self._kind}", "--fd", str(fd)]
        self._popen = subprocess.Popen(
            [*command, "--end-with-stdin", "--faults", self._faults, *self.options(born_ms)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            pass_fds=[fd],
            env=dict(os.environ, PYTHONUNBUFFERED="1"),
        )
        assert self._popen.stdout is not None
        self._popen.stdout.readline()
        if not self._keeps_socket:
            self._listener.close()  # The process has a copy; connections are refused after its end.
        self.on_started(born_ms)

    def _supervise(self) -> None:
        while not self._is_stopping:
            if self._popen.poll() is not None:
                self.crashes += 1
                self._close_pipes()
                time.sleep(self.RESTART_DELAY_S)
                self._start()
            time.sleep(POLL_S)

    def state(self) -> Any:
        """Return the state and the counters of the running process."""
        return call_json(f"http://{self.address}/admin/state")

    def stop_and_answer(self, response: bytes) -> None:
        """Stop the process in silence and send `response` on each new connection, as another process.

        Connections that are open stay open. The process must have been started with `keeps_socket`.
        """
        self._popen.send_signal(signal.SIGSTOP)
        self._listener.setblocking(True)  # The process has changed the mode of the shared socket.

        def answer(conn: socket.socket, number: int) -> None:
            read_request(conn)
            conn.sendall(response)

        self._successor = RawUpstream(answer, self._listener)

    def close(self) -> None:
        """Stop the supervisor and end the process."""
        self._is_stopping = True
        self._thread.join()
        self._popen.kill()
        self._popen.wait()
        self._close_pipes()
        if self._successor is not None:
            self._successor.close()
        self._listener.close()

    def _close_pipes(self) -> None:
        for pipe in (self._popen.stdin, self._popen.stdout):
            if pipe is not None:
                pipe.close()
