"""Tests of least-work placement with short and long prompts and several instances.

The engines can divide the prefill of a prompt among them, and the mix of requests changes between
short prompts and prompts of a few hundred thousand tokens.
"""

import unittest

from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    CallerDisconnected,
    CancelAttempt,
    ConfirmListing,
    Decision,
    Dispatch,
    FirstToken,
    FreeMemory,
    Outcome,
    PeerWork,
    Refuse,
    RequestArrived,
    ReservationAnswered,
    ReservationOutcome,
    ReservationRenewed,
    ReserveMemory,
    RetryPolicy,
    Scheduler,
    Tick,
    Upstream,
    UpstreamsChanged,
    UpstreamState,
    UpstreamWork,
    least_work,
)
from ibispaddle_core.settings.fleet import FleetConfig

from . import fakes

MODEL = {
    "engine_kv_tokens": 232_000,
    "prefill_tokens_per_s": 206_000.0,
    "attention_tokens": 35_000,
    "decode_tokens_per_s": 900.0,
    "upstream_slots": 8,
    "max_helpers": 16,
    "pass_ms": 44.0,
    "harmless_reading_ms": 180.0,
    "usual_prompt_tokens": 12_000,
}
SERVICE = {"call_ms": 20.0, "first_token_timeout_ms": 180}


def config(**scheduling: object) -> FleetConfig:
    values = {"placement": "least_work", "short_memory_reserve": 0.02, "max_attempts": 4}
    return FleetConfig.from_document(
        {
            "neighbours": {"north": {}},
            "models": {"m": MODEL, "s": SERVICE},
            "scheduling": {**values, **scheduling},
        }
    )


def scheduler(runners: int = 23, seed: int = 1, **scheduling: object) -> Scheduler:
    result = Scheduler.from_config(config(**scheduling), seed, f"boot-{seed}")
    result.handle(UpstreamsChanged(tuple(fakes.upstream(n) for n in range(runners))), 0)
    return result


def arrive(sched: Scheduler, name: str, tokens: int, now_ms: int = 0, **values: object) -> list:
    defaults: dict = {"ttft_objective_ms": 300 if tokens < 20_000 else 2_500, "arrived_ms": now_ms}
    defaults |= {"deadline_ms": now_ms + 15_000, "prompt_tokens": tokens, **values}
    return sched.handle(RequestArrived(fakes.request(name, **defaults)), now_ms)


class DataCentreTest(unittest.TestCase):
    def test_prompts_stay_in_their_data_centres(self) -> None:
        """Guards against work, parts and reservations outside the data centres of a request."""
        sched = scheduler(8)
        others = (
            Upstream(f"x{number:03}", "dc2", ("m",), UpstreamState.LIVE) for number in range(20)
        )
        own = tuple(fakes.upstream(number) for number in range(8))
        sched.handle(UpstreamsChanged((*own, *others)), 0)
        allowed = frozenset({"dc1"})
        for number, tokens in enumerate((5_000, 133_000, 600_000)):
            used = set()
            now_ms = 5_000 * number  # Each prompt finds idle engines.
            for item in arrive(sched, f"p{number}", tokens, now_ms, data_centres=allowed):
                match item:
                    case Dispatch(_, upstream_id):
                        used |= {upstream_id, *item.helper_ids}
                    case ReserveMemory(_, upstream_id):
                        used.add(upstream_id)
            sched.handle(CallerDisconnected(f"p{number}"), now_ms)
            self.assertTrue(used)
            self.assertEqual({name[0] for name in used}, {"r"})

    def test_request_is_refused_at_once_without_an_upstream_in_its_data_centres(self) -> None:
        (decision,) = arrive(scheduler(4), "p", 5_000, data_centres=frozenset({"dc2"}))
        self.assertIsInstance(decision, Refuse)
        self.assertEqual(decision.run_state, RunState.NOT_RUN)


