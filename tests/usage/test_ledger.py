"""Tests of the usage ledger: nothing is counted twice and little is lost when an instance dies."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from ibispaddle_core.membership import successors
from ibispaddle_core.usage import (
    REPLICA_COUNT,
    Counts,
    UsageLedger,
    UsageSync,
    UsageTotals,
    flush_interval_ms,
    split_instance_boot,
)

NAMES = ("a", "b", "c")
WORKSPACES = ("w0", "w1")


class LedgerTest(unittest.TestCase):
    def test_lost_answer_of_an_append_does_not_count_twice(self):
        """Guard against tokens that are billed again after a repeated append."""
        ledger, totals = UsageLedger("a", 1), UsageTotals()
        ledger.count("w", "n", 10, 5, 3.4)
        first = ledger.next_flush()
        totals.fold(first.data)
        self.assertIsNone(ledger.next_flush())
        ledger.confirm_flush(first.token, appended=False)
        ledger.count("w", "n", 1, 1, 1)
        second = ledger.next_flush()
        totals.fold(second.data)
        ledger.confirm_flush(second.token, appended=True)
        self.assertEqual(totals.total("w"), Counts(2, 11, 6, 4))
        self.assertIsNone(ledger.next_flush())
        self.assertTrue(ledger.is_flushed)

    def test_idle_process_repeats_its_counters(self):
        """Guard against an idle process whose later usage is ignored as that of an ended one."""
        ledger = UsageLedger("a", 1)
        ledger.count("w", "n", 10, 5, 3)
        first = ledger.next_flush()
        ledger.confirm_flush(first.token, appended=True)
        self.assertIsNone(ledger.next_flush())
        ledger.reflush_all()
        self.assertEqual(ledger.next_flush().data, first.data)

    def test_restarted_holder_gets_everything_again(self):
        """Guard against counters that the sender believes held after its successor restarted."""
        ledger, holder = UsageLedger("a", 1), UsageLedger("b", 1)
        for workspace in ("w", "x"):
            ledger.count(workspace, "n", 1, 1, 1)
            ledger.acknowledge("b", holder.receive(ledger.sync_for("b")))
        self.assertIsNone(ledger.sync_for("b"))
        holder = UsageLedger("b", 2)
        ledger.count("w", "n", 1, 1, 1)
        for _ in range(2):
            ledger.acknowledge("b", holder.receive(ledger.sync_for("b")))
        self.assertIsNone(ledger.sync_for("b"))
        (flush,) = holder.flush_ended_processes(lambda instance_id, boot: instance_id == "a")
        self.assertEqual(flush.data["counters"], {"w": [2, 2, 2, 2], "x": [1, 1, 1, 1]})

    def test_holder_that_connects_again_gets_a_full_copy(self):
        """Guard against an idle instance whose restarted holder never gets its counters."""
        ledger = UsageLedger("a", 1)
        ledger.count("w", "n", 1, 1, 1)
        ledger.acknowledge("b", UsageLedger("b", 1).receive(ledger.sync_for("b")))
        self.assertIsNone(ledger.sync_for("b"))
        ledger.reset_replica("b")
        self.assertEqual(ledger.sync_for("b").base, 0)

    def test_full_copy_is_sent_in_bounded_messages(self):
        """Guard against one message with the counters of all workspaces."""
        ledger, holder = UsageLedger("a", 1), UsageLedger("b", 1)
        for number in range(620):
            ledger.count(f"w{number}", "n", 1, 1, 1)
        rounds = 0
        while (sync := ledger.sync_for("b")) is not None:
            self.assertLessEqual(len(sync.counters), 200)
            ledger.acknowledge("b", holder.receive(sync))
            rounds += 1
        self.assertEqual(rounds, 4)
        self.assertEqual(holder.flush_ended_processes(lambda *_: False), [])

    def test_paused_instance_that_was_taken_over_continues(self):
        """Guard against counts that are lost or doubled when a paused instance resumes."""
        ledger, holder, totals = UsageLedger("a", 1), UsageLedger("b", 1), UsageTotals()
        ledger.count("w", "n", 10, 0, 0)
        ledger.acknowledge("b", holder.receive(ledger.sync_for("b")))
        (flush,) = holder.flush_ended_processes(lambda *_: True)
        totals.fold(flush.data)
        holder.confirm_flush(flush.token, True)
        self.assertEqual(holder.flush_ended_processes(lambda *_: True), [])
        ledger.count("w", "n", 10, 0, 0)
        totals.fold(ledger.next_flush().data)
        self.assertEqual(totals.total("w").prompt_tokens, 20)

    def test_bad_record_is_an_error(self):
        """Guard against a reader that stops at a record it cannot read."""
        totals = UsageTotals()
        for data in ({}, {"instance_boot": 3, "counters": {}}, {"counters": {"w": [1]}}):
            self.assertTrue(totals.fold(data).is_err())

    def test_flush_interval_bounds_the_appends_of_the_fleet(self):
        """Guard against appends that grow with the fleet."""
        for instances in (3, 9, 78, 390, 2_000):
            self.assertLessEqual(instances * 1_000 / flush_interval_ms(instances), 39.2)


class UsageMachine(RuleBasedStateMachine):
    """Run three instances with lost, late and repeated messages, lost appends and deaths."""

    def __init__(self):
        super().__init__()
        self.boots = dict.fromkeys(NAMES, 1)
        self.live = {name: UsageLedger(name, 1) for name in NAMES}
        self.truth: dict[tuple[str, str], int] = {}
        # Values that each holder received or confirmed to have.
        self.copies: dict[tuple[str, str], dict[str, int]] = {}
        self.snapshots: dict[tuple[str, int], dict[str, int]] = {}
        self.messages: list[tuple[str, str, UsageSync]] = []
        self.records: list[dict] = []

    @rule(
        number=st.integers(0, 2), workspace=st.sampled_from(WORKSPACES), counted=st.integers(0, 9)
    )
    def count_and_gossip(self, number, workspace, counted):
        name = self.pick(number)
        ledger = self.live[name]
        if counted:
            ledger.count(workspace, "n", counted, counted, counted)
            key = (ledger.instance_boot, workspace)
            self.truth[key] = self.truth.get(key, 0) + counted
        for peer in successors(name, self.live, REPLICA_COUNT):
            sync = ledger.sync_for(peer)
            if sync is not None:
                self.messages.append((name, peer, sync))
                counted = {w: c.prompt_tokens for w, c in ledger.counters.items()}
                self.snapshots[(sync.instance_boot, sync.upto)] = counted

    def pick(self, number):
        names = sorted(self.live)
        return names[number % len(names)]

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 9), keep=st.sampled_from([False, False, True]), answer=st.booleans())
    def deliver(self, index, keep, answer):
        """Deliver any message, in any order; kept ones are delivered again."""
        index %= len(self.messages)
        name, peer, sync = self.messages[index] if keep else self.messages.pop(index)
        if peer not in self.live:
            return
        ack = self.live[peer].receive(sync)
        holder = self.live[peer].instance_boot
        received = {name: counts.prompt_tokens for name, counts in sync.counters}
        confirmed = self.snapshots.get((sync.instance_boot, ack.upto), {})
        held = self.live[peer].replicas()[sync.instance_boot]
        for workspace, value in confirmed.items():
            # A holder that appended its copy and dropped it gets all counters again on request.
            in_log = self.totals().process(sync.instance_boot, workspace).prompt_tokens
            self.check(
                value <= max(held[workspace].prompt_tokens if workspace in held else 0, in_log)
            )
        for workspace, value in [*received.items(), *confirmed.items()]:
            copies = self.copies.setdefault((sync.instance_boot, workspace), {})
            copies[holder] = max(copies.get(holder, 0), value)
        if answer and name in self.live:
            self.live[name].acknowledge(peer, ack)

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 99))
    def lose(self, index):
        self.messages.pop(index % len(self.messages))

    @rule(number=st.integers(0, 2), took_effect=st.booleans(), answered=st.booleans())
    def flush(self, number, took_effect, answered):
        ledger = self.live[self.pick(number)]
        self.append(ledger, ledger.next_flush(), took_effect, answered)

    def append(self, ledger, flush, took_effect, answered):
        if flush is None:
            return
        if took_effect:
            self.records.append(flush.data)
        ledger.confirm_flush(flush.token, appended=took_effect and answered)

    @rule(name=st.sampled_from(NAMES), restart=st.booleans())
    def die(self, name, restart):
        if name in self.live and len(self.live) > 1:
            del self.live[name]
        if restart and name not in self.live:
            self.boots[name] += 1
            self.live[name] = UsageLedger(name, self.boots[name])

    @rule(number=st.integers(0, 2), took_effect=st.booleans(), answered=st.booleans())
    def flush_ended_processes(self, number, took_effect, answered):
        ledger = self.live[self.pick(number)]
        for flush in ledger.flush_ended_processes(self.is_gone):
            self.append(ledger, flush, took_effect, answered)

    def is_gone(self, instance_id, boot):
        return instance_id not in self.live or self.boots[instance_id] > boot

    @invariant()
    def nothing_is_counted_twice(self):
        totals = self.totals()
        for key, value in self.truth.items():
            self.check(totals.process(*key).prompt_tokens <= value)

    def check(self, condition):
        if not condition:
            raise AssertionError(f"log {self.totals()._counts}, truth {self.truth}")

    def totals(self):
        totals = UsageTotals()
        for record in self.records:
            totals.fold(record)
        return totals

    def teardown(self):
        """Let the survivors append everything and compare with what they were told."""
        for _ in range(3):
            for ledger in self.live.values():
                for flush in [ledger.next_flush(), *ledger.flush_ended_processes(self.is_gone)]:
                    self.append(ledger, flush, True, True)
        totals = self.totals()
        boots = {ledger.instance_boot for ledger in self.live.values()}
        for key, value in self.truth.items():
            instance_id, boot = split_instance_boot(key[0])
            got = totals.process(*key).prompt_tokens
            if not self.is_gone(instance_id, boot):
                self.check(got == value)
            copies = self.copies.get(key, {})
            told = max((v for holder, v in copies.items() if holder in boots), default=0)
            self.check(told <= got <= value)


class UsagePropertyTest(unittest.TestCase):
    def test_no_token_is_counted_twice_and_only_ungossiped_ones_are_lost(self):
        """Guard against wrong accounts after any mix of loss, repetition, lost appends and death."""
        run_state_machine_as_test(
            UsageMachine,
            settings=settings(
                derandomize=True,
                max_examples=200,
                stateful_step_count=40,
                deadline=None,
                database=None,
            ),
        )


if __name__ == "__main__":
    unittest.main()
