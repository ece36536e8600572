"""Tests of change submission: validation before the append, conflicts and lost responses."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.configuration import (
    Applied,
    Change,
    ChangeRejected,
    ChangeSubmission,
    ConfigReader,
    ConfigState,
    Conflict,
    Unavailable,
    Undetermined,
)

from .oracle import FakeLog


def change(change_id="c1", expected=-1, layer="base", document=None, author="ann"):
    return Change(change_id, expected, layer, document or {}, author)


class Operator:
    """An operator who submits a change at a separate instance."""

    def __init__(self, log, change):
        self.log = log
        self.reader = ConfigReader()
        self.submission = ChangeSubmission(change, deadline_ms=10_000)
        self.pending = None
        self.read()

    def read(self):
        page = self.log.read(self.reader.position, 100)
        self.submission.add_results(self.reader.read_page(self.log.first_offset, page))

    def step(self, response_lost=False):
        if self.pending is None:
            self.pending = self.submission.next_append(self.reader.state, self.reader.is_current)
        else:
            self.log.append(self.pending)
            if response_lost:
                self.submission.append_failed(True, "closed")
            else:
                self.submission.appended()
            self.pending = None
            self.read()


class ChangeSubmissionTest(unittest.TestCase):
    def test_invalid_change_is_not_appended(self):
        """Guard against an accepted change that no instance can use."""
        submission = ChangeSubmission(change(document={"modles": {}}), 10_000)
        self.assertIsNone(submission.next_append(ConfigState(), True))
        self.assertIsInstance(submission.outcome, ChangeRejected)

    def test_base_change_is_checked_with_every_overlay(self):
        """Guard against a base change that is valid on its own but invalid at one site."""
        overlay = {"workspaces": {"w": {"neighbour": "n"}}}
        state = ConfigState(1, 1, {"base": {"neighbours": {"n": {}}}, "site:x": overlay})
        submission = ChangeSubmission(change(expected=1, document={}), 10_000)
        self.assertIsNone(submission.next_append(state, True))
        self.assertEqual(submission.outcome.messages[0].id, "settings.E010")

    def test_first_change_must_be_the_base_layer(self):
        """Guard against an overlay that replaces the base file with an empty document."""
        submission = ChangeSubmission(change(layer="site:x"), 10_000)
        self.assertIsNone(submission.next_append(ConfigState(), True))
        self.assertEqual(submission.outcome.messages[0].id, "configuration.E001")

    def test_outdated_expected_revision_conflicts_before_the_append(self):
        """Guard against a useless record for a conflict that is already known."""
        log = FakeLog()
        log.append(change("other").to_record())
        operator = Operator(log, change("mine", expected=-1))
        operator.step()
        self.assertEqual(operator.submission.outcome.winner.change_id, "other")
        self.assertEqual(log.next_offset, 1)

    def test_expected_revision_ahead_of_the_instance_waits(self):
        """Guard against a false conflict at an instance that has not read the revision yet."""
        submission = ChangeSubmission(change(expected=4), 10_000)
        self.assertIsNone(submission.next_append(ConfigState(2, 2, {"base": {}}), True))
        self.assertIsNone(submission.outcome)
        self.assertIsNotNone(submission.next_append(ConfigState(4, 4, {"base": {}}), True))

    def test_lost_response_is_resolved_by_the_change_id(self):
        """Guard against a response that reports an accepted change as failed."""
        operator = Operator(FakeLog(), change())
        operator.step()
        operator.step(response_lost=True)
        self.assertEqual(operator.submission.outcome, Applied(0))

    def test_lost_response_without_record_is_undetermined(self):
        """Guard against a definite result for an append that may still arrive."""
        operator = Operator(FakeLog(), change())
        operator.step()
        operator.submission.append_failed(True, "closed")
        operator.submission.tick(10_000)
        self.assertEqual(operator.submission.outcome, Undetermined("c1"))

    def test_rejected_append_is_unavailable(self):
        """Guard against an operator who waits for a record that was never appended."""
        operator = Operator(FakeLog(), change())
        operator.step()
        operator.submission.append_failed(False, "503")
        self.assertIsInstance(operator.submission.outcome, Unavailable)

    def test_repeated_request_returns_the_first_result(self):
        """Guard against a second effect when the operator's client retries at another instance."""
        log = FakeLog()
        log.append(change().to_record())
        log.append(change("c2", expected=0).to_record())
        operator = Operator(log, change())
        operator.step()
        self.assertEqual(operator.submission.outcome, Applied(0))
        self.assertEqual(log.next_offset, 2)

    def test_reused_change_id_is_rejected(self):
        """Guard against a success report for a document that was never applied."""
        log = FakeLog()
        log.append(change().to_record())
        operator = Operator(log, change(document={"limits": {}}))
        operator.step()
        self.assertEqual(operator.submission.outcome.messages[0].id, "configuration.E002")

    def test_peer_state_resolves_a_submission(self):
        """Guard against a change that is never resolved because a peer's state skipped its record."""
        submission = ChangeSubmission(change(), 10_000)
        submission.next_append(ConfigState(), True)
        reader = ConfigReader()
        log = FakeLog()
        log.append(change().to_record())
        reader.read_page(0, log.read(0, 10))
        submission.state_replaced(reader.state)
        self.assertEqual(submission.outcome, Applied(0))


class ConcurrentChangesTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(
        order=st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=12),
        count=st.integers(2, 3),
    )
    def test_exactly_one_concurrent_change_is_accepted(self, order, count):
        """Guard against two accepted changes to one revision and a rejection without a reason."""
        log = FakeLog()
        log.append(change("first").to_record())
        operators = [
            Operator(log, change(f"c{number}", expected=0, author=f"o{number}"))
            for number in range(count)
        ]
        rest = [(number, False) for number in range(count)] * 2
        for number, lost in [*order, *rest]:
            operator = operators[number % count]
            if operator.submission.outcome is None:
                operator.step(lost)
        outcomes = [operator.submission.outcome for operator in operators]
        winners = [n for n, outcome in enumerate(outcomes) if isinstance(outcome, Applied)]
        self.assertEqual(len(winners), 1)
        for outcome in outcomes:
            if isinstance(outcome, Conflict):
                self.assertEqual(outcome.winner.change_id, f"c{winners[0]}")
                self.assertEqual(outcome.revision, outcomes[winners[0]].revision)
            else:
                self.assertIsInstance(outcome, Applied)


if __name__ == "__main__":
    unittest.main()