class JointPrefillTest(unittest.TestCase):
    def test_short_prompt_is_prefilled_by_one_engine(self) -> None:
        """Guards against helpers that save less time than the messages to them cost."""
        (decision,) = arrive(scheduler(), "a", 3_000)
        self.assertEqual(decision.helper_ids, ())

    def test_parts_of_a_long_prompt_stay_below_the_stall_limit(self) -> None:
        """Guards against a prefill that stalls the streams of its engines for too long."""
        sched = scheduler()
        for number in range(46):  # Two streams at each engine.
            arrive(sched, f"d{number}", 3_000)
            sched.handle(FirstToken(f"d{number}"), 0)
        (decision,) = arrive(sched, "long", 100_000, 1_000)
        prefill_ms = sched.cost.prefill_engine_ms("m", 100_000)
        part_ms = prefill_ms / (len(decision.helper_ids) + 1)
        self.assertLessEqual(part_ms, MODEL["harmless_reading_ms"])
        self.assertEqual(
            len({decision.upstream_id, *decision.helper_ids}), 1 + len(decision.helper_ids)
        )

    def test_prompt_above_the_stall_limit_is_prefilled_by_few_engines(self) -> None:
        """Guards against the longest prompts stalling all streams of the fleet."""
        sched = scheduler()
        for number in range(46):
            arrive(sched, f"d{number}", 3_000)
            sched.handle(FirstToken(f"d{number}"), 0)
        (decision,) = arrive(sched, "long", 220_000, 1_000)
        prefill_ms = sched.cost.prefill_engine_ms("m", 220_000)
        self.assertGreater(prefill_ms / 17, MODEL["harmless_reading_ms"])
        self.assertLess(len(decision.helper_ids), 8)

    def test_short_prompts_avoid_engines_that_prefill_long_ones(self) -> None:
        """Guards against short prompts that wait for the prefill of a long one."""
        sched = scheduler()
        (long,) = arrive(sched, "long", 220_000)
        used = {long.upstream_id, *long.helper_ids}
        for number in range(30):
            (short,) = arrive(sched, f"d{number}", 3_000, 10 + number)
            self.assertNotIn(short.upstream_id, used)

    def test_parts_per_engine_are_bounded(self) -> None:
        """Guards against helpers that refuse because they have reached their maximum of parts."""
        sched = scheduler(runners=4)
        for number in range(12):
            arrive(sched, f"l{number}", 100_000, 0)
        for view in sched.runners.views.values():
            self.assertLessEqual(view.parts, 8)

    def test_first_token_ends_the_parts(self) -> None:
        """Guards against engines that count as busy after the prefill of their part."""
        sched = scheduler()
        arrive(sched, "long", 100_000)
        sched.handle(FirstToken("long"), 300)
        self.assertEqual(
            sum(view.pending_prefill_ms(300) for view in sched.runners.views.values()), 0
        )


class PeerWorkTest(unittest.TestCase):
    def test_engines_with_work_of_other_instances_are_avoided(self) -> None:
        """Guards against instances that all send their prompts to the same engine."""
        sched = scheduler(runners=3)
        work = {"r000": UpstreamWork(500.0, 2, 50_000), "r001": UpstreamWork(400.0, 2, 0)}
        sched.handle(PeerWork("other", work), 0)
        (decision,) = arrive(sched, "a", 3_000)
        self.assertEqual(decision.upstream_id, "r002")

    def test_slots_and_memory_used_by_other_instances_are_counted(self) -> None:
        """Guards against requests that an engine must refuse because it lacks a slot or memory."""
        sched = scheduler(runners=2)
        work = {"r000": UpstreamWork(0.0, 8, 0), "r001": UpstreamWork(0.0, 1, 231_000)}
        sched.handle(PeerWork("other", work), 0)
        self.assertEqual(arrive(sched, "a", 3_000), [])
        (decision,) = sched.handle(PeerWork("other", {}), 50)
        self.assertIsInstance(decision, Dispatch)

    def test_work_of_an_unresponsive_instance_expires(self) -> None:
        """Guards against engines that stay unused after an instance has died."""
        sched = scheduler(runners=1)
        sched.handle(PeerWork("dead", {"r000": UpstreamWork(0.0, 8, 0)}), 0)
        sched.handle(PeerWork("alive", {}), 2_000)
        self.assertEqual(len(arrive(sched, "a", 3_000, 2_000)), 1)


