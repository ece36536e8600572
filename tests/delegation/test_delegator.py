"""Tests of requests that an isolated instance sends to other instances."""

import unittest

from ibispaddle_core.hubs import Candidate
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_daemon.delegation.delegator import HOP_MARGIN_MS, RETRY_DELAY_MS
from ibispaddle_daemon.forwarding.hand_over import OFFER_INTERVAL_MS

from tests.delegation.hops import LOST, UNREACHABLE, HopFixture
from tests.forwarding.fakes import TIMEOUT_MS, streams

REQUESTS = 150  # More than an upstream takes at once.
EVENT_1, EVENT_2 = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
FROM_UPSTREAM = (("Receipt", "x"), ("Ibispaddle-Upstream", "u9"))


class HopTest(unittest.TestCase):
    """Callers of an isolated instance get what another instance's upstream answers."""

    def setUp(self) -> None:
        self.use(RetryPolicy.PROVED_NOT_RUN, streams=False)

    def use(self, policy: RetryPolicy, **values: object) -> None:
        self.fixture = HopFixture(streams(policy, **values))

    def answer(self, call, body: bytes, status: int = 200) -> None:
        call.sink.call_head(call.call_id, status, FROM_UPSTREAM)
        call.sink.call_data(call.call_id, body)
        call.sink.call_ended(call.call_id, None)
        self.fixture.flush()

    def test_request_and_response_are_unchanged(self) -> None:
        self.fixture.isolate()
        exchange = self.fixture.send()
        (call,) = self.fixture.client.calls
        self.assertEqual((call.method, call.body), (exchange.method, exchange.body))
        self.assertTrue(call.url.endswith(exchange.target))
        self.assertEqual(
            dict(call.headers),
            {
                **dict(exchange.headers),
                "left": str(TIMEOUT_MS - HOP_MARGIN_MS),
                "Ibispaddle-Delegated-By": "i",
                "Ibispaddle-Config-Version": "1",
                "Ibispaddle-Runs-Left": "1",
            },
        )
        self.answer(call, b"done")
        self.assertEqual((exchange.status, exchange.sent), (200, b"done"))
        self.assertEqual(exchange.answer_headers, (("Receipt", "x"),))

    def test_own_upstreams_are_used_again(self) -> None:
        self.fixture.isolate()
        self.fixture.send()
        self.fixture.is_isolated = False
        self.fixture.send()
        self.assertEqual((len(self.fixture.hops), len(self.fixture.attempts)), (1, 1))

    def test_failure_of_an_upstream_is_passed_on(self) -> None:
        """Guards against a second run at another delegate after an upstream's own error."""
        self.fixture.isolate()
        exchange = self.fixture.send()
        self.answer(self.fixture.hops[0], b"broken", 503)
        self.assertEqual((exchange.status, exchange.sent), (503, b"broken"))
        self.assertEqual(len(self.fixture.hops), 1)

    def test_refused_request_is_sent_elsewhere(self) -> None:
        self.fixture.isolate()
        exchange = self.fixture.send()
        self.fixture.refuse(self.fixture.hops[0], RunState.NOT_RUN, may_ask_another=True)
        self.assertEqual(exchange.status, 0)
        urls = {call.url for call in self.fixture.hops}
        self.assertEqual(urls, {"http://d1:2/x", "http://d2:2/x"})

    def test_unreachable_delegate(self) -> None:
        self.fixture.isolate()
        self.fixture.send()
        self.fixture.fail(self.fixture.hops[0], UNREACHABLE)
        self.assertEqual(len(self.fixture.hops), 2)

    def test_final_refusal_is_passed_on(self) -> None:
        self.fixture.isolate()
        exchange = self.fixture.send()
        self.fixture.refuse(self.fixture.hops[0], RunState.NOT_RUN, False, status=401)
        self.assertEqual((exchange.status, exchange.sent), (401, b"refused"))
        self.assertEqual(exchange.answer_headers, (("retry", "9"),))

    def test_lost_answer_ends_a_request_that_may_run_once(self) -> None:
        self.fixture.isolate()
        exchange = self.fixture.send()
        self.fixture.fail(self.fixture.hops[0], LOST)
        self.assertEqual((exchange.status, len(self.fixture.hops)), (502, 1))

    def test_lost_answer_of_a_request_that_may_run_again(self) -> None:
        self.use(RetryPolicy.BEFORE_OUTPUT, streams=False, max_runs=2)
        self.fixture.isolate()
        exchange = self.fixture.send()
        self.fixture.fail(self.fixture.hops[0], LOST)
        self.assertEqual(dict(self.fixture.hops[1].headers)["Ibispaddle-Runs-Left"], "1")
        self.fixture.fail(self.fixture.hops[1], LOST)
        self.assertEqual((exchange.status, len(self.fixture.hops)), (502, 2))

    def test_stream(self) -> None:
        self.use(RetryPolicy.PROVED_NOT_RUN)
        self.fixture.isolate()
        exchange = self.fixture.send()
        (call,) = self.fixture.hops
        call.sink.call_head(call.call_id, 200, FROM_UPSTREAM)
        call.sink.call_data(call.call_id, EVENT_1 + EVENT_2[:5])
        self.assertEqual(exchange.sent, EVENT_1)
        self.fixture.fail(call, LOST)
        self.assertEqual((exchange.aborted, len(self.fixture.hops)), (1, 1))

    def test_lost_stream_is_resumed_elsewhere(self) -> None:
        self.use(RetryPolicy.ANY_TIME, max_runs=2)
        self.fixture.isolate()
        exchange = self.fixture.send()
        first = self.fixture.hops[0]
        first.sink.call_head(first.call_id, 200, FROM_UPSTREAM)
        first.sink.call_data(first.call_id, EVENT_1 + EVENT_2[:5])
        self.fixture.fail(first, LOST)
        second = self.fixture.hops[1]
        self.assertEqual(dict(second.headers)["last"], "1")
        self.answer(second, EVENT_1 + EVENT_2)
        self.assertEqual((exchange.sent, exchange.ended), (EVENT_1 + EVENT_2, 1))

    def test_caller_leaves(self) -> None:
        self.fixture.isolate()
        exchange = self.fixture.send()
        exchange.on_closed()
        self.assertEqual(self.fixture.client.cancelled, [self.fixture.hops[0].call_id])
        self.assertEqual(self.fixture.forwarder.requests_in_flight, 0)

    def test_slow_caller_pauses_the_hop(self) -> None:
        self.use(RetryPolicy.PROVED_NOT_RUN)
        self.fixture.isolate()
        exchange = self.fixture.send()
        (call,) = self.fixture.hops
        call.sink.call_head(call.call_id, 200, FROM_UPSTREAM)
        exchange.unsent_bytes = 10_000_000
        call.sink.call_data(call.call_id, EVENT_1)
        self.assertEqual(self.fixture.client.paused, [call.call_id])
        exchange.unsent_bytes = 0
        exchange.on_drained()
        self.assertEqual(self.fixture.client.paused, [])

    def test_deadline(self) -> None:
        """Guards against an answer that states "not run" for a request that may run at the delegate."""
        self.fixture.isolate()
        exchange = self.fixture.send()
        self.fixture.advance(TIMEOUT_MS)
        self.assertEqual(exchange.status, 504)
        self.assertEqual(self.fixture.client.cancelled, [self.fixture.hops[0].call_id])


