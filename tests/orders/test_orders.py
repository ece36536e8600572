"""Tests of orders with pauses and takeovers, and with variants that lack a safety mechanism."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.orders import (
    RECONCILE_INTERVAL_MS,
    Action,
    Executor,
    ObservedRunnerState,
    Order,
    OrdersState,
    Reconciler,
    Takeover,
    order_record,
    parse_record,
    takeover_record,
)

from .variants import SendOnce

FIXED = settings(derandomize=True, max_examples=300, deadline=None, database=None)
RUNNER = "r1"
EXECUTORS = 3
# The first reconciliation sends the missing orders, the second finds them in the report.
ROUNDS = 2

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("order"), st.sampled_from(["prefill", "decode", "mixed"])),
        st.tuples(st.just("takeover"), st.integers(0, EXECUTORS - 1)),
        st.tuples(st.just("read"), st.integers(0, EXECUTORS - 1)),
        st.tuples(st.just("decide"), st.integers(0, EXECUTORS - 1)),
        st.tuples(st.just("deliver"), st.integers(0, 20)),
    ),
    max_size=30,
)


class SharedTokenState(OrdersState):
    """Return the newest token to any process."""

    def token(self, upstream_id, executor):
        takeover = self._takeovers.get(upstream_id)
        return takeover[0] if takeover else None


class Fleet:
    """One runner, and executors that read, decide and send at different times."""

    def __init__(self, fenced, state_type=OrdersState, reconciler_type=Reconciler):
        self.fenced = fenced
        self.log = []
        self.read_to = [0] * EXECUTORS
        self.states = [state_type() for _ in range(EXECUTORS)]
        self.reconcilers = [reconciler_type(Executor(f"i{n}", 1)) for n in range(EXECUTORS)]
        self.in_flight = []
        self.role, self.highest = "none", -1
        # For each executed order, the newest takeover of its sender at the decision.
        self.executed = []
        self.now_ms = 0

    def newest_takeover(self, number):
        executor = self.reconcilers[number].executor
        offsets = [
            offset
            for offset, data in enumerate(self.log[: self.read_to[number]])
            if data.get("takeover", {}).get("executor") == executor.instance_id
        ]
        return max(offsets, default=-1)

    def step(self, kind, value):
        match kind:
            case "order":
                order = Order(f"o{len(self.log)}", RUNNER, Action.SET_ROLE, {"role": value})
                self.log.append(order_record(order))
            case "takeover":
                self.log.append(takeover_record(Takeover(RUNNER, Executor(f"i{value}", 1))))
            case "read":
                for offset in range(self.read_to[value], len(self.log)):
                    self.states[value].fold(offset, parse_record(self.log[offset]).unwrap())
                self.read_to[value] = len(self.log)
            case "decide":
                self.now_ms += RECONCILE_INTERVAL_MS
                report = ObservedRunnerState("b", frozenset(), self.role)
                args = (self.states[value], RUNNER, report, self.now_ms)
                for send in self.reconcilers[value].reconcile(*args):
                    self.in_flight.append((send, self.newest_takeover(value)))
            case "deliver" if self.in_flight:
                send, takeover = self.in_flight.pop(value % len(self.in_flight))
                if not self.fenced or send.token >= self.highest:
                    self.highest = max(self.highest, send.token)
                    self.role = send.order.value
                    self.executed.append(takeover)

    def run(self, steps):
        for kind, value in steps:
            self.step(kind, value)
        return self

    def settle(self):
        """End all pauses; return whether the runner then reaches the desired state."""
        self.run([("takeover", 0), *(("read", n) for n in range(EXECUTORS))])
        while self.in_flight:
            self.step("deliver", 0)
        for _ in range(ROUNDS):
            self.run([("decide", n) for n in range(EXECUTORS)])
            while self.in_flight:
                self.step("deliver", 0)
        desired = self.states[0].desired(RUNNER)
        return all(order.value == self.role for order in desired)


def is_ordered(steps, **variant):
    executed = Fleet(True, **variant).run(steps).executed
    return executed == sorted(executed)


class PausedExecutorTest(unittest.TestCase):
    @FIXED
    @given(STEPS)
    def test_fencing_runner_executes_no_older_executor_after_a_newer_one(self, steps):
        """Guard against a late order of a paused executor that takes effect."""
        self.assertTrue(is_ordered(steps))

    @FIXED
    @given(STEPS, st.booleans())
    def test_runner_reaches_the_desired_state_once_pauses_end(self, steps, fenced):
        """Guard against a late order that stays in effect."""
        self.assertTrue(Fleet(fenced).run(steps).settle())

    def test_variant_with_shared_tokens_fails(self):
        """Guard against a property that holds even if any process may use the newest token."""
        steps = [("order", "decode"), ("takeover", 0), ("takeover", 1)]
        steps += [("read", 0), ("read", 1), ("decide", 0), ("decide", 1)]
        steps += [("deliver", 1), ("deliver", 0)]
        self.assertFalse(is_ordered(steps, state_type=SharedTokenState))
        self.assertTrue(is_ordered(steps))

    def test_variant_without_repeated_sending_fails(self):
        """Guard against a property that holds even if an order is sent only once."""
        steps = [("order", "decode"), ("takeover", 1), ("read", 1), ("decide", 1)]
        steps += [("order", "mixed"), ("takeover", 0), ("read", 0), ("decide", 0)]
        steps += [("deliver", 1)]
        self.assertFalse(Fleet(False, reconciler_type=SendOnce).run(steps).settle())
        self.assertTrue(Fleet(False).run(steps).settle())


class RecordTest(unittest.TestCase):
    def test_malformed_records_are_errors(self):
        """Guard against a malformed record that stops the fold."""
        good = order_record(Order("o", RUNNER, Action.LOAD_MODEL, {"model": "m"}))
        self.assertTrue(parse_record(good).is_ok())
        for change in ({"action": "stop"}, {"args": {"role": "m"}}, {"takeover": 1}):
            self.assertTrue(parse_record(good | change).is_err(), change)

    def test_adapter_is_sent_until_accepted_and_again_after_a_new_boot(self):
        """Guard against adapters that are lost when an engine restarts."""
        state, executor = OrdersState(), Executor("i", 1)
        state.fold(0, Order("o", RUNNER, Action.LOAD_ADAPTER, {"adapter": "a"}))
        state.fold(1, Takeover(RUNNER, executor))
        reconciler = Reconciler(executor)
        report = ObservedRunnerState("b1", frozenset(), "mixed")
        (send,) = reconciler.reconcile(state, RUNNER, report, 0)
        self.assertEqual(send.token, 1)
        self.assertEqual(len(reconciler.reconcile(state, RUNNER, report, 2_000)), 1)
        reconciler.order_accepted(send.order, "b1")
        self.assertEqual(reconciler.reconcile(state, RUNNER, report, 4_000), ())
        restarted = ObservedRunnerState("b2", frozenset(), "mixed")
        self.assertEqual(len(reconciler.reconcile(state, RUNNER, restarted, 6_000)), 1)


if __name__ == "__main__":
    unittest.main()