class SpanningPromptTest(unittest.TestCase):
    def test_prompt_larger_than_one_engine_reserves_on_several(self) -> None:
        """Guards against refusing a prompt that several engines can hold together."""
        sched = scheduler()
        decisions, now_ms = arrive(sched, "huge", 500_000), 0
        handles = []
        orders = [order for order in decisions if isinstance(order, ReserveMemory)]
        for order in orders:
            handles.append(order.handle)
            now_ms += 3
            event = ReservationAnswered(
                "huge", order.upstream_id, order.handle, ReservationOutcome.GRANTED
            )
            decisions = sched.handle(event, now_ms)
        (dispatch,) = decisions
        self.assertIsInstance(dispatch, Dispatch)
        self.assertEqual(dispatch.segments, tuple(handles))
        self.assertEqual(len(dispatch.segment_upstream_ids), len(handles))
        self.assertLessEqual(len(handles), 16)

    def test_prompt_is_divided_when_no_single_engine_has_the_memory(self) -> None:
        """Guards against a prompt of nearly an engine's memory that waits for an empty engine."""
        sched = scheduler()
        work = {f"r{n:03}": UpstreamWork(0.0, 2, 60_000) for n in range(23)}
        sched.handle(PeerWork("other", work), 0)
        orders = arrive(sched, "long", 200_000)
        self.assertGreaterEqual(len(orders), 2)
        self.assertTrue(all(isinstance(order, ReserveMemory) for order in orders))

    def test_refused_reservation_moves_the_prompt_to_other_engines(self) -> None:
        """Guards against a prompt that waits for one full engine until its caller disconnects."""
        sched = scheduler()
        orders = arrive(sched, "huge", 500_000)
        refuser = orders[0].upstream_id
        decisions = sched.handle(
            ReservationAnswered("huge", refuser, orders[0].handle, ReservationOutcome.NO_ROOM), 5
        )
        freed = {d.handle for d in decisions if isinstance(d, FreeMemory)}
        # The runner that refused has reserved nothing.
        self.assertEqual(freed, {order.handle for order in orders[1:]})
        again = decisions + sched.handle(Tick(), 120)
        group = {d.upstream_id for d in again if isinstance(d, ReserveMemory)}
        self.assertGreater(len(group), 1)
        self.assertNotIn(refuser, group)

    def test_late_grant_of_a_released_group_is_freed(self) -> None:
        """Guards against leaked reservations."""
        sched = scheduler()
        orders = arrive(sched, "huge", 500_000)
        first, second = orders[:2]
        sched.handle(
            ReservationAnswered(
                "huge", first.upstream_id, first.handle, ReservationOutcome.NO_ROOM
            ),
            5,
        )
        late = sched.handle(
            ReservationAnswered(
                "huge", second.upstream_id, second.handle, ReservationOutcome.GRANTED
            ),
            6,
        )
        self.assertIn(FreeMemory(second.upstream_id, second.handle), late)

    def start_spanning(self) -> tuple[Scheduler, list[ReserveMemory], Dispatch]:
        """Start a prompt that several engines hold together."""
        sched = scheduler()
        orders = [o for o in arrive(sched, "huge", 500_000) if isinstance(o, ReserveMemory)]
        decisions = []
        for order in orders:
            granted = ReservationAnswered(
                "huge", order.upstream_id, order.handle, ReservationOutcome.GRANTED
            )
            decisions = sched.handle(granted, 5)
        (dispatch,) = decisions
        return sched, orders, dispatch

    def renew(
        self, sched: Scheduler, order: ReserveMemory, now_ms: int, *answers: bool
    ) -> list[Decision]:
        """Report the results of renewals of a reservation and return the decisions."""
        return [
            decision
            for answered in answers
            for decision in sched.handle(
                ReservationRenewed("huge", order.upstream_id, order.handle, answered), now_ms
            )
        ]

    def test_length_of_handles_does_not_depend_on_names(self) -> None:
        """Guards against reservations that are refused because instances have long names."""
        lengths = set()
        for name in ("i", "edge_hu_central_a_10-61078cff" * 4):
            sched = Scheduler.from_config(config(), 1, name)
            sched.handle(UpstreamsChanged(tuple(fakes.upstream(n) for n in range(23))), 0)
            decisions = arrive(sched, f"{name}-2", 600_000)
            orders = [item for item in decisions if isinstance(item, ReserveMemory)]
            self.assertTrue(orders)
            lengths |= {len(order.handle) for order in orders}
        self.assertLessEqual(max(lengths), 64)
        self.assertLessEqual(max(lengths) - min(lengths), 1)  # The number of a part has two digits.

    def delist(self, sched: Scheduler, upstream_id: str, now_ms: int) -> list[Decision]:
        listed = (fakes.upstream(number) for number in range(23))
        others = tuple(upstream for upstream in listed if upstream.upstream_id != upstream_id)
        return sched.handle(UpstreamsChanged(others), now_ms)

    def test_memory_is_freed_when_the_first_engine_is_lost(self) -> None:
        """Guards against memory that is kept for an engine that crashed in silence (review/5)."""
        for is_started in (False, True):
            for is_delisted_first in (False, True):
                with self.subTest(is_started=is_started, is_delisted_first=is_delisted_first):
                    sched, orders, dispatch = self.start_spanning()
                    if is_started:
                        sched.handle(FirstToken("huge"), 100)
                    if is_delisted_first:
                        self.assertEqual(self.delist(sched, dispatch.upstream_id, 3_100), [])
                        decisions = self.renew(sched, orders[0], 3_200, False, False)
                    else:
                        decisions = self.renew(sched, orders[0], 2_100, False, False)
                        self.assertEqual(decisions, [ConfirmListing("huge", dispatch.upstream_id)])
                        decisions = self.delist(sched, dispatch.upstream_id, 3_100)
                    freed = [d.handle for d in decisions if isinstance(d, FreeMemory)]
                    self.assertEqual(freed, list(dispatch.segments))
                    self.assertIn(
                        CancelAttempt("huge", dispatch.upstream_id, is_silent=True), decisions
                    )
                    ended = AttemptEnded("huge", dispatch.upstream_id, Outcome.STALLED)
                    retried = sched.handle(ended, 3_300)
                    self.assertFalse(any(isinstance(d, FreeMemory) for d in retried))
                    self.assertFalse(any(view.sent for view in sched.runners.views.values()))

    def test_engine_that_is_only_silent_or_only_unlisted_keeps_its_work(self) -> None:
        """Guards against running work that is given up because an engine is slow to report."""
        sched, orders, dispatch = self.start_spanning()
        listed = ConfirmListing("huge", dispatch.upstream_id)
        self.assertEqual(self.renew(sched, orders[0], 2_000, *[False] * 8), [listed] * 5)
        self.assertEqual(self.renew(sched, orders[0], 2_100, True), [])
        self.assertEqual(self.delist(sched, dispatch.upstream_id, 2_200), [])
        self.assertEqual(self.renew(sched, orders[0], 2_300, False, True, False, True), [])

    def test_silent_holder_does_not_end_the_attempt(self) -> None:
        """Guards against a prompt that ends for a silent holder, which its first engine reports."""
        sched, orders, _ = self.start_spanning()
        self.delist(sched, orders[1].upstream_id, 3_000)
        self.assertEqual(self.renew(sched, orders[1], 3_100, False, False, False), [])

    def test_prompt_larger_than_the_fleet_is_refused_at_once(self) -> None:
        """Guards against a wait for memory that does not exist."""
        (refusal,) = arrive(scheduler(runners=2), "huge", 900_000)
        self.assertEqual(refusal.run_state, RunState.NOT_RUN)


