"""Property-based test that live runners reach the desired state once all faults have ended.

Executors may be paused between any two steps, so the load report, the records and the decision may
be outdated when the order arrives. One runner checks fencing tokens and the other ignores them.
"""

import unittest
from dataclasses import dataclass, field
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
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

from tests.state_machines import run_state_machine

from .variants import SendOnce

EXECUTORS = 2
RUNNERS = ("checks", "ignores")
ACTION_ARGUMENTS = {
    Action.SET_ROLE: "role",
    Action.LOAD_MODEL: "model",
    Action.LOAD_ADAPTER: "adapter",
}
# The first reconciliation sends the missing orders, the second finds them in the report.
ROUNDS = 2
NUMBERS = st.integers(0, 11)


@dataclass
class Runner:
    """An engine that loses everything set by orders when it restarts."""

    checks: bool
    boot: int = 1
    role: str = "none"
    models: set = field(default_factory=set)
    adapters: set = field(default_factory=set)
    highest: int = -1
    live: bool = True

    def report(self):
        return ObservedRunnerState(f"b{self.boot}", frozenset(self.models), self.role)

    def execute(self, order, token):
        if self.checks and token < self.highest:
            return False
        self.highest = max(self.highest, token)
        match order.action:
            case Action.SET_ROLE:
                self.role = order.value
            case Action.LOAD_MODEL:
                self.models.add(order.value)
            case Action.LOAD_ADAPTER:
                self.adapters.add(order.value)
        return True

    def is_in_effect(self, order):
        match order.action:
            case Action.SET_ROLE:
                return self.role == order.value
            case Action.LOAD_MODEL:
                return order.value in self.models
            case Action.LOAD_ADAPTER:
                return order.value in self.adapters


class Process:
    """A process of an instance, with the records and load reports that it has read."""

    def __init__(self, number, boot, reconciler_type):
        self.executor = Executor(f"i{number}", boot)
        self.state = OrdersState()
        self.reconciler = reconciler_type(self.executor)
        self.read_to = 0
        self.reports = {}


