"""The order in which a stopping instance turns callers away.

The load pattern is a planned stop under load: callers use their connections until they are closed, and
some connect while the process ends.
"""

import unittest
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.stopping import LAST_REQUEST_GRACE_MS, QUIET_PERIOD_MS, Drain

from tests.fleet.fakes import Timers

LIMIT_MS = 8_000


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.timers = Timers(self.clock)
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

    def test_quiet_instance_closes_its_listener_and_then_ends(self) -> None:
        """Guards against a process that ends together with its listener."""
        self.drain()
        self.timers.advance(QUIET_PERIOD_MS + 50)
        self.assertEqual(len(self.closed_ms), 1)
        self.assertEqual(self.ended, [])
        self.timers.advance(LAST_REQUEST_GRACE_MS + 50)
        self.assertEqual(self.ended, [True])

    def test_request_after_the_listener_has_closed_is_finished(self) -> None:
        """Guards against a request on an open connection that is cut by the end of the process."""
        self.drain()
        self.timers.advance(QUIET_PERIOD_MS + 50)
        self.is_busy = True
        self.timers.advance(3_000)
        self.assertEqual(self.ended, [])
        self.is_busy = False
        self.timers.advance(LAST_REQUEST_GRACE_MS + 50)
        self.assertEqual(self.ended, [True])

    def test_request_in_the_last_moment_is_finished(self) -> None:
        """Guards against a request that is read between the last look and the end of the process.

        A hunt of further/ met it (moved-addresses, seed 171527330721): read 9 ms before the end.
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

    def test_listener_stays_open_until_callers_are_sent_elsewhere(self) -> None:
        """Guards against refused connections while the balancer still sends callers."""
        self.drain(earliest_ms=3_200)
        self.timers.advance(3_150)
        self.assertEqual(self.closed_ms, [])
        self.timers.advance(100)
        self.assertEqual(len(self.closed_ms), 1)

    def test_request_that_never_ends_does_not_hold_the_process(self) -> None:
        """Guards against a process that is killed by the platform in place of stopping."""
        self.is_busy = True
        self.drain()
        self.timers.advance(LIMIT_MS - 50)
        self.assertEqual(self.ended, [])
        self.timers.advance(100)
        self.assertEqual(self.ended, [False])
        self.assertEqual(len(self.closed_ms), 1)


if __name__ == "__main__":
    unittest.main()
