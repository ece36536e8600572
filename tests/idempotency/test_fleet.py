"""Property-based tests: at most one run per key across instances, pauses, crashes and outages."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import ClaimTable, Refuse, Replay, Void, Won
from ibispaddle_core.runstate import RunState

from tests.state_machines import run_state_machine

from .fleet import EPOCH_MS, Fleet

INSTANCES = st.integers(0, 2)
PICKS = st.integers(0, 9)


class FleetMachine(RuleBasedStateMachine):
    """Run the steps of three instances, the log and the service in any order.

    An instance is paused while none of its steps are chosen.
    """

    table_type = None

    @initialize()
    def start(self):
        self.fleet = Fleet.__new__(Fleet)
        self.fleet.table_type = self.table_type
        self.fleet.__init__()
        self.keys: list[str] = []
        self.crashes = self.long_advances = 0
        for number in range(3):
            self.fleet.read(number)
        self.make_key(0)

    @precondition(lambda self: len(self.keys) < 3)
    @rule(age_ms=st.sampled_from([0, 0, 0, 50_000, 190_000, -50_000]))
    def make_key(self, age_ms):
        self.keys.append(f"{EPOCH_MS + self.fleet.now_ms - age_ms}-k{len(self.keys)}")

    @rule(
        number=INSTANCES,
        pick=PICKS,
        timeout_ms=st.sampled_from([10_000, 10_000, 500, 300_000]),
        steps=st.integers(0, 4),
    )
    def start_call(self, number, pick, timeout_ms, steps):
        self.fleet.start_call(number, self.keys[-1 - pick % min(len(self.keys), 2)], timeout_ms)
        if steps:
            self.work(number, steps)

    @rule(number=INSTANCES)
    def start_append(self, number):
        self.fleet.start_append(number)

    @precondition(lambda self: self.fleet.appends)
    @rule(pick=PICKS, answer=st.booleans())
    def deliver(self, pick, answer):
        self.fleet.deliver(pick % len(self.fleet.appends), answer)

    @precondition(lambda self: self.fleet.appends)
    @rule(pick=PICKS)
    def lose_answer(self, pick):
        self.fleet.lose_answer(pick % len(self.fleet.appends))

    @precondition(lambda self: self.fleet.appends)
    @rule(pick=PICKS, outage=st.booleans())
    def refuse(self, pick, outage):
        self.fleet.refuse(pick % len(self.fleet.appends), outage)

    @rule(number=INSTANCES, steps=st.integers(1, 4))
    def work(self, number, steps):
        """Run the usual steps of an instance and its committer up to a certain step."""
        fleet = self.fleet
        instance = fleet.instances[number]
        fleet.pump(instance)
        fleet.deliver_messages()
        committer = int(fleet.choices[instance.name][0][1:])
        if fleet.start_append(committer):
            fleet.deliver(len(fleet.appends) - 1)
        fleet.read(committer)
        fleet.deliver_messages()
        for step in (self.fleet.check_send, self.fleet.write, self.fleet.finish)[: steps - 1]:
            step(number)

    @rule(number=INSTANCES, order=st.permutations(["i0", "i1", "i2"]))
    def choose(self, number, order):
        """Change the committer that an instance prefers; instances may differ."""
        self.fleet.choices[self.fleet.instances[number].name] = order

    @precondition(lambda self: self.fleet.messages)
    @rule(pick=PICKS)
    def deliver_message(self, pick):
        self.fleet.deliver_message(pick % len(self.fleet.messages))

    @precondition(lambda self: self.fleet.messages)
    @rule(pick=PICKS, noticed=st.booleans())
    def lose_message(self, pick, noticed):
        self.fleet.lose_message(pick % len(self.fleet.messages), noticed)

    @rule(number=INSTANCES, limit=st.integers(1, 5))
    def read(self, number, limit):
        self.fleet.read(number, limit)

    @rule(number=INSTANCES)
    def tick(self, number):
        self.fleet.tick(number)

    @rule(number=INSTANCES, writes=st.booleans())
    def send(self, number, writes):
        self.fleet.check_send(number)
        if writes:
            self.fleet.write(number)

    @rule(number=INSTANCES)
    def write(self, number):
        self.fleet.write(number)

    @rule(number=INSTANCES)
    def refuse_connection(self, number):
        self.fleet.refuse_connection(number)

    @rule(number=INSTANCES, known=st.booleans())
    def finish(self, number, known):
        self.fleet.finish(number, known)

    @rule(delta_ms=st.sampled_from([50, 50, 50, 500, 2_000]))
    def advance(self, delta_ms):
        self.fleet.advance(delta_ms)

    @precondition(lambda self: self.long_advances < 3)
    @rule(delta_ms=st.sampled_from([12_000, 12_000, 120_000, 250_000]))
    def advance_long(self, delta_ms):
        self.long_advances += 1
        self.fleet.advance(delta_ms)

    @precondition(lambda self: self.crashes < 2)
    @rule(number=INSTANCES)
    def crash(self, number):
        self.crashes += 1
        self.fleet.crash(number)

    @rule(available=st.sampled_from([True, True, True, False]))
    def change_log_health(self, available):
        self.fleet.available = available

    @rule(number=INSTANCES, turned_away=st.booleans())
    def change_log_access(self, number, turned_away):
        """Let the log turn away an instance, or serve it again."""
        change = self.fleet.turned_away.add if turned_away else self.fleet.turned_away.discard
        change(self.fleet.instances[number].name)

    @invariant()
    def at_most_one_run_and_true_answers(self):
        self.fleet.check()

    def teardown(self):
        """Check that keys without a run are not blocked, unless an instance crashed."""
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        fleet.available = True
        fleet.turned_away.clear()
        fleet.settle()
        fleet.check()
        for key in self.keys:
            created_ms = int(key[:13])
            usable = fleet.wall_ms() - 120_000 <= created_ms <= fleet.wall_ms()
            if usable and key not in fleet.runs and key not in fleet.crashed:
                call_id = fleet.start_call(0, key, timeout_ms=30_000)
                fleet.settle()
                answer = fleet.answers[call_id]
                assert isinstance(answer, Replay), f"{key} is blocked: {answer}"
                fleet.check()
        fleet.advance(300_000)  # Longest timeout; calls may wait for claims of crashed instances.
        fleet.settle()
        fleet.check()
        for instance in fleet.instances:
            assert not instance.manager._calls, "a call has no response"
            assert (
                len(instance.manager.committer_client) == 0
            ), "a release or outcome was not acknowledged"
            assert len(instance.committer.queue) == 0, "an entry was not appended"
            assert not instance.manager._calls_by_claim_id
            assert instance.committer.is_idle and not instance.committer._claims_by_key


class AnyClaimTable(ClaimTable):
    """Variant: every claim that is read wins."""

    def _fold_claim(self, claim):
        super()._fold_claim(claim)
        return Won(claim.claim_id, claim.key_hash)


class AnyClaimMachine(FleetMachine):
    table_type = AnyClaimTable


class NoTombstoneTable(ClaimTable):
    """Variant: a release is ignored if its claim has not been read."""

    def _fold_release(self, release):
        entry = self.get(release.key_hash)
        if entry is None or entry.holder != release.claim_id:
            return None
        return super()._fold_release(release)


class UnboundedClaimTable(ClaimTable):
    """Variant: accepts claims whose log timestamp is outside the key's window."""

    def _fold_claim(self, claim):
        notice = super()._fold_claim(claim)
        if isinstance(notice, Void):
            bounded = type(claim)(claim.claim_id, claim.key_hash, claim.request_hash, None)
            return super()._fold_claim(bounded)
        return notice


