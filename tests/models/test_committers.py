"""Exhaustive checks of the claim protocol with two committers, with and without its mechanisms."""

import unittest

from minicheck import check_safety

from .committers import CommittersModel


class CommittersModelTest(unittest.TestCase):
    def verdicts(self, *names, max_states=600_000, **options):
        protocol = CommittersModel(**{"max_attempts": 0} | options).protocol(*names)
        found = check_safety(protocol, max_states=max_states)
        return {name: result["holds"] for name, result in found["properties"].items()}

    def check_refuted(self, name, **options):
        self.assertEqual(self.verdicts(name, max_states=60_000, **options), {name: False})

    def test_two_committers(self):
        """Guard against a second run or a blocked key when two instances act as committer."""
        self.assertEqual(set(self.verdicts(multi_committer_copies=1, expiring=2).values()), {True})

    def test_claim_again_through_another_committer(self):
        """Guard against a copy whose earlier claim blocks the key after the copy claimed again."""
        verdicts = self.verdicts(max_attempts=1, multi_committer_copies=1, expiring=0)
        self.assertEqual(set(verdicts.values()), {True})

    def test_queues_of_two_committers(self):
        """Guard against a claim that is still appended after it was refused or cancelled."""
        verdicts = self.verdicts(copies=1, has_queues=True, expiring=1, max_resends=1)
        self.assertEqual(set(verdicts.values()), {True})

    def test_two_copies_with_queues(self):
        """Guard against a second run or a blocked key when a committer refuses and the other one is asked."""
        verdicts = self.verdicts(has_queues=True, multi_committer_copies=1, expiring=1)
        self.assertEqual(set(verdicts.values()), {True})

    def test_log_order_is_needed(self):
        """Guard against a committer that decides without reading the stream."""
        self.check_refuted("at_most_one_run", log_order=False, expiring=0)

    def test_pending_claim_has_to_be_released(self):
        """Guard against a lost claim that is appended after the first claim was released."""
        self.check_refuted(
            "key_is_not_blocked",
            releases_pending_claims=False,
            multi_committer_copies=1,
            expiring=1,
        )

    def test_refusal_is_certain_only_if_one_committer_received_the_claim(self):
        """Guard against a blocked key: another committer may have appended the refused claim."""
        self.check_refuted(
            "key_is_not_blocked", copies=1, has_queues=True, expiring=1, always_certain=True
        )

    def test_refusal_is_certain_only_if_the_committer_received_the_claim_once(self):
        """Guard against a blocked key: the committer may append the claim when it receives it again."""
        options = {"copies": 1, "has_queues": True, "expiring": 1, "max_resends": 1}
        self.check_refuted("key_is_not_blocked", ignores_resends=True, **options)

    def test_release_cancels_only_a_claim_that_was_sent_once(self):
        """Guard against a release that is dropped while another committer has queued the claim."""
        self.check_refuted(
            "key_is_not_blocked", copies=1, has_queues=True, expiring=1, always_sent_once=True
        )


if __name__ == "__main__":
    unittest.main()
