"""Tests of service calls: repeatable ones with real processes, others with scripted claims."""

import json
import unittest
import urllib.error
import urllib.request

from circuits import BaseComponent, handler
from ibispaddle_bench.processes import call_json
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.idempotency import (
    CallCompleted,
    CallNotSent,
    CallUnknown,
    Outcome,
    Reason,
    Refuse,
    Replay,
    Send,
)
from ibispaddle_core.membership import ListEntry, MemberKind
from ibispaddle_core.runstate import RunState
from ibispaddle_core.settings import load_fleet
from ibispaddle_daemon.events import (
    CallFailure,
    HttpCallError,
    call_completed,
    claim_decided,
    configuration_changed,
    exchange_started,
    find_header,
    list_changed,
)
from ibispaddle_daemon.metrics import Metrics
from ibispaddle_daemon.services import ServiceProxy
from ibispaddle_daemon.timers import TimerQueue
from ibispaddle_daemon.tracing import Tracing

from tests.support.broken_heads import BROKEN_HEADS
from tests.support.upstreams import RawUpstream, read_request
from tests.support.waiting import wait_until

from .processes import KEY, Fleet, fleet_document, service_entry


class RepeatableCallTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet(0, services=2))

    def call(self, path, method="GET", body=None, **headers):
        request = urllib.request.Request(
            f"{self.fleet.instance.url}/services/shop{path}",
            body,
            {"Authorization": f"Bearer {KEY}", **headers},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status, response.headers, json.loads(response.read() or b"null")
        except urllib.error.HTTPError as exc:
            return exc.code, exc.headers, json.loads(exc.read())["error"]

    def test_path_and_response_are_forwarded_unchanged(self):
        """Guard against a changed path, query or response."""
        status, _, answer = self.call("/orders/7?full=1")
        self.assertEqual((status, answer["path"]), (200, "/orders/7?full=1"))
        self.assertEqual(self.call("", "HEAD")[0], 200)

    def test_non_ascii_header_is_forwarded(self):
        """Guard against a call that hangs until its deadline because of a non-ASCII header."""
        self.assertEqual(
            self.call("/x", **{"X-Name": "\u00c5sa", "X-Request-Timeout-Ms": "900"})[0], 200
        )

    def test_call_is_retried_on_another_service_instance(self):
        """Guard against an error although another upstream of the service is available."""
        self.fleet.services[0].set_faults(lose_answers=True)
        try:
            for _ in range(4):
                self.assertEqual(self.call("/x")[0], 200)
        finally:
            self.fleet.services[0].set_faults(lose_answers=None)

    def test_call_to_a_frozen_service_ends_at_the_deadline(self):
        """Guard against a call that never ends."""
        headers = {"X-Request-Timeout-Ms": "300"}
        for service in self.fleet.services:
            service.set_faults(freeze=True)
        try:
            status, _, error = self.call("/x", **headers)
        finally:
            for service in self.fleet.services:
                service.set_faults(freeze=None)
        self.assertEqual((status, error["code"], error["run_state"]), (504, "deadline", "unknown"))

    def test_call_that_is_not_repeatable_needs_a_key(self):
        """Guard against a call with side effects that a retry executes twice."""
        status, _, error = self.call("/deposit", "POST", b"{}")
        self.assertEqual((status, error["code"]), (400, "idempotency_key_required"))
        self.assertEqual(error["run_state"], "not_run")


class BrokenHeadTest(unittest.TestCase):
    def test_response_that_is_not_valid_http(self):
        """Guard against a response that the caller gets although its head is broken."""
        sent = []

        def script(conn, number):
            if read_request(conn)[0]:
                sent.append(BROKEN_HEADS[len(sent) % len(BROKEN_HEADS)])
                conn.sendall(sent[-1] + b"\r\nwhole")

        upstream = RawUpstream(script)
        self.addCleanup(upstream.close)
        fleet = self.enterContext(Fleet(0))
        entries = [service_entry("broken", upstream.address)]
        call_json(f"{fleet.list.url}/admin/entries", {"entries": entries}, method="PUT")
        url = f"{fleet.instance.url}/services/shop/x"
        headers = {"Authorization": f"Bearer {KEY}", "X-Request-Timeout-Ms": "300"}

        def are_all_sent():
            with self.assertRaises(urllib.error.HTTPError) as caught:
                urllib.request.urlopen(urllib.request.Request(url, None, headers), timeout=10)
            self.assertIn(caught.exception.code, (502, 503, 504))
            caught.exception.close()
            return len(sent) >= len(BROKEN_HEADS)

        wait_until(are_all_sent, "a response with each head", timeout_s=60.0)


class FakeExchange:
    """Fake exchange that records the response."""

    arrived_ms = 0

    def __init__(self, method="POST", **headers):
        self.method, self.target, self.path = method, "/services/shop/deposit?x=1", ""
        self.path = self.target.partition("?")[0]
        values = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "k1"} | headers
        self.headers = tuple(values.items())
        self.body = b"{}"
        self.answers = []
        self.on_closed = None

    def header(self, name):
        return find_header(self.headers, name)

    def respond(self, status, headers, body):
        self.answers.append((status, dict(headers), body))