class FleetTest(unittest.TestCase):
    def test_at_most_one_run_per_key(self):
        """Guard against a call that runs twice, a wrong 'not_run' or a key that stays blocked."""
        run_state_machine(FleetMachine, 400, steps=50)

    def test_log_order_is_needed(self):
        """Guard against a property test that does not detect two runs."""
        with self.assertRaises(AssertionError):
            run_state_machine(AnyClaimMachine, 400, steps=50)


def late_claim(table_type):
    """Append the claim of a retry after the claim that ran has expired from the table."""
    fleet = Fleet.__new__(Fleet)
    fleet.table_type = table_type
    fleet.__init__((0, 0))
    key = f"{fleet.wall_ms()}-k"
    for number in (0, 1):
        fleet.read(number)
    fleet.start_call(0, key)
    fleet.start_append(0)
    fleet.deliver(0)
    fleet.read(0)
    fleet.check_send(0)
    fleet.write(0)
    fleet.advance(190_000)
    second = fleet.start_call(
        1, key, timeout_ms=190_000
    )  # Instance 1 has not read the first claim.
    fleet.start_append(1)
    fleet.advance(150_000)  # The append takes 150 s.
    fleet.deliver(0)
    fleet.read(1)
    fleet.check_send(1)
    fleet.write(1)
    return fleet, second


class LateClaimTest(unittest.TestCase):
    def test_late_claim_does_not_run(self):
        """Guard against a second run when a claim is appended after the first one has expired."""
        fleet, second = late_claim(None)
        fleet.check()
        self.assertIs(fleet.answers[second].run_state, RunState.UNKNOWN)

    def test_window_rule_is_needed(self):
        """Guard against a scenario that does not depend on the check of the log timestamp."""
        fleet, _ = late_claim(UnboundedClaimTable)
        with self.assertRaises(AssertionError):
            fleet.check()


def release_before_claim(table_type):
    """Append a release before its claim; return the response to a later retry."""
    fleet = Fleet.__new__(Fleet)
    fleet.table_type = table_type
    fleet.__init__((0, 0))
    key = f"{fleet.wall_ms()}-k"
    for number in (0, 1):
        fleet.read(number)
    first = fleet.start_call(0, key, timeout_ms=1_000)
    fleet.start_append(0)
    fleet.lose_answer(0)
    fleet.advance(1_000)
    fleet.tick(0)
    assert fleet.answers[first].run_state is RunState.NOT_RUN
    fleet.start_append(0)
    fleet.deliver(1)
    fleet.deliver(0)
    retry = fleet.start_call(1, key)
    fleet.settle()
    fleet.check()
    return fleet.answers[retry]


