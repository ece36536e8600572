"""Tests of the usage aggregate: all readers agree, and no usage is counted twice."""

import unittest

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from ibispaddle_core.usage import (
    BOOT_EXPIRY_MS,
    MAX_PART_BYTES,
    Counts,
    RollupCollector,
    UsageAggregate,
    UsageAggregateReader,
    UsageRecord,
    split_rollup,
)

from tests.state_machines import run_state_machine

BOOTS = ("a-1", "a-2", "b-1", "c-7")
WORKSPACES = ("w0", "w1")
# With the smaller sizes, a part has space for the counters of one boot or one workspace.
PART_SIZES = (1_080, 1_100, MAX_PART_BYTES)
# A variant without a rule stops at its first counterexample, found within 500 examples in 12 runs.
MAX_EXAMPLES_OF_VARIANTS = 2_000

MALFORMED_PARTS = ({"as_of": 1}, {"as_of": 0, "time_ms": 0, "number": 1})
MALFORMED = ({}, {"rollup_part": 1}, {"instance_boot": 2}) + tuple(
    {"rollup_part": part} for part in MALFORMED_PARTS
)


def rollup_key(part):
    return part["as_of"], part.get("writer"), part.get("count", 1)


def has_complete_rollup(records, oldest_as_of):
    numbers = {}
    for record in records:
        part = record.data.get("rollup_part")
        if isinstance(part, dict) and part not in MALFORMED_PARTS and part["as_of"] >= oldest_as_of:
            numbers.setdefault(rollup_key(part), set()).add(part.get("number", 0))
    return any(len(found) == key[2] for key, found in numbers.items())


class ExpectedTotals:
    """Expected totals, computed from all records with the complete history of each boot."""

    def __init__(self, records):
        self.boots = {}
        last, ended = {}, {}
        for record in records:
            for name, time_ms in last.items():
                if record.time_ms - time_ms >= BOOT_EXPIRY_MS:
                    ended.setdefault(name, record.offset)
            name = record.data.get("instance_boot")
            if not isinstance(name, str) or name in ended:
                continue
            instance, boot = name.split("-")
            later = (n.split("-") for n in ended if n.startswith(instance + "-"))
            if name not in last and any(int(number) >= int(boot) for _, number in later):
                continue
            last[name] = record.time_ms
            for workspace, values in record.data["counters"].items():
                known = self.boots.get((name, workspace), [0, 0, 0, 0])
                self.boots[name, workspace] = [max(p) for p in zip(known, values, strict=True)]

    def totals(self):
        totals = {}
        for (_, workspace), values in self.boots.items():
            known = totals.get(workspace, [0, 0, 0, 0])
            totals[workspace] = [sum(pair) for pair in zip(known, values, strict=True)]
        return {name: Counts(*values) for name, values in totals.items()}


