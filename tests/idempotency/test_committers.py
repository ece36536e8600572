"""Unit tests of the committer and its client; see also `test_fleet` and `tests.models`."""

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


def claim_request(claim_id, is_query=False):
    return ClaimRequest(Claim(claim_id, "0" * 32, "r", T0), is_query)


class CommitterClientTest(unittest.TestCase):
    def setUp(self):
        self.committer_client = CommitterClient(lambda partition: ("a", "b"), "b")
        self.committer_client.add(0, claim_request("c"), 0, 60_000)

    def targets(self, *times_ms):
        return [
            item.instance_id
            for now_ms in times_ms
            for item in self.committer_client.due_messages(now_ms)
        ]

    def test_unresponsive_committer_is_avoided(self):
        """Guard against a call that waits until its deadline for a paused committer."""
        self.assertEqual(self.targets(0, 150, 300, 450, 600), ["a", "a", "b", "b", "a"])

    def test_committer_that_waits_for_the_log_is_not_replaced(self):
        """Guard against a slow log that makes all instances act as committers."""
        self.assertEqual(self.targets(0, 150), ["a", "a"])
        self.committer_client.record_response("c", "a", 160)
        self.assertEqual(self.targets(600, 660, 810), ["a", "a"])

    def test_lost_connection_causes_immediate_failover(self):
        """Guard against a delay when a committer crashes."""
        self.assertEqual(self.targets(0), ["a"])
        self.committer_client.connection_lost("a", 10)
        self.assertEqual(self.targets(10), ["b"])


class CommitterTest(unittest.TestCase):
    def setUp(self):
        self.committer = Committer("a/1/0", 100_000, 400_000, 50)

    def verdicts(self, *messages, instance_id="i"):
        found = [self.committer.receive(instance_id, m, 0, True) for m in messages]
        return [item.message.verdict for outgoing in found for item in outgoing]

    def test_appends_nothing_before_the_stream_is_read(self):
        """Guard against appending a claim while earlier claims have not been read."""
        self.assertEqual(self.verdicts(claim_request("c")), [ClaimVerdict.PENDING])
        self.assertIsNone(self.committer.queue.next_batch(0))
        self.committer.read_page(0, [], 0, 0, T0)
        self.assertIsNotNone(self.committer.queue.next_batch(0))

    def test_queued_claim_is_decided_by_its_position_in_the_stream(self):
        """Guard against a LOST response for a claim that may still come first."""
        self.committer.read_page(0, [], 0, 0, T0)
        self.assertEqual(self.verdicts(claim_request("c")), [])
        other = {"entries": [Claim("d", "0" * 32, "r", T0).to_entry()]}
        self.committer.read_page(0, [LogRecord(0, T0, other)], 1, 0, T0)
        self.assertEqual(self.verdicts(claim_request("c")), [ClaimVerdict.CONTESTED])

    def test_query_appends_nothing(self):
        """Guard against appending a claim that no call waits for."""
        self.committer.read_page(0, [], 0, 0, T0)
        self.assertEqual(self.verdicts(claim_request("c", is_query=True)), [ClaimVerdict.FREED])
        self.assertEqual(len(self.committer.queue), 0)

    def test_interval_doubles_with_many_clients(self):
        """Guard against exceeding the append rate of the log in a large fleet."""
        for number in range(10):
            self.assertEqual(self.committer.queue.interval_ms, 50)
            self.verdicts(claim_request(f"c{number}"), instance_id=f"i{number}")
        self.assertEqual(self.committer.queue.interval_ms, 100)


if __name__ == "__main__":
    unittest.main()
