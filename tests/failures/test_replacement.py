"""A rolling replacement of all instances under load loses no requests."""

import http.client
import json
import select
import signal
import threading
import time
from dataclasses import replace

from ibispaddle_bench.fleet import MODEL, SERVICE
from ibispaddle_bench.processes import ManagedProcess

from .support import API_KEY, FAST_SETTINGS, FleetTest, ModelCall, expected_text

# The longest timeout of a request in these tests, plus time for the flush and the exit.
TIMEOUT_MS = 8_000
EXIT_TIMEOUT_S = TIMEOUT_MS / 1000 + 3.0
RESEND_TIMEOUT_S = 5.0


class LoadBalancer:
    """Chooses a ready instance for each new connection, like the platform's load balancer."""

    def __init__(self, entries: list[ManagedProcess]) -> None:
        self._entries = entries
        self._ready: set[int] = {entry.port for entry in entries}
        self._choices = 0
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._check)
        self._thread.start()

    def _check(self) -> None:
        while not self._stop_requested.wait(0.05):
            self._ready = {e.port for e in self._entries if self._is_ready(e)}

    @staticmethod
    def _is_ready(entry: ManagedProcess) -> bool:
        conn = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=1)
        try:
            conn.request("GET", "/readyz")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def choose(self, avoid: int) -> int:
        """Return the port of a ready instance, other than `avoid` if possible."""
        ports = sorted(self._ready)
        ports = [port for port in ports if port != avoid] or ports
        self._choices += 1
        return ports[self._choices % len(ports)] if ports else avoid

    def close(self) -> None:
        """Stop the readiness checks."""
        self._stop_requested.set()
        self._thread.join()


class Caller(threading.Thread):
    """Sends requests sequentially on a persistent connection.

    A request that was refused as not run, or whose connection can't be opened, is sent again to
    another instance. Any other outcome than the complete response counts as a lost request.
    """

    def __init__(self, balancer: LoadBalancer, number: int) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.served = 0
        self.resent = 0
        self.lost: list[str] = []
        self.stop_requested = threading.Event()
        self._balancer = balancer
        self._conn: http.client.HTTPConnection | None = None
        self._port = 0

    def run(self) -> None:
        count = 0
        # The pause between requests depends on the caller, so that some connections are idle for
        # long.
        while not self.stop_requested.wait((0.0, 0.02, 0.2, 0.7)[self.number % 4]):
            count += 1
            problem = self._request(count)
            self.served += not problem
            if problem:
                self.lost.append(problem)
        self._close()

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _request(self, count: int) -> str:
        """Send one request until it has a response; return why it was lost, or an empty string."""
        problem = ""
        ends = time.monotonic() + RESEND_TIMEOUT_S
        # All attempts with the same idempotency key may run once in total.
        key = f"{int(time.time() * 1000)}-{self.number}-{count}"
        while time.monotonic() < ends:
            if not self._connect():
                time.sleep(0.02)
                continue
            try:
                again, problem = self._exchange(count, key)
            except (OSError, http.client.HTTPException, ValueError, KeyError) as exc:
                self._close()
                return f"{count} at port {self._port}: {exc!r}"
            if not again:
                return problem
            self.resent += 1
            self._close()
        return f"not served within {RESEND_TIMEOUT_S} s; {problem}"

    def _connect(self) -> bool:
        """Return whether a connection is open; one that was closed while idle is replaced."""
        if self._conn is not None and self._conn.sock is not None:
            if not select.select([self._conn.sock], [], [], 0)[0]:
                return True
            self._close()
        self._port = self._balancer.choose(self._port)
        self._conn = http.client.HTTPConnection("127.0.0.1", self._port, timeout=20)
        try:
            self._conn.connect()
        except OSError:
            self._close()
            return False
        return True

    def _exchange(self, count: int, key: str) -> tuple[bool, str]:
        assert self._conn is not None
        headers = {"Authorization": f"Bearer {API_KEY}", "X-Request-Timeout-Ms": str(TIMEOUT_MS)}
        is_deposit = self.number % 3 == 2
        prompt, tokens = f"caller {self.number} request {count}", 20
        if is_deposit:
            headers["Idempotency-Key"] = key
            self._conn.request("POST", f"/services/{SERVICE}/deposits/{key}", b"{}", headers)
        else:
            messages = [{"role": "user", "content": prompt}]
            body = {"model": MODEL, "messages": messages, "max_tokens": tokens}
            body["stream"] = self.number % 3 == 0
            self._conn.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        response = self._conn.getresponse()
        data = response.read()
        if response.getheader("Connection", "") == "close":
            self._close()
        if response.status != 200:
            again = response.getheader("X-Run-State") == "not_run"
            return again, f"status {response.status}: {data[:300]!r}"
        if is_deposit:
            answer = json.loads(data)
            return False, "" if answer["key"] == key and answer["run"] == 1 else f"{answer}"
        whole = expected_text(prompt, tokens)
        if self.number % 3 == 0:
            if not data.endswith(b"data: [DONE]\n\n"):
                return False, f"cut: {data[-300:]!r}"
            events = [json.loads(line[6:]) for line in data.split(b"\n\n") if line[6:7] == b"{"]
            parts = [e["choices"][0]["delta"].get("content") or "" for e in events]
            text = "".join(parts)
        else:
            text = json.loads(data)["choices"][0]["message"]["content"]
        return False, "" if text == whole else f"wrong answer {text[-100:]!r}"


class ReplacementTest(FleetTest):
    SPEC = replace(
        FleetTest.SPEC,
        entries=3,
        runners=2,
        services=1,
        time_scale=2.0,
        instance_settings=FAST_SETTINGS,
    )
    FLEET_PER_TEST = True

    def test_rolling_replacement(self):
        """Guard against a planned stop that loses requests, cuts streams or doesn't end."""
        balancer = LoadBalancer(self.fleet.entries)
        self.addCleanup(balancer.close)
        callers = [Caller(balancer, number) for number in range(12)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        for index in range(len(self.fleet.entries)):
            entry = self.fleet.entries[index]
            stream = ModelCall(entry, prompt=f"long {index}", tokens=240, timeout_ms=TIMEOUT_MS)
            stream.wait_for_tokens()
            started = time.monotonic()
            entry.signal(signal.SIGTERM)
            status = entry.popen.wait(EXIT_TIMEOUT_S)
            self.assertEqual(status, 0, self.fleet.log_tail(entry)[-2_000:])
            self.assertLessEqual(time.monotonic() - started, EXIT_TIMEOUT_S)
            self.assertTrue(stream.wait().is_complete, stream.describe())
            self.fleet.restart_entry(index)
            time.sleep(0.3)
        for caller in callers:
            caller.stop_requested.set()
        for caller in callers:
            caller.join(20)
        self.assertEqual([problem for caller in callers for problem in caller.lost], [])
        for caller in callers:
            self.assertGreater(caller.served, 3)
        # No deposit ran twice, even if its caller sent it again.
        self.assertEqual(self.fleet.services[0].state()["most_runs_of_a_key"], 1)
        deposits = sum(caller.served for caller in callers if caller.number % 3 == 2)
        self.assertEqual(self.fleet.services[0].state()["total_runs"], deposits)
