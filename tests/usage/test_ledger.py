"""Tests of the usage ledger: no usage is counted twice, and crashes lose little."""

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
    def test_repeated_append_does_not_count_twice(self):
        """Guard against tokens that are counted twice after a repeated append."""
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
        """Guard against ignoring later usage of an idle process because it is regarded as ended."""
        ledger = UsageLedger("a", 1)
        ledger.count("w", "n", 10, 5, 3)
        first = ledger.next_flush()
        ledger.confirm_flush(first.token, appended=True)
        self.assertIsNone(ledger.next_flush())
        ledger.reflush_all()
        self.assertEqual(ledger.next_flush().data, first.data)

    def test_restarted_replica_receives_all_counters_again(self):
        """Guard against counters that the sender regards as replicated after the peer restarted."""
        ledger, replica = UsageLedger("a", 1), UsageLedger("b", 1)
        for workspace in ("w", "x"):
            ledger.count(workspace, "n", 1, 1, 1)
            ledger.acknowledge("b", replica.receive(ledger.sync_for("b")))
        self.assertIsNone(ledger.sync_for("b"))
        replica = UsageLedger("b", 2)
        ledger.count("w", "n", 1, 1, 1)
        for _ in range(2):
            ledger.acknowledge("b", replica.receive(ledger.sync_for("b")))
        self.assertIsNone(ledger.sync_for("b"))
        (flush,) = replica.flush_ended_processes(lambda instance_id, boot: instance_id == "a")
        self.assertEqual(flush.data["counters"], {"w": [2, 2, 2, 2], "x": [1, 1, 1, 1]})

    def test_reconnected_replica_receives_a_full_copy(self):
        """Guard against an idle instance whose counters are never sent to a restarted replica."""
        ledger = UsageLedger("a", 1)
        ledger.count("w", "n", 1, 1, 1)
        ledger.acknowledge("b", UsageLedger("b", 1).receive(ledger.sync_for("b")))
        self.assertIsNone(ledger.sync_for("b"))
        ledger.reset_replica("b")
        self.assertEqual(ledger.sync_for("b").base, 0)

    def test_full_copy_is_sent_in_messages_of_limited_size(self):
        """Guard against one message with the counters of all workspaces."""
        ledger, replica = UsageLedger("a", 1), UsageLedger("b", 1)
        for number in range(620):
            ledger.count(f"w{number}", "n", 1, 1, 1)
        rounds = 0
        while (sync := ledger.sync_for("b")) is not None:
            self.assertLessEqual(len(sync.counters), 200)
            ledger.acknowledge("b", replica.receive(sync))
            rounds += 1
        self.assertEqual(rounds, 4)
        self.assertEqual(replica.flush_ended_processes(lambda *_: False), [])

    def test_paused_instance_continues_after_its_replica_was_flushed(self):
        """Guard against usage that is lost or counted twice when a paused instance resumes."""
        ledger, replica, totals = UsageLedger("a", 1), UsageLedger("b", 1), UsageTotals()
        ledger.count("w", "n", 10, 0, 0)
        ledger.acknowledge("b", replica.receive(ledger.sync_for("b")))
        (flush,) = replica.flush_ended_processes(lambda *_: True)
        totals.fold(flush.data)
        replica.confirm_flush(flush.token, True)
        self.assertEqual(replica.flush_ended_processes(lambda *_: True), [])
        ledger.count("w", "n", 10, 0, 0)
        totals.fold(ledger.next_flush().data)
        self.assertEqual(totals.total("w").prompt_tokens, 20)

    def test_malformed_record_is_an_error(self):
        """Guard against a reader that stops at a malformed record."""
        totals = UsageTotals()
        for data in ({}, {"instance_boot": 3, "counters": {}}, {"counters": {"w": [1]}}):
            self.assertTrue(totals.fold(data).is_err())

    def test_flush_interval_limits_the_append_rate_of_the_fleet(self):
        """Guard against an append rate that grows with the fleet."""
        for instances in (3, 9, 78, 390, 2_000):
            self.assertLessEqual(instances * 1_000 / flush_interval_ms(instances), 39.2)


