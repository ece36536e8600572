"""Tests of the evidence for crashes behind a cut, where every upstream looks like an ended process."""

import random
import unittest
from unittest import mock

from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.quarantine import CrashReport
from ibispaddle_core.scheduling import RetryPolicy
from ibispaddle_daemon.delegation.isolation import Isolation
from ibispaddle_daemon.events import (
    CallFailure,
    HttpCall,
    HttpCallError,
    call_completed,
)
from ibispaddle_daemon.forwarding.crashes import RECHECK_DELAYS_MS

from tests.forwarding.fakes import FakeCodec, ForwarderFixture, streams

UPSTREAMS = ("u1", "u2", "u3", "u4")
MAX_REQUESTS = 100  # Upstreams are chosen at random.
RESET = HttpCallError(CallFailure.CLOSED, "reset", byte_sent=True)
REFUSED = HttpCallError(CallFailure.UNREACHABLE, "refused", byte_sent=False, is_refused=True)
STEP_MS = 10


class Checks(BaseComponent):
    """Answers the status requests of the crash detector."""

    channel = "http_client"

    def __init__(self) -> None:
        super().__init__()
        self.refusing: set[str] = set()

    @handler("http_call")
    def _on_http_call(self, call: HttpCall) -> None:
        name = call.url.removeprefix("http://").partition(":")[0]
        error = REFUSED if name in self.refusing else None
        completed = call_completed(call.call_id, 200, (), b"", error)
        self.fire(completed, call.channel)


class CrashEvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(mock.patch.object(FakeCodec, "liveness_path", "/report"))
        self.enterContext(
            mock.patch.object(FakeCodec, "read_boot", lambda _, body: None, create=True)
        )
        self.clock = ManualClock()
        self.isolation = Isolation(self.clock, random.Random(1))
        self.isolation.replace_upstreams(dict.fromkeys(UPSTREAMS, "s"), {})
        route = streams(RetryPolicy.PROVED_NOT_RUN, timeout_ms=60_000)
        self.fixture = ForwarderFixture(route, UPSTREAMS, self.isolation)
        self.checks = Checks().register(self.fixture.root)
        self.fixture.flush()
        self.advance(1_000)
        self.calls: dict = {}
        for _ in range(MAX_REQUESTS):
            if len(self.calls) < len(UPSTREAMS):
                self.fixture.send(parts="a,b")
            self.calls = {call.url: call for call in self.fixture.client.calls}
        self.assertEqual(len(UPSTREAMS), len(self.calls))

    def advance(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            self.fixture.advance(STEP_MS)

    def reset(self, *names: str) -> None:
        """End the connections to upstreams, which then refuse new ones."""
        self.checks.refusing.update(names)
        for url, call in self.calls.items():
            if any(f"//{name}:" in url for name in names):
                call.sink.call_ended(call.call_id, RESET)
        self.fixture.flush()

    @property
    def crashed(self) -> set[str]:
        """Return the upstreams with a report of a crash."""
        _, changes = self.fixture.forwarder.part_guard.registry.changes_since(0)
        return {item.death.upstream_id for item in changes if isinstance(item, CrashReport)}

    def test_cut_that_resets_connections(self) -> None:
        self.reset(*UPSTREAMS)
        self.advance(2 * sum(RECHECK_DELAYS_MS))
        self.assertTrue(self.isolation.is_isolated)
        self.assertEqual(set(), self.crashed)

    def test_end_of_the_cut(self) -> None:
        self.reset(*UPSTREAMS)
        self.advance(RECHECK_DELAYS_MS[0] + STEP_MS)
        self.checks.refusing.clear()
        self.isolation.record_contact("u3")
        self.advance(2 * sum(RECHECK_DELAYS_MS))
        self.assertEqual(set(), self.crashed)

    def test_crash(self) -> None:
        self.reset("u1")
        self.advance(STEP_MS)
        self.isolation.record_contact("u3")
        self.advance(3 * STEP_MS)
        self.assertEqual({"u1"}, self.crashed)

    def test_crash_that_is_proved_late(self) -> None:
        self.reset("u1")
        self.advance(RECHECK_DELAYS_MS[0])
        self.assertEqual(set(), self.crashed)
        self.advance(4 * STEP_MS)
        self.isolation.record_contact("u3")
        self.advance(3 * STEP_MS)
        self.assertEqual({"u1"}, self.crashed)


if __name__ == "__main__":
    unittest.main()
