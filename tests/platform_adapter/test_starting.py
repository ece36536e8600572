"""Tests of an instance's start, when callers connect while it loads its libraries."""

import contextlib
import json
import socket
import subprocess
import sys
import tempfile
import unittest
from base64 import b64decode
from pathlib import Path

from ibispaddle_bench.processes import call_json
from ibispaddle_daemon.listening import Listeners
from ibispaddle_platform.__main__ import open_listeners_early

from tests.support.ports import reserve_ports_for
from tests.support.waiting import wait_until

from .processes import Platform

# Ports of which one must have a free port after it.
MAX_PORTS = 200

SLOW_IMPORTS = ("circuits", "h11", "msgspec", "ibispaddle_daemon.gateway")

# All packages that an instance may import besides the standard library, including those that the
# interpreter loads itself.
ALLOWED = {
    "circuits",
    "h11",
    "ibispaddle_core",
    "ibispaddle_daemon",
    "ibispaddle_platform",
    "msgspec",
    "pkg_resources",
    "result",
    "typing_extensions",
    "xxhash",
    "__main__",
    "__mp_main__",
    "_distutils_hack",
    "sitecustomize",
}


class OpenListenersTest(unittest.TestCase):
    def open(self, text: str) -> Listeners:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            listeners = open_listeners_early(path)
        for sock in listeners:
            self.addCleanup(sock.close)
        return listeners

    def test_sockets_listen_before_the_libraries_are_loaded(self) -> None:
        """Guards against refused connections during the first half second after each start.

        The load pattern is the restart of a whole fleet whose instances were killed at the same time.
        """
        front, ready = reserve_ports_for(self, 2)
        addresses = f'front = "127.0.0.1:{front}"\nready = "127.0.0.1:{ready}"\n'
        listeners = self.open(f"[listen]\n{addresses}")
        self.assertEqual([sock.getsockname()[1] for sock in listeners], [front, ready])
        loaded = subprocess.run(
            [
                sys.executable,
                "-c",
                "import sys, ibispaddle_platform.__main__; print(*sys.modules)",
            ],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        self.assertEqual(set(SLOW_IMPORTS) & set(loaded), set())

    def test_instance_loads_only_what_it_uses(self) -> None:
        """Guards against a slow start because of unused libraries.

        The load pattern is 195 instances with half a core each that are killed at the same time.
        """
        code = "import sys\n" "import ibispaddle_platform.instance\n" "print(*sys.modules)"
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout.split()
        packages = {name.partition(".")[0] for name in loaded} - sys.stdlib_module_names
        self.assertEqual(packages - ALLOWED, set())
        self.assertNotIn("circuits.web", loaded)

    def test_invalid_settings_open_no_sockets(self) -> None:
        """Guards against an early failure that hides the error message about the settings."""
        (port,) = reserve_ports_for(self, 1)
        for text in (
            "[",
            "x = 1",
            "listen = 1",
            "[listen]\nfront = 1",
            '[listen]\nfront = "nowhere"\nready = "127.0.0.1:0"',
            f'[listen]\nfront = "127.0.0.1:{port}"\nready = "127.0.0.1:99999"',
        ):
            self.assertEqual(self.open(text), (), text)
        self.assertEqual(open_listeners_early(Path("/nonexistent/node.toml")), ())


class RestartTest(unittest.TestCase):
    def test_ports_of_a_stopped_instance_stay_reserved(self) -> None:
        """Guards against failures of tests because another process takes the port of an instance.

        An instance ends with status 2 if it can't listen at its address, and its callers get the
        responses of the other process.
        """
        with Platform(runners=0) as platform:
            instance = platform.instance
            self.assertEqual(instance.end(), 0)
            for port in (instance.port, instance.ready_port, instance.peer_port):
                with socket.socket() as sock, self.assertRaisesRegex(OSError, "in use"):
                    sock.bind(("127.0.0.1", port))
            instance.close()
            instance.start()
            wait_until(instance.is_ready, "ready")


class TakenPortTest(unittest.TestCase):
    """An outgoing connection of another process may hold a port of the instances' range."""

    def setUp(self) -> None:
        self.platform = Platform(runners=0)
        self.addCleanup(self.platform.__exit__)
        self.instance = self.platform.instance
        self.assertEqual(self.instance.end(), 0)
        self.instance.close()
        self.instance.lines.clear()

    def take(self, port: int) -> None:
        sock = socket.create_server(("127.0.0.1", port))
        self.addCleanup(sock.close)

    def reserve_adjacent_ports(self) -> tuple[int, int]:
        """Reserve two ports in a row until the end of the test; most may be held by connections."""
        for _ in range(MAX_PORTS):
            (first,) = reserve_ports_for(self, 1)
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", first + 1))
                return first, first + 1
        raise AssertionError("no two ports in a row are free")

    def start(self) -> dict:
        """Start the instance and return its record in the list of instances."""
        self.instance.start()
        wait_until(self.instance.is_ready, "ready")
        (started,) = self.instance.events("instance_started")
        url = f"{self.platform.store.url}/ibispaddle/log-newest?topic=keyed.instances&part=0"

        def read() -> dict:
            (item,) = call_json(url)["items"]
            return json.loads(b64decode(item["value"]))

        taken = [line["address"] for line in self.instance.events("port_replaced")]
        wait_until(lambda: not set(taken) & set(read().values()), "the new addresses in the list")
        return read()

    def test_port_for_delegated_requests(self) -> None:
        """Guards against an instance that ends at each start because the last port of its range is taken."""
        self.take(self.instance.delegate_port)
        address = self.start()["delegate_address"]
        self.assertNotIn(address, ("", f"127.0.0.1:{self.instance.delegate_port}"))
        self.assertEqual(self.instance.call("GET", "/read/x").status, 200)

    def test_port_for_peers(self) -> None:
        """Guards against an instance that ends at each start because the first port of its range is taken."""
        self.take(self.instance.peer_port)
        self.assertNotEqual(self.start()["peer_address"], f"127.0.0.1:{self.instance.peer_port}")
        self.assertEqual(self.instance.call("GET", "/read/x").status, 200)

    def test_no_port_for_delegated_requests(self) -> None:
        """Guards against an instance that serves nobody since it can take no delegated requests."""
        text = self.instance.path.read_text()
        ports = f"[{self.instance.peer_port}, {self.instance.delegate_port}]"
        first, last = self.reserve_adjacent_ports()
        self.instance.path.write_text(text.replace(ports, f"[{first}, {last}]"))
        self.take(last)
        self.assertEqual(self.start()["delegate_address"], "")
        self.assertEqual(self.instance.call("GET", "/read/x").status, 200)

    def test_port_for_callers(self) -> None:
        """Guards against a failure to start that does not name the port."""
        self.take(self.instance.port)
        self.instance.start()
        self.assertEqual(self.instance.proc.wait(10), 2)
        wait_until(lambda: bool(self.instance.events("start_failed")), "the line")
        (line,) = self.instance.events("start_failed")
        self.assertIn(f"127.0.0.1:{self.instance.port}", line["reason"])


if __name__ == "__main__":
    unittest.main()
