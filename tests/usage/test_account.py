"""Tests of the usage account: readers agree whenever they start, and nothing counts twice."""

import json
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from ibispaddle_core.usage import CLOSE_AFTER_MS, Account, AccountReader, Counts, UsageRecord

from tests.state_machines import run

BOOTS = ("a-1", "a-2", "b-1", "c-7")
WORKSPACES = ("w0", "w1")


class Expectation:
    """Compute totals from all records at once, with the whole history of every boot."""

    def __init__(self, records):
        self.boots = {}
        last, ended = {}, {}
        for record in records:
            for name, time_ms in last.items():
                if record.time_ms - time_ms >= CLOSE_AFTER_MS:
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


class AccountMachine(RuleBasedStateMachine):
    """Flush in any order, repeat records, write rollups late, cut the log and start readers."""

    reader_type = AccountReader
    account_type = Account
    checks_completeness = True

    @initialize()
    def start(self):
        self.records = []
        self.first_offset = self.time_ms = 0
        self.counted = {}
        self.readers = []
        self.paused = []

    def new_reader(self):
        reader = self.reader_type()
        reader.account = self.account_type()
        return reader

    def append(self, data):
        data = json.loads(json.dumps(data))
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

    @rule(data=st.sampled_from([{}, {"rollup": 1}, {"rollup": {"as_of": 1}}, {"instance_boot": 2}]))
    def append_malformed_record(self, data):
        self.append(data)

    @rule(part=st.sampled_from([0.01, 0.4, 1.0]))
    def wait(self, part):
        self.time_ms += int(CLOSE_AFTER_MS * part)

    @precondition(lambda self: any(reader.complete for reader in self.readers))
    @rule(choice=st.integers(0, 9))
    def take_rollup(self, choice):
        complete = [reader for reader in self.readers if reader.complete]
        account = complete[choice % len(complete)].account
        if account.as_of >= 0:
            self.paused.append(account.to_record())

    @precondition(lambda self: self.paused)
    @rule(choice=st.integers(0, 9))
    def append_rollup_late(self, choice):
        self.append(self.paused[-1 - choice % len(self.paused)])

    @rule(kept=st.integers(0, 6))
    def cut_log(self, kept):
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
                expected = Expectation(self.records[: reader.position])
                assert reader.account.totals() == expected.totals()

    @invariant()
    def nothing_counts_twice(self):
        for reader in self.readers:
            for workspace, counts in reader.account.totals().items():
                counted = (v[0] for (_, name), v in self.counted.items() if name == workspace)
                assert counts.requests <= sum(counted)

    @invariant()
    def new_reader_uses_a_usable_rollup(self):
        retained = self.records[self.first_offset :]
        usable = self.first_offset == 0 or any(
            isinstance(record.data.get("rollup"), dict)
            and record.data["rollup"]["as_of"] >= self.first_offset - 1
            and "boots" in record.data["rollup"]
            for record in retained
        )
        reader = self.new_reader()
        for _ in range(2):
            self.read(reader, len(self.records) + 1)
        assert not self.checks_completeness or reader.complete == usable
        assert reader.position == len(self.records)
        if usable:
            assert reader.account.totals() == Expectation(self.records).totals()


class AnyRollupReader(AccountReader):
    """Start from any rollup, also when records after its `as_of` are missing."""

    def _is_usable(self, as_of, offset):
        return as_of < offset

    def _take_rollup(self, record):
        taken = super()._take_rollup(record)
        if taken:
            self.position = max(self.position, self._block_start)
        return taken


class ForgetfulAccount(Account):
    """Forget which boots were closed into the totals."""

    def _close_boots(self):
        super()._close_boots()
        self._closed.clear()


class AnyRollupMachine(AccountMachine):
    reader_type = AnyRollupReader
    checks_completeness = False  # Only wrong totals count as the expected failure.


class ForgetfulMachine(AccountMachine):
    account_type = ForgetfulAccount


class AccountTest(unittest.TestCase):
    def test_readers_agree(self):
        """Guard against totals that depend on when a reader started."""
        run(AccountMachine, 250)

    def test_rollup_rule_is_needed(self):
        """Guard against a property test that does not notice a rollup with a gap after it."""
        with self.assertRaises(AssertionError):
            run(AnyRollupMachine, 250)

    def test_marks_of_closed_boots_are_needed(self):
        """Guard against a property test that does not notice a boot that counts twice."""
        with self.assertRaises(AssertionError):
            run(ForgetfulMachine, 250)

    def test_late_rollup_does_not_pass_for_a_new_one(self):
        """Guard against a paused instance whose old rollup delays the next one."""
        reader = AccountReader()
        data = {"instance_boot": "a-1", "counters": {"w": [1, 1, 1, 1]}}
        reader.read_page(0, [UsageRecord(0, 1_000, data)])
        self.assertTrue(reader.is_rollup_due(1_000, 400))
        rollup = reader.account.to_record()
        reader.read_page(0, [UsageRecord(1, 1_050, data), UsageRecord(2, 1_090, rollup)])
        self.assertFalse(reader.is_rollup_due(1_100, 400))
        self.assertTrue(reader.is_rollup_due(1_101, 400))


if __name__ == "__main__":
    unittest.main()