class RetryPolicyTest(unittest.TestCase):
    def end(
        self, retry_policy: RetryPolicy, outcome: Outcome, relayed: bool = False, **values: object
    ):
        sched = scheduler(runners=3, retry_floor=10)
        (first,) = arrive(sched, "a", 3_000, retry_policy=retry_policy, **values)
        if relayed:
            sched.handle(FirstToken("a"), 10)
        event = AttemptEnded("a", first.upstream_id, outcome, has_relayed_output=relayed)
        return sched.handle(event, 20)[0]

    def test_calls_that_may_have_run_are_not_retried(self) -> None:
        """Guards against sending a call that must not run twice to a second upstream."""
        for outcome in (Outcome.FAILED, Outcome.ERROR, Outcome.STALLED, Outcome.CANCELLED):
            refusal = self.end(RetryPolicy.PROVED_NOT_RUN, outcome)
            self.assertIsInstance(refusal, Refuse)
            self.assertEqual(refusal.run_state, RunState.UNKNOWN)
        for outcome in (Outcome.REJECTED, Outcome.NOT_SENT):
            self.assertIsInstance(self.end(RetryPolicy.PROVED_NOT_RUN, outcome), Dispatch)

    def test_streams_are_retried_after_output_only_if_they_can_resume(self) -> None:
        """Guards against duplicate events, and against ending a stream that could resume."""
        self.assertIsInstance(
            self.end(RetryPolicy.BEFORE_OUTPUT, Outcome.FAILED, relayed=True), Refuse
        )
        self.assertIsInstance(
            self.end(RetryPolicy.ANY_TIME, Outcome.FAILED, relayed=True), Dispatch
        )

    def test_runs_are_bounded_by_the_request(self) -> None:
        """Guards against a request that runs at more upstreams than its route allows."""
        last = self.end(RetryPolicy.ANY_TIME, Outcome.FAILED, max_runs=1)
        self.assertIsInstance(last, Refuse)
        not_run = self.end(RetryPolicy.ANY_TIME, Outcome.REJECTED, max_runs=1)
        self.assertIsInstance(not_run, Dispatch)

    def test_last_allowed_attempt_has_no_first_token_timeout(self) -> None:
        """Guards against cancelling an attempt early although it cannot be retried."""
        sched = scheduler(runners=3)
        arrive(sched, "a", 0, model="m", max_runs=1, retry_policy=RetryPolicy.BEFORE_OUTPUT)
        self.assertEqual(sched.handle(Tick(), 14_000), [])

    def test_only_engine_is_not_retried_immediately_after_a_rejection(self) -> None:
        """Guards against using up all attempts at one full engine within milliseconds."""
        sched = scheduler(runners=1, retry_floor=10)
        (first,) = arrive(sched, "a", 3_000)
        event = AttemptEnded("a", first.upstream_id, Outcome.REJECTED)
        self.assertEqual(sched.handle(event, 5), [])
        (again,) = sched.handle(Tick(), 150)
        self.assertIsInstance(again, Dispatch)

    def test_faulty_helper_is_not_used_for_the_retry(self) -> None:
        """Guards against retries that fail because of the same helper as the previous attempt."""
        sched = scheduler(retry_floor=10)
        (first,) = arrive(sched, "long", 100_000)
        faulty_id = first.helper_ids[0]
        event = AttemptEnded(
            "long", first.upstream_id, Outcome.REJECTED, faulty_upstream_id=faulty_id
        )
        (second,) = sched.handle(event, 10)
        self.assertNotIn(faulty_id, (second.upstream_id, *second.helper_ids))


