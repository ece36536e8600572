"""A request whose run state is reported as "not run" didn't run."""

import signal
import socket
import time
from dataclasses import replace

from tests.support.http import metric
from tests.support.waiting import wait_until

from .scripted_engine import (
    ScriptedEngine,
    error_body,
    publish_scripted_engines,
    reset_connection,
    respond,
    stream_head,
)
from .support import FleetTest, ModelCall, ServiceCall

# Time for an engine to compute any sequence that it still has.
LATE_WORK_WAIT_S = 0.5


class ScriptedRefusalTest(FleetTest):
    """Engines fail at each step of an attempt and record whether they ran the prompt."""

    SPEC = replace(
        FleetTest.SPEC,
        runners=0,
        configuration={
            # With at most two attempts the minimum retry budget is never exhausted.
            "scheduling": {"first_token_timeout_ms": 400, "retry_budget": 1.0, "max_attempts": 2}
        },
    )
    FLEET_PER_TEST = True

    def setUp(self) -> None:
        super().setUp()
        self.engines: list[ScriptedEngine] = []

    def add_engines(self, count: int) -> None:
        """Add scripted engines and wait until the instance has probed them; done once per test."""
        if self.engines:
            return
        self.engines = [
            ScriptedEngine(f"runner.{n + 8}", reset_every_request) for n in range(count)
        ]
        for engine in self.engines:
            self.addCleanup(engine.close)
        publish_scripted_engines(self.fleet, *self.engines)
        wait_until(lambda: metric(self.entry, "ibispaddle_runners_live") == count, "engines")

    def check(self, expected: str, *scripts) -> None:
        """Check the reported run state, with and without streaming, against the engines' runs."""
        self.add_engines(len(scripts))
        for stream in (True, False):
            for position in range(len(scripts)):
                order = scripts[position:] + scripts[:position]
                for engine, script in zip(self.engines, order, strict=True):
                    engine.script, engine.runs = script, 0
                with self.subTest(stream=stream, position=position):
                    call = self.call(stream=stream, timeout_ms=3_000).wait()
                    self.assertEqual(call.run_state, expected, call.describe())
                    self.assertEqual(call.headers.get("x-run-state", expected), expected)
                    runs = sum(engine.runs for engine in self.engines)
                    self.assertFalse(runs and expected == "not_run", f"{runs} runs")

    def test_refusals(self):
        """Guard against "unknown" after a refusal that proves that the prompt didn't run."""
        for status, code in ((503, "rejected"), (429, "queue_full"), (404, "model_not_found")):
            with self.subTest(code=code):
                self.check("not_run", refuse(status, code))

    def test_failures_after_the_run(self):
        """Guard against "not run" after an engine ran the prompt and then failed."""
        for name, script in (
            ("reset", run_and_reset),
            ("500", run_and_respond(500, error_body("internal"))),
            ("502", run_and_respond(502, b"<html>bad gateway</html>")),
            ("503", run_and_respond(503, error_body("shutting_down"))),
            ("503 without a body", run_and_respond(503, b"")),
            ("404 without a code", run_and_respond(404, b"not found")),
            ("cut head", run_and_send(b"HTTP/1.1 200 OK\r\nContent-")),
            ("not HTTP", run_and_send(b"\x00\x01\x02\x03\r\n\r\n")),
        ):
            with self.subTest(name):
                self.check("unknown", script)

    def test_reset_before_the_run(self):
        """Guard against "not run" without proof: an engine reset the connection of a request."""
        self.check("unknown", reset_every_request)

    def test_refusal_after_a_run_elsewhere(self):
        """Guard against "not run" from the refusal of a retry after the first attempt ran."""
        self.check("unknown", run_and_reset, refuse(503, "rejected"))

    def test_proof_of_the_engine_that_was_frozen(self):
        """Guard against "unknown" after a frozen engine confirmed that the prompt didn't run."""
        self.check("not_run", freeze(ran=False))

    def test_frozen_after_the_run(self):
        """Guard against "not run" after an engine ran the prompt and froze."""
        self.check("unknown", freeze(ran=True))


def refuse(status: int, code: str):
    """Return a script that refuses requests without running them."""

    def script(engine, conn, path, request_id, body):
        if path == "/v1/cancel":
            return respond(conn, 200, b'{"cancelled": false, "ran": false}')
        return respond(conn, status, error_body(code))

    return script


def run_then(respond_after_run):
    """Return a script that runs the prompt and then calls the given function."""

    def script(engine, conn, path, request_id, body):
        if path == "/v1/cancel":
            return respond(conn, 200, b'{"cancelled": false, "ran": true}')
        engine.runs += 1
        return respond_after_run(conn)

    return script


run_and_reset = run_then(reset_connection)


def run_and_respond(status: int, body: bytes):
    """Return a script that runs the prompt and responds with an error."""
    return run_then(lambda conn: respond(conn, status, body))


def run_and_send(data: bytes):
    """Return a script that runs the prompt, sends raw bytes and closes the connection."""

    def respond_after_run(conn: socket.socket) -> bool:
        conn.sendall(data)
        return False

    return run_then(respond_after_run)


def reset_every_request(engine, conn, path, request_id, body):
    """Reset the connection of every request, including cancel requests."""
    return reset_connection(conn)


