"""Tests of the client of the platform's log, with a log server in the test process."""

import time
import unittest

from ibispaddle_daemon.events import drain_completed, log_append, log_follow
from ibispaddle_daemon.platform_log import LogFailure, log_follow_since, log_unfollow

from tests.support.waiting import wait_until

from .support import FakeLog, FollowerRoot


class LogTest(unittest.TestCase):
    times_ms: tuple[int, ...] = ()

    def setUp(self):
        self.fake = FakeLog(self.times_ms)
        self.addCleanup(self.fake.close)
        self.root = FollowerRoot(self.fake.url)
        self.follower = self.root.follower
        self.root.__enter__()
        self.addCleanup(self.root.__exit__)

    def append(self, token):
        self.root.fire(log_append("s", {"token": token}, token, "follower"), "*")
        wait_until(lambda: token in self.follower.appended, "answer to the append")
        return self.follower.appended[token]


class AppendTest(LogTest):
    def test_offset_is_reported(self):
        """Guard against an append whose response does not reach its sender."""
        self.assertEqual(self.append("a"), (0, None))
        self.assertEqual(self.append("b"), (1, None))

    def test_lost_responses_are_distinguished_from_refusals(self):
        """Guard against reporting a record as not appended although it was."""
        self.fake.responses = [429, 503, "close", 500, 400]
        found = [self.append(n)[1].failure for n in range(5)]
        lost = LogFailure.LOST
        expected = [LogFailure.RATE, LogFailure.OUTAGE, lost, lost, LogFailure.INVALID]
        self.assertEqual(found, expected)

    def test_malformed_append_response_counts_as_lost(self):
        """Guard against a crash or a definite result after a response that cannot be decoded."""
        self.fake.body = b"[]"
        self.assertIs(self.append("a")[1].failure, LogFailure.LOST)

    def test_unreachable_log_is_an_outage(self):
        """Guard against an undetermined result when no connection was made."""
        with FollowerRoot("http://127.0.0.1:1") as root:
            root.fire(log_append("s", {}, "t", "follower"), "*")
            wait_until(lambda: "t" in root.follower.appended, "answer")
            self.assertIs(root.follower.appended["t"][1].failure, LogFailure.OUTAGE)


class FollowTest(LogTest):
    def follow(self, offset=0):
        self.root.fire(log_follow("s", offset, "follower"), "*")

    def test_records_arrive_once_and_in_order(self):
        """Guard against records that a tail skips or repeats."""
        self.follow()
        for number in range(20):
            self.append(number)
        wait_until(lambda: len(self.follower.records) >= 20, "records")
        self.assertEqual([r.offset for r in self.follower.records], list(range(20)))

    def test_empty_stream_is_reported(self):
        """Guard against an instance that never learns that the log is empty."""
        self.follow()
        wait_until(lambda: self.follower.pages, "page")
        self.assertEqual(self.follower.pages[0], (0, 0, 0))

    def test_tail_uses_long_polling(self):
        """Guard against a tail that polls continuously."""
        self.follow()
        time.sleep(0.5)
        self.assertLess(len(self.fake.reads), 6)
        self.assertGreater(self.fake.reads[-1]["wait_ms"], 0)

    def test_tail_continues_after_an_outage(self):
        """Guard against a tail that ends at an outage or polls without back-off."""
        self.follow()
        wait_until(lambda: self.follower.pages, "page")
        self.fake.read_status = 503
        wait_until(lambda: self.follower.health[-1:] == [False], "outage")
        reads = len(self.fake.reads)
        time.sleep(0.5)
        self.assertLess(len(self.fake.reads) - reads, 6)
        self.fake.read_status = 200
        self.assertIsNone(self.append("a")[1])
        wait_until(lambda: self.follower.records, "record")
        self.assertIs(self.follower.health[-1], True)

    def test_outage_that_only_an_ended_tail_has_seen(self):
        """Guard against a log that counts as unavailable until it ends the held read of another tail."""
        self.fake.max_hold_s = 5.0
        self.follow()
        wait_until(lambda: self.fake.reads and self.fake.reads[-1]["wait_ms"], "long poll")
        self.fake.read_status = 503
        self.root.fire(log_follow("t", 0, "follower"), "*")
        wait_until(lambda: self.follower.health[-1:] == [False], "outage")
        self.fake.read_status = 200
        self.root.fire(log_unfollow("t", "follower"), "*")
        wait_until(lambda: self.follower.health[-1:] == [True], "recovery", 2)

    def test_malformed_page_is_a_failure_of_the_log(self):
        """Guard against a tail that ends or skips records after a page that cannot be decoded."""
        self.fake.body = b'{"first_offset": 0'
        self.follow()
        wait_until(lambda: False in self.follower.health, "failure")
        self.fake.body = None
        wait_until(lambda: self.follower.health[-1:] == [True], "recovery")

    def test_truncation_of_the_log_is_reported(self):
        """Guard against a gap in the stream that its reader does not notice."""
        for number in range(5):
            self.append(number)
        self.fake.first_offset = 3
        self.follow()
        wait_until(lambda: len(self.follower.records) == 2, "records")
        self.assertEqual(self.follower.pages[0][1], 3)

    def test_planned_stop_ends_the_tails(self):
        """Guard against a graceful shutdown that waits for a long poll."""
        self.follow()
        wait_until(lambda: len(self.fake.reads) > 1, "long poll")
        self.root.fire(drain_completed("requests"), "*")
        wait_until(lambda: self.root.log.calls_in_flight == 0, "end of the tail")


class HealthTest(LogTest):
    def test_failed_append_is_a_temporary_outage(self):
        """Guard against calls that wait for a log that only serves reads, or an endless outage."""
        self.root.fire(log_follow("s", 0, "follower"), "*")
        wait_until(lambda: self.follower.health == [True], "health")
        self.fake.responses = [503]
        self.append("a")
        self.assertEqual(self.follower.health, [True, False])
        wait_until(lambda: self.follower.health == [True, False, True], "another attempt")

    def test_single_lost_response_is_no_outage(self):
        """Guard against refusing calls after the log closed a keep-alive connection."""
        self.root.fire(log_follow("s", 0, "follower"), "*")
        wait_until(lambda: self.follower.health == [True], "health")
        self.fake.responses = ["close"]
        self.append("a")
        self.append("b")
        self.assertEqual(self.follower.health, [True])


class LocateTest(LogTest):
    def test_tail_starts_at_records_of_the_given_age(self):
        """Guard against a tail that reads a day of records or misses records of the window."""
        now = int(time.time() * 1000)
        for ages_s, first in (
            ((), 0),
            ((500, 400, 300, 200, 150, 90, 50, 1), 5),
            ((90, 50), 0),
            ((500, 400), 2),
            ((500, 90, 90, 90), 1),
        ):
            fake = FakeLog([now - 1000 * age for age in ages_s])
            self.addCleanup(fake.close)
            with FollowerRoot(fake.url) as root:
                root.fire(log_follow_since("s", 100_000, "follower"), "*")
                wait_until(lambda: root.follower.located and root.follower.pages, "start")
                self.assertEqual(root.follower.located, [first], ages_s)
                offsets = [record.offset for record in root.follower.records]
                self.assertEqual(offsets, list(range(first, len(ages_s))))


if __name__ == "__main__":
    unittest.main()
