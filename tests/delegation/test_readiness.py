"""Tests of the readiness of an isolated instance, and of what it forgets about its upstreams."""

import random
import unittest
from types import SimpleNamespace

from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.delegation import Delegate, DelegateSelection
from ibispaddle_core.delegation.selection import EXCLUSION_MS
from ibispaddle_core.scheduling import Outcome
from ibispaddle_core.scheduling.health import UpstreamHealth
from ibispaddle_daemon.delegation.isolation import Isolation
from ibispaddle_daemon.delegation.readiness import CHECK_INTERVAL_MS, DelegationReadiness
from ibispaddle_daemon.timers import TimerQueue


class Recorder(BaseComponent):
    """Records the reported readiness."""

    def __init__(self) -> None:
        super().__init__()
        self.reports: list[bool] = []

    @handler("readiness_changed", channel="*")
    def _on_readiness_changed(self, component: str, ready: bool) -> None:
        self.reports.append(ready)


class ReadinessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.isolation = Isolation(self.clock, random.Random(1))
        self.isolation.replace_upstreams({"u1": "s"}, {})
        self.selection = DelegateSelection("dc1", random.Random(1))
        self.recorder = Recorder()
        readiness = DelegationReadiness(self.isolation, self.timers).register(self.recorder)
        readiness.has_delegate = self.selection.has_delegate

    def advance(self, duration_ms: int = CHECK_INTERVAL_MS) -> None:
        self.clock.advance(duration_ms)
        self.timers._on_generate_events(SimpleNamespace(reduce_time_left=lambda left_s: None))
        while len(self.recorder):
            self.recorder.flush()

    def test_isolated_without_a_delegate(self) -> None:
        self.isolation.record_unreachable("u1", "reset")
        self.advance()
        self.assertEqual([False], self.recorder.reports)
        self.isolation.record_contact("u1")
        self.advance()
        self.assertEqual([False, True], self.recorder.reports)

    def test_isolated_with_a_delegate(self) -> None:
        self.selection.replace([Delegate("b", "b:1", "dc2", 1.0)])
        self.isolation.record_unreachable("u1", "reset")
        self.advance()
        self.assertEqual([], self.recorder.reports)
        self.selection.exclude("b", self.clock.now_ms())
        self.advance()
        self.assertEqual([False], self.recorder.reports)
        self.selection.record_served("b")
        self.advance()
        self.assertEqual([False, True], self.recorder.reports)

    def test_delegates_that_keep_refusing(self) -> None:
        """Guards against a readiness that changes each second while all instances are isolated."""
        self.selection.replace([Delegate("b", "b:1", "dc2", 1.0)])
        self.isolation.record_unreachable("u1", "reset")
        for _ in range(5):
            self.selection.exclude("b", self.clock.now_ms())
            self.advance(EXCLUSION_MS)
            self.advance()
        self.assertEqual([False], self.recorder.reports)


class HealthTest(unittest.TestCase):
    def test_isolation(self) -> None:
        """Guards against upstreams that are avoided after a cut because nobody was found in it."""
        health = UpstreamHealth()
        health.observe("dead", Outcome.FAILED, 900)
        for now_ms in range(1_000, 5_000, 500):
            health.observe("sound", Outcome.NOT_SENT, now_ms)
        health.begin_isolation()
        self.assertEqual((), health.own_avoided(1_000))
        health.observe("sound", Outcome.STALLED, 5_000)
        health.end_isolation(since_ms=1_000)
        self.assertFalse(health.is_avoided("sound", 5_001))
        self.assertTrue(health.is_avoided("dead", 1_001))
        health.observe("other", Outcome.FAILED, 5_100)
        self.assertEqual(("other",), health.own_avoided(5_101))


if __name__ == "__main__":
    unittest.main()