def freeze(ran: bool):
    """Return a script that responds only to cancel requests, which ask whether the prompt ran."""

    def script(engine, conn, path, request_id, body):
        if path == "/v1/cancel":
            text = b'{"cancelled": true, "ran": true}' if ran else b'{"cancelled": 1, "ran": false}'
            return respond(conn, 200, text)
        engine.runs += ran
        conn.sendall(stream_head("boot", request_id) if ran else b"")
        time.sleep(2.0)
        return False

    return script


class EngineRefusalTest(FleetTest):
    """The run state is compared with the token counters of the engine stand-in."""

    SPEC = replace(
        FleetTest.SPEC,
        configuration={"scheduling": {"first_token_timeout_ms": 500}},
        time_scale=2.0,
    )

    def computed_tokens(self) -> tuple[int, int]:
        """Return the numbers of tokens that the engine has prefilled and generated."""
        state = self.runner.state()
        return state["tokens_prefilled"], state["tokens_generated"]

    def check(self, calls: list[ModelCall], before: tuple[int, int]) -> set[str]:
        """Check that nothing was computed if all calls are "not run"; return the run states."""
        states = {call.wait().run_state for call in calls}
        time.sleep(LATE_WORK_WAIT_S)
        if states == {"not_run"}:
            self.assertEqual(self.computed_tokens(), before)
        return states

    def test_rejected(self):
        """Guard against a rejected prompt that runs."""
        before = self.computed_tokens()
        self.runner.set_faults(reject=True)
        calls = [self.call(prompt=f"{n}", stream=n % 2 == 0) for n in range(6)]
        self.assertEqual(self.check(calls, before), {"not_run"})

    def test_frozen_before_the_run(self):
        """Guard against a prompt that runs after the engine confirmed that it didn't."""
        before = self.computed_tokens()
        self.runner.set_faults(freeze="tokens")
        calls = [self.call(prompt=f"{n}", timeout_ms=4_000) for n in range(4)]
        states = {call.wait().run_state for call in calls}
        self.runner.set_faults(freeze=None)
        time.sleep(LATE_WORK_WAIT_S)
        self.assertEqual(states, {"not_run"})
        self.assertEqual(self.computed_tokens(), before)

    def test_stopped(self):
        """Guard against "not run" for prompts that a stopped engine runs once it continues."""
        self.runner.signal(signal.SIGSTOP)
        self.addCleanup(self.runner.signal, signal.SIGCONT)
        calls = [self.call(prompt=f"{n}", timeout_ms=1_200) for n in range(4)]
        states = {call.wait().run_state for call in calls}
        self.runner.signal(signal.SIGCONT)
        self.assertEqual(states, {"unknown"})


class KilledEngineTest(FleetTest):
    FLEET_PER_TEST = True

    def test_connection_refused(self):
        """Guard against "unknown", or a run, when no byte was sent."""
        self.runner.kill()
        states = {self.call(prompt=f"{n}", stream=n % 2 == 0).wait().run_state for n in range(6)}
        self.assertEqual(states, {"not_run"})
        state = self.fleet.restart_runner(0).state()
        self.assertEqual((state["arrivals"], state["tokens_prefilled"]), (0, 0))


class ServiceRefusalTest(FleetTest):
    SPEC = replace(FleetTest.SPEC, runners=0, services=1)
    FLEET_PER_TEST = True

    def runs(self, path: str) -> int:
        """Return how often the call to a path ran."""
        runs = self.fleet.services[0].state()["runs"]
        return sum(run["count"] for run in runs if run["path"] == f"/{path}")

    def call_service(self, path: str, method: str = "GET", **kwargs) -> ServiceCall:
        key = f"{int(time.time() * 1000)}-{path}" if method == "POST" else ""
        return ServiceCall(self.entry, path, method, b"{}" * (method == "POST"), key=key, **kwargs)

    def check(self, name: str, methods=("GET", "POST")) -> list[str]:
        """Call the service with each method, check the number of runs and return the run states."""
        states = []
        for method in methods:
            path = f"{name}.{method}"
            call = self.call_service(path, method, timeout_ms=800).wait()
            self.assertTrue(call.status, f"{path}: {call.connection_error}")
            states.append(call.run_state)
            time.sleep(0.1)
            with self.subTest(path=path, status=call.status, run_state=call.run_state):
                if call.run_state == "not_run":
                    self.assertEqual(self.runs(path), 0)
                if method == "POST":
                    self.assertLessEqual(self.runs(path), 1)
        return states

    def test_faults_of_a_service(self):
        """Guard against "not run" after a call that ran or may run later, and a second run."""
        service = self.fleet.services[0]
        for name, faults, expected in (
            ("lose", {"lose_answers": True}, "unknown"),
            ("late", {"answer_delay_ms": 1_500}, "unknown"),
            ("slow", {"delay_ms": 1_500}, "unknown"),
            ("freeze", {"freeze": True}, "unknown"),
        ):
            service.set_faults(**faults)
            self.assertEqual(self.check(name), [expected] * 2, name)
            service.set_faults(**dict.fromkeys(faults))

    def test_connection_refused(self):
        """Guard against "unknown" when no byte was sent."""
        self.fleet.services[0].kill()
        for method in ("GET", "POST"):
            call = self.call_service(f"refused.{method}", method, timeout_ms=800).wait()
            self.assertEqual(call.run_state, "not_run", call.answer)

    def test_crash_at_the_call(self):
        """Guard against "not run" without proof: the service crashed when it got the call."""
        self.fleet.services[0].set_faults(crash="call")
        call = self.call_service("crash", "POST", timeout_ms=800).wait()
        self.assertEqual(call.run_state, "unknown", call.answer)
