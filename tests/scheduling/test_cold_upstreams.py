"""Tests of cold upstreams: a fleet with delayed messages, the table of cold times, and the scheduler."""

import heapq
import itertools
import random
import unittest
from collections.abc import Callable

from ibispaddle_core.hubs import PaceAggregator
from ibispaddle_core.hubs.pacing import MAX_OFFERS
from ibispaddle_core.scheduling import (
    ColdOffer,
    ConfigurationReplaced,
    FleetPaces,
    PaceReport,
    RefusalReason,
    Refuse,
    RequestArrived,
    Scheduler,
    Upstream,
    UpstreamResponded,
    UpstreamsChanged,
)
from ibispaddle_core.scheduling.cold import OUT_OF_TOUCH_FRACTION, ColdLimit, out_of_touch_share
from ibispaddle_core.scheduling.messages import Dispatch
from ibispaddle_core.scheduling.pacing import LONG_WINDOW_MS, OFFER_MAX_AGE_MS, UpstreamPacing
from ibispaddle_core.settings.fleet import FleetConfig

from .fakes import request

COLD_MS = 4_000
PER_S = 15.0


def allowed(per_s: float) -> float:
    """Return the requests in a second that a cold upstream bears."""
    return 1.5 * per_s + 5


def counting_hub() -> PaceAggregator:
    """Return a hub that has got reports for long enough to know the counts at 0 ms."""
    hub = PaceAggregator("hub", -LONG_WINDOW_MS)
    hub.update("i00", {}, -1)
    return hub


def most_in_a_second(times: list[int]) -> int:
    return max((sum(at <= other < at + 1_000 for other in times) for at in times), default=0)