class ReleaseBeforeClaimTest(unittest.TestCase):
    def test_late_claim_does_not_block_its_key(self):
        """Guard against a key that stays blocked after a caller has received 'not_run'."""
        self.assertIsInstance(release_before_claim(None), Replay)

    def test_early_release_has_to_be_stored(self):
        """Guard against a scenario that does not depend on the storage of early releases."""
        self.assertIsInstance(release_before_claim(NoTombstoneTable), Refuse)


class RetryTest(unittest.TestCase):
    def test_retry_waits_and_replays(self):
        """Guard against a retry that runs the call again or gets no response."""
        fleet = Fleet((0, 0))
        for number in (0, 1):
            fleet.read(number)
        key = f"{fleet.wall_ms()}-k"
        fleet.start_call(0, key)
        second = fleet.start_call(1, key)
        fleet.settle()
        self.assertIsInstance(fleet.answers[second], Replay)
        self.assertEqual(len(fleet.runs[key]), 1)

    def test_same_key_for_another_request_is_refused(self):
        """Guard against returning the response of one request to another."""
        fleet = Fleet((0,))
        fleet.read(0)
        key = f"{fleet.wall_ms()}-k"
        fleet.start_call(0, key, request_hash="a")
        other = fleet.start_call(0, key, request_hash="b")
        fleet.settle()
        self.assertIsInstance(fleet.answers[other], Refuse)

    def test_restarted_instance_reads_earlier_claims(self):
        """Guard against a second run at an instance that was started after the first run."""
        fleet = Fleet((0, 0))
        fleet.read(0)
        key = f"{fleet.wall_ms()}-k"
        fleet.start_call(0, key)
        fleet.settle()
        fleet.crash(1)
        fleet.read(1)
        retry = fleet.start_call(1, key)
        fleet.settle()
        self.assertIsInstance(fleet.answers[retry], Replay)

    def test_no_decision_before_the_log_is_read(self):
        """Guard against a run through a committer that has not read the earlier claims."""
        fleet = Fleet((0, 0))
        fleet.read(0)
        key = f"{fleet.wall_ms()}-k"
        fleet.start_call(0, key)
        fleet.settle()
        fleet.crash(1)
        call = fleet.start_call(1, key, timeout_ms=60_000)
        self.assertFalse(fleet.start_append(1))
        self.assertNotIn(call, fleet.answers)
        self.assertEqual(fleet.instances[1].unsent, {})
        fleet.settle()
        self.assertIsInstance(fleet.answers[call], Replay)
        self.assertEqual(len(fleet.runs[key]), 1)

    def test_dropped_records_refuse_calls(self):
        """Guard against a run after the log has dropped claims, perhaps of the same key."""
        fleet = Fleet((0, 0))
        fleet.log = [LogRecord(5, fleet.wall_ms(), {})]
        fleet.instances[0].committer.table.skip_to(5, fleet.wall_ms())
        fleet.instances[0].committer.is_ready = True
        fleet.instances[0].committer.table.read_page(5, [], fleet.wall_ms())
        call = fleet.start_call(0, f"{fleet.wall_ms()}-k")
        self.assertIs(fleet.answers[call].run_state, RunState.UNKNOWN)

    def test_outage_refuses_calls_at_once(self):
        """Guard against a caller that waits for an unavailable log."""
        fleet = Fleet((0,))
        fleet.read(0)
        fleet.available = False
        call = fleet.start_call(0, f"{fleet.wall_ms()}-k")
        self.assertIs(fleet.answers[call].run_state, RunState.NOT_RUN)
        self.assertGreater(fleet.answers[call].retry_after_ms, 0)


class LongBodyTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet((0, 0))
        self.fleet.padding = b"x" * 5_000
        for number in (0, 1):
            self.fleet.read(number)
        self.key = f"{self.fleet.wall_ms()}-k"
        self.fleet.start_call(0, self.key)
        self.fleet.settle()

    def test_retry_at_another_instance_receives_the_long_body(self):
        """Guard against a long response that only the first instance can replay."""
        retry = self.fleet.start_call(1, self.key)
        self.fleet.deliver_messages()
        self.assertIsInstance(self.fleet.answers[retry], Replay)
        self.fleet.check()

    def test_call_with_a_lost_body_is_unknown(self):
        """Guard against a retry that waits or runs after the first instance has crashed."""
        for reply_is_lost in (True, False):
            retry = self.fleet.start_call(1, self.key)
            self.assertNotIn(retry, self.fleet.answers)
            if reply_is_lost:
                self.fleet.messages.clear()
                self.fleet.advance(1_000)
                self.fleet.tick(1)
                self.fleet.crash(0)
            self.fleet.deliver_messages()
            self.assertIs(self.fleet.answers[retry].run_state, RunState.UNKNOWN)
        self.fleet.check()


if __name__ == "__main__":
    unittest.main()