class HandOverTest(unittest.TestCase):
    """Requests are delegated only if they have not run, and only once at a time."""

    def use(self, policy: RetryPolicy = RetryPolicy.PROVED_NOT_RUN, **values: object) -> None:
        self.fixture = HopFixture(streams(policy, streams=False, **values))

    def test_waiting_requests_are_handed_over_at_once(self) -> None:
        self.use(timeout_ms=60_000, ttft_objective_ms=None)
        self.fixture.list_upstreams("u1")
        sent = [self.fixture.send(f"a{number}") for number in range(REQUESTS)]
        in_flight = {call.body for call in self.fixture.attempts}
        self.assertTrue(0 < len(in_flight) < REQUESTS)
        self.fixture.isolate()
        handed_over = {call.body for call in self.fixture.hops}
        self.assertEqual(handed_over, {exchange.body for exchange in sent} - in_flight)
        # The end of an attempt must not send any of them here as well.
        self.fixture.answer(b"done", number=0, is_complete=True)
        self.assertEqual(len(self.fixture.client.calls), REQUESTS)

    def test_request_in_flight_keeps_its_attempt(self) -> None:
        self.use()
        self.fixture.send()
        self.fixture.isolate()
        self.assertEqual(self.fixture.hops, [])

    def test_attempt_that_reached_nobody(self) -> None:
        self.use()
        self.fixture.send()
        self.fixture.isolate()
        self.fixture.fail(self.fixture.attempts[0], UNREACHABLE)
        self.assertEqual((len(self.fixture.attempts), len(self.fixture.hops)), (1, 1))

    def test_attempt_that_may_have_run(self) -> None:
        self.use()
        exchange = self.fixture.send()
        self.fixture.isolate()
        self.fixture.fail(self.fixture.attempts[0], LOST)
        self.assertEqual((exchange.status, self.fixture.hops), (502, []))

    def test_attempt_that_may_be_repeated(self) -> None:
        self.use(RetryPolicy.BEFORE_OUTPUT, max_runs=2)
        self.fixture.send()
        self.fixture.isolate()
        self.fixture.fail(self.fixture.attempts[0], LOST)
        self.assertEqual(dict(self.fixture.hops[0].headers)["Ibispaddle-Runs-Left"], "1")

    def test_late_answer_of_a_hub(self) -> None:
        """Guards against requests that are scheduled here although a delegate has them, or twice."""
        self.use()
        callbacks = []
        self.fixture.forwarder.before_selection = lambda callback, service: callbacks.append(
            callback
        )
        self.fixture.send()
        self.fixture.isolate()
        for call in list(self.fixture.hops):
            self.fixture.refuse(call, RunState.NOT_RUN, may_ask_another=True)
        self.fixture.refuse(self.fixture.hops[1], RunState.NOT_RUN, may_ask_another=True)
        self.fixture.advance(RETRY_DELAY_MS)
        self.fixture.is_isolated = False
        for callback in callbacks:
            callback()
        self.assertEqual((len(self.fixture.attempts), len(self.fixture.hops)), (1, 2))

    def test_refusals_of_all_delegates(self) -> None:
        """Guards against requests that are lost while no delegate has the newest configuration yet."""
        self.use()
        self.fixture.isolate()
        exchange = self.fixture.send()
        for number in range(2):
            self.fixture.refuse(self.fixture.hops[number], RunState.NOT_RUN, may_ask_another=True)
        self.assertEqual((exchange.status, len(self.fixture.client.calls)), (0, 2))
        self.fixture.advance(RETRY_DELAY_MS)
        self.assertEqual((len(self.fixture.attempts), len(self.fixture.hops)), (0, 3))

    def test_no_delegate(self) -> None:
        self.use()
        self.fixture.delegator.replace_instances([])
        self.fixture.isolate()
        self.fixture.send()
        self.assertEqual((len(self.fixture.attempts), len(self.fixture.hops)), (1, 0))

    def test_delegate_that_is_found_later(self) -> None:
        """Guards against requests that wait until their deadline although others are delegated."""
        self.use()
        self.fixture.forwarder.before_selection = lambda callback, service: None
        self.fixture.delegator.replace_instances([])
        self.fixture.isolate()
        self.fixture.send()
        self.assertEqual(self.fixture.client.calls, [])
        self.fixture.delegator.replace_instances([Candidate("d", "d:1", delegate_address="d:2")])
        self.fixture.advance(OFFER_INTERVAL_MS)
        self.assertEqual(len(self.fixture.hops), 1)

    def test_work_is_not_counted_here(self) -> None:
        self.use()
        self.fixture.isolate()
        self.fixture.send()
        work = self.fixture.forwarder.scheduler.own_work("i", self.fixture.clock.now_ms())
        self.assertEqual((work.work, work.waiting), ({}, ()))


if __name__ == "__main__":
    unittest.main()
