"""Tests of an instance that serves requests of others."""

import unittest

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_core.settings import LimitSettings
from ibispaddle_daemon.delegated_call import DelegatedCall, call_headers, read_origin
from ibispaddle_daemon.delegation import DelegateListener
from ibispaddle_daemon.events import drain_started, exchange_started
from ibispaddle_daemon.http_exchange import Exchange
from ibispaddle_daemon.http_server import HttpServer
from ibispaddle_daemon.timers import TimerQueue
from ibispaddle_platform.headers import HeaderCodec

from tests.delegation.hops import LOST, UNREACHABLE, HopFixture
from tests.forwarding.fakes import streams
from tests.support.exchanges import FakeExchange

VERSION = 7


class _Forwarder(BaseComponent):
    channel = "forwarder"

    def __init__(self) -> None:
        super().__init__()
        self.exchanges: list[Exchange] = []

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)


class ListenerTest(unittest.TestCase):
    """The listener admits requests of other instances, or refuses them as not run."""

    def setUp(self) -> None:
        clock = ManualClock()
        timers, limits = TimerQueue(clock), LimitSettings()
        self.root = BaseComponent()
        EPoll().register(self.root)
        timers.register(self.root)
        self.forwarder = _Forwarder().register(self.root)
        callers = HttpServer("127.0.0.1:0", clock, timers, limits).register(self.root)
        self.listener = DelegateListener(
            "127.0.0.1:0", HeaderCodec(), clock, timers, limits, callers, "forwarder"
        ).register(self.root)
        self.listener.admission.replace_version(VERSION)
        for server in (callers, self.listener.server):
            self.addCleanup(server.listener.close)

    def fire(self, event, channel: str) -> None:
        self.root.fire(event, channel)
        while len(self.root):
            self.root.flush()

    def send(self, version: int | None = VERSION, left_ms: int = 500, sender: str = "b"):
        call = call_headers(DelegatedCall(sender, version, 1)) if sender else ()
        headers = (("Key", "k"), ("Deadline-Ms", str(left_ms)), *call)
        exchange = FakeExchange("/x", headers)
        self.fire(exchange_started(exchange), self.listener.channel)
        return exchange

    def check_refusal(self, exchange, may_ask_another: bool, takes_requests: bool = True) -> None:
        origin = read_origin(exchange.answer_headers)
        self.assertIs(origin.run_state, RunState.NOT_RUN)
        self.assertEqual(origin.may_ask_another, may_ask_another)
        self.assertEqual(origin.takes_requests, takes_requests)
        self.assertEqual(self.forwarder.exchanges, [])

    def test_accepted_request(self) -> None:
        exchange = self.send()
        self.assertEqual(self.forwarder.exchanges, [exchange])
        self.assertEqual(exchange.headers, (("Key", "k"), ("Deadline-Ms", "500")))
        self.assertEqual(exchange.delegated_call, DelegatedCall("b", VERSION, 1))

    def test_sender_with_an_older_configuration(self) -> None:
        self.send(VERSION - 1)
        self.assertEqual(len(self.forwarder.exchanges), 1)

    def test_sender_with_a_newer_configuration(self) -> None:
        self.check_refusal(self.send(VERSION + 1), may_ask_another=True)

    def test_drain(self) -> None:
        self.fire(drain_started(), "*")
        self.check_refusal(self.send(), may_ask_another=True, takes_requests=False)

    def test_isolated_delegate(self) -> None:
        self.listener.admission.is_isolated = True
        self.check_refusal(self.send(), may_ask_another=True, takes_requests=False)

    def test_no_time_left(self) -> None:
        self.check_refusal(self.send(left_ms=0), may_ask_another=False)

    def test_request_of_no_instance(self) -> None:
        self.assertEqual(self.send(sender="").status, 400)
        self.assertEqual(self.forwarder.exchanges, [])

    def test_memory_is_shared_with_callers(self) -> None:
        """Guards against two servers that each hold as much as the instance may."""
        exchange = self.send()
        self.listener.server.request_refused(exchange, 503, "overloaded", "")
        self.assertTrue(read_origin(exchange.answer_headers).may_ask_another)
        conn = object()
        self.listener.server.reserve_body(conn, 1_000)
        callers = next(item for item in self.root.components if type(item) is HttpServer)
        self.assertEqual(callers.request_body_bytes, 1_000)


