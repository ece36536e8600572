"""Tests of hedges: second attempts of requests whose first one is late.

The load pattern is a steady stream of short requests while one, some or all upstreams turn slow.
"""

import subprocess
import sys
import unittest
from dataclasses import replace

from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptCounts,
    AttemptDelayed,
    AttemptEnded,
    AttemptSilent,
    CallerDisconnected,
    CancelAttempt,
    ConfigurationReplaced,
    ConfirmDelay,
    DeclineHedge,
    Dispatch,
    EvacuationsChanged,
    FirstOutputQuantiles,
    FirstToken,
    FleetAttempts,
    FleetFirstOutputs,
    HedgeLimit,
    Outcome,
    PeerWork,
    Refuse,
    Request,
    RequestArrived,
    RetryPolicy,
    Scheduler,
    Tick,
    UpstreamResponded,
    UpstreamsChanged,
    UpstreamWork,
)
from ibispaddle_core.scheduling.cold import ColdLimit
from ibispaddle_core.scheduling.cost import PromptClass
from ibispaddle_core.scheduling.first_outputs import FirstOutputTimes
from ibispaddle_core.scheduling.hedge_budget import HEDGE_WINDOW_MS, HedgeBudget
from ibispaddle_core.scheduling.hedging import LATE_FACTOR, MIN_SAMPLES
from ibispaddle_core.scheduling.requests import RequestState
from ibispaddle_core.scheduling.retries import FLEET_COUNTS_MAX_AGE_MS, RetryBudget
from ibispaddle_core.settings import FleetConfig

from . import fakes

FRACTION = 0.1
SERVICE = "m"
# The predicted time to first output of the requests: 20 ms of prefill and 1.5 passes.
EXPECTED_MS = 50
# The measured times are equal, so that an attempt is late soon after.
LATE_MS = 56
# Attempts of the other instances, which leave room for hedges.
QUIET_FLEET = FleetAttempts(
    {SERVICE: AttemptCounts(first=1_000)}, instances=3, hedging=AttemptCounts(first=6_000)
)


def request(request_id: str, **values: object) -> Request:
    """Return a short stream that may be resumed at any time."""
    defaults = {"retry_policy": RetryPolicy.ANY_TIME, "max_runs": 2, "may_hedge": True}
    return fakes.request(request_id, **{**defaults, **values})


class HedgingTestCase(unittest.TestCase):
    """A scheduler that has measured the usual times to first output."""

    def start(self, runners: int = 4, fleet: FleetAttempts = QUIET_FLEET, **values: object) -> None:
        settings: dict = {"hedge_fraction": FRACTION, "placement": "least_work"}
        self.sched = fakes.scheduler(
            runners, **{**settings, "retry_budget": 0.5, "retry_slack": 100, **values}
        )
        self.now_ms = 0
        for number in range(2 * MIN_SAMPLES):
            (sent,) = self.handle(RequestArrived(request(f"before {number}")))
            self.now_ms += EXPECTED_MS
            self.handle(FirstToken(sent.request_id, sent.upstream_id))
            self.handle(AttemptEnded(sent.request_id, sent.upstream_id, Outcome.COMPLETED))
        self.fleet = fleet

    def handle(self, event: object) -> list:
        return self.sched.handle(event, self.now_ms)

    def send(self, request_id: str = "a", **values: object) -> Dispatch:
        req = request(
            request_id, arrived_ms=self.now_ms, deadline_ms=self.now_ms + 10_000, **values
        )
        (sent,) = self.handle(RequestArrived(req))
        return sent

    def wait(self, duration_ms: int = LATE_MS) -> list:
        """Let time pass and confirm the delays with recent counts of the other instances."""
        self.now_ms += duration_ms
        decisions = []
        for decision in self.handle(Tick()):
            if isinstance(decision, ConfirmDelay):
                self.handle(self.fleet)
                decisions += self.handle(AttemptDelayed(*vars(decision).values()))
            else:
                decisions.append(decision)
        return decisions

    def hedge(self, **values: object) -> tuple[Dispatch, Dispatch]:
        """Return the two attempts of a request."""
        first = self.send(**values)
        (second,) = self.wait()
        self.assertTrue(second.is_hedge)
        return first, second

    def requests_at(self, upstream_id: str) -> int:
        return self.sched.runners.views[upstream_id].own_requests


