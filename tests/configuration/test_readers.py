"""Property-based tests that readers of the `config` stream agree, whenever they start."""

import unittest
from dataclasses import replace
from functools import partial
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from ibispaddle_core.configuration import (
    Change,
    ConfigReader,
    ConfigRestart,
    ConfigState,
    LogRecord,
)

from tests.state_machines import run_state_machine

from .oracle import FakeLog, Oracle

RECENT_CHANGES = 6
CHANGE_IDS = st.sampled_from([f"c{number}" for number in range(20)])
LAYERS = st.sampled_from(["base", "site:north", "site:south"])


class ReaderMachine(RuleBasedStateMachine):
    """Start readers at any time, truncate the log and append outdated snapshots."""

    reader_type = ConfigReader
    oracle_type = Oracle

    @initialize()
    def start(self):
        self.log = FakeLog()
        self.oracle = self.oracle_type(RECENT_CHANGES)
        self.restarts: list[tuple[dict, int]] = []
        self.effective_restarts: set[str] = set()
        self.readers: list[ConfigReader] = []
        self.delayed_snapshots: list[dict] = []
        self.highest: dict[int, int] = {}
        self.bridged = 0

    def append(self, data: dict) -> None:
        self.log.append(data)
        self.oracle.add(self.log.records[-1])

    @rule(change_id=CHANGE_IDS, layer=LAYERS, behind=st.sampled_from([0, 0, 0, 1, 3]))
    def append_change(self, change_id, layer, behind):
        offsets = [offset for offset, _ in self.oracle.accepted]
        accepted = [-1, *sorted([*offsets, *self.oracle.restarts])]
        expected = accepted[max(0, len(accepted) - 1 - behind)]
        document = {"n": self.log.next_offset}
        self.append(Change(change_id, expected, layer, document, "ann").to_record())

    @rule(data=st.sampled_from([{}, {"change_id": 3}, {"snapshot": 1}, {"snapshot": {}}]))
    def append_malformed_record(self, data):
        self.append(data)

    @precondition(lambda self: any(reader.state for reader in self.readers))
    @rule(choice=st.integers(0, 9))
    def take_snapshot(self, choice):
        states = [reader.state for reader in self.readers if reader.state]
        self.delayed_snapshots.append(states[choice % len(states)].to_record())

    @precondition(lambda self: self.delayed_snapshots)
    @rule(choice=st.integers(0, 9))
    def append_snapshot_late(self, choice):
        self.append(self.delayed_snapshots[choice % len(self.delayed_snapshots)])

    @precondition(lambda self: self.log.next_offset > 0 and len(self.restarts) < 4)
    @rule(kept=st.sampled_from([0, 0, 1, 2]), at_once=st.booleans())
    def decide_restart(self, kept, at_once):
        """A new instance finds no state up to the end of the stream and creates a restart."""
        self.cut_log(kept)
        reader = self.reader_type(RECENT_CHANGES)
        reader.read_page(self.log.first_offset, self.log.read(0, kept))
        if reader.state is None:
            layers = {"base": {"restart": len(self.restarts)}}
            restart = ConfigRestart(f"r{len(self.restarts)}", reader.position, layers, "ann")
            self.restarts.append((restart.to_record(), self.oracle.views[-1][0]))
            self.readers[4:] = [reader]
            self.highest.pop(4, None)
            if at_once:
                self.append_restart_late(len(self.restarts) - 1, 1)

    @precondition(lambda self: self.restarts)
    @rule(choice=st.integers(0, 9), copies=st.integers(1, 2))
    def append_restart_late(self, choice, copies):
        """Append a restart late, twice or concurrently with the restart of another operator."""
        data, revision_at_creation = self.restarts[choice % len(self.restarts)]
        for _ in range(copies):
            before, count = self.oracle.views[-1][0], len(self.oracle.restarts)
            self.append(data)
            if len(self.oracle.restarts) > count:
                assert (
                    before == revision_at_creation
                ), "a change was accepted after the restart was created"
                restart_id = data["restart"]["restart_id"]
                assert restart_id not in self.effective_restarts, "a restart took effect twice"
                self.effective_restarts.add(restart_id)

    @rule(kept=st.integers(0, 6))
    def cut_log(self, kept):
        self.log.cut(self.log.next_offset - kept)

    @precondition(lambda self: len(self.readers) < 5)
    @rule()
    def start_reader(self):
        self.readers.append(self.reader_type(RECENT_CHANGES))

    @precondition(lambda self: self.readers)
    @rule(choice=st.integers(0, 4), limit=st.sampled_from([1, 2, 8, 100]))
    def read_page(self, choice, limit):
        reader = self.readers[choice % len(self.readers)]
        reader.read_page(self.log.first_offset, self.log.read(reader.position, limit))

    @precondition(lambda self: len(self.readers) > 1)
    @rule(source=st.integers(0, 4), receiver=st.integers(0, 4))
    def adopt_peer_state(self, source, receiver):
        state = self.readers[source % len(self.readers)].state
        if state is not None:
            self.readers[receiver % len(self.readers)].adopt(state)

    @invariant()
    def readers_agree_with_the_whole_log(self):
        for reader in self.readers:
            if reader.state is not None:
                state = reader.state
                assert (state.revision, state.layers) == self.oracle.view(state.as_of)

    @invariant()
    def revisions_never_go_back(self):
        for number, reader in enumerate(self.readers):
            if reader.state is not None:
                assert reader.state.revision >= self.highest.get(number, -1)
                self.highest[number] = reader.state.revision

    @invariant()
    def change_ids_take_effect_once_within_the_bound(self):
        last: dict[str, int] = {}
        for offset, change_id in self.oracle.accepted:
            if any(last.get(change_id, offset) < restart for restart in self.oracle.restarts):
                last[change_id] = offset  # A restart drops the known ids; revisions still differ.
                continue
            if change_id in last:
                between = self.log.records[last[change_id] + 1 : offset]
                ids = {str(record.data.get("change_id")) for record in between}
                assert len(ids) >= RECENT_CHANGES
            last[change_id] = offset

    @invariant()
    def a_repeated_record_takes_effect_once(self):
        effects = [
            (change_id, self.log.records[offset].data["expected_revision"])
            for offset, change_id in self.oracle.accepted
        ]
        assert len(set(effects)) == len(effects)

    @invariant()
    def readers_at_the_end_with_a_usable_snapshot_are_current(self):
        for reader in self.readers:
            if reader.position == 0 or reader.position < self.log.next_offset:
                continue
            retained = self.log.records[reader._block_start : reader.position]
            usable = any(
                isinstance(record.data.get("snapshot"), dict)
                and record.data["snapshot"].get("as_of", -9) >= reader._block_start - 1
                for record in retained
            )
            usable |= any(reader._block_start <= r < reader.position for r in self.oracle.restarts)
            if usable:
                assert reader.is_current


