"""Tests of responses that are received at the deadline of their request.

A busy event loop may read the last events of a stream before it processes the deadline.
"""

import unittest
from types import SimpleNamespace

from circuits import BaseComponent
from ibispaddle_core.chat import Kind, parse_request
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.membership import ListedState, ListEntry, MemberKind
from ibispaddle_core.settings import load_fleet
from ibispaddle_daemon.callers import Caller
from ibispaddle_daemon.entry import RequestCoordinator
from ibispaddle_daemon.events import list_changed
from ibispaddle_daemon.metrics import Metrics
from ibispaddle_daemon.request_reader import ValidatedRequest
from ibispaddle_daemon.timers import TimerQueue
from ibispaddle_daemon.tracing import Tracing

from tests.support.exchanges import FakeExchange, FakeHttpClient

from .processes import fleet_document

TIMEOUT_MS = 1_000
SUSPECTS = SimpleNamespace(
    is_suspect=lambda fingerprint: False,
    clear_suspect=lambda fingerprint, parts: None,
    quarantine_error=lambda fingerprint, parts, run_state: None,
    current_boot_id=lambda upstream_id, reported: reported,
)


def chunk(index: int, reason: str = "null") -> bytes:
    """Return a server-sent event with one token."""
    choice = (
        f'{{"index":0,"delta":{{"content":"t"}},"token_index":{index},"finish_reason":{reason}}}'
    )
    return f'data: {{"id":"c1","choices":[{choice}]}}\n\n'.encode()


class DeadlineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.client = FakeHttpClient()
        config = load_fleet({"base": fleet_document()})
        tracing = Tracing("i", "dc1", "", self.clock, self.timers)
        metrics = Metrics()
        self.entry = RequestCoordinator(
            "i", config, self.client, self.clock, self.timers, metrics, tracing, SUSPECTS
        )
        root = BaseComponent()
        for component in (self.timers, tracing, self.entry):
            component.register(root)
        live = ListEntry("r1", MemberKind.RUNNER, "x:1", "dc1", ListedState.LIVE, models=("m",))
        root.fire(list_changed((live,)), "*")
        for _ in range(5):
            root.flush()
        self.exchange = FakeExchange("/v1/completions")
        body = b'{"model": "m", "prompt": "hello", "stream": true}'
        parsed = parse_request(Kind.TEXT, body).unwrap()
        caller = Caller("w", config.workspaces["w"])
        self.entry.admit(ValidatedRequest(self.exchange, caller, parsed, 2, TIMEOUT_MS, "f"))
        self.call = self.client.calls[0]
        headers = dict(self.call.headers)
        self.head = (
            ("X-Request-Id", headers["X-Request-Id"]),
            ("Content-Type", "text/event-stream"),
        )

    def receive(self, data: bytes) -> None:
        self.entry.attempts.call_head(self.call.call_id, 200, self.head)
        self.entry.attempts.call_data(self.call.call_id, data)

    def test_complete_stream_received_after_the_deadline_is_relayed(self) -> None:
        """Guard against an error event after the end marker of a complete response."""
        self.clock.advance(TIMEOUT_MS)
        self.receive(chunk(0) + chunk(1, '"stop"') + b"data: [DONE]\n\n")
        self.assertNotIn(b"error", self.exchange.sent)
        self.assertTrue(self.exchange.sent.endswith(b"data: [DONE]\n\n"))
        self.assertEqual((self.exchange.ended, self.exchange.aborted), (1, 0))
        self.assertEqual(self.entry.requests_in_flight, 0)
        self.assertEqual(self.entry.scheduler.active, 0)

    def test_partial_stream_received_after_the_deadline_ends_with_an_error(self) -> None:
        """Guard against a stream that continues after its deadline."""
        self.clock.advance(TIMEOUT_MS)
        self.receive(chunk(0))
        self.assertIn(b'"deadline"', self.exchange.sent)
        self.assertNotIn(b"[DONE]", self.exchange.sent)
        self.assertEqual(self.exchange.ended, 1)
        self.assertEqual(self.entry.requests_in_flight, 0)


if __name__ == "__main__":
    unittest.main()