class LongBurstTest(unittest.TestCase):
    """Long prompts arrive at three times their usual rate for ten seconds.

    Short prompts are few, and most engines decode a single stream.
    """

    def setUp(self) -> None:
        self.sched = scheduler(runners=18)
        for number in range(10):
            arrive(self.sched, f"d{number}", 3_000)
            self.sched.handle(FirstToken(f"d{number}"), 0)

    def test_longest_prompts_are_prefilled_one_at_a_time(self) -> None:
        """Guards against engines that get parts of several of the longest prompts at once.

        Engines prefill the part that arrived last first, so the first prompt would be the last one
        to complete.
        """
        sizes = [700_000, 600_000, 800_000]
        for number, tokens in enumerate(sizes):
            name = f"l{number}"
            decisions = arrive(self.sched, name, tokens, 1_000 + number, deadline_ms=100_000)
            reservations = [item for item in decisions if isinstance(item, ReserveMemory)]
            self.assertEqual(bool(reservations), number == 0, name)
        self.assertEqual(self.sched.active, 10 + len(sizes))

    def test_long_prompt_close_to_its_deadline_is_dispatched(self) -> None:
        """Guards against a prompt that waits for engines until its deadline has passed."""
        busy = {f"r{number:03}": UpstreamWork(3_000.0, 1, 9_000, 1) for number in range(18)}
        self.sched.handle(PeerWork("other", busy, ()), 900)
        (decision,) = arrive(self.sched, "urgent", 130_000, 1_000, deadline_ms=4_100)
        self.assertIsInstance(decision, Dispatch)
        self.assertEqual(arrive(self.sched, "patient", 130_000, 1_000, deadline_ms=16_000), [])

    def test_first_token_prediction_of_a_reserved_prompt_includes_pending_prefill(self) -> None:
        """Guards against a timeout while the engines are still busy with the prefill of others."""
        busy = {f"r{number:03}": UpstreamWork(3_000.0, 1, 9_000, 1) for number in range(18)}
        self.sched.handle(PeerWork("other", busy, ()), 900)
        reservations = arrive(self.sched, "spanning", 300_000, 1_000, deadline_ms=4_400)
        self.assertTrue(all(isinstance(item, ReserveMemory) for item in reservations))
        dispatches = []
        for item in reservations:
            granted = ReservationAnswered(
                "spanning", item.upstream_id, item.handle, ReservationOutcome.GRANTED
            )
            dispatches += self.sched.handle(granted, 1_010)
        (dispatch,) = [item for item in dispatches if isinstance(item, Dispatch)]
        self.assertGreater(dispatch.first_token_ms, 3_000)

    def test_first_token_timeout_of_a_long_prompt_allows_for_later_parts(self) -> None:
        """Guards against a repeated prefill because parts of later prompts went first."""
        (decision,) = arrive(self.sched, "long", 220_000, 1_000)
        due_ms = 1_000 + 2 * decision.first_token_ms + 200
        self.assertEqual(self.sched.handle(Tick(), int(due_ms)), [])

    def test_slow_long_prompt_is_not_retried_before_the_caller_times_out(self) -> None:
        """Guards against a timeout of a healthy engine while parts of other prompts go first.

        A retry would repeat the whole prefill, which delays all other prompts by that time.
        """
        values = {"retry_policy": RetryPolicy.ANY_TIME, "max_runs": 2, "max_silence_ms": 7_200}
        sched = scheduler(runners=18, first_token_timeout_ms=2_000)
        (decision,) = arrive(sched, "long", 220_000, 1_000, **values)
        predicted_ms = 1_000 + 2 * decision.first_token_ms + 2_000
        self.assertLess(predicted_ms, 8_000)
        self.assertEqual(sched.handle(Tick(), 8_199), [])
        (cancel,) = sched.handle(Tick(), 8_200)
        self.assertEqual(cancel.upstream_id, decision.upstream_id)

    def test_short_prompt_is_cancelled_early(self) -> None:
        """Guards against a caller that times out while its prompt waits at a dead engine."""
        sched = scheduler(runners=3, first_token_timeout_ms=1_000)
        values = {"retry_policy": RetryPolicy.ANY_TIME, "max_runs": 2, "max_silence_ms": 720}
        arrive(sched, "a", 3_000, 0, **values)
        self.assertEqual(len(sched.handle(Tick(), 1_300)), 1)


