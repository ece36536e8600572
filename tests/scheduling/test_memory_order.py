"""Tests of the order in which the long prompts of all instances get engine memory.

Eight engines have memory for two of the prompts at a time. The instances know of each other's waiting
prompts from a hub, as on the users' platform; there is no network, and time is virtual.
"""

import unittest
from collections import Counter
from dataclasses import replace

from ibispaddle_core.hubs import WorkAggregator
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import (
    AttemptEnded,
    Decision,
    Dispatch,
    Event,
    FirstToken,
    FreeMemory,
    Outcome,
    PeerWork,
    RefusalReason,
    Refuse,
    RequestArrived,
    ReservationAnswered,
    ReserveMemory,
    Scheduler,
    Tick,
    UpstreamsChanged,
    UpstreamWork,
    WaitingPrompt,
)
from ibispaddle_core.scheduling.reservation_order import FLEET_EXPIRY_MS, ReservationOrder
from ibispaddle_core.settings.fleet import FleetConfig

from . import fakes
from .test_least_work import MODEL

RUNNERS, KV_TOKENS = 8, 232_000
TOKENS = 800_000
# Without attention, so that memory binds and not the prefill.
CONFIG = FleetConfig.from_document(
    {
        "neighbours": {"north": {}, "south": {}},
        "models": {"m": {**MODEL, "attention_tokens": 10**8}},
        "scheduling": {"placement": "least_work", "short_memory_reserve": 0.02},
    }
)
STEP_MS, EXCHANGE_MS, ANSWER_MS = 10, 50, 10
FIRST_TOKEN_MS, RUN_MS = 600, 1_000


class Fleet:
    """Run schedulers with a hub and with engines that only account for memory."""

    def __init__(self, instances: int) -> None:
        self.now_ms = 0
        self.hub = WorkAggregator()
        self.memory: dict[str, dict[str, int]] = {f"r{n:03}": {} for n in range(RUNNERS)}
        self.schedulers: dict[int, Scheduler] = {}
        self.dispatched: list[str] = []
        self.refused: dict[str, Refuse] = {}
        self.orders: Counter[str] = Counter()
        self._due: list[tuple[int, int, Event]] = []
        upstreams = UpstreamsChanged(tuple(fakes.upstream(n) for n in range(RUNNERS)))
        for number in range(instances):
            self.schedulers[number] = Scheduler.from_config(CONFIG, number, f"b{number}")
            self.handle(number, upstreams)

    def handle(self, number: int, event: Event) -> None:
        if number not in self.schedulers:
            return
        for decision in self.schedulers[number].handle(event, self.now_ms):
            self._execute(number, decision)
        own = self.schedulers[number].own_work(f"i{number}", self.now_ms)
        self.hub.update(own, self.now_ms)

    def _execute(self, number: int, decision: Decision) -> None:
        match decision:
            case ReserveMemory(request_id, upstream_id, handle, tokens):
                self.orders[request_id] += 1
                held = self.memory[upstream_id]
                granted = sum(held.values()) + tokens <= KV_TOKENS
                if granted:
                    held[handle] = tokens
                outcome = fakes.reservation_outcome(granted)
                event = ReservationAnswered(request_id, upstream_id, handle, outcome)
                self._due.append((self.now_ms + ANSWER_MS, number, event))
            case FreeMemory(upstream_id, handle):
                self.memory[upstream_id].pop(handle, None)
            case Dispatch(request_id, upstream_id):
                self.dispatched.append(request_id)
                first_ms = self.now_ms + FIRST_TOKEN_MS
                self._due.append((first_ms, number, FirstToken(request_id)))
                ended = AttemptEnded(request_id, upstream_id, Outcome.COMPLETED, True)
                self._due.append((first_ms + RUN_MS, number, ended))
            case Refuse(request_id):
                self.refused[request_id] = decision

    def arrive(self, number: int, name: str, tokens: int = TOKENS, **values: object) -> None:
        defaults = {"arrived_ms": self.now_ms, "deadline_ms": self.now_ms + 15_000}
        req = fakes.request(name, prompt_tokens=tokens, **{**defaults, **values})
        self._exchange(number)
        self.handle(number, RequestArrived(req))

    def _exchange(self, number: int) -> None:
        """Answer an instance's query for the work of the others."""
        self.handle(number, self.hub.total_excluding(f"i{number}", self.now_ms))

    def run(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, STEP_MS):
            self.now_ms += STEP_MS
            due = [entry for entry in self._due if entry[0] <= self.now_ms]
            self._due = [entry for entry in self._due if entry[0] > self.now_ms]
            for _, number, event in due:
                self.handle(number, event)
            for number in list(self.schedulers):
                if self.now_ms % EXCHANGE_MS == 0:
                    self._exchange(number)
                self.handle(number, Tick())

    def position(self, name: str) -> int:
        return self.dispatched.index(name)


