"""Stateful property tests of the scheduler with arbitrary sequences of events."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    CallerDisconnected,
    CancelAttempt,
    Dispatch,
    FirstToken,
    FreeMemory,
    LoadReported,
    Outcome,
    PeerConsumption,
    PeerMemoryClaims,
    PeerWaitingPrompts,
    Refuse,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReserveMemory,
    Scheduler,
    Tick,
    UpstreamsChanged,
    WaitingPrompt,
)

from . import fakes

RUNNERS = 4
MAX_QUEUE = 3
MAX_ATTEMPTS = 2
OUTCOMES = st.sampled_from([ReservationOutcome.GRANTED, *ReservationOutcome])
STATES = st.sampled_from(["live", "live", "leaving", "down"])
PROVED = (Outcome.NOT_SENT, Outcome.REJECTED, Outcome.WRONG_UPSTREAM)


class SchedulerMachine(RuleBasedStateMachine):
    """Simulate the daemon and the engines, and check each decision against a model."""

    @initialize()
    def start(self):
        self.now_ms = 0
        config = fakes.fleet(
            max_queue_per_neighbour=MAX_QUEUE,
            max_attempts=MAX_ATTEMPTS,
            retry_budget=1.0,
            first_token_timeout_ms=2_000,
        )
        self.scheduler = Scheduler.from_config(config, 7, "boot-1")
        self.states = ["live"] * RUNNERS
        self.requests = {}
        self.ended = set()
        self.attempts = {}
        self.in_flight = {}
        self.unproved = set()
        self.reservations = {}
        self.held = {}
        self.freed = set()
        self.seq = 0
        self.handle(UpstreamsChanged(tuple(fakes.upstream(n) for n in range(RUNNERS))))

    def handle(self, event):
        for decision in self.scheduler.handle(event, self.now_ms):
            self.apply(decision)

    def apply(self, decision):
        match decision:
            case Dispatch(request_id, upstream_id, _, segments):
                assert request_id not in self.ended, "dispatch after the request ended"
                deadline_ms = self.requests[request_id].deadline_ms
                assert self.now_ms < deadline_ms, "dispatch after the deadline"
                assert request_id not in self.in_flight, "two attempts at the same time"
                assert self.states[int(upstream_id[1:])] == "live", "dispatch to a closed runner"
                self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
                assert self.attempts[request_id] <= MAX_ATTEMPTS, "too many attempts"
                assert all(handle in self.held for handle in segments), "segment without memory"
                self.in_flight[request_id] = upstream_id
            case Refuse(request_id, _, run_state):
                assert request_id not in self.ended, "two endings"
                if run_state is RunState.NOT_RUN:
                    assert request_id not in self.in_flight, "not_run while in flight"
                    assert request_id not in self.unproved, "not_run without proof"
                self.end(request_id)
            case CancelAttempt(request_id, upstream_id):
                assert self.in_flight.get(request_id) == upstream_id
            case ReserveMemory(request_id, upstream_id, handle):
                assert request_id not in self.ended, "reservation after the request ended"
                self.reservations[handle] = (request_id, upstream_id)
            case FreeMemory(_, handle):
                self.held.pop(handle, None)
                self.freed.add(handle)

    def end(self, request_id):
        self.ended.add(request_id)
        self.in_flight.pop(request_id, None)

    @rule(
        neighbour=st.sampled_from(["north", "south"]),
        tokens=st.sampled_from([1_000, 7_999, 30_000, 150_000, 339_000, 600_000, 990_000]),
        allotted_ms=st.integers(1_000, 60_000),
    )
    def arrive_any(self, neighbour, tokens, allotted_ms):
        self.arrive(neighbour, tokens, allotted_ms)

    def arrive(self, neighbour, tokens, allotted_ms):
        request_id = f"q{len(self.requests)}"
        req = fakes.request(
            request_id,
            neighbour=neighbour,
            prompt_tokens=tokens,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + allotted_ms,
        )
        self.requests[request_id] = req
        self.handle(RequestArrived(req))

    @rule(tokens=st.sampled_from([400_000, 600_000, 990_000]))
    def arrive_spanning(self, tokens):
        self.arrive("north", tokens, 50_000)

    @rule(
        runners=st.sampled_from([range(RUNNERS), range(1), range(2, 3)]),
        waiting=st.sampled_from([0, 200]),
        used=st.sampled_from([0, 200_000, 399_000]),
    )
    def report_any(self, runners, waiting, used):
        self.report(runners, waiting, used)

    def report(self, runners, waiting, used):
        for runner in runners:
            self.seq += 1
            report = fakes.load(
                f"r{runner:03}",
                self.seq,
                observed_ms=self.now_ms,
                waiting=waiting,
                queued_prefill_tokens=waiting * 5_000,
                kv_tokens_used=used,
            )
            self.handle(LoadReported(report))

    @rule(states=st.lists(STATES, min_size=RUNNERS, max_size=RUNNERS), listed=st.integers(2, 4))
    def change_upstreams(self, states, listed):
        self.states = [s if n < listed else "leaving" for n, s in enumerate(states)]
        self.handle(UpstreamsChanged(tuple(fakes.upstream(n, states[n]) for n in range(listed))))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), outcome=st.sampled_from(list(Outcome)), relayed=st.booleans())
    def attempt_ends(self, data, outcome, relayed):
        request_id = data.draw(st.sampled_from(sorted(self.in_flight)))
        upstream_id = self.in_flight.pop(request_id)
        if outcome is Outcome.COMPLETED:
            self.ended.add(request_id)
        elif outcome not in PROVED:
            self.unproved.add(request_id)
        relayed = relayed and outcome not in PROVED
        self.handle(AttemptEnded(request_id, upstream_id, outcome, relayed))

    @rule()
    def all_attempts_are_rejected(self):
        for request_id, upstream_id in sorted(self.in_flight.items()):
            del self.in_flight[request_id]
            self.handle(AttemptEnded(request_id, upstream_id, Outcome.REJECTED))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data())
    def first_token(self, data):
        self.handle(FirstToken(data.draw(st.sampled_from(sorted(self.in_flight)))))

    @precondition(lambda self: len(self.requests) > len(self.ended))
    @rule(data=st.data())
    def caller_leaves(self, data):
        open_ids = sorted(set(self.requests) - self.ended)
        request_id = data.draw(st.sampled_from(open_ids))
        # The request is marked as ended first, so that a dispatch caused by the event fails.
        upstream_id = self.in_flight.get(request_id)
        self.ended.add(request_id)
        self.handle(CallerDisconnected(request_id))
        if upstream_id is not None:
            self.in_flight.pop(request_id, None)

    @precondition(lambda self: self.reservations)
    @rule(data=st.data(), outcome=OUTCOMES)
    def reservation_answered(self, data, outcome):
        handle = data.draw(st.sampled_from(sorted(self.reservations)))
        request_id, upstream_id = self.reservations.pop(handle)
        if outcome is ReservationOutcome.GRANTED:
            self.held[handle] = request_id
        self.handle(ReservationAnswered(request_id, upstream_id, handle, outcome))

    @rule()
    def all_reservations_are_granted(self):
        while self.reservations:
            handle, (request_id, upstream_id) = self.reservations.popitem()
            self.held[handle] = request_id
            self.handle(
                ReservationAnswered(request_id, upstream_id, handle, ReservationOutcome.GRANTED)
            )

    @precondition(lambda self: self.reservations)
    @rule(data=st.data())
    def answer_of_a_grant_is_lost(self, data):
        handle = data.draw(st.sampled_from(sorted(self.reservations)))
        request_id, _ = self.reservations.pop(handle)
        if handle not in self.freed:  # A free that was already sent takes effect after the grant.
            self.held[handle] = request_id

    @rule(neighbour=st.sampled_from(["north", "south"]))
    def fill_queue(self, neighbour):
        self.arrive(neighbour, 1_000, 50_000)
        self.report(range(RUNNERS), 200, 0)
        for _ in range(MAX_QUEUE + 1):
            self.arrive(neighbour, 1_000, 50_000)

    @rule(consumed=st.floats(0, 1e6), claimed=st.integers(0, 400_000))
    def peer_gossips(self, consumed, claimed):
        self.handle(PeerConsumption("boot-2", {"north": consumed}))
        self.handle(PeerMemoryClaims("boot-2", {"r000": claimed}))
        older = WaitingPrompt(self.now_ms - 1_000, "p", ("r000", "r002"))
        self.handle(PeerWaitingPrompts("i2", self.now_ms, (older,)))

    @rule(delta_ms=st.sampled_from([1, 20, 100, 1_000, 5_000, 30_000]))
    def time_passes(self, delta_ms):
        """Advance the time, with a `Tick` at each time that the scheduler has requested."""
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
    def nothing_outlives_its_deadline(self):
        for request_id, req in self.requests.items():
            if request_id not in self.ended:
                assert self.now_ms < req.deadline_ms, f"{request_id} outlives its deadline"

    @invariant()
    def queues_are_bounded(self):
        for neighbour in ("north", "south"):
            waiting = sum(
                req.neighbour == neighbour
                and request_id not in self.ended
                and request_id not in self.in_flight
                and not any(r == request_id for r in self.held.values())
                and not any(r == request_id for r, _ in self.reservations.values())
                for request_id, req in self.requests.items()
            )
            assert waiting <= MAX_QUEUE, f"{waiting} requests of {neighbour} wait"

    @invariant()
    def ended_requests_hold_no_memory(self):
        for handle, request_id in self.held.items():
            assert request_id not in self.ended, f"{handle} is held after the end"

    @invariant()
    def scheduler_forgets_ended_requests(self):
        assert self.scheduler.active == len(self.requests) - len(self.ended)

    def teardown(self):
        if not hasattr(self, "scheduler"):
            return
        self.now_ms += 100_000
        self.handle(Tick())
        for handle, (request_id, upstream_id) in list(self.reservations.items()):
            self.held[handle] = request_id
            self.handle(
                ReservationAnswered(request_id, upstream_id, handle, ReservationOutcome.GRANTED)
            )
        assert not self.held, "memory is held after all requests ended"
        assert self.scheduler.memory_claims() == {}, "claims outlive their requests"


SchedulerMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None, database=None
)


class SchedulerProperties(SchedulerMachine.TestCase, unittest.TestCase):
    """Guard against requests, attempts and memory that exceed their bounds."""


if __name__ == "__main__":
    unittest.main()
