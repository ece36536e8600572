"""Tests of two attempts in flight: which output the caller gets, and what it is told if both fail.

The load pattern is a stream of requests while one upstream is slow, silent or fails.
"""

import unittest

from ibispaddle_core.forwarding import DrainAdmission
from ibispaddle_core.quarantine import CrashReport, Death
from ibispaddle_core.routing import Route, RoutingConfig, Target
from ibispaddle_core.scheduling import (
    AttemptCounts,
    FleetAttempts,
    FleetPaces,
    PeerWork,
    RetryPolicy,
)
from ibispaddle_core.settings import FleetConfig
from ibispaddle_daemon.events import CallFailure, HttpCallError

from .fakes import ForwarderFixture, streams
from .test_part_guard import FakeDetector

UPSTREAMS = ("u1", "u2", "u3", "u4")
# Multiple of the predicted times that all measured requests have taken; an attempt is late soon after.
USUAL_RATIO = 1.0
LATE_MS = 200
RESET = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)
EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(4)]


def call_route(**values: object) -> Route:
    """Return a route of repeatable requests whose responses are not streams."""
    fields: dict = {"timeout_ms": 9_000, "ttft_objective_ms": 300, "max_runs": 2}
    policy = RetryPolicy.BEFORE_OUTPUT
    return Route("r", "h", "/", (Target("s"),), retry_policy=policy, **fields | values)