class DelayTest(HedgingTestCase):
    def test_late_attempt_at_a_slow_upstream_is_hedged(self) -> None:
        """Guards against callers that wait for the one slow upstream of many."""
        self.start()
        first = self.send()
        self.assertEqual(self.wait(EXPECTED_MS - 4), [])
        (second,) = self.wait(LATE_MS - EXPECTED_MS)
        self.assertTrue(second.is_hedge)
        self.assertNotEqual(second.upstream_id, first.upstream_id)
        self.assertEqual(self.wait(1_000), [])  # A request is hedged once.

    def test_delay_is_relative_to_the_prediction(self) -> None:
        """Guards against hedges of all longer prompts in a mix that has turned to them."""
        self.start()
        self.send(prompt_tokens=5_000)  # Predicted to take 130 ms.
        self.assertEqual(self.wait(), [])
        self.assertEqual(len(self.wait(130)), 1)

    def test_many_slow_upstreams_do_not_hide_each_other(self) -> None:
        """Guards against hedges that start late because a tenth of the upstreams are slow for seconds."""
        times = FirstOutputTimes(0.02)
        for number in range(200):
            times.add(f"{SERVICE}/stream/short", 8.0 if number % 10 == 0 else 1.0, 0)
        self.start()
        quantiles = times.all_quantiles(0)
        self.assertGreater(quantiles[f"{SERVICE}/stream/short"].tail, 7)
        self.handle(FleetFirstOutputs(quantiles))
        ratio = self.sched.hedging.delay_ratio(f"{SERVICE}/stream/short", self.now_ms)
        self.assertAlmostEqual(ratio, LATE_FACTOR, delta=0.1)

    def test_first_requests_after_a_start_are_not_hedged(self) -> None:
        """Guards against hedges of a fleet that has just started, when every first output is slow."""
        sched = fakes.scheduler(4, hedge_fraction=FRACTION, placement="least_work")
        sched.handle(RequestArrived(request("a")), 0)
        self.assertEqual(sched.handle(Tick(), 1_000), [])

    def test_instance_with_few_requests_uses_the_times_of_the_fleet(self) -> None:
        """Guards against no hedges in a fleet of 72 instances with one request a second each."""
        self.start()
        name = f"{SERVICE}/call/short"
        self.assertIsNone(self.sched.hedging.delay_ratio(name, self.now_ms))
        self.handle(FleetFirstOutputs({name: FirstOutputQuantiles(500, 2.0, 4.0)}))
        self.assertEqual(self.sched.hedging.delay_ratio(name, self.now_ms), 4.0)
        self.now_ms += 60_000
        self.assertIsNone(self.sched.hedging.delay_ratio(name, self.now_ms))

    def test_times_cut_short_by_a_hedge_count(self) -> None:
        """Guards against delays that shrink because the slow attempts are never measured."""
        self.start()
        before = self.sched.hedging.own_quantiles(self.now_ms)[f"{SERVICE}/stream/short"]
        _, second = self.hedge()
        self.now_ms += 5_000
        self.handle(FirstToken("a", second.upstream_id))
        after = self.sched.hedging.own_quantiles(self.now_ms)[f"{SERVICE}/stream/short"]
        self.assertEqual(after.count, before.count + 1)

    def test_attempt_that_would_be_replaced_sooner(self) -> None:
        """Guards against an extra run although the silence rule replaces the attempt before it."""
        self.start(first_token_timeout_ms=10)
        self.handle(
            FleetFirstOutputs({f"{SERVICE}/stream/short": FirstOutputQuantiles(500, 9.0, 9.0)})
        )
        self.send()
        due = self.handle(Tick())
        self.now_ms += 1_000
        due += self.handle(Tick())
        self.assertEqual([type(decision).__name__ for decision in due], ["ConfirmSilence"])