class DelegatedRequestTest(unittest.TestCase):
    """At the delegate, a request takes the path of a caller's, but isn't delegated again."""

    def setUp(self) -> None:
        self.use(RetryPolicy.PROVED_NOT_RUN)

    def use(self, policy: RetryPolicy, **values: object) -> None:
        self.fixture = HopFixture(streams(policy, streams=False, **values))

    def send(self, runs_left: int = 1) -> FakeExchange:
        exchange = FakeExchange("/x", (("id", "a1"),))
        exchange.delegated_call = DelegatedCall("b", 1, runs_left)
        exchange.arrived_ms = self.fixture.clock.now_ms()
        self.fixture.fire(exchange_started(exchange), "forwarder")
        return exchange

    def origin(self, exchange: FakeExchange):
        return read_origin(exchange.answer_headers)

    def test_response_names_its_upstream(self) -> None:
        exchange = self.send()
        self.fixture.answer(b"done", is_complete=True)
        self.assertEqual((exchange.status, exchange.sent), (200, b"done"))
        self.assertIn(self.origin(exchange).upstream_id, ("u1", "u2"))

    def test_request_is_never_delegated_again(self) -> None:
        self.send()
        self.fixture.isolate()
        self.assertEqual((self.fixture.hops, self.fixture.forwarder.requests_in_flight), ([], 1))

    def test_attempt_of_a_delegate_that_becomes_isolated(self) -> None:
        """Guards against requests that wait at a delegate until their deadline."""
        exchange = self.send()
        self.fixture.isolate()
        self.fixture.fail(self.fixture.attempts[0], UNREACHABLE)
        self.assertEqual((exchange.status, self.origin(exchange).may_ask_another), (503, True))
        self.assertEqual((len(self.fixture.attempts), self.fixture.hops), (1, []))

    def test_waiting_request_of_a_delegate_that_becomes_isolated(self) -> None:
        self.fixture.forwarder.before_selection = lambda callback, service: None
        exchange = self.send()
        self.fixture.isolate()
        origin = self.origin(exchange)
        self.assertEqual((exchange.status, origin.may_ask_another), (503, True))
        self.assertIs(origin.run_state, RunState.NOT_RUN)

    def test_lost_answer(self) -> None:
        exchange = self.send()
        self.fixture.fail(self.fixture.attempts[0], LOST)
        origin = self.origin(exchange)
        self.assertEqual((exchange.status, origin.may_ask_another), (502, False))
        self.assertIs(origin.run_state, RunState.UNKNOWN)

    def test_runs_that_are_left(self) -> None:
        """Guards against more runs than the route allows, because each instance counts its own."""
        self.use(RetryPolicy.BEFORE_OUTPUT, max_runs=3)
        for runs_left in (1, 2):
            self.fixture.client.calls.clear()
            self.send(runs_left)
            for _ in range(runs_left):
                self.fixture.fail(self.fixture.attempts[-1], LOST)
                self.fixture.advance(1)
            self.assertEqual(len(self.fixture.attempts), runs_left)

    def test_unknown_route(self) -> None:
        exchange = FakeExchange("other", (("id", "a1"),))
        exchange.delegated_call = DelegatedCall("b", 1, 1)
        self.fixture.fire(exchange_started(exchange), "forwarder")
        self.assertEqual(exchange.status, 503)  # Its configuration may be outdated.
        self.assertTrue(self.origin(exchange).may_ask_another)


if __name__ == "__main__":
    unittest.main()