class AggregateMachine(RuleBasedStateMachine):
    """Flush in any order, repeat records, append rollups late, truncate the log, start readers."""

    reader_type = UsageAggregateReader
    aggregate_type = UsageAggregate
    checks_completeness = True

    @initialize()
    def start(self):
        self.records = []
        self.first_offset = self.time_ms = 0
        self.counted = {}
        self.readers = [self.new_reader()]
        self.late_rollups = []

    def new_reader(self):
        reader = self.reader_type()
        reader.aggregate = self.aggregate_type()
        return reader

    def append(self, data):
        data = msgspec.json.decode(msgspec.json.encode(data))
        self.records.append(UsageRecord(len(self.records), self.time_ms, data))

    def read(self, reader, limit):
        start = max(reader.position, self.first_offset)
        reader.read_page(self.first_offset, self.records[start : start + limit])

    @rule(
        name=st.sampled_from(BOOTS), workspace=st.sampled_from(WORKSPACES), more=st.integers(0, 3)
    )
    def flush(self, name, workspace, more):
        values = self.counted.setdefault((name, workspace), [0, 0, 0, 0])
        values[:] = [value + more for value in values]
        self.append({"instance_boot": name, "counters": {workspace: values}})

    @precondition(lambda self: self.records)
    @rule(choice=st.integers(0, 30))
    def repeat_append(self, choice):
        self.append(self.records[choice % len(self.records)].data)

    @rule(data=st.sampled_from(MALFORMED))
    def append_malformed_record(self, data):
        self.append(data)

    @rule(part=st.sampled_from([0.01, 0.4, 1.0]))
    def wait(self, part):
        self.time_ms += int(BOOT_EXPIRY_MS * part)

    @precondition(lambda self: any(reader.complete for reader in self.readers))
    @rule(
        choice=st.integers(0, 9),
        writer=st.sampled_from(BOOTS[:2]),
        size=st.sampled_from(PART_SIZES),
        catches_up=st.booleans(),
    )
    def create_rollup(self, choice, writer, size, catches_up):
        complete = [reader for reader in self.readers if reader.complete]
        reader = complete[choice % len(complete)]
        if catches_up:
            self.read(reader, len(self.records))
        aggregate = reader.aggregate
        if reader.complete and aggregate.as_of >= 0:
            parts = list(split_rollup(aggregate.to_rollup(writer), size))
            self.late_rollups.append([part.to_record() for part in parts])

    @precondition(lambda self: self.late_rollups)
    @rule(choice=st.integers(0, 9), number=st.integers(0, 9))
    def append_part_late(self, choice, number):
        parts = self.late_rollups[-1 - choice % len(self.late_rollups)]
        self.append(parts[number % len(parts)])

    @precondition(lambda self: self.late_rollups)
    @rule(
        choice=st.integers(0, 9),
        backwards=st.booleans(),
        truncation=st.sampled_from(["no", "after as_of", "before the parts"]),
    )
    def append_all_parts(self, choice, backwards, truncation):
        parts = self.late_rollups[-1 - choice % len(self.late_rollups)]
        ends = {
            "no": 0,
            "after as_of": parts[0]["rollup_part"].as_of + 1,
            "before the parts": len(self.records),
        }
        for part in reversed(parts) if backwards else parts:
            self.append(part)
        self.first_offset = max(self.first_offset, ends[truncation])

    @rule(kept=st.integers(0, 6))
    def truncate_log(self, kept):
        self.first_offset = max(self.first_offset, len(self.records) - kept)

    @precondition(lambda self: len(self.readers) < 5)
    @rule()
    def start_reader(self):
        self.readers.append(self.new_reader())

    @precondition(lambda self: self.readers)
    @rule(choice=st.integers(0, 4), limit=st.integers(1, 8))
    def read_page(self, choice, limit):
        self.read(self.readers[choice % len(self.readers)], limit)

    @invariant()
    def complete_readers_agree_with_the_whole_stream(self):
        for reader in self.readers:
            if reader.complete:
                expected = ExpectedTotals(self.records[: reader.position])
                assert reader.aggregate.totals() == expected.totals()

    @invariant()
    def nothing_counts_twice(self):
        for reader in self.readers:
            for workspace, counts in reader.aggregate.totals().items():
                counted = (v[0] for (_, name), v in self.counted.items() if name == workspace)
                assert counts.requests <= sum(counted)

    @invariant()
    def new_reader_uses_a_usable_rollup(self):
        retained = self.records[self.first_offset :]
        usable = self.first_offset == 0 or has_complete_rollup(retained, self.first_offset - 1)
        reader = self.new_reader()
        for _ in range(2):
            self.read(reader, len(self.records) + 1)
        assert not self.checks_completeness or reader.complete == usable
        assert reader.position == len(self.records)
        if usable:
            assert reader.aggregate.totals() == ExpectedTotals(self.records).totals()


class AnyRollupReader(UsageAggregateReader):
    """Variant: starts from any rollup, even if records after its `as_of` are missing."""

    def _is_usable(self, as_of, offset):
        return as_of < offset

    def _apply_rollup_part(self, record):
        taken = super()._apply_rollup_part(record)
        if taken:
            self.position = max(self.position, self._block_start)
        return taken