class UsageMachine(RuleBasedStateMachine):
    """Run three instances with lost, late and repeated messages, lost appends and crashes."""

    def __init__(self):
        super().__init__()
        self.boots = dict.fromkeys(NAMES, 1)
        self.running = {name: UsageLedger(name, 1) for name in NAMES}
        self.counted_tokens: dict[tuple[str, str], int] = {}
        # Values that each replica received or acknowledged.
        self.copies: dict[tuple[str, str], dict[str, int]] = {}
        self.snapshots: dict[tuple[str, int], dict[str, int]] = {}
        self.messages: list[tuple[str, str, UsageSync]] = []
        self.records: list[dict] = []

    @rule(
        number=st.integers(0, 2), workspace=st.sampled_from(WORKSPACES), counted=st.integers(0, 9)
    )
    def count_and_replicate(self, number, workspace, counted):
        name = self.pick(number)
        ledger = self.running[name]
        if counted:
            ledger.count(workspace, "n", counted, counted, counted)
            key = (ledger.instance_boot, workspace)
            self.counted_tokens[key] = self.counted_tokens.get(key, 0) + counted
        for peer in successors(name, self.running, REPLICA_COUNT):
            sync = ledger.sync_for(peer)
            if sync is not None:
                self.messages.append((name, peer, sync))
                counted = {w: c.prompt_tokens for w, c in ledger.counters.items()}
                self.snapshots[(sync.instance_boot, sync.upto)] = counted

    def pick(self, number):
        names = sorted(self.running)
        return names[number % len(names)]

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 9), keep=st.sampled_from([False, False, True]), answer=st.booleans())
    def deliver(self, index, keep, answer):
        """Deliver any message in any order; with `keep`, it can be delivered again."""
        index %= len(self.messages)
        name, peer, sync = self.messages[index] if keep else self.messages.pop(index)
        if peer not in self.running:
            return
        ack = self.running[peer].receive(sync)
        replica = self.running[peer].instance_boot
        received = {name: counts.prompt_tokens for name, counts in sync.counters}
        confirmed = self.snapshots.get((sync.instance_boot, ack.upto), {})
        held = self.running[peer].replicas()[sync.instance_boot]
        for workspace, value in confirmed.items():
            # A peer that flushed and dropped its replica receives all counters again on request.
            in_log = self.totals().process(sync.instance_boot, workspace).prompt_tokens
            self.check(
                value <= max(held[workspace].prompt_tokens if workspace in held else 0, in_log)
            )
        for workspace, value in [*received.items(), *confirmed.items()]:
            copies = self.copies.setdefault((sync.instance_boot, workspace), {})
            copies[replica] = max(copies.get(replica, 0), value)
        if answer and name in self.running:
            self.running[name].acknowledge(peer, ack)

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 99))
    def lose(self, index):
        self.messages.pop(index % len(self.messages))

    @rule(number=st.integers(0, 2), took_effect=st.booleans(), answered=st.booleans())
    def flush(self, number, took_effect, answered):
        ledger = self.running[self.pick(number)]
        self.append(ledger, ledger.next_flush(), took_effect, answered)

    def append(self, ledger, flush, took_effect, answered):
        if flush is None:
            return
        if took_effect:
            self.records.append(flush.data)
        ledger.confirm_flush(flush.token, appended=took_effect and answered)

    @rule(name=st.sampled_from(NAMES), restart=st.booleans())
    def crash(self, name, restart):
        if name in self.running and len(self.running) > 1:
            del self.running[name]
        if restart and name not in self.running:
            self.boots[name] += 1
            self.running[name] = UsageLedger(name, self.boots[name])

    @rule(number=st.integers(0, 2), took_effect=st.booleans(), answered=st.booleans())
    def flush_ended_processes(self, number, took_effect, answered):
        ledger = self.running[self.pick(number)]
        for flush in ledger.flush_ended_processes(self.has_ended):
            self.append(ledger, flush, took_effect, answered)

    def has_ended(self, instance_id, boot):
        return instance_id not in self.running or self.boots[instance_id] > boot

    @invariant()
    def nothing_is_counted_twice(self):
        totals = self.totals()
        for key, value in self.counted_tokens.items():
            self.check(totals.process(*key).prompt_tokens <= value)

    def check(self, condition):
        if not condition:
            raise AssertionError(
                f"log {self.totals()._counts}, counted_tokens {self.counted_tokens}"
            )

    def totals(self):
        totals = UsageTotals()
        for record in self.records:
            totals.fold(record)
        return totals

    def teardown(self):
        """Let the running instances flush everything and compare with the values they received."""
        for _ in range(3):
            for ledger in self.running.values():
                for flush in [ledger.next_flush(), *ledger.flush_ended_processes(self.has_ended)]:
                    self.append(ledger, flush, True, True)
        totals = self.totals()
        boots = {ledger.instance_boot for ledger in self.running.values()}
        for key, value in self.counted_tokens.items():
            instance_id, boot = split_instance_boot(key[0])
            got = totals.process(*key).prompt_tokens
            if not self.has_ended(instance_id, boot):
                self.check(got == value)
            copies = self.copies.get(key, {})
            replicated = max((v for replica, v in copies.items() if replica in boots), default=0)
            self.check(replicated <= got <= value)


class UsagePropertyTest(unittest.TestCase):
    def test_no_token_is_counted_twice_and_only_unreplicated_ones_are_lost(self):
        """Guard against wrong totals after lost or repeated messages, lost appends and crashes."""
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
