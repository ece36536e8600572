"""Exhaustive checks of the configuration protocol, with and without its mechanisms."""

import unittest

from ibispaddle_core.configuration import ConfigReader, ConfigState
from minicheck import check_safety

from .configuration import ConfigModel


class HighestRevisionReader(ConfigReader):
    """Variant: starts from a snapshot even if records after its `as_of` were dropped."""

    def _find_initial_state(self):
        super()._find_initial_state()
        for record in self._unfolded:
            if self.state is None and "snapshot" in record.data:
                snapshot = ConfigState.from_record(record.data)
                self.state = ConfigState(
                    self._block_start - 1,
                    snapshot.revision,
                    snapshot.layers,
                    snapshot.recent,
                    snapshot.last_change,
                )


class GapIgnoringReader(ConfigReader):
    """Variant: applies the records after a gap to the state before the gap."""

    def _fold_pending(self):
        if self.state is not None and self.state.as_of + 1 < self._block_start:
            state = self.state
            self.state = ConfigState(
                self._block_start - 1, state.revision, state.layers, state.recent, state.last_change
            )
        return super()._fold_pending()


class ConfigModelTest(unittest.TestCase):
    def verdicts(self, *names, **options):
        protocol = ConfigModel(changes=2, **options).protocol(*names)
        found = check_safety(protocol, max_states=600_000)
        return {name: result["holds"] for name, result in found["properties"].items()}

    def test_readers_agree_in_every_interleaving(self):
        """Guard against a reader whose state differs from the one that the log order defines."""
        self.assertEqual(set(self.verdicts().values()), {True})

    def test_usable_snapshots_are_needed(self):
        """Guard against a model that does not detect a snapshot with a gap after it."""
        verdicts = self.verdicts("readers_agree", reader_type=HighestRevisionReader)
        self.assertEqual(verdicts, {"readers_agree": False})

    def test_gaps_have_to_be_detected(self):
        """Guard against a model that does not detect records that retention has removed."""
        verdicts = self.verdicts("readers_agree", reader_type=GapIgnoringReader)
        self.assertEqual(verdicts, {"readers_agree": False})


if __name__ == "__main__":
    unittest.main()
