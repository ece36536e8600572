"""Tests of keys, batch records, the append queue and the claim table."""

import unittest

from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import (
    AppendQueue,
    Claim,
    ClaimTable,
    KeyAge,
    Outcome,
    Release,
    Settlement,
    Void,
    Won,
    batch_record,
    hash_key,
    key_age,
    key_created_ms,
    read_entries,
    scoped_key,
)

T0 = 1_700_000_000_000


def claim(claim_id, key="k", created_ms=T0):
    return Claim(claim_id, key, "r", created_ms)


def record(offset, time_ms, *entries):
    return LogRecord(offset, time_ms, batch_record(f"b{offset}", entries))


class KeyTest(unittest.TestCase):
    def test_creation_times(self):
        """Guard against a wrongly parsed creation time, which lets a call run after the window."""
        self.assertEqual(key_created_ms("1700000000000-a"), T0)
        self.assertEqual(key_created_ms("018bcfe5-6800-7abc-8def-0123456789ab"), T0)
        for key in (
            "order-17",
            "170000000000-a",
            "1700000000000",
            "17000000000000-a",
            "018bcfe5-6800-4abc-8def-0123456789ab",
        ):
            self.assertIsNone(key_created_ms(key))

    def test_scope_keeps_the_creation_time_and_separates_workspaces(self):
        """Guard against a workspace that receives the response of another workspace."""
        keys = [scoped_key(name, "shop", "1700000000000-a") for name in ("a", "b")]
        self.assertEqual([key_created_ms(key) for key in keys], [T0, T0])
        self.assertNotEqual(hash_key(keys[0]), hash_key(keys[1]))

    def test_limits_of_the_window(self):
        """Guard against an incorrect use of the clock tolerance."""
        self.assertIs(key_age(T0, T0 + 1_000, 1_000), KeyAge.USABLE)
        self.assertIs(key_age(T0, T0 + 1_001, 1_000), KeyAge.EXPIRED)
        self.assertIs(key_age(T0, T0 - 60_000, 1_000), KeyAge.USABLE)
        self.assertIs(key_age(T0, T0 - 60_001, 1_000), KeyAge.FUTURE)


