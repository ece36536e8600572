"""Stateful property tests of requests with up to two attempts in flight."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptCounts,
    AttemptDelayed,
    AttemptEnded,
    AttemptSilent,
    CallerDisconnected,
    CancelAttempt,
    ConfirmDelay,
    ConfirmSilence,
    Dispatch,
    FirstToken,
    FleetAttempts,
    Outcome,
    Refuse,
    RequestArrived,
    RetryPolicy,
    Scheduler,
    Tick,
    UpstreamsChanged,
)

from . import fakes

RUNNERS = 4
PROVED = (Outcome.NOT_SENT, Outcome.REJECTED, Outcome.WRONG_UPSTREAM)
FLEET = FleetAttempts({}, instances=3, hedging=AttemptCounts(first=100_000))


class HedgingMachine(RuleBasedStateMachine):
    """Simulate the daemon, which cancels the loser at the first output, and check each decision."""

    @initialize()
    def start(self):
        self.now_ms = 0
        config = fakes.fleet(
            hedge_fraction=0.5, placement="least_work", retry_budget=1.0, retry_slack=1_000
        )
        self.scheduler = Scheduler.from_config(config, 7, "boot-1")
        samples = [(f"m/stream/{name}", 1.0) for name in ("short", "medium", "long")] * 100
        self.scheduler.hedging.merge_samples(samples, 0)
        self.states = ["live"] * RUNNERS
        self.requests, self.ended = {}, set()
        self.in_flight, self.has_output = {}, set()
        self.runs, self.unproved = {}, set()
        self.handle(UpstreamsChanged(tuple(fakes.upstream(n) for n in range(RUNNERS))))

    def handle(self, event):
        for decision in self.scheduler.handle(event, self.now_ms):
            self.apply(decision)

    def apply(self, decision):
        match decision:
            case Dispatch(request_id, upstream_id, is_hedge=is_hedge):
                running = self.in_flight.setdefault(request_id, [])
                assert request_id not in self.ended, "dispatch after the request ended"
                assert self.states[int(upstream_id[1:])] == "live", "dispatch to a closed runner"
                assert len(running) == int(is_hedge), "unexpected number of attempts"
                assert upstream_id not in running, "two attempts at one upstream"
                req = self.requests[request_id]
                if is_hedge:
                    assert req.retry_policy is not RetryPolicy.PROVED_NOT_RUN
                    assert request_id not in self.has_output, "hedge after the first output"
                running.append(upstream_id)
                allowed = self.runs.get(request_id, 0) + len(running)
                assert allowed <= req.max_runs, "more runs than allowed"
            case Refuse(request_id, _, run_state):
                assert request_id not in self.ended, "two endings"
                if run_state is RunState.NOT_RUN:
                    assert not self.in_flight.get(request_id), "not_run while in flight"
                    assert request_id not in self.unproved, "not_run without proof"
                self.end(request_id)
            case CancelAttempt(request_id, upstream_id):
                assert upstream_id in self.in_flight.get(request_id, ()), "no such attempt"
                if request_id in self.ended or decision.is_silent:
                    self.fail(request_id, upstream_id, Outcome.STALLED)
            case ConfirmDelay(request_id, upstream_id):
                self.handle(FLEET)
                self.handle(AttemptDelayed(request_id, upstream_id))
            case ConfirmSilence(request_id, upstream_id):
                self.handle(FLEET)
                self.handle(AttemptSilent(request_id, upstream_id, request_id in self.has_output))

    def end(self, request_id):
        self.ended.add(request_id)
        self.in_flight.pop(request_id, None)

    def fail(self, request_id, upstream_id, outcome):
        if upstream_id in self.in_flight.get(request_id, ()):
            self.in_flight[request_id].remove(upstream_id)
        if outcome not in PROVED:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.unproved.add(request_id)
        has_output = request_id in self.has_output
        self.handle(AttemptEnded(request_id, upstream_id, outcome, has_output))

    @rule(
        tokens=st.sampled_from([1_000, 30_000, 150_000]),
        policy=st.sampled_from(list(RetryPolicy)),
        max_runs=st.integers(1, 3),
    )
    def arrive_any(self, tokens, policy, max_runs):
        self.arrive(tokens, policy, max_runs)

    def arrive(self, tokens, policy, max_runs):
        request_id = f"q{len(self.requests)}"
        req = fakes.request(
            request_id,
            prompt_tokens=tokens,
            retry_policy=policy,
            max_runs=max_runs,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + 20_000,
            may_hedge=True,
        )
        self.requests[request_id] = req
        self.handle(RequestArrived(req))

    @rule(max_runs=st.integers(2, 3))
    def request_is_late(self, max_runs):
        self.arrive(1_000, RetryPolicy.ANY_TIME, max_runs)
        self.time_passes(100)

    def draw_attempt(self, data):
        attempts = [(r, u) for r, running in sorted(self.in_flight.items()) for u in running]
        return data.draw(st.sampled_from(attempts)) if attempts else (None, None)

    @precondition(lambda self: any(self.in_flight.values()))
    @rule(data=st.data())
    def first_output(self, data):
        request_id, upstream_id = self.draw_attempt(data)
        losers = [name for name in self.in_flight[request_id] if name != upstream_id]
        if losers:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.unproved.add(request_id)
        self.in_flight[request_id] = [upstream_id]
        self.has_output.add(request_id)
        self.handle(FirstToken(request_id, upstream_id))

    @precondition(lambda self: any(self.in_flight.values()))
    @rule(data=st.data())
    def attempt_completes(self, data):
        request_id, upstream_id = self.draw_attempt(data)
        self.end(request_id)
        self.handle(AttemptEnded(request_id, upstream_id, Outcome.COMPLETED))

    @precondition(lambda self: any(self.in_flight.values()))
    @rule(data=st.data(), outcome=st.sampled_from([*PROVED, Outcome.FAILED, Outcome.ERROR]))
    def attempt_fails(self, data, outcome):
        request_id, upstream_id = self.draw_attempt(data)
        if request_id in self.has_output and outcome in PROVED:
            outcome = Outcome.FAILED
        self.fail(request_id, upstream_id, outcome)

    @precondition(lambda self: len(self.requests) > len(self.ended))
    @rule(data=st.data())
    def caller_leaves(self, data):
        request_id = data.draw(st.sampled_from(sorted(set(self.requests) - self.ended)))
        running = list(self.in_flight.get(request_id, ()))
        self.ended.add(request_id)
        decisions = self.scheduler.handle(CallerDisconnected(request_id), self.now_ms)
        cancelled = [d.upstream_id for d in decisions if isinstance(d, CancelAttempt)]
        self.in_flight.pop(request_id, None)
        assert sorted(cancelled) == sorted(running), "an attempt goes on"
        for decision in decisions:
            if not isinstance(decision, CancelAttempt):
                self.apply(decision)

    @rule(states=st.lists(st.sampled_from(["live", "live", "leaving"]), min_size=4, max_size=4))
    def change_upstreams(self, states):
        self.states = states
        self.handle(UpstreamsChanged(tuple(fakes.upstream(n, s) for n, s in enumerate(states))))

    @rule(delta_ms=st.sampled_from([20, 100, 1_000, 9_000]))
    def time_passes_any(self, delta_ms):
        self.time_passes(delta_ms)

    def time_passes(self, delta_ms):
        until_ms = self.now_ms + delta_ms
        for _ in range(200):
            wakeup_ms = self.scheduler.next_wakeup_ms(self.now_ms)
            if wakeup_ms is None or wakeup_ms > until_ms:
                break
            self.now_ms = max(wakeup_ms, self.now_ms + 1)
            self.handle(Tick())
        self.now_ms = max(self.now_ms, until_ms)
        self.handle(Tick())

    @invariant()
    def views_hold_the_attempts_in_flight(self):
        """Slots and memory of losers and of ended attempts are free at once."""
        for number in range(RUNNERS):
            name = f"r{number:03}"
            view = self.scheduler.runners.views.get(name)
            expected = sum(name in running for running in self.in_flight.values())
            assert (view.own_requests if view else 0) == expected, f"{name} holds other requests"

    @invariant()
    def scheduler_forgets_ended_requests(self):
        assert self.scheduler.active == len(self.requests) - len(self.ended)

    @invariant()
    def nothing_outlives_its_deadline(self):
        for request_id, req in self.requests.items():
            assert request_id in self.ended or self.now_ms < req.deadline_ms


HedgingMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None, database=None
)


class HedgingPropertiesTest(HedgingMachine.TestCase):
    """Runs the state machine."""


if __name__ == "__main__":
    unittest.main()
