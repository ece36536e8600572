"""Tests of callers that leave when they get no output, long before their deadline.

The load pattern is an overload in which requests would wait for seconds.
"""

import unittest

from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    Dispatch,
    RefusalReason,
    Refuse,
    RequestArrived,
    Tick,
)

from .fakes import request, scheduler

PATIENCE_MS = 2_000
TOKENS = 20_000


class PatienceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = scheduler(1)
        [decision] = self.arrive("first")
        self.assertIsInstance(decision, Dispatch)
        self.scheduler.is_dispatch_paused = lambda: True

    def arrive(self, name: str, now_ms: int = 0, patience_ms: int | None = PATIENCE_MS) -> list:
        values = {"prompt_tokens": TOKENS, "arrived_ms": now_ms, "deadline_ms": now_ms + 60_000}
        req = request(name, patience_ms=patience_ms, max_output_tokens=10, **values)
        return self.scheduler.handle(RequestArrived(req), now_ms)

    def test_waiting_request_is_refused_before_its_caller_leaves(self) -> None:
        """Guards against requests that are held although their callers will not get any output."""
        self.assertEqual(self.arrive("second", 10), [])
        due_ms = self.scheduler.next_wakeup_ms(11)
        self.assertLess(due_ms, 10 + PATIENCE_MS)
        decisions: list = []
        now_ms = 11
        while not decisions and now_ms < 60_000:
            now_ms = max(now_ms + 1, self.scheduler.next_wakeup_ms(now_ms))
            decisions = self.scheduler.handle(Tick(), now_ms)
        [refusal] = decisions
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)
        self.assertEqual(refusal.run_state, RunState.NOT_RUN)
        self.assertGreater(refusal.retry_after_ms, 0)
        # The rest of the patience is what the prefill takes.
        self.assertLess(now_ms, 10 + PATIENCE_MS)

    def test_request_that_was_sent_is_not_refused(self) -> None:
        """Guards against requests that are given up while an upstream works on them."""
        for now_ms in range(100, 3 * PATIENCE_MS, 100):
            self.assertEqual(self.scheduler.handle(Tick(), now_ms), [])

    def test_caller_without_patience_waits_until_its_deadline(self) -> None:
        """Guards against requests that are refused early although their callers wait."""
        self.assertEqual(self.arrive("second", 10, patience_ms=None), [])
        for now_ms in range(100, 3 * PATIENCE_MS, 100):
            self.assertEqual(self.scheduler.handle(Tick(), now_ms), [])

    def test_request_is_refused_at_once_if_the_queue_is_too_long(self) -> None:
        """Guards against requests that wait although the queue shows that they wait in vain."""
        refused = 0
        for number in range(20):
            refused += bool(self.arrive(f"q{number}", 10 + number, patience_ms=60_000))
        [refusal] = self.arrive("impatient", 50)
        self.assertEqual((refused, refusal.reason), (0, RefusalReason.DEADLINE))


if __name__ == "__main__":
    unittest.main()