class RecordTest(unittest.TestCase):
    def test_entries_are_read_back_unchanged(self):
        """Guard against a retry that receives a different response."""
        outcome = Outcome(201, "application/octet-stream", b"\x00\xff")
        entries = [claim("c"), Release("c", "k"), Settlement("c", "k", outcome)]
        self.assertEqual(list(read_entries(batch_record("b", entries))), entries)

    def test_malformed_entries_are_skipped(self):
        """Guard against a malformed entry that stops all readers of the stream."""
        good = claim("c").to_entry()
        data = {"entries": [None, {}, {"claim": "x"}, {"outcome": "c", "key": "k"}, good]}
        self.assertEqual(list(read_entries(data)), [claim("c")])

    def test_long_body_is_omitted(self):
        """Guard against log records of unlimited size."""
        entry = Settlement("c", "k", Outcome(200, "", b"x" * 5_000)).to_entry()
        self.assertIsNone(entry["body"])


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = AppendQueue("i", 50, 10_000)

    def test_one_append_in_flight_and_one_per_interval(self):
        """Guard against one append per call, which would exceed the append rate of the log."""
        self.queue.add(claim("a"), 0)
        batch_id, _ = self.queue.next_batch(0)
        self.queue.add(claim("b"), 1)
        self.assertIsNone(self.queue.next_batch(100))
        self.queue.appended(batch_id)
        self.queue.add(claim("c"), 100)
        _, data = self.queue.next_batch(100)
        self.assertEqual(len(data["entries"]), 2)

    def test_append_rate_is_limited_when_the_log_is_fast(self):
        """Guard against more than one append per interval and bursts of more than two."""
        times = []
        for now_ms in range(1_000):
            self.queue.add(claim(f"c{now_ms}"), now_ms)
            batch = self.queue.next_batch(now_ms)
            if batch is not None:
                times.append(now_ms)
                self.queue.appended(batch[0])
        self.assertLessEqual(len(times), 1_000 // 50 + 1)
        for first, third in zip(times, times[2:], strict=False):
            self.assertGreaterEqual(third - first, 50)

    def test_outcome_shares_a_batch_with_the_next_claim(self):
        """Guard against a claim that is delayed by the append of an outcome."""
        self.queue.add(Settlement("a", "k", Outcome(200)), 1_000)
        self.assertIsNone(self.queue.next_batch(1_000))
        self.queue.add(claim("b"), 1_010)
        _, data = self.queue.next_batch(1_010)
        self.assertEqual(len(data["entries"]), 2)

    def test_single_outcome_is_appended_after_four_intervals(self):
        """Guard against an outcome that is never appended while a copy waits for it."""
        self.queue.add(Settlement("a", "k", Outcome(200)), 1_000)
        self.assertEqual(self.queue.next_due_ms(), 1_200)
        batch_id, _ = self.queue.next_batch(1_200)
        self.queue.appended(batch_id)
        self.queue.add(claim("b"), 1_201)
        self.assertIsNotNone(self.queue.next_batch(1_201))

    def test_unconfirmed_batch_is_repeated_until_it_is_read(self):
        """Guard against losing a release or outcome when the response to its append is lost."""
        self.queue.add(Release("a", "k"), 0)
        batch_id, _ = self.queue.next_batch(0)
        self.queue.response_lost(batch_id, 0)
        self.assertIsNone(self.queue.next_batch(50))
        self.queue.appended(batch_id)
        self.assertIsNone(self.queue.next_batch(1_000))

    def test_release_of_an_attempted_claim_is_appended(self):
        """Guard against a late claim that blocks its key because the release was dropped."""
        self.queue.add(claim("a"), 0)
        self.queue.response_lost(self.queue.next_batch(0)[0], 0)
        self.queue.add(Release("a", "k"), 1)
        _, data = self.queue.next_batch(1_000)
        self.assertEqual(data["entries"], [Release("a", "k").to_entry()])

    def test_release_of_a_claim_that_was_never_appended_is_not_needed(self):
        """Guard against unnecessary appends when calls time out during a log outage."""
        self.queue.add(claim("a"), 0)
        self.queue.add(Release("a", "k"), 1)
        self.assertEqual(len(self.queue), 0)

    def test_outage_drops_only_claims_that_cannot_be_in_the_log(self):
        """Guard against a claim that is reported as 'not_run' but is appended later."""
        self.queue.add(claim("a"), 0)
        self.queue.response_lost(self.queue.next_batch(0)[0], 0)
        self.queue.add(claim("b"), 1)
        batch_id, _ = self.queue.next_batch(1_000)
        self.assertEqual(self.queue.refused(batch_id, 1_000, drop_claims=True), ["b"])


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = ClaimTable(100_000, 400_000)

    def read(self, first_offset, *records):
        return self.table.read_page(first_offset, list(records), T0)

    def test_gap_is_detected(self):
        """Guard against a run after the log has dropped unread claims."""
        self.read(0, record(0, T0 + 10, claim("a", "other")))
        old = claim("b", created_ms=T0 - 90_000)
        notices = self.table.read_page(5, [record(5, T0 + 200, old)], T0 + 300_000)
        self.assertEqual(notices, [Void("b", "k")])

    def test_start_on_an_idle_stream_is_covered_by_the_retention(self):
        """Guard against an instance that refuses calls after a start on an idle stream."""
        self.assertEqual(self.read(5, record(5, T0, claim("b"))), [Won("b", "k")])
        self.assertTrue(self.table.covers(T0 - 100_000))

    def test_expired_entries_are_dropped(self):
        """Guard against a table that grows without limit."""
        for number in range(10):
            time_ms = T0 + number * 100_000
            self.read(0, record(number, time_ms, claim(f"c{number}", f"k{number}", time_ms)))
        self.assertLess(len(self.table), 5)

    def test_size_of_bodies_is_limited(self):
        """Guard against outcomes that exhaust the memory of the instance."""
        body = b"x" * 4_096
        for number in range(5_000):
            outcome = Settlement(f"c{number}", f"k{number}", Outcome(200, "", body))
            self.read(0, record(number, T0, claim(f"c{number}", f"k{number}"), outcome))
        kept = sum(self.table.get(f"k{n}").outcome.body is not None for n in range(5_000))
        self.assertEqual(kept, 4_096)


if __name__ == "__main__":
    unittest.main()
