"""Tests of the log, instance list, service and collector stand-ins as processes."""

import http.client
import threading
import time
import unittest

from ibispaddle_bench.processes import start_stand_in

from ..support.http import call
from ..support.waiting import wait_until


class StandInCase(unittest.TestCase):
    kind = ""
    options: tuple[str, ...] = ()

    def setUp(self):
        self.process = start_stand_in(self.kind, *self.options)
        self.addCleanup(self.process.kill)
        self.port = self.process.port


class LogTest(StandInCase):
    kind = "log"
    options = ("--rate-cap", "0")

    def append(self, data):
        return call(self.port, "POST", "/streams/config/records", data)

    def read(self, query):
        return call(self.port, "GET", f"/streams/config/records?{query}").json

    def test_offsets_are_contiguous_and_retention_moves_the_first(self):
        """Guard against readers that can't detect that records were dropped."""
        self.process.set_faults(retention_records=3)
        offsets = [self.append({"n": n}).json["offset"] for n in range(5)]
        self.assertEqual(offsets, [0, 1, 2, 3, 4])
        answer = self.read("from=0&limit=2")
        self.assertEqual((answer["first_offset"], answer["next_offset"]), (2, 5))
        self.assertEqual([record["data"]["n"] for record in answer["records"]], [2, 3])

    def test_lost_answer_keeps_the_record(self):
        """Guard against a lost response whose append has no effect, which wouldn't test retries."""
        self.process.set_faults(lose_answers=1)
        with self.assertRaises((http.client.RemoteDisconnected, ConnectionError)):
            self.append({"id": "x"})
        self.assertEqual(self.read("from=0")["records"][0]["data"], {"id": "x"})
        self.assertEqual(self.append({"id": "y"}).json["offset"], 1)

    def test_outage_and_rate_cap_refuse(self):
        """Guard against a log that never refuses appends, which wouldn't test back-off."""
        self.process.set_faults(outage=True)
        self.assertEqual(self.append({}).status, 503)
        self.process.set_faults(outage=False, rate_cap=1)
        statuses = [self.append({}).status for _ in range(5)]
        self.assertEqual(statuses[0], 200)
        self.assertIn(429, statuses)
        self.assertEqual(self.append([]).status, 400)

    def test_long_poll_returns_with_the_next_record(self):
        """Guard against a long poll that waits for its timeout although a record arrived."""
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.read("from=0&wait_ms=15000")))
        started = time.monotonic()
        thread.start()
        self.append({"n": 1})
        thread.join(10)
        self.assertLess(time.monotonic() - started, 10)
        self.assertEqual(answers[0]["records"][0]["data"], {"n": 1})


class InstanceListTest(StandInCase):
    kind = "instances"

    def test_lagging_change_shows_after_its_lag(self):
        """Guard against a list without lag, which wouldn't test stale lists."""
        call(self.port, "PUT", "/admin/entries", {"entries": [{"id": "a"}]})
        self.process.set_faults(lag_ms=60_000)
        call(self.port, "PUT", "/admin/entries", {"entries": []})
        answer = call(self.port, "GET", "/instances").json
        self.assertEqual(answer, {"version": 1, "entries": [{"id": "a"}]})
        call(self.port, "PUT", "/admin/entries", {"entries": [{"id": "b"}], "lag_ms": 0})
        self.assertEqual(call(self.port, "GET", "/instances").json["version"], 1)


class ServiceTest(StandInCase):
    kind = "service"

    def test_runs_are_counted_and_never_deduplicated(self):
        """Guard against a service that deduplicates and so hides a second run."""
        headers = {"Idempotency-Key": "k"}
        for run in (1, 2):
            answer = call(self.port, "POST", "/holds/7", b"{}", headers)
            self.assertEqual(answer.json["run"], run)
        state = self.process.state()
        self.assertEqual(state["most_runs_of_a_key"], 2)
        self.assertEqual(
            state["runs"], [{"key": "k", "method": "POST", "path": "/holds/7", "count": 2}]
        )

    def test_call_runs_although_its_caller_left(self):
        """Guard against a service that cancels a call when its connection closes."""
        self.process.set_faults(delay_ms=300)
        with self.assertRaises(TimeoutError):
            call(self.port, "POST", "/holds/7", b"{}", timeout_s=0.1)
        wait_until(lambda: self.process.state()["total_runs"], "the run", timeout_s=5)
        self.assertEqual(self.process.state()["total_runs"], 1)


class CollectorTest(StandInCase):
    kind = "collector"

    def test_spans_are_kept_with_their_resource(self):
        """Guard against spans that can't be attributed to an instance."""
        export = {
            "resourceSpans": [
                {
                    "resource": {"attributes": [{"key": "service.instance.id"}]},
                    "scopeSpans": [{"spans": [{"traceId": "1", "name": "hop"}]}],
                }
            ]
        }
        self.assertEqual(call(self.port, "POST", "/v1/traces", export).status, 200)
        self.assertEqual(call(self.port, "POST", "/v1/traces", {"x": 1}).status, 400)
        span = self.process.state()["spans"][0]
        self.assertEqual(span["name"], "hop")
        self.assertEqual(span["resource"], export["resourceSpans"][0]["resource"])


if __name__ == "__main__":
    unittest.main()
