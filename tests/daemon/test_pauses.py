"""Tests of the detection of process pauses, with a manual clock."""

import unittest

from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.membership import (
    InstanceList,
    ListEntry,
    MemberKind,
    MembershipView,
    MemberState,
)
from ibispaddle_core.scheduling import RequestArrived, Tick
from ibispaddle_daemon.events import source_reread
from ibispaddle_daemon.pauses import PAUSE_THRESHOLD_MS, TICK_INTERVAL_MS, PauseDetector
from ibispaddle_daemon.timers import TimerQueue

from tests.scheduling import fakes

SOURCES = ("instance_list", "configuration")


class EventRecorder(BaseComponent):
    def __init__(self):
        super().__init__()
        self.ready = []
        self.ended = 0

    @handler("readiness_changed", channel="*")
    def _on_readiness_changed(self, component, ready):
        self.ready.append(ready)

    @handler("pause_ended", channel="*")
    def _on_pause_ended(self):
        self.ended += 1


class PausesTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.root = EventRecorder()
        self.view = MembershipView("a", "dc")
        timers = TimerQueue(self.clock).register(self.root)
        self.pauses = PauseDetector(SOURCES, self.view, self.clock, timers).register(self.root)
        self.pauses._on_started()

    def reread(self, *sources, number):
        for source in sources:
            self.root.fire(source_reread(source, number), "*")
        while len(self.root):
            self.root.flush()

    def test_short_delay_is_not_a_pause(self):
        """Guard against refused requests on a busy machine."""
        self.clock.advance(TICK_INTERVAL_MS + PAUSE_THRESHOLD_MS - 1)
        self.assertFalse(self.pauses.is_recovering())

    def test_ready_only_after_all_sources_are_read(self):
        """Guard against work with an outdated instance list or configuration."""
        self.clock.advance(TICK_INTERVAL_MS + PAUSE_THRESHOLD_MS)
        self.assertTrue(self.pauses.is_recovering())
        self.reread("instance_list", "instance_list", number=1)
        self.assertTrue(self.pauses.is_recovering())
        self.reread("configuration", number=1)
        self.assertFalse(self.pauses.is_recovering())
        self.assertEqual((self.root.ready, self.root.ended), ([False, True], 1))

    def test_source_read_before_a_second_pause_does_not_count(self):
        """Guard against outdated state that was read between two pauses."""
        for _ in range(2):
            self.clock.advance(TICK_INTERVAL_MS + PAUSE_THRESHOLD_MS)
            self.assertTrue(self.pauses.is_recovering())
        self.reread(*SOURCES, number=1)
        self.assertTrue(self.pauses.is_recovering())
        self.reread(*SOURCES, number=2)
        self.assertFalse(self.pauses.is_recovering())

    def test_other_instances_are_not_down_after_a_pause(self):
        """Guard against an instance that takes over all assignments when it resumes."""
        self.view.apply_list(InstanceList(1, (ListEntry("b", MemberKind.ENTRY, "x:1", "dc"),)), 0)
        self.view.observe_heartbeat("b", 1, 1, False, 0)
        self.clock.advance(60_000)
        self.assertIs(self.view.state("b", 60_000), MemberState.DOWN)
        self.pauses.is_recovering()
        self.assertIs(self.view.state("b", 60_000), MemberState.LIVE)


class PausedDispatchTest(unittest.TestCase):
    def test_waiting_requests_stay_queued_while_dispatch_is_paused(self):
        """Guard against queued requests that are sent to a leaving runner after a pause."""
        scheduler = fakes.scheduler()
        scheduler.is_dispatch_paused = lambda: True
        self.assertEqual(scheduler.handle(RequestArrived(fakes.request("r")), 0), [])
        self.assertGreater(scheduler.next_wakeup_ms(0), 0)
        scheduler.is_dispatch_paused = lambda: False
        (dispatch,) = scheduler.handle(Tick(), scheduler.next_wakeup_ms(0))
        self.assertEqual(dispatch.request_id, "r")


if __name__ == "__main__":
    unittest.main()
