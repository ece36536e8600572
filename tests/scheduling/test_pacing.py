"""Tests of the pacing of limited upstreams, alone and by a fleet with a hub.

Upstreams name the requests a second that they take from all instances together.
"""

import random
import unittest

from ibispaddle_core.hubs import PaceAggregator
from ibispaddle_core.scheduling import (
    FleetPaces,
    RefusalReason,
    Refuse,
    RequestArrived,
    SentCounts,
    Upstream,
    UpstreamPace,
    UpstreamResponded,
    UpstreamState,
)
from ibispaddle_core.scheduling.departures import DepartureTable
from ibispaddle_core.scheduling.messages import AttemptEnded, Dispatch, Outcome
from ibispaddle_core.scheduling.pacing import (
    FLEET_COUNTS_MAX_AGE_MS,
    LONG_WINDOW_MS,
    UpstreamPacing,
)

from .fakes import request, scheduler

WINDOW_MS = 4_000
STABLE_MS = 3_000
MESSAGE_MS = 2
TRY_INTERVAL_MS = 20


def allowed(limit_per_s: float) -> float:
    """Return the requests in a window beyond which the limit is broken."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


def most_in_window(times: list[int]) -> int:
    return max((sum(at <= other < at + WINDOW_MS for other in times) for at in times), default=0)


class Fleet:
    """Instances that try to send to one upstream all the time, and a hub that may be down."""

    def __init__(self, count: int, limit_per_s: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limit_per_s: float | None = limit_per_s
        self.hub = PaceAggregator("hub", -LONG_WINDOW_MS)
        self.is_hub_up = True
        self.pacings = {f"i{number}": UpstreamPacing() for number in range(count)}
        self.sent_ms: list[int] = []
        self.now_ms = 0

    def query(self, name: str) -> None:
        if self.is_hub_up:
            paces = self.hub.paces_excluding(name, self.now_ms)
            self.pacings[name].set_fleet(FleetPaces(paces, len(self.pacings)), self.now_ms)

    def report(self, name: str) -> None:
        if self.is_hub_up:
            self.hub.update(name, self.pacings[name].reports(), self.now_ms)

    def run(self, duration_ms: int) -> list[int]:
        """Let each instance try every 20 ms, and return the times of all requests in this run."""
        first = len(self.sent_ms)
        for start_ms in range(self.now_ms, self.now_ms + duration_ms, TRY_INTERVAL_MS):
            self.now_ms = start_ms
            names = list(self.pacings)
            self.rng.shuffle(names)
            for name in names:
                self.query(name)
                pacing = self.pacings[name]
                if pacing.has_room("r", self.now_ms):
                    pacing.count_sent("r", self.now_ms)
                    self.sent_ms.append(self.now_ms)
                    pacing.observe("r", self.limit_per_s, self.now_ms)
                    self.report(name)
        self.now_ms += TRY_INTERVAL_MS
        return self.sent_ms[first:]


class PacingTest(unittest.TestCase):
    def test_fleet_keeps_limits_of_all_sizes(self) -> None:
        """Guards against an upstream in need that gets the limit from each instance."""
        for count in (1, 6, 195):
            for limit_per_s in (0.0, 0.3, 1.0, 2.5, 40.0):
                with self.subTest(count=count, limit_per_s=limit_per_s):
                    fleet = Fleet(count, limit_per_s, seed=count)
                    fleet.run(STABLE_MS)
                    times = fleet.run(12_000)
                    self.assertLessEqual(most_in_window(times), allowed(limit_per_s))
                    self.assertGreaterEqual(len(times), int(0.75 * limit_per_s * 12))

    def test_fleet_without_a_hub_keeps_the_limit(self) -> None:
        """Guards against instances that use stale counts of the others, or none, while the hub is
        down, and against a hub that has missed requests when it is back."""
        for count in (6, 195):
            for limit_per_s in (0.3, 1.0, 40.0):
                with self.subTest(count=count, limit_per_s=limit_per_s):
                    fleet = Fleet(count, limit_per_s, seed=count)
                    fleet.run(STABLE_MS)
                    fleet.is_hub_up = False
                    times = fleet.run(10_000)
                    fleet.hub, fleet.is_hub_up = PaceAggregator("hub", fleet.now_ms), True
                    times += fleet.run(10_000)
                    self.assertLessEqual(most_in_window(times), allowed(limit_per_s))

    def test_limit_that_ended_holds_nobody_back(self) -> None:
        """Guards against instances that keep a limit which others know to have ended."""
        fleet = Fleet(6, 1.0, seed=1)
        fleet.run(6_000)
        fleet.limit_per_s = None
        fleet.run(2_000)
        self.assertEqual(len(fleet.run(200)), 6 * 200 // TRY_INTERVAL_MS)

    def test_stale_news_of_a_limit_does_not_restore_it(self) -> None:
        """Guards against a limit that an instance takes over although it has seen its end since."""
        pacing = UpstreamPacing()
        pacing.observe("r", 1.0, 0)
        pacing.observe("r", None, 100)
        pacing.observe("r", 2.0, 200)
        ended = UpstreamPace(None, age_ms=150)
        pacing.set_fleet(FleetPaces({"r": ended}), 300)
        self.assertTrue(pacing.has_limits)
        pacing.set_fleet(FleetPaces({"r": UpstreamPace(None, age_ms=10)}), 300)
        self.assertFalse(pacing.has_limits)

    def test_counts_of_others_are_not_used_for_long(self) -> None:
        """Guards against one instance that takes the share of others whose counts are old."""
        pacing = UpstreamPacing()
        pacing.set_fleet(FleetPaces({"r": UpstreamPace(4.0, 5_000, SentCounts())}, 4), 0)
        self.assertTrue(pacing.has_room("r", 1))
        for now_ms in (1, 2, 3):
            pacing.count_sent("r", now_ms)
        self.assertTrue(pacing.has_room("r", FLEET_COUNTS_MAX_AGE_MS))
        pacing.count_sent("r", 4)
        self.assertFalse(pacing.has_room("r", FLEET_COUNTS_MAX_AGE_MS + 1))

    def test_longer_pause_stays_in_force(self) -> None:
        """Guards against a short pause that ends a longer one, and pauses that are kept for ever."""
        pacing = UpstreamPacing()
        pacing.hold("r", 5_000, 0)
        pacing.hold("r", 100, 1_000)
        self.assertEqual(pacing.held_ms(["r"], 1_100), 3_900)
        self.assertEqual(pacing.held_ms(["r", "other"], 1_100), 0)
        self.assertFalse(pacing.has_room("r", 4_999))
        pacing.hold("other", 10, 6_000)
        self.assertTrue(pacing.has_room("other", 6_010))
        self.assertTrue(pacing.is_idle)


class DepartureTableTest(unittest.TestCase):
    def state(self, table: DepartureTable, *boots_ms: int | None) -> list[UpstreamState]:
        upstreams = [Upstream(f"r{n}", "dc1", ("m",), boot_ms=ms) for n, ms in enumerate(boots_ms)]
        return [upstream.state for upstream in table.apply(upstreams)]

    def test_mark_outlasts_a_missing_entry(self) -> None:
        """Guards against work for a leaving upstream whose entry expired in an outage."""
        table = DepartureTable()
        table.add(Upstream("r0", "dc1", ("m",), boot_ms=7))
        self.state(table)
        self.assertEqual(self.state(table, 7), [UpstreamState.LEAVING])
        self.assertEqual(self.state(table, 8), [UpstreamState.LIVE])

    def test_mark_of_an_unknown_process_ends_with_its_entry(self) -> None:
        """Guards against an upstream that gets no work for ever, because its start is not known."""
        table = DepartureTable()
        table.add(Upstream("r0", "dc1", ("m",)))
        self.assertEqual(self.state(table, None), [UpstreamState.LEAVING])
        self.state(table)
        self.assertEqual(self.state(table, None), [UpstreamState.LIVE])


class LimitedSchedulerTest(unittest.TestCase):
    """A scheduler whose three runners are all limited."""

    def setUp(self) -> None:
        self.scheduler = scheduler(3)
        self.scheduler.handle(FleetPaces({}), 0)
        for number in range(3):
            self.scheduler.handle(UpstreamResponded(f"r{number:03}", 1.0), 0)

    def arrive(self, number: int, now_ms: int, **values: object) -> list:
        self.scheduler.handle(FleetPaces({}), now_ms)
        req = request(f"q{number}", arrived_ms=now_ms, **values)
        return self.scheduler.handle(RequestArrived(req), now_ms)

    def test_requests_wait_until_an_upstream_has_room(self) -> None:
        """Guards against requests that are refused, or sent, while upstreams keep their limits."""
        self.assertEqual(self.arrive(0, 10), [])
        [dispatch] = self.scheduler.handle(FleetPaces({}), 1_001)
        self.assertIsInstance(dispatch, Dispatch)

    def test_requests_that_cannot_be_served_in_time_are_refused_at_once(self) -> None:
        """Guards against requests that wait for their whole deadline in front of limited upstreams."""
        for number in range(12):
            self.arrive(number, 10 + number)
        [refusal] = self.arrive(99, 50, deadline_ms=2_000)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_queue_stays_short_before_limited_upstreams(self) -> None:
        """Guards against requests that are all late because those before them fill the queue."""
        longest = refused = 0
        # The upstreams take three requests a second, and eight arrive.
        for number in range(80):
            now_ms = 5_000 + 125 * number
            values = {"ttft_objective_ms": 1_000, "deadline_ms": now_ms + 10_000}
            decisions = self.arrive(number, now_ms, **values)
            refused += any(isinstance(item, Refuse) for item in decisions)
            longest = max(longest, len(self.scheduler.queue))
        self.assertLessEqual(longest, 6)
        self.assertGreater(refused, 30)
        self.assertLess(refused, 60)

    def test_upstream_that_restarts_under_its_id(self) -> None:
        """Guards against a limit that is kept although responses no longer name it."""
        self.scheduler.handle(FleetPaces({}), 1_001)
        [dispatch] = self.arrive(0, 1_001)
        self.scheduler.handle(UpstreamResponded(dispatch.upstream_id, None), 1_010)
        ended = AttemptEnded("q0", dispatch.upstream_id, Outcome.COMPLETED)
        self.scheduler.handle(ended, 1_011)
        for number in range(1, 4):
            [again] = self.arrive(number, 1_020 + number)
            self.scheduler.handle(
                AttemptEnded(f"q{number}", again.upstream_id, Outcome.COMPLETED), 1_021 + number
            )


if __name__ == "__main__":
    unittest.main()
