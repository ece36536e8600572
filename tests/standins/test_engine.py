"""Tests of the engine stand-in as a process."""

import contextlib
import http.client
import threading
import time
import unittest

from ibispaddle_bench.processes import ManagedProcess, start_stand_in
from ibispaddle_standins.answers import find_answer_error

from ..support.http import EventStream, call
from ..support.waiting import wait_until

COMPLETIONS = "/v1/completions"


class EngineCase(unittest.TestCase):
    options: tuple[str, ...] = ()

    def setUp(self):
        self.engine = self.start(*self.options)
        self.port = self.engine.port

    def start(self, *options: str) -> ManagedProcess:
        defaults = ("--prefill-rate", "1e6", "--decode-rate", "1000", "--load-lag-ms", "0")
        engine = start_stand_in("engine", *defaults, *options)
        self.addCleanup(engine.kill)
        return engine

    def body(self, prompt, tokens=10, **fields):
        return {"model": "m", "prompt": prompt, "max_tokens": tokens} | fields


class AnswerTest(EngineCase):
    def test_stream_holds_every_token_of_its_own_prompt(self):
        """Guard against completions in which tokens of another prompt go unnoticed."""
        body = {"model": "m", "messages": [{"role": "user", "content": "abc"}], "max_tokens": 20}
        headers = {"X-Request-Id": "r1"}
        path = "/v1/chat/completions"
        with EventStream(self.port, path, body | {"stream": True}, headers) as stream:
            events = list(stream)
            self.assertTrue(stream.done)
            self.assertEqual(stream.response.headers["X-Request-Id"], "r1")
            boot = stream.response.headers["X-Engine-Boot"]
        choices = [event["choices"][0] for event in events]
        self.assertEqual([choice["token_index"] for choice in choices], list(range(20)))
        self.assertEqual(choices[-1]["finish_reason"], "stop")
        self.assertEqual(len({event["id"] for event in events}), 1)
        text = "".join(choice["delta"]["content"] for choice in choices)
        self.assertEqual(find_answer_error(text, "abc", 20), "")
        self.assertEqual(find_answer_error(text, "abd", 20), "token 0 belongs to another prompt")
        self.assertEqual(find_answer_error(text, "abc", 21), "20 tokens instead of 21")
        self.assertEqual(boot, self.engine.state()["boot_id"])

    def test_whole_answer_has_usage(self):
        """Guard against usage that doesn't match the daemon's token estimate."""
        answer = call(self.port, "POST", COMPLETIONS, self.body("x" * 41)).json
        self.assertEqual(find_answer_error(answer["choices"][0]["text"], "x" * 41, 10), "")
        self.assertEqual(answer["usage"]["prompt_tokens"], 11)
        self.assertEqual(answer["usage"]["completion_tokens"], 10)

    def test_faulty_streams_are_detected(self):
        """Guard against stream faults that a client can't detect."""
        expected = {
            "skip_every": "token 4 stands at position 3",
            "duplicate_every": "token 3 stands at position 4",
            "foreign_every": "token 4 belongs to another prompt",
        }
        for fault, message in expected.items():
            with self.subTest(fault):
                self.engine.set_faults(**{fault: 4})
                body = self.body("abc", stream=True)
                with EventStream(self.port, COMPLETIONS, body) as stream:
                    self.assertEqual(find_answer_error(stream.text(), "abc", 10), message)
                self.engine.set_faults(**{fault: None})

    def test_unknown_fault_is_refused(self):
        """Guard against tests that misspell a fault and pass without it."""
        self.assertEqual(call(self.port, "POST", "/admin/faults", {"freez": True}).status, 400)