class HedgesTest(unittest.TestCase):
    def start(self, route: Route | None = None) -> None:
        """Send a request whose first attempt is late."""
        route = route or streams(RetryPolicy.ANY_TIME, max_runs=3, timeout_ms=9_000)
        self.fixture = ForwarderFixture(route, UPSTREAMS)
        scheduling = {"hedge_fraction": 0.5, "retry_budget": 1.0, "placement": "least_work"}
        models = {"s": {"call_ms": 50.0}}
        fleet = FleetConfig.from_document({"models": models, "scheduling": scheduling})
        self.forwarder = self.fixture.forwarder
        self.forwarder.replace_config(RoutingConfig(2, (route,)), fleet)
        kind = "stream" if route.streams else "call"
        samples = [(f"s/{kind}/short", USUAL_RATIO)] * 200
        self.forwarder.scheduler.hedging.merge_samples(samples, self.fixture.clock.now_ms())
        # The instance works alone, and has sent some requests before.
        for _ in range(10):
            self.forwarder.scheduler.hedging._hedge_budget.count_first_attempt(0)
        self.exchange = self.fixture.send()

    def hedge(self, route: Route | None = None) -> None:
        self.start(route)
        self.fixture.advance(LATE_MS)
        self.assertEqual(len(self.calls), 2)

    @property
    def calls(self) -> list:
        return self.fixture.client.calls

    def is_cancelled(self, number: int) -> bool:
        return self.calls[number].call_id in self.fixture.client.cancelled

    def answer(self, number: int, data: bytes, is_complete: bool = False) -> None:
        self.fixture.answer(data, number=number, is_complete=is_complete)

    def refuse(self, number: int) -> None:
        """Simulate an upstream that states that it did not run the request."""
        call = self.calls[number]
        call.sink.call_head(call.call_id, 503, (("not-run", "1"),))
        self.fixture.flush()

    def fail(self, number: int) -> None:
        call = self.calls[number]
        call.sink.call_ended(call.call_id, RESET)
        self.fixture.flush()

    def test_first_event_wins_and_the_other_is_cancelled(self) -> None:
        """Guards against the output of two runs in one stream (ORDER), and work for nobody."""
        for winner in (0, 1):
            with self.subTest(winner=winner):
                self.hedge()
                self.answer(winner, EVENTS[0])
                self.assertEqual([self.is_cancelled(n) for n in (0, 1)], [winner == 1, winner == 0])
                # What the loser has sent meanwhile is not passed on.
                self.answer(1 - winner, EVENTS[0] + EVENTS[1], is_complete=True)
                self.answer(winner, EVENTS[1], is_complete=True)
                self.assertEqual(self.exchange.sent, EVENTS[0] + EVENTS[1])
                self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))
                self.assertEqual(self.forwarder.scheduler.active, 0)

    def test_first_complete_response_of_a_call_wins(self) -> None:
        """Guards against a second copy of an answer that reaches a caller (MIXED)."""
        self.hedge(call_route())
        self.answer(0, b"slow")  # Incomplete, so the other attempt goes on.
        self.assertFalse(self.is_cancelled(1))
        self.answer(1, b"fast", is_complete=True)
        self.answer(0, b"er", is_complete=True)
        self.assertEqual((self.exchange.sent, self.exchange.ended), (b"fast", 1))
        self.assertTrue(self.is_cancelled(0))
        self.assertEqual(self.forwarder.scheduler.active, 0)

    def test_head_of_the_loser_stays_here(self) -> None:
        """Guards against the receipt of one upstream on the output of another (MIXED)."""
        self.hedge()
        slow, fast = self.calls
        slow.sink.call_head(slow.call_id, 200, (("Receipt", "slow"),))
        fast.sink.call_head(fast.call_id, 200, (("Receipt", "fast"),))
        fast.sink.call_data(fast.call_id, EVENTS[0])
        self.fixture.flush()
        self.assertEqual(self.exchange.answer_headers, (("Receipt", "fast"),))

    def test_winner_that_breaks_off_is_resumed(self) -> None:
        """Guards against a broken stream because the loser was cancelled before the winner died."""
        self.hedge()
        self.answer(1, EVENTS[0])
        self.fail(1)
        self.assertEqual(len(self.calls), 3)
        self.answer(2, EVENTS[0] + EVENTS[1], is_complete=True)
        self.assertEqual(self.exchange.sent, EVENTS[0] + EVENTS[1])
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))

    def test_winner_that_breaks_off_without_a_run_left(self) -> None:
        """Guards against a broken-off answer that looks complete, on a route with two attempts."""
        self.hedge(streams(RetryPolicy.ANY_TIME, max_runs=2, timeout_ms=9_000))
        self.answer(1, EVENTS[0])
        self.fail(1)
        self.assertEqual(len(self.calls), 2)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (0, 1))

    def test_failure_of_one_leaves_the_other(self) -> None:
        """Guards against an error for a caller whose other attempt is about to answer."""
        for number in (0, 1):
            with self.subTest(number=number):
                self.hedge()
                self.fail(number)
                self.assertEqual((len(self.calls), self.exchange.ended), (2, 0))
                self.answer(1 - number, EVENTS[0], is_complete=True)
                self.assertEqual((self.exchange.status, self.exchange.ended), (200, 1))

    def test_not_run_is_told_only_if_neither_ran(self) -> None:
        """Guards against 503 for a request that one of two upstreams may have run (REFUSED)."""
        route = streams(RetryPolicy.ANY_TIME, max_runs=2, timeout_ms=9_000)
        for first, second, status in (
            (self.refuse, self.fail, 502),
            (self.fail, self.refuse, 502),
        ):
            for order in ((0, 1), (1, 0)):
                with self.subTest(status=status, order=order):
                    self.hedge(route)
                    first(order[0])
                    second(order[1])
                    # The refusal is no run, so another attempt is allowed; it fails as well.
                    while not self.exchange.ended:
                        self.fail(len(self.calls) - 1)
                    self.assertEqual(self.exchange.status, status)

    def test_both_refuse(self) -> None:
        """Guards against an answer that promises less than the upstreams have promised."""
        self.hedge()
        self.refuse(0)
        self.fixture.list_upstreams()
        self.refuse(1)
        self.assertEqual((self.exchange.status, self.exchange.ended), (503, 1))

    def test_caller_disconnects(self) -> None:
        """Guards against upstreams at work for a caller that has left (GONE)."""
        self.hedge()
        self.exchange.on_closed()
        self.assertTrue(self.is_cancelled(0) and self.is_cancelled(1))
        self.assertEqual(self.forwarder.scheduler.active, 0)

    def test_deadline_while_both_are_silent(self) -> None:
        """Guards against attempts that outlive their caller when both upstreams are silent."""
        self.hedge()
        self.fixture.advance(9_000)
        self.assertTrue(self.is_cancelled(0) and self.is_cancelled(1))
        self.assertEqual((self.exchange.status, self.exchange.ended), (504, 1))

    def test_instance_ends(self) -> None:
        """Guards against a planned stop that leaves attempts behind or promises 'not run'."""
        self.hedge()
        self.forwarder.end_requests()
        self.assertTrue(self.is_cancelled(0) and self.is_cancelled(1))
        self.assertEqual((self.exchange.status, self.exchange.ended), (502, 1))

    def test_no_hedge_during_a_drain(self) -> None:
        """Guards against attempts that outlast a planned stop."""
        self.start()
        self.forwarder.drain_admission = DrainAdmission(10_000, 20_000)
        self.fixture.advance(LATE_MS)
        self.assertEqual(len(self.calls), 1)

    def test_no_hedge_of_a_suspected_request(self) -> None:
        """Guards against a prompt that crashes twice as many upstreams."""
        self.start()
        parts = ("a part",)
        self.forwarder._requests[next(iter(self.forwarder._requests))].parts = parts
        self.forwarder.part_guard.merge([CrashReport(Death("x", "b"), "other request", parts)])
        self.fixture.advance(LATE_MS)
        self.assertEqual(len(self.calls), 1)

    def test_crash_is_attributed_to_its_own_attempt(self) -> None:
        """Guards against a crash that goes unseen because the other attempt's upstream has answered."""
        self.hedge()
        detector = self.forwarder.part_guard._crashes = FakeDetector()
        first, second = self.forwarder._requests[
            next(iter(self.forwarder._requests))
        ].in_flight.values()
        self.fail(0)
        self.assertEqual(len(detector.callbacks), 1)
        self.answer(1, EVENTS[0])
        self.fixture.advance(1_000)
        self.answer(1, EVENTS[1])
        self.assertEqual((first.is_output_settled, second.is_output_settled), (False, True))
        detector.answer(has_crashed=True)  # Reported after the other attempt has won.
        self.answer(1, EVENTS[2], is_complete=True)
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))

    def test_output_while_the_counts_are_fetched(self) -> None:
        """Guards against a second attempt after the first output, while a hub is slow to respond."""
        self.start()
        waiting: list = []
        self.forwarder.before_selection = lambda callback, service: waiting.append(callback)
        self.fixture.advance(LATE_MS)
        self.answer(0, EVENTS[0])
        self.assertEqual(len(waiting), 1)
        waiting[0]()
        self.assertEqual(len(self.calls), 1)

    def test_budget_is_reported_at_once(self) -> None:
        """Guards against a hedge that the other instances learn of only when it has ended."""
        self.start()
        changes: list[bool] = []
        self.forwarder.on_work_changed = changes.append
        self.fixture.advance(LATE_MS)
        self.assertEqual(changes, [True])
        self.assertEqual(self.forwarder.scheduler.attempt_totals["s"].hedges, 1)

    def test_others_have_used_the_fraction(self) -> None:
        """Guards against hedges of an instance whose hub knows that the fleet has had enough."""
        self.start()
        used = FleetAttempts({}, 2, hedging=AttemptCounts(first=100, hedges=60))
        self.forwarder.update_fleet_work(PeerWork("fleet"), used, FleetPaces(None))
        self.fixture.advance(LATE_MS)
        self.assertEqual(len(self.calls), 1)

    def test_loser_is_not_counted_as_failed(self) -> None:
        """Guards against an upstream that is avoided because one of its answers was not needed."""
        self.hedge()
        second = self.calls[1].url
        self.answer(0, EVENTS[0], is_complete=True)
        loser = next(name for name in UPSTREAMS if f"{name}:" in second)
        self.assertFalse(self.forwarder.scheduler.health.has_record(loser))


if __name__ == "__main__":
    unittest.main()
