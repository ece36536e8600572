"""A caller receives exactly the response to its own request, or can tell that it is incomplete."""

import http.client
import json
import signal
import threading
import time
from dataclasses import replace

from ibispaddle_bench.fleet import MODEL

from tests.support.http import metric
from tests.support.waiting import wait_until

from .scripted_engine import ScriptedEngine, chunk, publish_scripted_engines, respond, stream_head
from .support import API_KEY, FAST_SETTINGS, FleetTest, ModelCall, ServiceCall, expected_text

# Timeout of an instance's cancel calls to an engine, with a margin.
CANCEL_CALL_TIMEOUT_S = 0.6


class RestartedEngineTest(FleetTest):
    FLEET_PER_TEST = True

    def test_engine_restarted_on_the_same_address(self):
        """Guard against a stream that is continued by another boot of the engine."""
        for number in range(2):
            calls = [self.call(prompt=f"{number} {n}", tokens=200) for n in range(4)]
            for call in calls:
                call.wait_for_tokens(3)
            self.runner.kill()
            self.fleet.restart_runner(0)
            for call in calls:
                self.assert_answer_valid(call)
                self.assertFalse(call.is_end_received)
                self.assertEqual(call.run_state, "unknown")
            wait_until(lambda: self.call(prompt="next").wait().is_complete, "next answer")


class ScriptedEngineTest(FleetTest):
    """The engine misbehaves in ways that a correct one doesn't."""

    SPEC = replace(FleetTest.SPEC, runners=0)
    FLEET_PER_TEST = True

    def add_engine(self, script) -> ScriptedEngine:
        """Add a scripted engine and wait until the instance has probed it."""
        engine = ScriptedEngine("runner.8", script)
        self.addCleanup(engine.close)
        publish_scripted_engines(self.fleet, engine)
        wait_until(lambda: metric(self.entry, "ibispaddle_runners_live") == 1, "known engine")
        return engine

    def test_resume_by_another_boot(self):
        """Guard against tokens of another boot of the engine in a stream that has started."""
        texts = [expected_text("Draft a motif with lilies.", n + 1) for n in range(20)]
        tokens = [text[len(texts[n - 1]) if n else 0 :] for n, text in enumerate(texts)]

        def script(engine, conn, path, request_id, body):
            if path == "/v1/cancel":
                return respond(conn, 200, b'{"cancelled": true, "ran": true}')
            resumed = path == "/v1/resume"
            # Only the boot id shows the restart, because the tokens continue the sequence.
            first = json.loads(body)["from_token"] if resumed else 0
            conn.sendall(stream_head("boot.2" if resumed else "boot.1", request_id))
            for index in range(first, 20 if resumed else 5):
                conn.sendall(chunk("cmpl-1", index, tokens[index], "stop" if index == 19 else None))
            if resumed:
                conn.sendall(b"data: [DONE]\n\n")
            return False

        engine = self.add_engine(script)
        call = self.call(tokens=20).wait()
        self.assertIn("/v1/resume", engine.requests)
        self.assert_answer_valid(call)
        self.assertEqual((call.is_end_received, len(call.parts)), (False, 5), call.describe())

    def test_late_answer_on_a_reused_connection(self):
        """Guard against a late response to a timed-out request as the response to the next one."""

        def script(engine, conn, path, request_id, body):
            if path == "/v1/cancel":
                return respond(conn, 200, b'{"cancelled": false, "ran": true}')
            prompt = json.loads(body)["messages"][0]["content"]
            if prompt.startswith("late"):
                time.sleep(1.4)
            message = {"role": "assistant", "content": expected_text(prompt, 8)}
            choice = {"index": 0, "message": message, "finish_reason": "stop"}
            answer = json.dumps({"id": "cmpl", "choices": [choice]}).encode()
            return respond(conn, 200, answer, f"X-Request-Id: {request_id}\r\n")

        self.add_engine(script)
        timed_out = [self.call(prompt=f"late {n}", timeout_ms=300, stream=False) for n in range(4)]
        for call in timed_out:
            self.assertEqual(call.wait().status, 504, call.describe())
        time.sleep(CANCEL_CALL_TIMEOUT_S)
        for call in [self.call(prompt=f"next {n}", stream=False) for n in range(4)]:
            self.assertTrue(call.wait().is_complete, call.describe() + call.text)


