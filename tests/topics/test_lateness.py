"""Tests of the time after which a store that does not answer counts as unavailable."""

import unittest

from ibispaddle_core.topics import LateMargin
from ibispaddle_core.topics.lateness import MAX_LATE_MARGIN_MS

SLOW_MS = 320


class LateMarginTest(unittest.TestCase):
    def test_slow_answer_after_fast_ones(self) -> None:
        """Guards against a hub that counts as cut off because of one answer that takes 0.3 s."""
        margin = LateMargin()
        margin.record_answer(5)
        self.assertGreater(margin.after_ms(is_data_overdue=False), SLOW_MS)

    def test_overdue_data(self) -> None:
        """Guards against an instance that waits for the store while its data gets too old."""
        margin = LateMargin()
        margin.record_answer(5)
        self.assertLess(margin.after_ms(is_data_overdue=True), SLOW_MS)

    def test_store_that_stays_slow(self) -> None:
        """Guards against a store that counts as unavailable with each of its answers."""
        margin = LateMargin()
        margin.record_answer(SLOW_MS)
        for is_overdue in (False, True):
            self.assertEqual(margin.after_ms(is_overdue), MAX_LATE_MARGIN_MS)


if __name__ == "__main__":
    unittest.main()
