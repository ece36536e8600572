"""Tests of the queue of timed callbacks."""

import unittest
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_daemon.timers import TimerQueue


class TimerQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.calls: list[str] = []
        self.time_left_s: list[float] = []

    def turn(self) -> None:
        """Run one turn of the event loop."""
        self.time_left_s = []
        event = SimpleNamespace(reduce_time_left=self.time_left_s.append)
        self.timers._on_generate_events(event)

    def test_callback_that_schedules_itself_for_the_past(self) -> None:
        """Guards against a timer that keeps the process in its loop for ever (review/1)."""

        def repeat() -> None:
            self.calls.append("repeat")
            if len(self.calls) > 1_000:
                raise AssertionError("the queue does not return")
            self.timers.at(self.clock.now_ms() - 50, repeat)

        self.clock.advance(100)
        self.timers.at(10, repeat)
        self.timers.at(90, lambda: self.calls.append("other"))
        self.turn()
        self.assertEqual(self.calls, ["repeat", "other"])
        self.timers.at(95, lambda: self.calls.append("later"))
        self.turn()
        self.assertEqual(self.calls, ["repeat", "other", "repeat", "later"])
        self.assertEqual(min(self.time_left_s), 0)

    def test_callbacks_run_in_order_of_their_time(self) -> None:
        for time_ms in (30, 10, 20, 60):
            self.timers.at(time_ms, lambda time_ms=time_ms: self.calls.append(str(time_ms)))
        self.timers.at(15, lambda: self.calls.append("cancelled")).cancel()
        self.clock.advance(50)
        self.turn()
        self.assertEqual(self.calls, ["10", "20", "30"])
        self.assertIn(0.01, self.time_left_s)

    def test_callback_that_is_cancelled_by_an_earlier_one(self) -> None:
        """Guards against a callback that runs although it was cancelled in the same turn."""
        later = self.timers.at(20, lambda: self.calls.append("later"))
        self.timers.at(10, later.cancel)
        self.clock.advance(50)
        self.turn()
        self.assertEqual(self.calls, [])

    def test_exception_does_not_lose_later_callbacks(self) -> None:
        """Guards against timers that are lost because the callback before them raised."""

        def fail() -> None:
            raise ValueError("failed")

        self.timers.at(10, fail)
        self.timers.at(20, lambda: self.calls.append("later"))
        self.clock.advance(50)
        with self.assertRaises(ValueError):
            self.turn()
        self.turn()
        self.assertEqual(self.calls, ["later"])


if __name__ == "__main__":
    unittest.main()
