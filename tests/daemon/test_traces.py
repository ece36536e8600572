"""Tests of the spans of recent requests that an instance keeps."""

import json
import unittest
from dataclasses import replace

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.timers import TimerQueue
from ibispaddle_daemon.traces import RecentTraces
from ibispaddle_daemon.tracing import Tracing
from opentelemetry.trace import Status, StatusCode

from tests.failures.support import API_KEY, FleetTest
from tests.support.operators import invoke
from tests.support.waiting import wait_until


class RecentTracesTest(unittest.TestCase):
    def setUp(self):
        clock = ManualClock()
        self.tracing = Tracing("i", "dc", "", clock, TimerQueue(clock))

    def request(self, request_id, end=True):
        span = self.tracing.start_request("POST /v1/completions", ())
        span.set_attribute("ibispaddle.request_id", request_id)
        call = self.tracing.start_call(span, "POST /v1/completions")
        call.set_attribute("ibispaddle.upstream", "r")
        call.set_status(Status(StatusCode.ERROR, "the engine quotes the prompt"))
        if end:
            call.end()
        span.end()
        return call

    def keep(self, number, **limits):
        recent = RecentTraces("i", **limits)
        self.tracing.recent_traces.on_start, self.tracing.recent_traces.on_end = (
            recent.on_start,
            recent.on_end,
        )
        for n in range(number):
            self.request(f"i-{n}")
        return recent

    def test_oldest_traces_are_dropped_above_either_limit(self):
        """Guard against unlimited memory use, by number or by size of traces."""
        recent = self.keep(20, max_traces=5)
        self.assertEqual((len(recent), recent.get("i-14")), (5, None))
        one = recent.bytes_kept // 5
        recent = self.keep(20, max_bytes=3 * one + 10)
        self.assertEqual(len(recent), 3)
        self.assertIsNotNone(recent.get("i-19"))
        self.assertLessEqual(recent.bytes_kept, 3 * one + 10)

    def test_call_that_ends_after_its_request_is_added(self):
        """Guard against a missing attempt that ends after its caller was answered."""
        self.request("i-1", end=False).end()
        _, call = json.loads(self.tracing.recent_traces.get("i-1"))["spans"]
        self.assertEqual(call["upstream"], "r")

    def test_text_of_an_upstream_is_not_kept(self):
        """Guard against storing prompt content that an upstream quotes in its error."""
        self.request("i-1")
        self.assertNotIn(b"prompt", self.tracing.recent_traces.get("i-1"))


class TraceCommandTest(FleetTest):
    SPEC = replace(FleetTest.SPEC, entries=2, runners=2)

    def trace(self, request_id, entry, *options):
        return invoke(entry, "trace", request_id, *options)

    def test_retried_request_is_shown_by_every_instance(self):
        """Guard against a trace that only the instance that handled the request can show."""
        traces = []

        def is_retried():
            self.runner.set_faults(reject=1)
            call = self.call(prompt=f"secret prompt {len(traces)}").wait()
            found = self.trace(call.headers["x-request-id"], self.fleet.entries[1], "--json")
            self.assertIsNone(found.exception, found.output)
            traces.append(json.loads(found.output))
            return len(traces[-1]["spans"]) == 3

        wait_until(is_retried, "a rejected attempt", timeout_s=20)
        root, first, second = traces[-1]["spans"]
        self.assertEqual((root["code"], root["attempts"]), ("ok", 2))
        self.assertEqual((first["upstream"], first["outcome"]), (self.runner.name, "rejected"))
        self.assertEqual(second["outcome"], "completed")
        shown = self.trace(traces[-1]["request_id"], self.entry).output
        for secret in ("secret prompt", API_KEY):
            self.assertNotIn(secret, shown + json.dumps(traces))

    def test_unknown_request_is_an_error(self):
        """Guard against an empty trace for a request that is unknown or no longer kept."""
        for entry in self.fleet.entries:
            found = self.trace("entry.1-0123abcd-77", entry)
            self.assertIn("trace_not_kept", str(found.exception))


if __name__ == "__main__":
    unittest.main()
