"""Exhaustive checks of the claim protocol, with and without its mechanisms."""

import unittest
from dataclasses import replace

from ibispaddle_core.idempotency import ClaimTable, ClaimWon, Send, State, Won, transition
from minicheck import check_safety

from .claims import ClaimsModel


class AnyClaimTable(ClaimTable):
    """Variant: every claim that is read wins."""

    def _fold_claim(self, claim):
        super()._fold_claim(claim)
        return Won(claim.claim_id, claim.key_hash)


class NoTombstoneTable(ClaimTable):
    """Variant: a release is ignored if its claim has not been read."""

    def _fold_release(self, release):
        entry = self.get(release.key_hash)
        if entry is None or entry.holder != release.claim_id:
            return None
        return super()._fold_release(release)


class RepeatedClaimTable(ClaimTable):
    """Variant: a released claim becomes valid again when its append is repeated."""

    def _fold_claim(self, claim):
        entry = self.get(claim.key_hash)
        if entry is not None:
            entry.excluded_ids = ()
        return super()._fold_claim(claim)


def send_after_refusal(session, event):
    """Variant of `transition`: a call is sent although it was refused before its claim was read."""
    if session.state is State.DONE and session.attempt == 0 and isinstance(event, ClaimWon):
        return replace(session, state=State.SENDING), (Send(session.deadline_ms),)
    return transition(session, event)


SMALL = {"max_repeats": 0, "crashes": False}


class ClaimsModelTest(unittest.TestCase):
    def verdicts(self, *names, **options):
        found = check_safety(ClaimsModel(**options).protocol(*names), max_states=600_000)
        return {name: result["holds"] for name, result in found["properties"].items()}

    def check_refuted(self, name, **options):
        self.assertEqual(self.verdicts(name, **options), {name: False})

    def test_two_copies_with_crashes_and_repeated_appends(self):
        """Guard against a second run, a wrong response or a blocked key in any interleaving."""
        self.assertEqual(set(self.verdicts().values()), {True})

    def test_three_copies(self):
        """Guard against a fault that only occurs with three copies of a call."""
        verdicts = self.verdicts(copies=3, max_attempts=0, batch_reads=True, expiring=1, **SMALL)
        self.assertEqual(set(verdicts.values()), {True})

    def test_log_order_is_needed(self):
        """Guard against a model that does not detect two runs."""
        self.check_refuted("at_most_one_run", table_type=AnyClaimTable, **SMALL)

    def test_refused_call_must_not_be_sent(self):
        """Guard against a model that does not detect a wrong 'not_run'."""
        self.check_refuted("not_run_is_true", step=send_after_refusal, **SMALL)

    def test_early_release_has_to_be_remembered(self):
        """Guard against a model that does not detect a key that is blocked by a late claim."""
        self.check_refuted("key_is_not_blocked", table_type=NoTombstoneTable, **SMALL)

    def test_released_claim_must_not_return(self):
        """Guard against a model that does not detect a repeated append of a released claim."""
        self.check_refuted("key_is_not_blocked", table_type=RepeatedClaimTable, crashes=False)

    def test_not_run_applies_to_one_copy_only(self):
        """Guard against a documented guarantee that does not hold: another copy may have run."""
        self.check_refuted("not_run_holds_for_the_key", **SMALL)

    def test_lease_is_not_sufficient(self):
        """Guard against leases: a copy that was paused would run after another copy has run."""
        self.check_refuted("at_most_one_run", leases=True, **SMALL)


if __name__ == "__main__":
    unittest.main()