class LimitTest(HedgingTestCase):
    def declined(self) -> list[HedgeLimit]:
        return [item.limit for item in self.wait() if isinstance(item, DeclineHedge)]

    def test_all_upstreams_slow(self) -> None:
        """Guards against a storm of second attempts when every upstream turns slow at once."""
        self.start(runners=400, fleet=FleetAttempts({}, 3, hedging=AttemptCounts()))
        for number in range(200):
            self.send(f"slow {number}")
        decisions = self.wait()
        hedges = [item for item in decisions if isinstance(item, Dispatch)]
        limits = {item.limit for item in decisions if isinstance(item, DeclineHedge)}
        self.assertGreater(len(hedges), 0)
        self.assertLessEqual(len(hedges), FRACTION * (200 + 2 * MIN_SAMPLES))
        self.assertEqual(limits, {HedgeLimit.FRACTION})

    def test_fraction_used_by_other_instances(self) -> None:
        """Guards against an instance that hedges although the others have used up the fraction."""
        self.start(fleet=replace(QUIET_FLEET, hedging=AttemptCounts(1_000, hedges=101)))
        self.send()
        self.assertEqual(self.declined(), [HedgeLimit.FRACTION])

    def test_retry_budget_used_by_other_instances(self) -> None:
        """Guards against hedges that add to the retries of a service whose upstreams fail."""
        self.start(fleet=replace(QUIET_FLEET, counts={SERVICE: AttemptCounts(1_000, 700)}))
        self.send()
        self.assertEqual(self.declined(), [HedgeLimit.RETRY_BUDGET])

    def test_no_hedge_while_requests_wait(self) -> None:
        """Guards against hedges that take the places of waiting requests in an overload."""
        self.start()
        self.send()
        self.sched.is_dispatch_paused = lambda: True
        self.handle(RequestArrived(request("waits", arrived_ms=self.now_ms)))
        self.sched.is_dispatch_paused = lambda: False
        self.sched.queue.count = lambda model: 1
        self.now_ms += LATE_MS
        self.handle(self.fleet)
        decisions = self.handle(AttemptDelayed("a", self.sched._states["a"].upstream_id))
        self.assertIn(HedgeLimit.OVERLOAD, [getattr(item, "limit", None) for item in decisions])

    def test_no_hedge_with_few_free_slots(self) -> None:
        """Guards against hedges that push a nearly full fleet into overload."""
        model = {"upstream_slots": 10, "prefill_tokens_per_s": 50_000.0}
        document = {
            **fakes.CONFIG,
            "models": {SERVICE: model},
            "scheduling": {"hedge_fraction": FRACTION, "placement": "least_work"},
        }
        for busy, limit in ((6, None), (7, HedgeLimit.OVERLOAD)):
            self.start()
            self.handle(ConfigurationReplaced(FleetConfig.from_document(document)))
            work = {f"r{n:03}": UpstreamWork(0.0, busy, 0) for n in range(4)}
            self.send()
            self.handle(PeerWork("fleet", work))
            self.sched.runners.replace_peers(work)
            self.assertEqual(self.declined(), [limit] if limit else [])

    def test_request_without_time_for_another_attempt(self) -> None:
        """Guards against work for a caller that gets no answer in time anyway."""
        self.start()
        first = self.send()
        state = self.sched._states["a"]
        self.now_ms += 9_900
        state.req = replace(state.req, deadline_ms=self.now_ms + 10)
        self.handle(self.fleet)
        (declined,) = self.handle(AttemptDelayed("a", first.upstream_id))
        self.assertEqual(declined, DeclineHedge("a", first.upstream_id, HedgeLimit.DEADLINE))

    def test_requests_that_must_run_once_or_on_several_engines(self) -> None:
        """Guards against a second run of an order, or of a prompt that holds memory on many engines."""
        self.start(runners=4)
        for values in (
            {"retry_policy": RetryPolicy.PROVED_NOT_RUN},
            {"max_runs": 1},
            {"may_hedge": False},
        ):
            with self.subTest(values):
                sent = self.send(str(values), **values)
                self.assertEqual(self.wait(), [])
                self.handle(CallerDisconnected(sent.request_id))
        state = RequestState(request("huge"), PromptClass.SPANNING, 1.0)
        self.assertIsNone(self.sched.hedging.due_ms(state, self.now_ms))

    def test_only_sound_unlimited_upstreams_get_hedges(self) -> None:
        """Guards against hedges at upstreams that failed, named a limit or are leaving."""
        for case in ("avoided", "limited", "leaving", "cold", "evacuated", "busy"):
            with self.subTest(case):
                self.start(runners=2)
                first = self.send()
                (other,) = {"r000", "r001"} - {first.upstream_id}
                match case:
                    case "avoided":
                        self.sched.health.observe(other, Outcome.FAILED, self.now_ms)
                    case "limited":
                        self.handle(UpstreamResponded(other, limit_per_s=100.0))
                    case "leaving":
                        self.handle(UpstreamResponded(other, is_leaving=True))
                    case "cold":
                        self.sched.pacing.cold.replace_limits({other: ColdLimit(3.0, 0)})
                        self.sched.pacing.cold.observe(other, 3_000, self.now_ms)
                    case "evacuated":
                        self.handle(EvacuationsChanged(frozenset({"dc1"})))
                    case "busy":
                        self.send("b", retry_policy=RetryPolicy.PROVED_NOT_RUN)
                self.assertEqual(self.declined(), [HedgeLimit.NO_UPSTREAM])

    def test_upstream_that_was_tried_or_helps_is_left_out(self) -> None:
        """Guards against a second attempt that depends on the same slow upstream as the first."""
        self.start(runners=3)
        first = self.send()
        state = self.sched._states["a"]
        helper, other = {"r000", "r001", "r002"} - {first.upstream_id}
        state.helper_ids = (helper,)
        (second,) = self.wait()
        self.assertEqual(second.upstream_id, other)

    def test_hub_lost(self) -> None:
        """Guards against instances that each use the whole fraction while no hub answers."""
        budget = HedgeBudget(0.02)
        budget.set_fleet(QUIET_FLEET, 0)
        now_ms = FLEET_COUNTS_MAX_AGE_MS + 1
        hedges = 0
        for number in range(100):
            budget.count_first_attempt(now_ms + number)
            if budget.has_room(now_ms + number):
                budget.count_hedge(now_ms + number)
                hedges += 1
        self.assertEqual(hedges, 2)  # Its even part: one in fifty.

    def test_hub_of_an_earlier_release(self) -> None:
        """Guards against hedges beyond the fraction while the hubs do not count them yet."""
        budget = HedgeBudget(0.02)
        budget.set_fleet(FleetAttempts({SERVICE: AttemptCounts(10_000)}, 72), 0)
        budget.count_first_attempt(1)
        self.assertFalse(budget.has_room(1))

    def test_quiet_times_leave_room_for_bad_ones(self) -> None:
        """Guards against a fraction of ten seconds' requests when all of a minute's hedges are needed at once."""
        budget = HedgeBudget(0.02)
        now_ms = 0
        for now_ms in range(0, HEDGE_WINDOW_MS, 20):  # 50 requests a second.
            budget.count_first_attempt(now_ms)
        budget.set_fleet(FleetAttempts({}, hedging=AttemptCounts()), now_ms)
        hedges = 0
        while budget.has_room(now_ms):
            budget.count_hedge(now_ms)
            hedges += 1
        self.assertEqual(hedges, 48)
        now_ms += HEDGE_WINDOW_MS
        budget.set_fleet(FleetAttempts({}, hedging=AttemptCounts(first=100)), now_ms)
        self.assertTrue(budget.has_room(now_ms))  # Old hedges do not count any more.

    def test_hedges_are_retries(self) -> None:
        """Guards against hedges and retries that together exceed the retry budget."""
        budget = RetryBudget(ratio=0.0, floor=50, slack=100)
        self.assertFalse(budget.try_acquire(SERVICE, 0))
        self.start()
        self.hedge()
        self.assertEqual(self.sched.attempt_totals[SERVICE].retries, 1)
        self.assertEqual(self.sched.attempt_totals[SERVICE].hedges, 1)


