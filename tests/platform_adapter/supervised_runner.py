"""Runner stand-ins that a supervisor restarts as soon as they end."""

import json
import os
import socket
import subprocess
import sys
import threading
import time

from tests.support.ports import reserve_ports_for

from .processes import Platform

POLL_S = 0.005


class SupervisedRunner:
    """Restarts a runner as soon as it ends, under the same id.

    With `keeps_socket`, the supervisor holds the listening socket, so that connections are accepted while no
    process runs, and the next process serves them. Otherwise the next process listens at a new port, and
    its entry in the store changes once it runs.
    """

    def __init__(self, platform: Platform, name: str, keeps_socket: bool, **faults: str) -> None:
        self._platform, self.name, self._keeps_socket = platform, name, keeps_socket
        self._faults = json.dumps(faults)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.crashes = 0
        self._is_stopping = False
        self._start()
        self._thread = threading.Thread(target=self._supervise, daemon=True)
        self._thread.start()

    def _start(self) -> None:
        if not self._keeps_socket:
            # The port stays reserved, because the entry in the store names it until it changes.
            (port,) = reserve_ports_for(self, 1)
            self._listener.close()
            self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        born = time.time_ns() // 1_000_000
        fd = self._listener.fileno()
        command = [sys.executable, "-m", "ibispaddle_standins.platform_runner", "--id", self.name]
        command += ["--fd", str(fd), "--end-with-stdin", "--born", str(born)]
        self._popen = subprocess.Popen(
            [*command, "--faults", self._faults],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            pass_fds=[fd],
            env=dict(os.environ, PYTHONUNBUFFERED="1"),
        )
        assert self._popen.stdout is not None
        self._popen.stdout.readline()
        if not self._keeps_socket:
            self._listener.close()  # The process has a copy; connections are refused after its end.
        self._platform.register_at(self.name, self.address, "llm", born=born)

    def _supervise(self) -> None:
        while not self._is_stopping:
            if self._popen.poll() is not None:
                self.crashes += 1
                self._close_pipes()
                self._start()
            time.sleep(POLL_S)

    def close(self) -> None:
        """Stop the supervisor and end the process."""
        self._is_stopping = True
        self._thread.join()
        self._popen.kill()
        self._popen.wait()
        self._close_pipes()
        self._listener.close()

    def _close_pipes(self) -> None:
        for pipe in (self._popen.stdin, self._popen.stdout):
            if pipe is not None:
                pipe.close()