class EventRecorder(BaseComponent):
    """Record the events that the service proxy fires for claims and HTTP calls."""

    channel = "*"

    def __init__(self):
        super().__init__()
        self.claims, self.sent, self.outcomes, self.cancelled = [], [], [], []

    @handler("claim_requested")
    def _on_claim(self, call_id, key, request_hash, deadline_ms, channel):
        self.claims.append((call_id, key, request_hash))

    @handler("claim_finished")
    def _on_finished(self, call_id, outcome):
        self.outcomes.append(outcome)

    @handler("http_call")
    def _on_call(self, call):
        self.sent.append(call)

    @handler("http_cancel")
    def _on_cancel(self, call_id):
        self.cancelled.append(call_id)


class ClaimedCallTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        timers = TimerQueue(self.clock)
        self.recorder = EventRecorder()
        config = load_fleet({"base": fleet_document()})
        tracing = Tracing("i", "dc1", "", self.clock, timers)
        self.services = ServiceProxy("i", config, self.clock, timers, Metrics(), tracing)
        self.root = BaseComponent()
        for component in (timers, self.recorder, tracing, self.services):
            component.register(self.root)
        entry = ListEntry("s1", MemberKind.SERVICE, "127.0.0.1:9", "dc1", service="shop")
        self.fire(list_changed((entry,)), "*")
        self.exchange = FakeExchange()
        self.fire(exchange_started(self.exchange), "services")
        self.call_id = self.recorder.claims[0][0]

    def fire(self, event, channel):
        self.root.fire(event, channel)
        for _ in range(5):
            self.root.flush()

    def decide(self, decision):
        self.fire(claim_decided(self.call_id, decision), "services")

    def complete(self, error=None, status=200):
        call_id = self.recorder.sent[-1].call_id
        headers = (("Content-Type", "text/plain"),)
        self.fire(call_completed(call_id, status, headers, b"done", error), "services")

    def run_state(self):
        return self.exchange.answers[0][1]["X-Run-State"]

    def test_call_is_not_sent_before_its_claim_is_granted(self):
        """Guard against a call that is sent without a claim."""
        self.assertEqual(self.recorder.sent, [])
        self.assertIn("w\x1fshop\x1fk1", self.recorder.claims[0][1])
        self.decide(Send(20_000))
        self.assertEqual(len(self.recorder.sent), 1)
        self.complete()
        self.assertEqual(self.exchange.answers[0][::2], (200, b"done"))
        expected = [CallCompleted(Outcome(200, "text/plain", b"done"))]
        self.assertEqual(self.recorder.outcomes, expected)

    def test_failure_after_bytes_were_sent_is_not_retried(self):
        """Guard against a second execution after a lost response."""
        self.decide(Send(20_000))
        self.complete(HttpCallError(CallFailure.CLOSED, "reset", True))
        self.assertEqual(len(self.recorder.sent), 1)
        self.assertEqual(self.exchange.answers[0][0], 502)
        self.assertEqual(self.run_state(), "unknown")
        self.assertEqual(self.recorder.outcomes, [CallUnknown()])

    def test_failure_before_any_byte_is_retried_and_releases_the_claim(self):
        """Guard against a key that stays claimed although the call was not sent."""
        self.decide(Send(20_000))
        for _ in range(3):
            self.complete(HttpCallError(CallFailure.UNREACHABLE, "refused", False))
        self.assertEqual(len(self.recorder.sent), 3)
        self.assertEqual(self.run_state(), "not_run")
        self.assertEqual(self.recorder.outcomes, [CallNotSent()])

    def test_recorded_response_is_replayed(self):
        """Guard against a retry that executes the call again."""
        self.decide(Replay(Outcome(201, "text/plain", b"first")))
        status, headers, body = self.exchange.answers[0]
        self.assertEqual((status, body, headers["Idempotency-Replayed"]), (201, b"first", "true"))
        self.assertEqual((self.recorder.sent, self.recorder.outcomes), ([], []))

    def test_refused_claim_reports_its_run_state(self):
        """Guard against `not_run` for a call whose first attempt may have run."""
        self.decide(Refuse(RunState.UNKNOWN, Reason.OUTCOME_UNKNOWN))
        self.assertEqual((self.exchange.answers[0][0], self.run_state()), (409, "unknown"))
        self.assertEqual((self.recorder.sent, self.recorder.outcomes), ([], []))

    def test_call_is_not_sent_if_its_claim_is_granted_after_the_deadline(self):
        """Guard against executing a call after its caller got a response that it did not run."""
        self.clock.advance(10_000)
        self.decide(Send(20_000))
        self.assertEqual(self.recorder.sent, [])
        self.assertEqual((self.exchange.answers[0][0], self.run_state()), (504, "not_run"))
        self.assertEqual(self.recorder.outcomes, [CallNotSent()])

    def test_decision_for_a_call_that_ended_releases_the_claim(self):
        """Guard against sending a call that was already refused when the decision arrives."""
        self.decide(Refuse(RunState.NOT_RUN, Reason.LOG_UNAVAILABLE, 1_000))
        self.assertEqual(self.exchange.answers[0][1]["Retry-After"], "1")
        self.decide(Send(20_000))
        self.assertEqual(self.recorder.sent, [])
        self.assertEqual(self.recorder.outcomes, [CallNotSent()])

    def test_calls_stay_in_the_home_of_their_workspace(self):
        """Guard against a call that is retried outside of the regions where it may run."""
        document = fleet_document(
            data_centres={"dc1": {"region": "north"}, "dc2": {"region": "south"}}
        )
        document["workspaces"]["w"]["regions"] = ["south"]
        config = load_fleet({"base": document})
        self.fire(configuration_changed(config, 1), "*")
        entries = tuple(
            ListEntry(name, MemberKind.SERVICE, f"{name}:9", centre, service="shop")
            for name, centre in (("n1", "dc1"), ("s1", "dc2"), ("x1", "dc3"))
        )
        self.fire(list_changed(entries), "*")
        exchange = FakeExchange("GET")
        self.fire(exchange_started(exchange), "services")
        for _ in range(2):
            self.complete(HttpCallError(CallFailure.CLOSED, "reset", True))
        self.assertEqual({call.url.split("/")[2] for call in self.recorder.sent}, {"s1:9"})
        self.fire(list_changed(entries[::2]), "*")
        exchange = FakeExchange("GET")
        self.fire(exchange_started(exchange), "services")
        status, headers, body = exchange.answers[0]
        self.assertEqual((status, headers["X-Run-State"]), (503, "not_run"))
        self.assertEqual(json.loads(body)["error"]["code"], "no_upstream_in_home")


if __name__ == "__main__":
    unittest.main()