class AgreementMachine(RuleBasedStateMachine):
    reconciler_type = Reconciler
    runners_restart = True

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.rng = Random(seed)
        self.log = []
        self.now_ms = 0
        self.boots = EXECUTORS
        self.processes = [Process(n, n, self.reconciler_type) for n in range(EXECUTORS)]
        self.runners = {name: Runner(name == "checks") for name in RUNNERS}
        self.in_flight = []

    def read(self, process):
        for offset in range(process.read_to, len(self.log)):
            process.state.fold(offset, parse_record(self.log[offset]).unwrap())
        process.read_to = len(self.log)

    def request_report(self, process, name):
        if self.runners[name].live:
            process.reports[name] = (self.runners[name].report(), self.now_ms)

    def decide(self, process, name):
        if name in process.reports:
            report, requested_ms = process.reports.pop(name)
            for send in process.reconciler.reconcile(process.state, name, report, requested_ms):
                self.in_flight.append((process, name, send, report.boot_id))

    def deliver(self, index, answered=True):
        process, name, send, boot_id = self.in_flight.pop(index)
        runner = self.runners[name]
        if runner.live and runner.execute(send.order, send.token) and answered:
            process.reconciler.order_accepted(send.order, boot_id)

    @rule(name=st.sampled_from(RUNNERS), action=st.sampled_from(Action), value=st.integers(0, 2))
    def append_order(self, name, action, value):
        args = {ACTION_ARGUMENTS[action]: f"{action}.{value}"}
        self.log.append(order_record(Order(f"o{len(self.log)}", name, action, args)))

    def take_over(self, number, name):
        process = self.processes[number % EXECUTORS]
        self.log.append(takeover_record(Takeover(name, process.executor)))
        self.read(process)

    @rule(number=NUMBERS, name=st.sampled_from(RUNNERS), value=st.integers(0, 2))
    def change_role(self, number, name, value):
        """Append an order that a new executor sends, possibly before a pause."""
        self.append_order(name, Action.SET_ROLE, value)
        self.take_over(number, name)
        self.reconcile(number)

    @rule(number=NUMBERS)
    def read_log(self, number):
        self.read(self.processes[number % EXECUTORS])

    @rule(number=NUMBERS, name=st.sampled_from(RUNNERS))
    def ask_for_load_report(self, number, name):
        self.request_report(self.processes[number % EXECUTORS], name)

    @rule(number=NUMBERS, name=st.sampled_from(RUNNERS))
    def decide_with_an_old_report(self, number, name):
        self.decide(self.processes[number % EXECUTORS], name)

    @rule(number=NUMBERS)
    def reconcile(self, number):
        process = self.processes[number % EXECUTORS]
        for name in RUNNERS:
            self.request_report(process, name)
            self.decide(process, name)

    @rule(delta_ms=st.sampled_from([100, RECONCILE_INTERVAL_MS]))
    def pass_time(self, delta_ms):
        self.now_ms += delta_ms

    @precondition(lambda self: self.in_flight)
    @rule(number=NUMBERS, newest=st.booleans(), answered=st.booleans())
    def deliver_order(self, number, newest, answered):
        self.deliver(-1 if newest else number % len(self.in_flight), answered)

    @precondition(lambda self: self.in_flight)
    @rule(number=NUMBERS)
    def lose_order(self, number):
        self.in_flight.pop(number % len(self.in_flight))

    @precondition(lambda self: self.runners_restart)
    @rule(name=st.sampled_from(RUNNERS))
    def restart_runner(self, name):
        old = self.runners[name]
        self.runners[name] = Runner(old.checks, old.boot + 1)

    @precondition(lambda self: sum(runner.live for runner in self.runners.values()) > 1)
    @rule(name=st.sampled_from(RUNNERS), live=st.sampled_from([True, True, False]))
    def change_liveness(self, name, live):
        self.runners[name].live = live

    @rule(number=NUMBERS)
    def replace_process(self, number):
        number %= EXECUTORS
        self.processes[number] = Process(number, self.boots, self.reconciler_type)
        self.boots += 1

    def teardown(self):
        """End all faults and deliver late orders between the rounds of the newest executors."""
        if not hasattr(self, "log"):
            return
        for process in self.processes:
            self.read(process)
        for name in RUNNERS:
            newest = self.processes[0].state.executor(name)
            if newest not in [process.executor for process in self.processes]:
                self.take_over(self.rng.randrange(EXECUTORS), name)
        while self.in_flight:
            if self.rng.random() < 0.3:
                self.run_round()
            self.deliver(self.rng.randrange(len(self.in_flight)))
        # From here on every message is delivered immediately and no old message is in flight.
        for _ in range(ROUNDS):
            self.run_round()
            while self.in_flight:
                self.deliver(0)
        for name, runner in self.runners.items():
            for order in self.processes[0].state.desired(name):
                assert not runner.live or runner.is_in_effect(order), (name, order)

    def run_round(self):
        self.now_ms += RECONCILE_INTERVAL_MS
        for process in self.processes:
            self.read(process)
            for name in RUNNERS:
                self.request_report(process, name)
                self.decide(process, name)


class UntilAccepted(Reconciler):
    """Repeat an order until the runner accepts it, and never afterwards."""

    def _is_in_effect(self, order, report):
        return order.order_id in self._accepted_boots


class SendOnceMachine(AgreementMachine):
    reconciler_type = SendOnce
    runners_restart = False


class UntilAcceptedMachine(AgreementMachine):
    reconciler_type = UntilAccepted
    runners_restart = False


class AgreementTest(unittest.TestCase):
    def test_runners_reach_the_desired_state_once_faults_end(self):
        """Guard against a late order of a paused executor that stays in effect."""
        run_state_machine(AgreementMachine, 300)

    def test_repeated_sending_is_needed(self):
        """Guard against a property that holds even if an order is sent only once."""
        with self.assertRaises(AssertionError):
            run_state_machine(SendOnceMachine, 300)

    def test_comparison_with_the_report_is_needed(self):
        """Guard against a property that holds even if an accepted order is never repeated.

        No runner restarts and every order is sent until accepted, so only late orders can undo a
        newer one.
        """
        with self.assertRaises(AssertionError):
            run_state_machine(UntilAcceptedMachine, 300)


if __name__ == "__main__":
    unittest.main()