class LifeCycleTest(EngineCase):
    options = ("--decode-rate", "100", "--resume-window-ms", "1500")

    def test_cancel_before_any_work_proves_that_nothing_ran(self):
        """Guard against a wrong `ran` in the response to a cancel request."""
        self.engine.set_faults(freeze="tokens")
        conn = http.client.HTTPConnection("127.0.0.1", self.port)
        self.addCleanup(conn.close)
        conn.request("POST", COMPLETIONS, b'{"model":"m","prompt":"p"}', {"X-Request-Id": "a"})
        wait_until(lambda: self.engine.state()["accepted"] == 1)
        cancelled = call(self.port, "POST", "/v1/cancel", {"request_id": "a"}).json
        self.assertEqual(cancelled, {"cancelled": True, "ran": False})
        self.assertEqual(conn.getresponse().status, 409)
        self.engine.set_faults(freeze=False)
        done = call(self.port, "POST", COMPLETIONS, self.body("p", 1), {"X-Request-Id": "b"})
        self.assertEqual(done.status, 200)
        again = call(self.port, "POST", "/v1/cancel", {"request_id": "b"}).json
        self.assertEqual(again, {"cancelled": False, "ran": True})
        unknown = call(self.port, "POST", "/v1/cancel", {"request_id": "c"}).json
        self.assertEqual(unknown, {"cancelled": False, "ran": True})

    def test_cut_stream_resumes_at_the_exact_token(self):
        """Guard against a resume that repeats or skips tokens."""
        self.engine.set_faults(cut_after_tokens=5)
        body, headers = self.body("abc", 30, stream=True), {"X-Request-Id": "r"}
        events = []
        with EventStream(self.port, COMPLETIONS, body, headers) as stream:
            with contextlib.suppress(http.client.IncompleteRead, ConnectionError):
                events.extend(stream)
            self.assertFalse(stream.done)
        self.assertEqual(len(events), 5)
        self.engine.set_faults(cut_after_tokens=None)
        resume = {"request_id": "r", "from_token": 5, "chat": False}
        with EventStream(self.port, "/v1/resume", resume) as stream:
            events.extend(stream)
            self.assertTrue(stream.done)
        self.assertEqual(len({event["id"] for event in events}), 1)
        text = "".join(event["choices"][0]["text"] for event in events)
        self.assertEqual(find_answer_error(text, "abc", 30), "")

    def test_unread_sequence_ends_and_frees_its_memory(self):
        """Guard against memory that stays in use after the client has disconnected."""
        with EventStream(self.port, COMPLETIONS, self.body("abc", 100_000, stream=True)) as stream:
            next(iter(stream))
            self.assertEqual(self.engine.state()["kv_tokens_used"], 100_001)
        wait_until(lambda: self.engine.state()["kv_tokens_used"] == 0)
        self.assertEqual(self.engine.state()["running"], 0)

    def test_marked_prompt_crashes_the_engine_after_its_tokens(self):
        """Guard against a crash fault that leaves the process running."""
        self.engine.set_faults(crash_marker="poison", crash_after_tokens=3)
        self.assertEqual(call(self.port, "POST", COMPLETIONS, self.body("harmless")).status, 200)
        tokens = 0
        with EventStream(self.port, COMPLETIONS, self.body("a poison b", 50, stream=True)) as s:
            try:
                for _ in s:
                    tokens += 1
            except (http.client.IncompleteRead, ConnectionError):
                pass
        self.assertGreaterEqual(tokens, 3)
        self.assertEqual(self.engine.popen.wait(5), 70)
        self.assertFalse(s.done)

    def test_frozen_engine_keeps_its_connections(self):
        """Guard against a freeze that closes connections, like a crash."""
        with EventStream(self.port, COMPLETIONS, self.body("abc", 60, stream=True)) as stream:
            events = iter(stream)
            next(events)
            self.engine.set_faults(freeze=True)
            with self.assertRaises(TimeoutError):
                call(self.port, "GET", "/load", timeout_s=0.3)
            before = self.engine.state()["tokens_generated"]
            time.sleep(0.2)
            self.assertEqual(self.engine.state()["tokens_generated"], before)
            self.engine.set_faults(freeze=False)
            self.assertEqual(len(list(events)), 59)