class Fleet:
    """Instances that use a cold upstream whenever they may, a hub, and messages that take time."""

    def __init__(self, count: int, per_s: float, seed: int, max_delay_ms: int) -> None:
        self.rng = random.Random(seed)
        self.per_s, self.max_delay_ms = per_s, max_delay_ms
        self.hub = counting_hub()
        self.is_hub_up = True
        self.pacings: dict[str, UpstreamPacing] = {}
        for number in range(count):
            self.start(f"i{number:02}")
        self.arrived_ms: list[int] = []
        self.sent = 0
        self.now_ms = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def start(self, name: str) -> None:
        pacing = self.pacings[name] = UpstreamPacing()
        pacing.cold.replace_limits({"r": ColdLimit(self.per_s, 0)})
        pacing.cold.observe("r", 1_000_000, 0)

    def after(self, delay_ms: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), callback))

    def delay_ms(self) -> int:
        return self.rng.randint(0, self.max_delay_ms)

    def choose_repeatedly(self, name: str, interval_ms: int) -> None:
        self.ask(name)
        next_ms = self.rng.randint(interval_ms // 2, interval_ms * 3 // 2)
        self.after(next_ms, lambda: self.choose_repeatedly(name, interval_ms))

    def ask(self, name: str) -> None:
        """Ask the hub, and choose when its answer has arrived or the question has timed out."""
        asked_ms = self.now_ms
        pacing = self.pacings[name]
        rank, count = sorted(self.pacings).index(name), len(self.pacings)

        def answer() -> None:
            if self.is_hub_up:
                room = self.hub.offers(name, {"r": self.per_s}, 1.0, self.now_ms)
                offers = room and {"r": ColdOffer(1_000, room["r"])}
                self.after(self.delay_ms(), lambda: receive(offers))
            else:
                self.after(25, lambda: receive(None))

        def receive(offers: dict[str, ColdOffer] | None) -> None:
            pacing.set_fleet(FleetPaces(None, count, rank, offers, asked_ms), self.now_ms)
            self.send(name, pacing)

        self.after(self.delay_ms(), answer)

    def send(self, name: str, pacing: UpstreamPacing) -> None:
        while pacing.has_room("r", self.now_ms):
            pacing.count_sent("r", self.now_ms)
            self.sent += 1
            self.after(self.delay_ms(), lambda: self.arrived_ms.append(self.now_ms))
            if self.is_hub_up:
                self.report(name, pacing.reports())

    def report(self, name: str, reports: dict[str, PaceReport]) -> None:
        self.after(self.delay_ms(), lambda: self.hub.update(name, reports, self.now_ms))

    def run(self, duration_ms: int) -> list[int]:
        """Run for a time, and return the arrivals at the upstream."""
        first, end_ms = len(self.arrived_ms), self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = end_ms
        return self.arrived_ms[first:]


class ColdFleetTest(unittest.TestCase):
    def test_instances_that_choose_at_once(self) -> None:
        """72 instances choose at the same moment, and none knows the choice of another."""
        fleet = Fleet(72, PER_S, seed=1, max_delay_ms=0)
        for round_number in range(5):
            for name in fleet.pacings:
                fleet.ask(name)
            fleet.run(300)
            self.assertLessEqual(most_in_a_second(fleet.arrived_ms), PER_S, round_number)
        self.assertEqual(len(fleet.arrived_ms), 2 * PER_S)

    def test_random_interleavings(self) -> None:
        """Any number of instances use one cold upstream whenever they may, with delayed messages."""
        for seed in range(40):
            rng = random.Random(seed)
            count, per_s = rng.choice([1, 2, 7, 30, 72]), rng.choice([0.5, 1.0, 4.0, 15.0, 40.0])
            fleet = Fleet(count, per_s, seed, max_delay_ms=rng.choice([0, 2, 10, 40]))
            with self.subTest(seed=seed, count=count, per_s=per_s, delay=fleet.max_delay_ms):
                for name in list(fleet.pacings):
                    fleet.choose_repeatedly(name, rng.choice([20, 50, 200]))
                fleet.run(5_000)
                self.assertLessEqual(most_in_a_second(fleet.arrived_ms), allowed(per_s))

    def test_upstream_is_used_up_to_its_limit(self) -> None:
        """Requests keep waiting for the only upstream, which gets what it bears and not much less."""
        fleet = Fleet(72, PER_S, seed=3, max_delay_ms=2)
        for name in list(fleet.pacings):
            fleet.choose_repeatedly(name, 50)
        self.assertGreater(len(fleet.run(6_000)), 0.8 * 6 * PER_S)

    def test_lost_hub(self) -> None:
        """The hub is lost under load, and its successor has no counts in its first seconds."""
        for count in (2, 6, 72):
            fleet = Fleet(count, PER_S, seed=count, max_delay_ms=5)
            for name in list(fleet.pacings):
                fleet.choose_repeatedly(name, 30)
            fleet.run(2_000)
            fleet.is_hub_up = False
            fleet.run(3_000)
            fleet.hub, fleet.is_hub_up = PaceAggregator("hub", fleet.now_ms), True
            fleet.run(6_000)
            with self.subTest(count=count):
                self.assertLessEqual(most_in_a_second(fleet.arrived_ms), allowed(PER_S))

    def test_restarted_instances(self) -> None:
        """Instances restart one after the other under load, and no longer know what they sent."""
        fleet = Fleet(20, PER_S, seed=4, max_delay_ms=5)
        for name in list(fleet.pacings):
            fleet.choose_repeatedly(name, 30)
        for name in list(fleet.pacings):
            fleet.run(150)
            fleet.start(name)
        self.assertLessEqual(most_in_a_second(fleet.arrived_ms), allowed(PER_S))

    def test_half_of_the_fleet_out_of_touch(self) -> None:
        """Half of the instances get no answers of the hub, while the others use all that it offers."""
        fleet = Fleet(72, PER_S, seed=5, max_delay_ms=3)
        out_of_touch = set(list(fleet.pacings)[::2])
        ask = fleet.ask

        def ask_or_time_out(name: str) -> None:
            if name not in out_of_touch:
                ask(name)
                return
            rank = sorted(fleet.pacings).index(name)
            pacing = fleet.pacings[name]
            pacing.set_fleet(FleetPaces(None, 72, rank), fleet.now_ms)
            while pacing.has_room("r", fleet.now_ms):
                pacing.count_sent("r", fleet.now_ms)
                fleet.arrived_ms.append(fleet.now_ms)

        fleet.ask = ask_or_time_out
        for name in list(fleet.pacings):
            fleet.choose_repeatedly(name, 30)
        fleet.run(5_000)
        self.assertLessEqual(most_in_a_second(fleet.arrived_ms), allowed(PER_S))
        self.assertGreater(most_in_a_second(fleet.arrived_ms), PER_S)

    def test_frozen_instance_does_not_use_old_offers(self) -> None:
        """An instance is frozen between its question and the answer, and wakes up a second later."""
        pacing = UpstreamPacing()
        pacing.cold.replace_limits({"r": ColdLimit(PER_S, 0)})
        pacing.cold.observe("r", 10_000, 0)
        offers = {"r": ColdOffer(10_000, 1)}
        self.assertEqual(out_of_touch_share(PER_S, "r", 72, 71), 0)
        pacing.set_fleet(FleetPaces(None, 72, 71, offers, asked_ms=0), OFFER_MAX_AGE_MS)
        self.assertTrue(pacing.has_room("r", OFFER_MAX_AGE_MS))
        self.assertFalse(pacing.has_room("r", OFFER_MAX_AGE_MS + 1))
        pacing.set_fleet(FleetPaces(None, 72, 71, offers, asked_ms=0), 1_000)
        self.assertFalse(pacing.has_room("r", 1_000))

    def test_instance_that_does_not_know_the_fleet(self) -> None:
        """A process that has just started chooses before it knows how many instances there are."""
        pacing = UpstreamPacing()
        pacing.cold.replace_limits({"r": ColdLimit(PER_S, 0)})
        pacing.cold.observe("r", 10_000, 0)
        self.assertFalse(pacing.has_room("r", 10))

    def test_shares_out_of_touch(self) -> None:
        """All instances are out of touch at once, in fleets of all sizes."""
        for count in (1, 2, 5, 7, 30, 72, 300):
            for per_s in (0.2, 1.0, 15.0, 100.0):
                total = sum(out_of_touch_share(per_s, "r", count, rank) for rank in range(count))
                self.assertLessEqual(total, max(1.0, OUT_OF_TOUCH_FRACTION * per_s))
                self.assertGreaterEqual(total, 1)

    def test_room_at_a_whole_data_centre(self) -> None:
        """A data centre returns cold, and each of 72 instances asks: all are offered some room."""
        hub = counting_hub()
        cold = {f"r{number}": PER_S for number in range(40)}
        totals = dict.fromkeys(cold, 0)
        for number in range(72):
            offers = hub.offers(f"i{number}", cold, 1.0, 0)
            self.assertEqual(sum(offers.values()), MAX_OFFERS, number)
            for upstream_id, room in offers.items():
                totals[upstream_id] += room
        self.assertLessEqual(max(totals.values()), PER_S)


def fleet_config(per_s: float = PER_S, cold_ms: int = COLD_MS) -> FleetConfig:
    model = {"cold_requests_per_s": per_s, "cold_ms": cold_ms, "upstream_slots": 50}
    return FleetConfig.from_document(
        {
            "neighbours": {"north": {}},
            "models": {"m": model},
            "scheduling": {"placement": "least_work"},
        }
    )


def upstream(number: int, cold_until_ms: int | None = 0, boot_ms: int = 1) -> Upstream:
    return Upstream(f"r{number}", "dc", ("m",), boot_ms=boot_ms, cold_until_ms=cold_until_ms)


class ColdSchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = Scheduler.from_config(fleet_config(), 1, "boot-1")
        self.numbers = itertools.count()

    def list(self, now_ms: int, *upstreams: Upstream) -> None:
        self.scheduler.handle(UpstreamsChanged(upstreams), now_ms)

    def offer(self, now_ms: int, **room: int) -> list:
        cold = {name: ColdOffer(1_000, count) for name, count in room.items()}
        return self.scheduler.handle(FleetPaces({}, 72, 0, cold, now_ms), now_ms)

    def arrive(self, now_ms: int, **values: object) -> list:
        values = {"deadline_ms": now_ms + 10_000, **values}
        req = request(f"q{next(self.numbers)}", arrived_ms=now_ms, **values)
        return self.scheduler.handle(RequestArrived(req), now_ms)

    def is_cold(self, now_ms: int, upstream_id: str = "r0") -> bool:
        return self.scheduler.pacing.cold.is_cold(upstream_id, now_ms)

    def test_warm_upstreams_are_preferred(self) -> None:
        """A data centre returns cold while the others suffice for the load."""
        self.list(0, upstream(0, 3_000), upstream(1), upstream(2))
        chosen = []
        for number in range(8):
            self.offer(100 + number, r0=1)
            chosen += [item.upstream_id for item in self.arrive(100 + number)]
        self.assertEqual(set(chosen), {"r1", "r2"})

    def test_cold_upstreams_take_what_the_warm_ones_cannot(self) -> None:
        """A burst fills the warm upstreams while a data centre is cold."""
        self.list(0, upstream(0, 3_000), upstream(1))
        chosen = []
        for number in range(60):
            self.offer(100 + number, r0=1)
            chosen += [item.upstream_id for item in self.arrive(100 + number)]
        self.assertEqual(len(chosen), 60)
        self.assertGreaterEqual(chosen.count("r0"), 10)

    def test_only_offered_room_is_used(self) -> None:
        """A burst finds only cold upstreams, and the requests of the others use their limits."""
        self.list(0, upstream(0, 3_000), upstream(1, 3_000))
        self.offer(100, r0=1, r1=0)
        [dispatch] = self.arrive(100)
        self.assertEqual(dispatch.upstream_id, "r0")
        self.assertEqual(self.arrive(101), [])
        self.assertGreater(self.scheduler.pacing.cold_skips, 0)
        [dispatch] = self.offer(150, r0=0, r1=1)
        self.assertIsInstance(dispatch, Dispatch)
        self.assertEqual(dispatch.upstream_id, "r1")

    def test_requests_that_would_be_late_are_refused_at_once(self) -> None:
        """A whole fleet is cold under a burst, so that requests would wait longer than they can."""
        self.list(0, upstream(0, 30_000), upstream(1, 30_000))
        self.offer(0, r0=0, r1=0)
        for number in range(12):
            self.arrive(10 + number)
        [refusal] = self.arrive(50, ttft_objective_ms=1_000)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)
        # The four requests that wait take this long at the instance's part, 2 x 15 / 72 a second.
        self.assertEqual(len(self.scheduler.queue), 4)
        self.assertEqual(refusal.retry_after_ms, 9_600)

    def test_warm_upstream_keeps_requests_waiting(self) -> None:
        """Requests wait while one upstream is warm, whatever the limits of the cold ones are."""
        self.list(0, upstream(0, 30_000), upstream(1))
        self.offer(0, r0=0)
        decisions = [item for n in range(80) for item in self.arrive(10 + n, ttft_objective_ms=500)]
        self.assertFalse([item for item in decisions if isinstance(item, Refuse)])

    def test_helpers_count(self) -> None:
        """Long prompts are divided among engines of which some are cold."""
        config = fleet_config()
        document = {"max_helpers": 3, "harmless_reading_ms": 50.0}
        models = {"m": {"cold_requests_per_s": PER_S, "cold_ms": COLD_MS, **document}}
        scheduling = {"placement": "least_work"}
        config = FleetConfig.from_document(
            {"neighbours": {"north": {}}, "models": models, "scheduling": scheduling}
        )
        self.scheduler.handle(ConfigurationReplaced(config), 0)
        self.list(0, *(upstream(number, 9_000) for number in range(4)))
        self.offer(10, r0=1, r1=1, r2=1, r3=1)
        [dispatch] = self.arrive(10, prompt_tokens=90_000, ttft_objective_ms=2_000)
        used = {dispatch.upstream_id, *dispatch.helper_ids}
        self.assertGreater(len(used), 1)
        self.assertEqual(set(self.scheduler.pacing.reports()), used)
        for name in used:
            self.assertFalse(self.scheduler.pacing.has_room(name, 11))

    def test_named_limit_and_coldness(self) -> None:
        """An upstream that has just started names a limit as well: the stricter one decides."""
        pacing = self.scheduler.pacing
        self.list(0, upstream(0, 3_000))
        self.scheduler.handle(UpstreamResponded("r0", 1.0), 100)
        self.offer(200, r0=1)
        self.assertFalse(pacing.has_room("r0", 200))  # Of the limit of 1 a second.
        self.offer(1_200, r0=0)
        self.assertFalse(pacing.has_room("r0", 1_200))
        self.offer(1_300, r0=1)
        self.assertTrue(pacing.has_room("r0", 1_300))
        self.scheduler.handle(UpstreamResponded("r0", None), 1_400)
        self.assertTrue(self.is_cold(1_400))
        self.offer(1_500, r0=0)
        self.assertFalse(pacing.has_room("r0", 1_500))
        self.assertTrue(pacing.has_room("r0", 3_000))

    def test_cold_again(self) -> None:
        """An upstream becomes cold again without a restart, and its entry or a response says so."""
        self.list(0, upstream(0, 3_000))
        self.list(5_000, upstream(0, 8_000))
        self.assertTrue(self.is_cold(7_999))
        self.scheduler.handle(UpstreamResponded("r0", cold_remaining_ms=2_000), 9_000)
        self.assertTrue(self.is_cold(10_999))
        self.scheduler.handle(UpstreamResponded("r0", cold_remaining_ms=0), 10_000)
        self.assertFalse(self.is_cold(10_001))

    def test_another_instance_knows_first(self) -> None:
        """An instance that has not read the entry learns of a cold upstream with the hub's answer."""
        self.list(0, upstream(0))
        self.offer(100, r0=0)
        self.assertTrue(self.is_cold(1_099))
        self.assertEqual(self.arrive(100), [])
        self.assertFalse(self.is_cold(1_100))

    def test_response_that_others_do_not_know_yet(self) -> None:
        """The others still announce a cold time that the upstream itself has ended."""
        self.list(0, upstream(0, 3_000))
        self.offer(100, r0=0)
        self.scheduler.handle(UpstreamResponded("r0", cold_remaining_ms=0), 200)
        self.offer(300, r0=0)
        self.assertFalse(self.is_cold(300))

    def test_start_during_traffic(self) -> None:
        """Upstreams restart under load, and their entries do not state how long they stay cold."""
        self.list(0, upstream(0, None, boot_ms=1))
        self.assertFalse(self.is_cold(0))
        self.list(1_000, upstream(0, None, boot_ms=2), upstream(1, None))
        self.assertTrue(self.is_cold(1_000 + COLD_MS - 1, "r0"))
        self.assertTrue(self.is_cold(1_000, "r1"))
        self.assertFalse(self.is_cold(1_000 + COLD_MS, "r0"))

    def test_store_that_is_down(self) -> None:
        """The store is down while upstreams are cold, so that their entries are not read any more."""
        self.list(0, upstream(0, 3_000), upstream(1))
        self.assertTrue(self.is_cold(2_999))
        self.assertFalse(self.is_cold(3_000))
        self.assertTrue(self.scheduler.pacing.has_room("r0", 3_000))

    def test_clock_steps(self) -> None:
        """The wall clocks of instances and upstreams are set while upstreams start."""
        for wall_offset_ms in (0, -10_000_000, 1_700_000_000_000):
            self.scheduler = Scheduler.from_config(fleet_config(), 1, "boot-1", wall_offset_ms)
            self.list(0, upstream(0, None, boot_ms=1))
            self.list(10, upstream(0, None, boot_ms=9_000_000_000_000))
            self.assertTrue(self.is_cold(10 + COLD_MS - 1))
            self.assertFalse(self.is_cold(10 + COLD_MS))

    def test_configuration_that_arrives_after_the_list(self) -> None:
        """An instance starts while upstreams are cold, and reads the configuration last."""
        self.scheduler = Scheduler.from_config(FleetConfig(), 1, "boot-1")
        self.list(0, upstream(0, 3_000), upstream(1, None))
        self.assertFalse(self.is_cold(1))
        self.scheduler.handle(ConfigurationReplaced(fleet_config()), 10)
        self.assertTrue(self.is_cold(10))
        self.assertFalse(self.is_cold(10, "r1"))

    def test_numbers_continue_after_a_cold_time(self) -> None:
        """An upstream becomes cold time and again, and each instance sends one request each time."""
        hub = counting_hub()
        pacings = [UpstreamPacing() for _ in range(20)]
        for begin_ms in (0, 3_500, 7_000):
            counted = []
            for number, pacing in enumerate(pacings):
                pacing.expire_cold(begin_ms)
                pacing.cold.replace_limits({"r": ColdLimit(PER_S, 0)})
                pacing.cold.observe("r", 2_000, begin_ms)
                pacing.count_sent("r", begin_ms)
                hub.update(f"i{number}", pacing.reports(), begin_ms)
                counted.append(hub.offers("other", {"r": PER_S}, 1.0, begin_ms)["r"])
            self.assertEqual(counted, [1] * 14 + [0] * 6)

    def test_services_without_a_limit(self) -> None:
        """Deployments whose services have no limit for cold upstreams decide as before."""
        decisions = []
        for cold_until_ms in (None, 0, 60_000):
            self.scheduler = Scheduler.from_config(fleet_config(0.0), 1, "boot-1")
            self.numbers = itertools.count()
            self.list(0, *(upstream(number, cold_until_ms) for number in range(6)))
            found = []
            for number in range(200):
                now_ms = 100 + 7 * number
                self.scheduler.handle(FleetPaces({}, 72), now_ms)
                found += self.arrive(now_ms, prompt_tokens=500 * (number % 9 + 1))
            self.list(1_600, *(upstream(number, cold_until_ms, 2) for number in range(6)))
            self.assertTrue(self.scheduler.pacing.is_idle)
            self.assertEqual(self.scheduler.pacing.reports(), {})
            decisions.append(found)
        self.assertEqual(decisions[0], decisions[1])
        self.assertEqual(decisions[0], decisions[2])


if __name__ == "__main__":
    unittest.main()