class ManyInstancesTest(unittest.TestCase):
    """71 instances report their few requests to each other."""

    def test_peer_work_is_summed_only_before_a_choice(self) -> None:
        """Guards against CPU time that grows with the number of instances times upstreams."""
        sched, sums = scheduler(runners=78), []
        replace = sched.runners.replace_peers
        sched.runners.replace_peers = lambda totals: (sums.append(len(totals)), replace(totals))
        for number in range(71):
            work = {f"r{number:03}": UpstreamWork(50.0, 2, 9_000, 0)}
            sched.handle(PeerWork(f"i{number}", work, ()), number)
        self.assertEqual(sums, [])
        (decision,) = arrive(sched, "a", 3_000, 100)
        self.assertEqual(sums, [71])
        self.assertIn(decision.upstream_id, {f"r{number:03}" for number in range(71, 78)})


class SimultaneousChoicesTest(unittest.TestCase):
    """A burst of short prompts arrives at 87 instances.

    Several instances choose from the same snapshot within the few milliseconds that a message takes.
    """

    def chosen(self, choice_rank: int, free: int) -> str:
        """Return the engine chosen at a rank; the first `free` engines have one free slot each."""
        sched = scheduler(runners=12, seed=choice_rank)
        slots = MODEL["upstream_slots"]
        work = {
            f"r{number:03}": UpstreamWork(10.0 * number, slots - (number < free), 5_000)
            for number in range(12)
        }
        sched.handle(PeerWork("fleet", work, (), choice_rank), 0)
        (decision,) = arrive(sched, "a", 3_000)
        return decision.upstream_id

    def test_instances_take_different_engines(self) -> None:
        """Guards against requests that wait because several instances choose the same slot."""
        self.assertEqual(len({self.chosen(choice_rank, free=5) for choice_rank in range(5)}), 5)

    def test_last_engine_with_a_slot_is_used_at_every_rank(self) -> None:
        """Guards against a request that waits although an engine has a free slot."""
        self.assertEqual({self.chosen(choice_rank, free=1) for choice_rank in range(3)}, {"r000"})