class TurnTest(unittest.TestCase):
    def test_workspace_that_floods_does_not_keep_the_others_out(self) -> None:
        """Guards against a workspace with many long prompts before which no other gets memory.

        Twelve prompts of one workspace arrive at four instances within 120 ms, and then one prompt of
        another workspace, which must end later than all of them.
        """
        fleet = Fleet(5)
        for number in range(12):
            fleet.arrive(number % 4, f"flood-{number}", workspace="north", neighbour="north")
            fleet.run(10)
        fleet.arrive(4, "other", workspace="south", neighbour="south")
        fleet.run(12_000)
        self.assertLessEqual(fleet.position("other"), 3)

    def test_prompt_that_must_start_first_gets_the_memory_that_becomes_free(self) -> None:
        """Guards against a late arrival at another instance that takes memory others wait for."""
        fleet = Fleet(4)
        for number in range(2):
            fleet.arrive(number, f"running-{number}")
            fleet.run(50)
        fleet.arrive(2, "early", deadline_ms=fleet.now_ms + 8_000)
        fleet.run(800)
        fleet.arrive(3, "late")
        fleet.arrive(3, "later")
        fleet.run(10_000)
        self.assertLess(fleet.position("early"), fleet.position("late"))
        self.assertLess(fleet.position("late"), fleet.position("later"))
        self.assertEqual(fleet.refused, {})

    def test_smaller_prompt_starts_out_of_turn_if_the_memory_is_enough_for_both(self) -> None:
        """Guards against memory that is kept for a prompt that does not need all of it."""
        fleet = Fleet(3)
        fleet.arrive(0, "running-0", tokens=900_000)
        fleet.run(50)
        fleet.arrive(1, "large", tokens=990_000, deadline_ms=fleet.now_ms + 10_000)
        fleet.run(100)
        fleet.arrive(2, "small", tokens=120_000)
        fleet.run(60)
        self.assertNotIn("small", fleet.dispatched)  # It would delay the large one.
        fleet.run(12_000)
        self.assertLess(fleet.position("large"), fleet.position("small"))
        fleet = Fleet(3)
        fleet.arrive(1, "large")
        fleet.arrive(2, "small", tokens=120_000)
        fleet.run(30)
        self.assertEqual(set(fleet.dispatched), {"large", "small"})


class LatePromptTest(unittest.TestCase):
    def setUp(self) -> None:
        """Start a prompt that is late after 1.5 s and must start 8 s after its arrival."""
        self.fleet = Fleet(4)
        for number in range(2):
            self.fleet.arrive(0, f"running-{number}", tokens=900_000)
        self.fleet.arrive(1, "late", ttft_objective_ms=1_200, deadline_ms=9_000)

    def test_prompt_that_is_late_leaves_its_place_to_one_that_can_be_in_time(self) -> None:
        """Guards against a burst after which each prompt is late because the one before was."""
        self.fleet.run(1_000)
        self.fleet.arrive(2, "fresh", ttft_objective_ms=2_500)
        self.fleet.run(4_000)
        self.assertLess(self.fleet.position("fresh"), self.fleet.position("late"))

    def test_prompt_that_is_late_comes_first_before_it_could_not_end(self) -> None:
        """Guards against late prompts that are never served while others arrive."""
        for number in range(12):
            self.fleet.arrive(2 + number % 2, f"fresh-{number}", ttft_objective_ms=2_500)
            self.fleet.run(800)
        self.assertIn("late", self.fleet.dispatched)