class AnyPartCollector(RollupCollector):
    """Variant: regards a rollup as complete after its first part."""

    def add(self, part, keep):
        return [part] if keep else []


class AnyPartReader(UsageAggregateReader):
    def __init__(self):
        super().__init__()
        self._collector = AnyPartCollector()


class NoClosedBootsAggregate(UsageAggregate):
    """Variant: does not store which boots were closed."""

    def _close_boots(self):
        super()._close_boots()
        self._last_closed_boot.clear()


class AnyRollupMachine(AggregateMachine):
    reader_type = AnyRollupReader
    checks_completeness = False  # The expected failure is wrong totals only.


class AnyPartMachine(AggregateMachine):
    reader_type = AnyPartReader
    checks_completeness = False


class NoClosedBootsMachine(AggregateMachine):
    aggregate_type = NoClosedBootsAggregate


class AggregateTest(unittest.TestCase):
    def test_readers_agree(self):
        """Guard against totals that depend on when a reader started."""
        run_state_machine(AggregateMachine, 250)

    def test_rollup_rule_is_needed(self):
        """Guard against a property test that does not detect a rollup with a gap after it."""
        with self.assertRaises(AssertionError):
            run_state_machine(AnyRollupMachine, MAX_EXAMPLES_OF_VARIANTS)

    def test_all_parts_are_needed(self):
        """Guard against a property test that does not detect an incomplete rollup."""
        with self.assertRaises(AssertionError):
            run_state_machine(AnyPartMachine, MAX_EXAMPLES_OF_VARIANTS)

    def test_parts_of_a_large_fleet_fit(self):
        """Guard against records that are too large for the log."""
        aggregate = UsageAggregate()
        for offset, (name, workspaces) in enumerate((("a-1", 9_000), ("b-1", 3), ("c-7", 2_000))):
            counters = {f"workspace-{number}": [2**60] * 4 for number in range(workspaces)}
            data = {"instance_boot": name, "counters": counters}
            aggregate.fold(UsageRecord(offset, 0, data))
        records = [part.to_record() for part in split_rollup(aggregate.to_rollup("a-1"))]
        sizes = [len(msgspec.json.encode(record)) for record in records]
        self.assertGreater(len(sizes), 3)
        self.assertLessEqual(max(sizes), MAX_PART_BYTES)

    def test_rollup_in_a_single_record_is_read(self):
        """Guard against losing the totals when a fleet is upgraded to rollups in parts."""
        rollup = {
            "as_of": 6,
            "time_ms": 5,
            "totals": {"w": [1, 1, 1, 1]},
            "boots": {"a-1": {"w": [2, 2, 2, 2]}},
            "last_ms": {"a-1": 5},
            "closed": {},
        }
        reader = UsageAggregateReader()
        reader.read_page(7, [UsageRecord(7, 9, {"rollup": rollup})])
        self.assertTrue(reader.complete)
        self.assertEqual(reader.aggregate.totals(), {"w": Counts(3, 3, 3, 3)})

    def test_closed_boots_have_to_be_stored(self):
        """Guard against a property test that does not detect a boot that is counted twice."""
        with self.assertRaises(AssertionError):
            run_state_machine(NoClosedBootsMachine, MAX_EXAMPLES_OF_VARIANTS)

    def test_late_rollup_does_not_count_as_a_new_one(self):
        """Guard against a paused instance that appends an old rollup late and delays the next."""
        reader = UsageAggregateReader()
        data = {"instance_boot": "a-1", "counters": {"w": [1, 1, 1, 1]}}
        reader.read_page(0, [UsageRecord(0, 1_000, data)])
        self.assertTrue(reader.is_rollup_due(1_000, 400))
        (part,) = split_rollup(reader.aggregate.to_rollup("a-1"))
        rollup = msgspec.to_builtins(part.to_record())
        reader.read_page(0, [UsageRecord(1, 1_050, data), UsageRecord(2, 1_090, rollup)])
        self.assertFalse(reader.is_rollup_due(1_100, 400))
        self.assertTrue(reader.is_rollup_due(1_101, 400))


if __name__ == "__main__":
    unittest.main()