class LateAnswerTest(FleetTest):
    SPEC = replace(FleetTest.SPEC, services=1, time_scale=1_000.0)

    def check_answers_after_timeouts(self, stop_engine, resume_engine) -> None:
        """Let requests time out, and check the next ones while late responses arrive."""
        for round_number in range(2):
            stop_engine()
            timed_out = [
                self.call(prompt=f"late {round_number} {n}", timeout_ms=400, stream=n % 2 == 0)
                for n in range(10)
            ]
            for call in timed_out:
                self.assertEqual(call.wait().status, 504, call.describe())
            # On a reused connection the late response would now precede that of the next request.
            # The instance's cancel calls for the late requests have ended by then.
            time.sleep(CANCEL_CALL_TIMEOUT_S)
            calls = [
                self.call(prompt=f"next {round_number} {n}", stream=n % 2 == 1) for n in range(10)
            ]
            time.sleep(0.1)
            resume_engine()
            for call in calls:
                # A late refusal may end a request, but never with the response to another one.
                self.assert_answer_valid(call)
            wait_until(lambda: self.call().wait().is_complete, "answer after the silence")

    def test_frozen_engine(self):
        """Guard against a late response on a reused connection to the engine."""
        self.check_answers_after_timeouts(
            lambda: self.runner.set_faults(freeze=True), lambda: self.runner.set_faults(freeze=None)
        )

    def test_stopped_engine(self):
        """Guard against late responses that a continued process sends all at once."""
        self.addCleanup(self.runner.signal, signal.SIGCONT)
        self.check_answers_after_timeouts(
            lambda: self.runner.signal(signal.SIGSTOP), lambda: self.runner.signal(signal.SIGCONT)
        )

    def test_late_answers_of_a_service(self):
        """Guard against a late response to a timed-out call as the response to the next one."""
        service = self.fleet.services[0]
        for round_number in range(3):
            service.set_faults(answer_delay_ms=400)
            timed_out = [
                ServiceCall(self.entry, f"late/{round_number}/{n}", timeout_ms=250)
                for n in range(6)
            ]
            for call in timed_out:
                self.assertEqual(call.wait().status, 504, call.connection_error)
            service.set_faults(answer_delay_ms=None)
            for n in range(20):
                call = ServiceCall(self.entry, f"next/{round_number}/{n}").wait()
                self.assertEqual((call.status, call.answer["path"]), (200, f"/{call.path}"))

    def test_callers_connection_after_a_timeout(self):
        """Guard against a late response to the previous request on the caller's own connection."""
        conn = http.client.HTTPConnection("127.0.0.1", self.entry.port, timeout=10)
        self.addCleanup(conn.close)

        def ask(prompt: str, timeout_ms: int) -> tuple[int, dict]:
            messages = [{"role": "user", "content": prompt}]
            body = json.dumps({"model": MODEL, "messages": messages, "max_tokens": 9})
            headers = {
                "Authorization": f"Bearer {API_KEY}",
                "X-Request-Timeout-Ms": str(timeout_ms),
            }
            conn.request("POST", "/v1/chat/completions", body, headers)
            response = conn.getresponse()
            return response.status, json.loads(response.read())

        for number in range(3):
            self.runner.set_faults(freeze=True)
            self.assertEqual(ask(f"late {number}", 300)[0], 504)
            time.sleep(CANCEL_CALL_TIMEOUT_S)
            unfreeze_timer = threading.Timer(0.1, lambda: self.runner.set_faults(freeze=None))
            unfreeze_timer.start()
            status, answer = ask(f"next {number}", 5_000)
            unfreeze_timer.join()
            text = answer["choices"][0]["message"]["content"] if status == 200 else answer
            self.assertEqual(text, expected_text(f"next {number}", 9))


class ConcurrentStreamsTest(FleetTest):
    SPEC = replace(
        FleetTest.SPEC, entries=2, runners=2, time_scale=2.0, instance_settings=FAST_SETTINGS
    )

    def run_streams(self, count: int) -> list[ModelCall]:
        """Run concurrent streams; every third caller disconnects in the middle of its stream."""
        calls = []
        for number in range(count):
            entry = self.fleet.entries[number % 2]
            calls.append(ModelCall(entry, prompt=f"stream {number}", tokens=60, timeout_ms=15_000))
        for number, call in enumerate(calls):
            if number % 3 == 2:
                call.wait_for_tokens(1 + number % 20)
                call.disconnect()
        return [call.wait() for number, call in enumerate(calls) if number % 3 != 2]

    def test_streams_with_cancels_in_between(self):
        """Guard against tokens of other streams, and streams that end because another one ends."""
        for call in self.run_streams(60):
            self.assertTrue(call.is_complete, call.describe() + call.text[-100:])
        for entry in self.fleet.entries:
            wait_until(lambda e=entry: self.in_flight(e) == 0, "ended requests")

    def test_streams_of_faulty_engines(self):
        """Guard against duplicated and lost tokens, and tokens of other streams, under load."""
        for runner in self.fleet.runners:
            runner.set_faults(duplicate_every=7, foreign_every=5, cut_after_tokens=20)
        calls = self.run_streams(30)
        for call in calls:
            self.assert_answer_valid(call)
        self.assertGreater(sum(r.state()["resumes"] for r in self.fleet.runners), 0)
        self.assertGreater(sum(call.is_complete for call in calls), 0)

    def test_streams_of_an_engine_that_is_killed(self):
        """Guard against a cut stream that looks complete when an engine is killed under load."""
        calls = [
            ModelCall(self.fleet.entries[n % 2], prompt=f"cut {n}", tokens=200, timeout_ms=15_000)
            for n in range(20)
        ]
        for call in calls:
            call.wait_for_tokens()
        self.runner.kill()
        time.sleep(0.2)
        self.fleet.restart_runner(0)
        for call in calls:
            self.assert_answer_valid(call)
        cut = sum(not call.is_end_received for call in calls)
        self.assertTrue(0 < cut < 20, f"{cut} of 20 streams were cut")