class AnySnapshotReader(ConfigReader):
    """Start from any snapshot, even if records after its `as_of` are missing."""

    def _find_initial_state(self):
        super()._find_initial_state()
        for record in self._unfolded:
            snapshot = record.data.get("snapshot")
            if isinstance(snapshot, dict) and "revision" in snapshot:
                state = ConfigState.from_record(record.data)
                self.state = ConfigState(
                    self._block_start - 1,
                    min(state.revision, self._block_start - 1),
                    state.layers,
                    state.recent,
                    state.last_change,
                )


class AnySnapshotMachine(ReaderMachine):
    reader_type = AnySnapshotReader


class AnyOffsetRestartMachine(ReaderMachine):
    """Accept a restart at any offset."""

    oracle_type = partial(Oracle, is_at_expected_offset=lambda offset, expected: True)


class KeepOwnStateReader(ConfigReader):
    """Ignore a restart if the reader already has a state."""

    def _fold(self, state, record):
        if "restart" in record.data and state.revision >= 0:
            return replace(state, as_of=record.offset), None
        return super()._fold(state, record)


class KeepOwnStateMachine(ReaderMachine):
    reader_type = KeepOwnStateReader


class ReaderTest(unittest.TestCase):
    def test_restart_offset_check_is_needed(self):
        """Guard against a property test that misses a restart that replaces a change."""
        name = "ibispaddle_core.configuration.{}.is_at_expected_offset"
        with (
            mock.patch(name.format("fold"), lambda restart, offset: True),
            mock.patch(name.format("restarts"), lambda restart, offset: True),
            self.assertRaises(AssertionError),
        ):
            run_state_machine(AnyOffsetRestartMachine, 250)

    def test_restart_must_apply_to_readers_with_a_state(self):
        """Guard against a property test that misses readers that disagree about a restart."""
        with self.assertRaises(AssertionError):
            run_state_machine(KeepOwnStateMachine, 500)

    def test_readers_agree(self):
        """Guard against readers that derive a different state after starting from a snapshot."""
        run_state_machine(ReaderMachine, 250)

    def test_snapshot_gap_check_is_needed(self):
        """Guard against a property test that misses a snapshot with a gap after it."""
        with self.assertRaises(AssertionError):
            run_state_machine(AnySnapshotMachine, 250)

    def test_gap_keeps_the_last_state(self):
        """Guard against a reader that folds records after a gap into its old state."""
        log, reader = FakeLog(), ConfigReader()
        log.append(Change("a", -1, "base", {"n": 1}, "ann").to_record())
        reader.read_page(0, log.read(0, 10))
        log.append(Change("b", 0, "base", {"n": 2}, "ann").to_record())
        log.append(Change("c", 0, "base", {"n": 3}, "ann").to_record())
        log.cut(2)
        reader.read_page(2, log.read(reader.position, 10))
        self.assertEqual(reader.state.revision, 0)
        self.assertFalse(reader.is_current)

    def test_log_without_retained_records_is_not_an_empty_log(self):
        """Guard against a start from the base file when retention has removed all records."""
        reader = ConfigReader()
        reader.read_page(7, [])
        self.assertIsNone(reader.state)
        self.assertFalse(reader.is_confirmed_empty)

    def test_empty_log_is_confirmed_by_a_page(self):
        """Guard against a start from the base file before the log was read."""
        reader = ConfigReader()
        self.assertFalse(reader.is_confirmed_empty)
        reader.read_page(0, [])
        self.assertTrue(reader.is_confirmed_empty)

    def test_snapshot_beyond_its_own_offset_is_ignored(self):
        """Guard against a snapshot record that claims to cover records after itself."""
        reader = ConfigReader()
        data = ConfigState(9, 9, {"base": {"n": 1}}).to_record()
        reader.read_page(4, [LogRecord(4, 0, data)])
        self.assertIsNone(reader.state)


if __name__ == "__main__":
    unittest.main()