class RaceTest(HedgingTestCase):
    def test_second_attempt_wins(self) -> None:
        """Guards against memory and slots that stay taken at the slow upstream after a race."""
        self.start()
        first, second = self.hedge()
        self.assertEqual([self.requests_at(d.upstream_id) for d in (first, second)], [1, 1])
        self.handle(FirstToken("a", second.upstream_id))
        self.assertEqual([self.requests_at(d.upstream_id) for d in (first, second)], [0, 1])
        self.handle(AttemptEnded("a", second.upstream_id, Outcome.COMPLETED))
        self.assertEqual((self.requests_at(second.upstream_id), self.sched.active), (0, 0))

    def test_first_attempt_wins(self) -> None:
        """Guards against a stream that is attributed to the attempt that was cancelled."""
        self.start()
        first, second = self.hedge()
        self.handle(FirstToken("a", first.upstream_id))
        self.assertEqual([self.requests_at(d.upstream_id) for d in (first, second)], [1, 0])

    def test_outputs_at_the_same_moment(self) -> None:
        """Guards against two winners when both upstreams start to answer in the same millisecond."""
        self.start()
        first, second = self.hedge()
        self.handle(FirstToken("a", first.upstream_id))
        self.handle(FirstToken("a", second.upstream_id))
        self.assertEqual([self.requests_at(d.upstream_id) for d in (first, second)], [1, 0])
        self.handle(AttemptEnded("a", first.upstream_id, Outcome.COMPLETED))
        self.assertEqual(self.sched.active, 0)

    def test_upstream_that_keeps_losing_is_avoided(self) -> None:
        """Guards against a silent upstream that gets work, and uses up the hedges, for ever."""
        self.start()
        for number in range(3):
            self.sched.health.observe("r000", Outcome.COMPLETED, self.now_ms)
            self.sched.hedging.record_late_upstream("r000", self.now_ms)
            self.sched.hedging.record_late_upstream("r000", self.now_ms + number)
        self.assertTrue(self.sched.health.is_avoided("r000", self.now_ms + 10))

    def test_failure_of_one_leaves_the_other(self) -> None:
        """Guards against a retry, or a refusal, while the other attempt is at work."""
        for number in (0, 1):
            self.start()
            attempts = self.hedge()
            failed, other = attempts[number], attempts[1 - number]
            self.assertEqual(self.handle(AttemptEnded("a", failed.upstream_id, Outcome.FAILED)), [])
            self.assertEqual(self.requests_at(failed.upstream_id), 0)
            self.assertTrue(self.sched.health.is_avoided(failed.upstream_id, self.now_ms))
            self.handle(FirstToken("a", other.upstream_id))
            self.handle(AttemptEnded("a", other.upstream_id, Outcome.COMPLETED))
            self.assertEqual(self.sched.active, 0)

    def test_both_fail(self) -> None:
        """Guards against a third run of a request whose route allows two."""
        self.start()
        first, second = self.hedge()
        self.handle(AttemptEnded("a", first.upstream_id, Outcome.FAILED))
        (refusal,) = self.handle(AttemptEnded("a", second.upstream_id, Outcome.FAILED))
        self.assertEqual(refusal.run_state, RunState.UNKNOWN)

    def test_refusal_of_one_promises_nothing_for_both(self) -> None:
        """Guards against 'not run' told to a caller whose request the other upstream has run."""
        outcomes = {
            (Outcome.REJECTED, Outcome.FAILED): RunState.UNKNOWN,
            (Outcome.FAILED, Outcome.REJECTED): RunState.UNKNOWN,
            (Outcome.REJECTED, Outcome.REJECTED): RunState.NOT_RUN,
        }
        for (outcome, other_outcome), run_state in outcomes.items():
            with self.subTest(outcome=outcome, other=other_outcome):
                self.start(max_attempts=2)
                first, second = self.hedge()
                self.assertEqual(self.handle(AttemptEnded("a", first.upstream_id, outcome)), [])
                decisions = self.handle(AttemptEnded("a", second.upstream_id, other_outcome))
                (refusal,) = [item for item in decisions if isinstance(item, Refuse)]
                self.assertEqual(refusal.run_state, run_state)

    def test_refused_while_one_may_run(self) -> None:
        """Guards against 'not run' at the deadline after one of two upstreams refused the request."""
        self.start()
        first, second = self.hedge()
        self.handle(AttemptEnded("a", first.upstream_id, Outcome.REJECTED))
        self.now_ms += 20_000
        cancel, refusal = self.handle(Tick())
        self.assertEqual(cancel, CancelAttempt("a", second.upstream_id))
        self.assertEqual(refusal.run_state, RunState.UNKNOWN)

    def test_caller_disconnects(self) -> None:
        """Guards against an upstream that works on for a caller that has left (GONE)."""
        self.start()
        first, second = self.hedge()
        decisions = self.handle(CallerDisconnected("a"))
        self.assertCountEqual(
            decisions,
            [CancelAttempt("a", first.upstream_id), CancelAttempt("a", second.upstream_id)],
        )
        self.assertEqual([self.requests_at(d.upstream_id) for d in (first, second)], [0, 0])

    def test_deadline(self) -> None:
        """Guards against attempts that outlive their request when both upstreams are silent."""
        self.start()
        first, second = self.hedge()
        self.now_ms += 20_000
        decisions = self.handle(Tick())
        cancelled = [item.upstream_id for item in decisions if isinstance(item, CancelAttempt)]
        self.assertCountEqual(cancelled, [first.upstream_id, second.upstream_id])
        self.assertEqual(decisions[-1].run_state, RunState.UNKNOWN)

    def test_silent_attempt_is_not_replaced_beside_a_hedge(self) -> None:
        """Guards against a third attempt at a silent upstream's request."""
        self.start(first_token_timeout_ms=100)
        first, _ = self.hedge(max_runs=3)
        self.now_ms += 5_000
        decisions = self.handle(AttemptSilent("a", first.upstream_id, False))
        self.assertEqual([item for item in decisions if isinstance(item, CancelAttempt)], [])

    def test_winner_that_breaks_off_is_resumed(self) -> None:
        """Guards against a stream without a retry although its route allows three runs."""
        self.start()
        first, second = self.hedge(max_runs=3)
        self.handle(FirstToken("a", second.upstream_id))
        (third,) = self.handle(AttemptEnded("a", second.upstream_id, Outcome.FAILED, True))
        self.assertNotIn(third.upstream_id, (first.upstream_id, second.upstream_id))
        self.assertFalse(third.is_hedge)