class ContentionTest(unittest.TestCase):
    def test_orders_are_bounded_while_many_prompts_wait_for_little_memory(self) -> None:
        """Guards against groups that take parts and give them back while others do the same.

        Eight instances get a prompt each at the same moment, and two fit at a time.
        """
        fleet = Fleet(8)
        for number in range(8):
            fleet.arrive(number, f"p{number}", deadline_ms=20_000)
        fleet.run(20_000)
        self.assertEqual(fleet.refused, {})
        self.assertEqual(len(fleet.dispatched), 8)
        self.assertLessEqual(max(fleet.orders.values()), 3 * RUNNERS)
        self.assertLessEqual(sum(fleet.orders.values()), 2 * 8 * RUNNERS)

    def test_prompts_of_a_dead_instance_do_not_block_the_others(self) -> None:
        """Guards against memory that is kept for prompts of an instance that was killed."""
        fleet = Fleet(3)
        for number in range(2):
            fleet.arrive(0, f"running-{number}", tokens=900_000)
            fleet.run(100)
        fleet.arrive(1, "lost", deadline_ms=fleet.now_ms + 9_000)
        fleet.run(100)
        del fleet.schedulers[1]
        fleet.arrive(2, "next", tokens=990_000)
        fleet.run(1_700)
        self.assertIn("next", fleet.dispatched)

    def test_no_memory_is_set_aside_for_ended_prompts(self) -> None:
        """Guards against memory set aside for nobody."""
        fleet = Fleet(8)
        for number in range(24):
            fleet.arrive(number % 8, f"p{number}")
            fleet.run(70)
        fleet.run(16_000)
        self.assertEqual([held for held in fleet.memory.values() if held], [])


class LostHubTest(unittest.TestCase):
    def test_last_report_of_a_lost_hub_holds_prompts_back_for_a_short_time(self) -> None:
        """Guards against memory that is kept for prompts of a report that is no longer renewed."""
        order = ReservationOrder(0)
        peer = WaitingPrompt(0, "peer", model="m", workspace="w", tokens=9, latest_start_ms=90_000)
        own = replace(peer, request_id="own", latest_start_ms=91_000)
        order.replace_fleet((peer,), {}, 0)
        self.assertEqual(order.prompts_before(own, {}, FLEET_EXPIRY_MS - 1), [peer])
        self.assertEqual(order.prompts_before(own, {}, FLEET_EXPIRY_MS), [])

    def test_prompts_of_other_models_do_not_compete(self) -> None:
        """Guards against prompts that wait for memory of engines that they cannot use."""
        order = ReservationOrder(0)
        peer = WaitingPrompt(0, "peer", model="m", workspace="w", tokens=9, latest_start_ms=90_000)
        order.replace_fleet((peer,), {}, 0)
        own = replace(peer, request_id="own", model="other", latest_start_ms=91_000)
        self.assertEqual(order.prompts_before(own, {}, 1), [])


class RefusedAtOnceTest(unittest.TestCase):
    def arrive(self, before: int, used: int = KV_TOKENS) -> list[Decision]:
        """Return the decisions about a prompt that can wait 0.9 s, with other prompts before it."""
        fleet = Fleet(1)
        sched = fleet.schedulers[0]
        waiting = tuple(
            WaitingPrompt(
                0,
                f"w{number}",
                model="m",
                workspace=f"w{number}",
                tokens=900_000,
                latest_start_ms=500,
            )
            for number in range(before)
        )
        work = {name: UpstreamWork(0.0, 2, used) for name in fleet.memory}
        sched.handle(PeerWork("fleet", work, waiting=waiting), 0)
        req = fakes.request("late", prompt_tokens=990_000, deadline_ms=2_000)
        return sched.handle(RequestArrived(req), 0)

    def test_prompt_is_refused_at_once_if_memory_becomes_free_too_late(self) -> None:
        """Guards against a prompt that waits until its deadline while it cannot be served.

        All memory is in use, and eight prompts that must start earlier wait for it.
        """
        (refusal,) = self.arrive(before=8)
        assert isinstance(refusal, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.NO_MEMORY)
        self.assertIs(refusal.run_state, RunState.NOT_RUN)
        # The time in which 8.2 million tokens become free, of which there are 1.9 million.
        self.assertGreater(refusal.retry_after_ms, 3_000)
        self.assertLess(refusal.retry_after_ms, 6_000)

    def test_prompt_that_may_be_served_waits(self) -> None:
        """Guards against a refusal although the memory may become free in time."""
        self.assertEqual(self.arrive(before=0), [])
        self.assertEqual(self.arrive(before=0, used=KV_TOKENS // 2 + 1), [])


class InertTest(unittest.TestCase):
    def test_nothing_is_reported_while_prompts_find_memory(self) -> None:
        """Guards against messages and decisions that change for deployments without such load."""
        fleet = Fleet(2)
        for number in range(6):
            fleet.arrive(number % 2, f"p{number}", tokens=50_000)
            fleet.run(200)
        for sched in fleet.schedulers.values():
            self.assertEqual(sched.own_work("i", fleet.now_ms).waiting, ())
        self.assertEqual(fleet.hub.total_excluding("i9", fleet.now_ms).waiting, ())


if __name__ == "__main__":
    unittest.main()