class SchedulingTest(EngineCase):
    options = ("--prefill-rate", "100000", "--max-batch", "4", "--kv-tokens", "60000")

    def first_tokens(self, requests):
        """Send requests in order and return their names in the order of their first tokens."""
        order = []
        threads = []
        for name, prompt, priority in requests:
            body = self.body(prompt, 2, stream=True)
            headers = {"X-Priority": str(priority), "X-Request-Id": name}

            def read(name=name, body=body, headers=headers):
                with EventStream(self.port, COMPLETIONS, body, headers) as stream:
                    next(iter(stream))
                    order.append(name)
                    list(stream)

            accepted = self.engine.state()["accepted"]
            threads.append(threading.Thread(target=read))
            threads[-1].start()
            wait_until(lambda seen=accepted: self.engine.state()["accepted"] > seen)
        for thread in threads:
            thread.join(20)
        return order

    def test_higher_priority_overtakes_a_long_prefill(self):
        """Guard against an engine stand-in that ignores priorities."""
        requests = [("long", "l" * 160_000, 5), ("short", "s" * 400, 0)]
        self.assertEqual(self.first_tokens(requests), ["short", "long"])

    def test_equal_priority_keeps_the_order_of_arrival(self):
        """Guard against a nondeterministic order."""
        # The prefill of the second prompt takes 100 ms, which separates the two first tokens.
        requests = [("first", "l" * 160_000, 5), ("second", "s" * 40_000, 5)]
        self.assertEqual(self.first_tokens(requests), ["first", "second"])

    def test_memory_limit_makes_prompts_wait(self):
        """Guard against an engine stand-in that exceeds its memory."""
        requests = [("a", "a" * 160_000, 5), ("b", "b" * 160_000, 5)]
        self.assertEqual(self.first_tokens(requests), ["a", "b"])
        self.assertLessEqual(self.engine.state()["kv_tokens_most_used"], 60_000)
        too_long = call(self.port, "POST", COMPLETIONS, self.body("x" * 240_000))
        self.assertEqual(too_long.status, 400)

    def test_cached_prefix_saves_prefill_and_is_published_with_gaps(self):
        """Guard against cache events that don't match the engine's cache."""
        self.engine.set_faults(cache_event_gap_every=4)
        prompt = "p" * 40_960
        first = call(self.port, "POST", COMPLETIONS, self.body(prompt)).json
        second = call(self.port, "POST", COMPLETIONS, self.body(prompt + "q")).json
        self.assertEqual(first["usage"]["prompt_tokens_details"]["cached_tokens"], 0)
        self.assertEqual(second["usage"]["prompt_tokens_details"]["cached_tokens"], 10_240)
        events = call(self.port, "GET", "/cache/events?from=0").json
        self.assertEqual([event["seq"] for event in events["events"]], [0, 1, 2, 4, 5, 6, 8, 9])
        self.assertEqual(events["next_seq"], 10)


class MemoryTest(EngineCase):
    options = ("--kv-tokens", "10000", "--fencing")

    def test_handles_hold_memory_until_they_are_deleted(self):
        """Guard against a reservation that is counted or freed twice."""
        reserve = {"handle": "h", "tokens": 6_000}
        for _ in range(2):
            self.assertEqual(call(self.port, "POST", "/kv/reserve", reserve).status, 200)
        other = call(self.port, "POST", "/kv/reserve", {"handle": "i", "tokens": 6_000})
        self.assertEqual(other.status, 409)
        self.assertEqual(call(self.port, "GET", "/kv").json["handles"], {"h": 6_000})
        self.assertEqual(call(self.port, "GET", "/load").json["kv_tokens_used"], 6_000)
        for expected in (True, False):
            deleted = call(self.port, "DELETE", "/kv/h")
            self.assertEqual((deleted.status, deleted.json["deleted"]), (200, expected))
        self.assertEqual(self.engine.state()["kv_tokens_used"], 0)

    def test_lost_answer_of_a_reservation_keeps_its_effect(self):
        """Guard against a lost response whose operation has no effect."""
        self.engine.set_faults(lose_kv_answers=1)
        reserve = {"handle": "h", "tokens": 6_000}
        with self.assertRaises((http.client.RemoteDisconnected, ConnectionError)):
            call(self.port, "POST", "/kv/reserve", reserve)
        self.assertEqual(self.engine.state()["handles"], {"h": 6_000})
        self.assertEqual(call(self.port, "POST", "/kv/reserve", reserve).status, 200)

    def test_spanning_prompt_uses_its_handles(self):
        """Guard against a prompt that spans engines and allocates memory besides its handles."""
        prompt = "z" * 60_000
        headers = {"X-KV-Segments": "h, other"}
        refused = call(self.port, "POST", COMPLETIONS, self.body(prompt), headers)
        self.assertEqual(refused.status, 409)
        call(self.port, "POST", "/kv/reserve", {"handle": "h", "tokens": 9_000})
        answer = call(self.port, "POST", COMPLETIONS, self.body(prompt), headers)
        self.assertEqual(find_answer_error(answer.json["choices"][0]["text"], prompt, 10), "")
        self.assertEqual(self.engine.state()["kv_tokens_most_used"], 9_000)

    def test_outdated_order_is_refused_only_with_fencing(self):
        """Guard against a fencing check that is missing or can't be disabled."""
        order = {"order_id": "o", "action": "load_model", "args": {"model": "n"}, "fencing": 7}
        self.assertEqual(call(self.port, "POST", "/orders", order).status, 200)
        late = order | {"fencing": 6, "args": {"model": "late"}}
        self.assertEqual(call(self.port, "POST", "/orders", late).status, 409)
        self.assertEqual(call(self.port, "GET", "/load").json["models"], ["m", "n"])
        self.engine.set_faults(fencing=False)
        self.assertEqual(call(self.port, "POST", "/orders", late).status, 200)
        self.assertEqual(call(self.port, "GET", "/load").json["models"], ["late", "m", "n"])


if __name__ == "__main__":
    unittest.main()