class OffTest(unittest.TestCase):
    def decisions(self, may_hedge: bool, **scheduling: object) -> list:
        """Return the decisions on a stream of requests, every tenth of which gets no output in time."""
        sched = fakes.scheduler(5, placement="least_work", **scheduling)
        decisions, sent = [], []
        for number in range(300):
            now_ms = 60 * number
            req = request(
                f"r {number}",
                arrived_ms=now_ms,
                deadline_ms=now_ms + 9_000,
                may_hedge=may_hedge,
            )
            made = sched.handle(RequestArrived(req), now_ms)
            decisions += made
            sent += [item for item in made if isinstance(item, Dispatch)]
            for old in [item for item in sent if item.request_id.endswith("0")]:
                sent.remove(old)
            for old in sent:
                decisions += sched.handle(FirstToken(old.request_id, old.upstream_id), now_ms + 50)
                ended = AttemptEnded(old.request_id, old.upstream_id, Outcome.COMPLETED)
                decisions += sched.handle(ended, now_ms + 50)
            sent.clear()
        return [str(item) for item in decisions]

    def test_decisions_are_those_without_hedges(self) -> None:
        """Guards against changes for deployments that do not set the fraction."""
        without = self.decisions(may_hedge=False)
        self.assertTrue(self.decisions(may_hedge=True) == without)
        self.assertTrue(self.decisions(may_hedge=True, hedge_fraction=0.0) == without)
        self.assertFalse(any("ConfirmDelay" in item for item in without))
        hedged = self.decisions(may_hedge=True, hedge_fraction=0.02)
        self.assertTrue(any("ConfirmDelay" in item for item in hedged))

    def test_library_is_loaded_only_where_hedging_is_on(self) -> None:
        """Guards against a slower start and more memory of instances without hedging."""
        code = (
            "import sys\n"
            "from ibispaddle_core.scheduling import Scheduler\n"
            "from ibispaddle_core.settings import FleetConfig\n"
            "cfg = FleetConfig.from_document({'scheduling': {'hedge_fraction': %s}})\n"
            "sched = Scheduler.from_config(cfg, 1, 'b')\n"
            "sched.hedging.merge_samples([('c', 1.0)], 0)\n"
            "print('ddsketch' in sys.modules)\n"
        )
        for fraction, expected in (("0.0", "False"), ("0.02", "True")):
            done = subprocess.run(
                [sys.executable, "-c", code % fraction], capture_output=True, text=True, check=True
            )
            self.assertEqual(done.stdout.strip(), expected)


class UnaffectedSchedulerTest(unittest.TestCase):
    def test_unknown_attempts_are_ignored(self) -> None:
        """Guards against a late report of an attempt that was cancelled and whose request has ended."""
        sched: Scheduler = fakes.scheduler(2, hedge_fraction=FRACTION)
        self.assertEqual(sched.handle(AttemptDelayed("gone", "r000"), 0), [])
        sched.handle(UpstreamsChanged(()), 1)
        self.assertEqual(sched.handle(FirstToken("gone", "r000"), 2), [])


if __name__ == "__main__":
    unittest.main()
