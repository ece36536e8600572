"""Tests of the component `UsageReporter` with a fake log."""

import json
import unittest
from types import SimpleNamespace

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.settings import FleetConfig, InstanceSettings
from ibispaddle_daemon.account import ROLLUP_CHECKS_PER_RETENTION, UsageReporter
from ibispaddle_daemon.events import CallFailure, HttpCallError, call_completed, log_appended
from ibispaddle_daemon.platform_log import LogError, LogFailure

RETENTION_MS = 1_600_000
CHECK_MS = RETENTION_MS // ROLLUP_CHECKS_PER_RETENTION
FLUSH = {"instance_boot": "entry.1-1", "counters": {"w": [1, 2, 3, 4], "removed": [5, 6, 7, 8]}}


class FakeTimers:
    def __init__(self, clock):
        self.clock = clock
        self.due = []

    def after(self, delay_ms, callback):
        self.due.append((self.clock.now_ms() + delay_ms, callback))

    def advance(self, delta_ms):
        self.clock.advance(delta_ms)
        ready = [callback for time_ms, callback in self.due if time_ms <= self.clock.now_ms()]
        self.due = [item for item in self.due if item[0] > self.clock.now_ms()]
        for callback in ready:
            callback()


class FakeLog(BaseComponent):
    """Respond to reads after a delay, and store appended records."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.records = []
        self.max_records = 500
        self.reads = self.delay_ms = self.lost_answers = 0

    @handler("http_call", channel="*")
    def _on_http_call(self, call):
        self.reads += 1
        self.clock.advance(self.delay_ms)
        query = dict(part.split("=") for part in call.url.partition("?")[2].split("&"))
        start, limit = int(query["from"]), int(query["limit"])
        if limit > self.max_records:
            error = HttpCallError(CallFailure.TOO_LARGE, "", True)
            self.fire(call_completed(call.call_id, 0, (), b"", error), call.channel)
            return
        page = {
            "first_offset": 0,
            "next_offset": len(self.records),
            "records": self.records[start : start + limit],
        }
        body = json.dumps(page).encode()
        self.fire(call_completed(call.call_id, 200, (), body, None), call.channel)

    @handler("log_append", channel="*")
    def _on_log_append(self, stream, data, token, channel):
        self.append(msgspec.to_builtins(data))
        error = LogError(LogFailure.LOST, "no answer") if self.lost_answers else None
        self.lost_answers = max(0, self.lost_answers - 1)
        self.fire(log_appended(token, len(self.records) - 1, error), channel)

    def append(self, data):
        offset, time_ms = len(self.records), self.clock.wall_ms()
        self.records.append({"offset": offset, "time_ms": time_ms, "data": data})


class FakeExchange:
    def respond(self, status, headers, body):
        self.status, self.body = status, json.loads(body)


class AccountComponentTest(unittest.TestCase):
    def start(self, ranked):
        self.clock = ManualClock()
        self.timers = FakeTimers(self.clock)
        self.log = FakeLog(self.clock)
        self.paths = {}
        settings = InstanceSettings(
            instance_id="entry.1",
            data_centre="dc",
            log_url="http://127.0.0.1:1",
            list_url="http://127.0.0.1:1",
            log_retention_ms=RETENTION_MS,
        )
        config = FleetConfig.from_document(
            {"neighbours": {"n": {}}, "workspaces": {"w": {"neighbour": "n"}}}
        )
        operators = SimpleNamespace(
            add_endpoint=lambda method, path, answer: self.paths.update({(method, path): answer})
        )
        view = SimpleNamespace(ranked_instances=lambda now_ms: ranked)
        owner = SimpleNamespace(config=config)
        account = UsageReporter(settings, operators, owner, view, 1, self.clock, self.timers)
        account.register(self.log)
        account._on_started()

    def flush(self):
        while len(self.log):
            self.log.flush()

    def ask(self):
        exchange = FakeExchange()
        self.paths["GET", "/operator/usage"](exchange)
        self.flush()
        return exchange

    def rollups_after_checks(self, checks):
        for _ in range(checks):
            self.timers.advance(CHECK_MS)
            self.flush()
        return sum("rollup_part" in record["data"] for record in self.log.records)

    def test_rank_0_appends_a_rollup_each_quarter_of_the_retention(self):
        """Guard against totals that are lost with old records, and against unnecessary rollups."""
        self.start(("entry.1", "entry.2"))
        self.log.append(FLUSH)
        self.assertEqual(self.rollups_after_checks(1), 1)
        self.assertEqual(self.rollups_after_checks(4), 1)
        # At least three in the retention, and at most one per quarter of it.
        self.assertIn(self.rollups_after_checks(ROLLUP_CHECKS_PER_RETENTION), (4, 5))

    def test_parts_are_paced_and_sent_again_when_the_response_is_lost(self):
        """Guard against a rollup that overloads the log or is never completed."""
        self.start(("entry.1",))
        counters = {f"workspace-{number}": [2**60] * 4 for number in range(9_000)}
        self.log.append({"instance_boot": "entry.1-1", "counters": counters})
        self.log.lost_answers = 1
        self.assertEqual(self.rollups_after_checks(1), 1)
        for _ in range(59):
            self.timers.advance(1_000)
            self.flush()
        parts = [r["data"]["rollup_part"] for r in self.log.records[1:]]
        self.assertEqual([part.get("number", 0) for part in parts], [0, 0, 1, 2, 3])
        self.assertEqual({part["count"] for part in parts}, {4})
        times = [record["time_ms"] for record in self.log.records[1:]]
        self.assertEqual({b - a for a, b in zip(times, times[1:], strict=False)}, {10_000})

    def test_page_that_is_too_large_is_read_in_smaller_ones(self):
        """Guard against rollup parts that make the pages of the stream too large to read."""
        self.start(())
        for _ in range(3):
            self.log.append(FLUSH)
        self.log.max_records = 1
        self.assertEqual(self.ask().body["as_of"], 2)

    def test_other_ranks_neither_append_nor_read(self):
        """Guard against a permanent load at all instances."""
        self.start(("entry.0", "entry.1"))
        self.log.append(FLUSH)
        self.assertEqual(self.rollups_after_checks(ROLLUP_CHECKS_PER_RETENTION), 0)
        self.assertEqual(self.log.reads, 0)

    def test_totals_name_the_neighbour_unless_the_workspace_was_removed(self):
        """Guard against usage that disappears when its workspace is removed."""
        self.start(())
        self.log.append(FLUSH)
        answer = self.ask()
        self.assertEqual(answer.status, 200)
        rows = [(r["workspace"], r["neighbour"], r["requests"]) for r in answer.body["workspaces"]]
        self.assertEqual(rows, [("removed", None, 5), ("w", "n", 1)])
        (total,) = answer.body["neighbours"]
        self.assertEqual((total["neighbour"], total["engine_ms"]), ("n", 4))

    def test_long_read_is_refused_and_continued_by_the_next_request(self):
        """Guard against a request without a response, and reads that never reach the end."""
        self.start(())
        for _ in range(500):
            self.log.append(FLUSH)
        self.log.delay_ms = 4_000
        self.assertEqual(self.ask().status, 503)
        self.log.delay_ms = 0
        answer = self.ask()
        self.assertEqual((answer.status, answer.body["as_of"]), (200, 499))


if __name__ == "__main__":
    unittest.main()
