"""Tests of the selection of a peer's state and of the schedule of snapshots."""

import unittest

from ibispaddle_core.configuration import (
    Change,
    ConfigReader,
    ConfigState,
    LogRecord,
    PeerStateSelection,
    snapshot_due_ms,
)

RETENTION_MS = 400_000


def changes(*times_ms):
    return [
        LogRecord(n, time_ms, Change(f"c{n}", n - 1, "base", {}, "ann").to_record())
        for n, time_ms in enumerate(times_ms)
    ]


class PeerStateSelectionTest(unittest.TestCase):
    def test_highest_as_of_is_selected_after_all_responses(self):
        """Guard against a start from the peer that responds first but lags behind."""
        selection = PeerStateSelection(["a", "b"], now_ms=0)
        selection.add_response("a", ConfigState(3, 3))
        self.assertIsNone(selection.selected_state(100))
        selection.add_response("b", ConfigState(9, 7))
        self.assertEqual(selection.selected_state(100).as_of, 9)

    def test_unresponsive_peer_times_out(self):
        """Guard against an instance that never starts because one listed peer is dead."""
        selection = PeerStateSelection(["a", "b"], now_ms=0)
        selection.add_response("a", ConfigState(3, 3))
        self.assertIsNone(selection.selected_state(1_999))
        self.assertEqual(selection.selected_state(2_000).as_of, 3)

    def test_no_state_without_peers(self):
        """Guard against an instance that serves an empty configuration."""
        selection = PeerStateSelection([], now_ms=0)
        self.assertIsNone(selection.selected_state(5_000))

    def test_revision_below_the_required_one_is_not_served(self):
        """Guard against serving a configuration that other instances have replaced."""
        selection = PeerStateSelection(["a", "b"], now_ms=0)
        selection.add_response("a", ConfigState(3, 3))
        selection.require_revision(5)
        self.assertIsNone(selection.selected_state(2_000))


class SnapshotDueTest(unittest.TestCase):
    def test_first_snapshot_is_due_after_a_quarter_of_the_retention(self):
        """Guard against a stream whose oldest change is dropped before any snapshot exists."""
        reader = ConfigReader()
        reader.read_page(0, changes(1_000, 2_000))
        due = snapshot_due_ms(reader, 0, RETENTION_MS, seed=1)
        self.assertTrue(101_000 <= due < 106_000)

    def test_higher_ranks_wait_longer(self):
        """Guard against a snapshot from every instance at once."""
        reader = ConfigReader()
        reader.read_page(0, changes(1_000))
        due = [snapshot_due_ms(reader, rank, RETENTION_MS, seed=rank) for rank in range(4)]
        self.assertEqual(due, sorted(due))
        self.assertGreater(due[1] - due[0], 4_000)

    def test_late_snapshot_does_not_count_as_a_new_one(self):
        """Guard against a paused instance that delays snapshots until none is usable."""
        reader = ConfigReader()
        records = changes(0, 60_000, 120_000)
        reader.read_page(0, records)
        stale = ConfigState(0, 0, {"base": {}}).to_record()
        reader.read_page(0, [LogRecord(3, 300_000, stale)])
        # The snapshot needs record 1 of time 60,000, so the next one is due a quarter of the
        # retention later.
        due = snapshot_due_ms(reader, 0, RETENTION_MS, seed=1)
        self.assertTrue(160_000 <= due < 165_000)

    def test_prompt_snapshot_restarts_the_interval(self):
        """Guard against snapshots that are appended more often than needed."""
        reader = ConfigReader()
        reader.read_page(0, changes(0, 60_000))
        reader.read_page(0, [LogRecord(2, 100_000, reader.state.to_record())])
        self.assertGreaterEqual(snapshot_due_ms(reader, 0, RETENTION_MS, seed=1), 200_000)

    def test_unusable_snapshot_is_renewed(self):
        """Guard against reliance on a snapshot whose following record was removed by retention."""
        reader = ConfigReader()
        reader.read_page(0, changes(0, 60_000, 120_000))
        stale = ConfigState(0, 0, {"base": {}}).to_record()
        reader.read_page(0, [LogRecord(3, 130_000, stale)])
        reader.read_page(2, [])
        self.assertIsNone(reader.newest_snapshot_time_ms())
        self.assertLess(snapshot_due_ms(reader, 0, RETENTION_MS, seed=1), 230_000)

    def test_nothing_is_due_for_an_empty_log(self):
        """Guard against snapshots of an empty configuration."""
        reader = ConfigReader()
        reader.read_page(0, [])
        self.assertIsNone(snapshot_due_ms(reader, 0, RETENTION_MS, seed=1))


if __name__ == "__main__":
    unittest.main()
