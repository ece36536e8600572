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
        """Guard against a key whose age is read wrongly and that runs after the window."""
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
        """Guard against a workspace that receives another workspace's answer."""
        keys = [scoped_key(name, "shop", "1700000000000-a") for name in ("a", "b")]
        self.assertEqual([key_created_ms(key) for key in keys], [T0, T0])
        self.assertNotEqual(hash_key(keys[0]), hash_key(keys[1]))

    def test_limits_of_the_window(self):
        """Guard against a window that is off by the tolerance."""
        self.assertIs(key_age(T0, T0 + 1_000, 1_000), KeyAge.USABLE)
        self.assertIs(key_age(T0, T0 + 1_001, 1_000), KeyAge.EXPIRED)
        self.assertIs(key_age(T0, T0 - 60_000, 1_000), KeyAge.USABLE)
        self.assertIs(key_age(T0, T0 - 60_001, 1_000), KeyAge.FUTURE)


class RecordTest(unittest.TestCase):
    def test_entries_survive_the_log(self):
        """Guard against an answer that a retry receives changed."""
        outcome = Outcome(201, "application/octet-stream", b"\x00\xff")
        entries = [claim("c"), Release("c", "k"), Settlement("c", "k", outcome)]
        self.assertEqual(list(read_entries(batch_record("b", entries))), entries)

    def test_malformed_entries_are_skipped(self):
        """Guard against one bad entry that stops every instance's tail."""
        good = claim("c").to_entry()
        data = {"entries": [None, {}, {"claim": "x"}, {"outcome": "c", "key": "k"}, good]}
        self.assertEqual(list(read_entries(data)), [claim("c")])

    def test_long_body_is_left_out(self):
        """Guard against records of any size in the log."""
        entry = Settlement("c", "k", Outcome(200, "", b"x" * 5_000)).to_entry()
        self.assertIsNone(entry["body"])


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = AppendQueue("i", 50, 10_000)

    def test_one_append_in_flight_and_one_per_interval(self):
        """Guard against an append per call, which would exceed the log's rate."""
        self.queue.add(claim("a"), 0)
        batch_id, _ = self.queue.next_batch(0)
        self.queue.add(claim("b"), 1)
        self.assertIsNone(self.queue.next_batch(100))
        self.queue.appended(batch_id)
        self.queue.add(claim("c"), 100)
        _, data = self.queue.next_batch(100)
        self.assertEqual(len(data["entries"]), 2)

    def test_rate_is_bounded_when_the_log_is_fast(self):
        """Guard against more appends than one per interval, and against bursts of more than two."""
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

    def test_outcome_travels_with_the_next_claim(self):
        """Guard against a claim that waits because an outcome was appended just before."""
        self.queue.add(Settlement("a", "k", Outcome(200)), 1_000)
        self.assertIsNone(self.queue.next_batch(1_000))
        self.queue.add(claim("b"), 1_010)
        _, data = self.queue.next_batch(1_010)
        self.assertEqual(len(data["entries"]), 2)

    def test_outcome_alone_is_appended_after_four_intervals(self):
        """Guard against an outcome that a waiting copy never sees."""
        self.queue.add(Settlement("a", "k", Outcome(200)), 1_000)
        self.assertEqual(self.queue.next_due_ms(), 1_200)
        batch_id, _ = self.queue.next_batch(1_200)
        self.queue.appended(batch_id)
        self.queue.add(claim("b"), 1_201)
        self.assertIsNotNone(self.queue.next_batch(1_201))

    def test_lost_batch_is_repeated_until_it_is_read(self):
        """Guard against a release or outcome that is lost with an append's answer."""
        self.queue.add(Release("a", "k"), 0)
        batch_id, _ = self.queue.next_batch(0)
        self.queue.response_lost(batch_id, 0)
        self.assertIsNone(self.queue.next_batch(50))
        self.queue.appended(batch_id)
        self.assertIsNone(self.queue.next_batch(1_000))

    def test_release_of_an_attempted_claim_is_appended(self):
        """Guard against a late claim that blocks its key because its release was dropped."""
        self.queue.add(claim("a"), 0)
        self.queue.response_lost(self.queue.next_batch(0)[0], 0)
        self.queue.add(Release("a", "k"), 1)
        _, data = self.queue.next_batch(1_000)
        self.assertEqual(data["entries"], [Release("a", "k").to_entry()])

    def test_release_of_a_claim_that_was_never_appended_is_not_needed(self):
        """Guard against needless appends when callers time out during a log outage."""
        self.queue.add(claim("a"), 0)
        self.queue.add(Release("a", "k"), 1)
        self.assertEqual(len(self.queue), 0)

    def test_outage_drops_only_claims_that_cannot_be_in_the_log(self):
        """Guard against a claim that is answered 'not_run' as refused and arrives later."""
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

    def test_gap_is_noticed(self):
        """Guard against a run after the log dropped claims that were not read."""
        self.read(0, record(0, T0 + 10, claim("a", "other")))
        old = claim("b", created_ms=T0 - 90_000)
        notices = self.table.read_page(5, [record(5, T0 + 200, old)], T0 + 300_000)
        self.assertEqual(notices, [Void("b", "k")])

    def test_start_on_a_quiet_stream_is_covered_by_the_retention(self):
        """Guard against an instance that refuses calls after each start on a quiet stream."""
        self.assertEqual(self.read(5, record(5, T0, claim("b"))), [Won("b", "k")])
        self.assertTrue(self.table.covers(T0 - 100_000))

    def test_expired_entries_are_dropped(self):
        """Guard against a table that grows for ever."""
        for number in range(10):
            time_ms = T0 + number * 100_000
            self.read(0, record(number, time_ms, claim(f"c{number}", f"k{number}", time_ms)))
        self.assertLess(len(self.table), 5)

    def test_bodies_are_bounded(self):
        """Guard against outcomes that fill the instance's memory."""
        body = b"x" * 4_096
        for number in range(5_000):
            outcome = Settlement(f"c{number}", f"k{number}", Outcome(200, "", body))
            self.read(0, record(number, T0, claim(f"c{number}", f"k{number}"), outcome))
        kept = sum(self.table.get(f"k{n}").outcome.body is not None for n in range(5_000))
        self.assertEqual(kept, 4_096)


if __name__ == "__main__":
    unittest.main()
