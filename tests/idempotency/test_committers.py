"""Tests of committers and of the delivery to them, beyond the fleet's and the model's."""

import unittest

from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import (
    Claim,
    ClaimRequest,
    ClaimVerdict,
    Committer,
    CommitterClient,
)

T0 = 1_700_000_000_000


def ask(claim_id, is_query=False):
    return ClaimRequest(Claim(claim_id, "0" * 32, "r", T0), is_query)


class CourierTest(unittest.TestCase):
    def setUp(self):
        self.committer_client = CommitterClient(lambda partition: ("a", "b"))
        self.committer_client.add(0, ask("c"), 0, 60_000)

    def targets(self, *times_ms):
        return [
            item.instance_id
            for now_ms in times_ms
            for item in self.committer_client.due_messages(now_ms)
        ]

    def test_silent_committer_is_passed_over(self):
        """Guard against a call that waits until its deadline for a paused committer."""
        self.assertEqual(self.targets(0, 150, 300, 450, 600), ["a", "a", "b", "b", "a"])

    def test_committer_that_waits_for_the_log_is_kept(self):
        """Guard against a slow log that makes every instance follow and append."""
        self.assertEqual(self.targets(0, 150), ["a", "a"])
        self.committer_client.record_response("c", "a", 160)
        self.assertEqual(self.targets(600, 660, 810), ["a", "a"])

    def test_lost_connection_asks_the_next_at_once(self):
        """Guard against a wait when a committer dies."""
        self.assertEqual(self.targets(0), ["a"])
        self.committer_client.connection_lost("a", 10)
        self.assertEqual(self.targets(10), ["b"])


class CommitterTest(unittest.TestCase):
    def setUp(self):
        self.committer = Committer("a/1/0", 100_000, 400_000, 50)

    def verdicts(self, *messages, instance_id="i"):
        found = [self.committer.receive(instance_id, m, 0, True) for m in messages]
        return [item.message.verdict for outgoing in found for item in outgoing]

    def test_answers_nothing_before_the_window_is_read(self):
        """Guard against a claim that is appended next to one which was not read yet."""
        self.assertEqual(self.verdicts(ask("c")), [ClaimVerdict.PENDING])
        self.assertIsNone(self.committer.queue.next_batch(0))
        self.committer.read_page(0, [], 0, 0, T0)
        self.assertIsNotNone(self.committer.queue.next_batch(0))

    def test_own_place_in_the_stream_decides(self):
        """Guard against an instance that is told it lost while its claim may still come first."""
        self.committer.read_page(0, [], 0, 0, T0)
        self.assertEqual(self.verdicts(ask("c")), [])
        other = {"entries": [Claim("d", "0" * 32, "r", T0).to_entry()]}
        self.committer.read_page(0, [LogRecord(0, T0, other)], 1, 0, T0)
        self.assertEqual(self.verdicts(ask("c")), [ClaimVerdict.CONTESTED])

    def test_query_appends_nothing(self):
        """Guard against a claim that nobody waits for any more."""
        self.committer.read_page(0, [], 0, 0, T0)
        self.assertEqual(self.verdicts(ask("c", is_query=True)), [ClaimVerdict.FREED])
        self.assertEqual(len(self.committer.queue), 0)

    def test_interval_doubles_with_many_users(self):
        """Guard against more appends than the log takes when the fleet is large."""
        for number in range(10):
            self.assertEqual(self.committer.queue.interval_ms, 50)
            self.verdicts(ask(f"c{number}"), instance_id=f"i{number}")
        self.assertEqual(self.committer.queue.interval_ms, 100)


if __name__ == "__main__":
    unittest.main()
