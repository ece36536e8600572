"""Tests of the graceful shutdown of an instance.

The load pattern is a graceful shutdown under load: callers use their connections until they are closed, and
some connect while the process is ending.
"""

import unittest
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.stopping import LAST_REQUEST_GRACE_MS, QUIET_PERIOD_MS, Drain

from tests.fleet.fakes import FakeTimers

LIMIT_MS = 8_000


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.timers = FakeTimers(self.clock)
        self.closed_ms: list[int] = []
        self.idle_closed_ms: list[int] = []
        self.ended: list[bool] = []
        self.is_busy = False
        self.server = SimpleNamespace(
            stop_accepting=lambda: self.closed_ms.append(self.clock.now_ms()),
            close_idle_connections=lambda: self.idle_closed_ms.append(self.clock.now_ms()),
        )

    def drain(self, earliest_ms: int = 0) -> None:
        Drain(
            self.server,
            self.clock,
            self.timers,
            is_busy=lambda: self.is_busy,
            limit_ms=lambda: LIMIT_MS,
            on_end=self.ended.append,
            earliest_ms=earliest_ms,
        ).begin()

    def test_idle_instance_closes_its_listener_and_then_ends(self) -> None:
        """Guards against a process that ends as soon as its listener closes."""
        self.drain()
        self.timers.advance(QUIET_PERIOD_MS + 50)
        self.assertEqual(len(self.closed_ms), 1)
        self.assertEqual(self.ended, [])
        self.timers.advance(LAST_REQUEST_GRACE_MS + 50)
        self.assertEqual(self.ended, [True])

    def test_request_after_the_listener_has_closed_is_finished(self) -> None:
        """Guards against a request on an open connection that is interrupted by the end of the process."""
        self.drain()
        self.timers.advance(QUIET_PERIOD_MS + 50)
        self.is_busy = True
        self.timers.advance(3_000)
        self.assertEqual(self.ended, [])
        self.is_busy = False
        self.timers.advance(LAST_REQUEST_GRACE_MS + 50)
        self.assertEqual(self.ended, [True])

    def test_request_just_before_the_end_is_finished(self) -> None:
        """Guards against a request that is read between the last check and the end of the process.

        This occurred in further/ (moved-addresses, seed 171527330721): a request was read 9 ms before
        the end.
        """
        self.drain()
        while not self.idle_closed_ms:
            self.timers.advance(5)
        self.is_busy = True
        self.timers.advance(1_000)
        self.assertEqual(self.ended, [])
        self.is_busy = False
        self.timers.advance(50)
        self.assertEqual(self.ended, [True])
        self.assertEqual(len(self.idle_closed_ms), 1)

    def test_listener_stays_open_until_callers_are_redirected(self) -> None:
        """Guards against refused connections while the load balancer still routes callers here."""
        self.drain(earliest_ms=3_200)
        self.timers.advance(3_150)
        self.assertEqual(self.closed_ms, [])
        self.timers.advance(100)
        self.assertEqual(len(self.closed_ms), 1)

    def test_endless_request_does_not_block_the_shutdown(self) -> None:
        """Guards against a process that the platform kills because it does not stop in time."""
        self.is_busy = True
        self.drain()
        self.timers.advance(LIMIT_MS - 50)
        self.assertEqual(self.ended, [])
        self.timers.advance(100)
        self.assertEqual(self.ended, [False])
        self.assertEqual(len(self.closed_ms), 1)


if __name__ == "__main__":
    unittest.main()