class LargeFleetTest(unittest.TestCase):
    """The fleet has 730 engines, which are too many to examine for each choice."""

    ENGINES = 730

    def test_choice_examines_a_bounded_number_of_engines(self) -> None:
        """Guards against CPU time per request that grows with the fleet."""
        sched, examined = scheduler(runners=self.ENGINES), []
        create = sched.placement._candidate
        sched.placement._candidate = lambda view, now_ms: (
            examined.append(view),
            create(view, now_ms),
        )[1]
        for name, tokens in (("short", 3_000), ("long", 130_000)):
            arrive(sched, name, tokens)
            self.assertLessEqual(len(examined), least_work.MAX_CANDIDATES)
            examined.clear()

    def test_last_engine_with_capacity_is_found(self) -> None:
        """Guards against requests that wait while an engine outside the sample is free."""
        sched = scheduler(runners=self.ENGINES)
        full = UpstreamWork(0.0, MODEL["upstream_slots"], 0)
        work = {f"r{number:03}": full for number in range(self.ENGINES) if number != 77}
        sched.handle(PeerWork("fleet", work), 0)
        (decision,) = arrive(sched, "a", 3_000)
        self.assertEqual(decision.upstream_id, "r077")

    def test_work_is_distributed_over_all_engines(self) -> None:
        """Guards against a part of the fleet that is never chosen."""
        sched = scheduler(runners=self.ENGINES)
        used = {arrive(sched, f"d{number}", 3_000)[0].upstream_id for number in range(600)}
        self.assertGreater(len(used), 550)

    def test_counters_of_an_engine_match_its_requests(self) -> None:
        """Guards against counters of requests and parts that differ from those in flight."""
        sched = scheduler(runners=23)
        for number in range(60):
            name = f"p{number}"
            arrive(sched, name, 3_000 if number % 3 else 100_000, number)
            if number % 2:
                sched.handle(FirstToken(name), number)
            if number % 5 == 0:
                sched.handle(CallerDisconnected(name), number)
        for view in sched.runners.views.values():
            requests = sum(not work.is_part for work in view.sent.values())
            parts = sum(work.is_part for work in view._prefilling.values())
            self.assertEqual((view.own_requests, view.own_parts), (requests, parts))
        for number in range(60):
            sched.handle(CallerDisconnected(f"p{number}"), 100)
        for view in sched.runners.views.values():
            self.assertEqual(
                (view.own_requests, view.own_parts, view.pending_prefill_ms(100)), (0, 0, 0)
            )

    def test_rank_equals_the_penalty_of_an_engine(self) -> None:
        """Guards against ranks that differ from the penalties by which plans are compared."""
        sched = scheduler(runners=6)
        work = {f"r{number:03}": UpstreamWork(100.0 * number, number % 4, 0) for number in range(6)}
        sched.handle(PeerWork("fleet", work), 0)
        sched.handle(RequestArrived(fakes.request("a", prompt_tokens=3_000)), 0)
        cfg = sched.cost.model("m")
        candidates = sched.placement._candidates(sched.runners.live("m"), 0)
        for part_ms in (1.0, 50.0, 200.0, 900.0):
            ranks = sched.placement._ranks(candidates, part_ms, cfg)
            for candidate, rank in zip(candidates, ranks, strict=True):
                penalty = least_work._penalty(candidate, part_ms, cfg)
                self.assertAlmostEqual(rank - candidate.base_rank, penalty, places=9)


if __name__ == "__main__":
    unittest.main()
