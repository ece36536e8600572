"""Tests of the exchange of work in flight between instances.

The load pattern is a deployment of hundreds of instances with about one request per second each, where
a full mesh would take more processor time than the requests.
"""

import unittest
from types import SimpleNamespace

from ibispaddle_core.scheduling import (
    AttemptCounts,
    Event,
    FleetAttempts,
    FleetPaces,
    PeerWork,
    Scheduler,
    UpstreamWork,
    WaitingPrompt,
)
from ibispaddle_core.scheduling.cold import ColdLimit
from ibispaddle_core.scheduling.pacing import LONG_WINDOW_MS, UpstreamPacing
from ibispaddle_core.scheduling.retries import WINDOW_MS
from ibispaddle_core.settings import FleetConfig
from ibispaddle_daemon.fleet.messages import (
    WorkQuery,
    WorkSnapshot,
    WorkUpdate,
    encode_hedge_rows,
)
from ibispaddle_daemon.fleet.work import (
    BATCH_DELAY_MS,
    HUB_CHECK_INTERVAL_MS,
    MAX_CONSECUTIVE_TIMEOUTS,
    QUERY_TIMEOUT_MS,
    RESEND_INTERVAL_MS,
    WorkExchange,
)

from .fakes import FakeNetwork


class FakeForwarder:
    """Fake of the forwarder, with its own work and the last view of the others' work."""

    def __init__(self, name: str, hedge_fraction: float = 0.0) -> None:
        scheduling = {"hedge_fraction": hedge_fraction}
        fleet = FleetConfig.from_document({"scheduling": scheduling})
        self.work: dict[str, UpstreamWork] = {}
        self.fleet_work: PeerWork | None = None
        self.has_waiting_requests = False
        self.schedule_calls = 0
        self.waiting: tuple[WaitingPrompt, ...] = ()
        own_work = lambda instance, now_ms: PeerWork(  # noqa: E731
            name, dict(self.work), waiting=self.waiting
        )
        self.scheduler = SimpleNamespace(
            own_work=own_work,
            attempt_totals={},
            pacing=UpstreamPacing(),
            hedging=Scheduler.from_config(fleet, 1, name).hedging,
        )
        self.attempts: FleetAttempts | None = None
        self.events: list[Event] = []
        self.now_ms = lambda: 0

    def update_fleet_work(self, work: PeerWork, attempts: FleetAttempts, paces: FleetPaces) -> None:
        self.fleet_work, self.attempts = work, attempts
        self.update_paces(paces)

    def update_paces(self, paces: FleetPaces) -> None:
        self.scheduler.pacing.set_fleet(paces, self.now_ms())

    def handle_event(self, event: Event) -> None:
        self.events.append(event)

    def schedule_waiting(self) -> None:
        self.schedule_calls += 1


class ExchangeFixture(unittest.TestCase):
    """Six instances with their exchanges, without tests of its own."""

    def setUp(self) -> None:
        self.network = FakeNetwork("abcdef")
        self.forwarders = {name: FakeForwarder(name) for name in "abcdef"}
        self.exchanges = {
            name: WorkExchange(
                name,
                forwarder,
                self.network.ranking(name),
                self.network.links[name],
                self.network.clock,
                self.network.timers,
            )
            for name, forwarder in self.forwarders.items()
        }

    def select(self, name: str) -> list[int]:
        """Refresh the view and return the times at which the callback is called."""
        selected_ms: list[int] = []
        now_ms = self.network.clock.now_ms
        self.exchanges[name].refresh(lambda: selected_ms.append(now_ms()))
        return selected_ms

    def dispatch(self, name: str, upstream_id: str) -> None:
        self.forwarders[name].work = {upstream_id: UpstreamWork(50.0, 1, 5_000)}
        self.forwarders[name].on_work_changed(True)

    def queried_hubs(self, name: str) -> list[str]:
        sent = self.network.links[name].sent
        return [hub for hub, message in sent if isinstance(message, WorkQuery)]


class WorkExchangeTest(ExchangeFixture):
    def test_work_is_known_to_the_next_selection_of_any_instance(self) -> None:
        """Guards against two instances that select the same engine within a second."""
        self.dispatch("e", "r1")
        self.assertEqual(len(self.select("f")), 1)
        self.assertEqual(self.forwarders["f"].fleet_work.work["r1"].requests, 1)
        self.assertEqual(len(self.select("e")), 1)
        self.assertEqual(self.forwarders["e"].fleet_work.work, {})

    def test_messages_of_a_request_do_not_grow_with_the_fleet(self) -> None:
        """Guards against messages to hundreds of instances for each request."""
        self.select("f")
        self.dispatch("f", "r1")
        self.assertEqual([hub for hub, _ in self.network.links["f"].sent], ["a", "a", "b"])

    def test_hub_uses_its_own_totals(self) -> None:
        """Guards against a hub without a view because it queries no other instance."""
        self.dispatch("f", "r1")
        for hub in "ab":
            self.assertEqual(len(self.select(hub)), 1)
            self.assertIn("r1", self.forwarders[hub].fleet_work.work)

    def test_waiting_prompts_are_known_to_the_next_selection_of_any_instance(self) -> None:
        """Guards against instances that take memory for which prompts of others wait.

        The times count from the messages, since the clocks of machines differ.
        """
        now_ms = self.network.clock.now_ms()
        prompt = WaitingPrompt(
            0, "p", model="m", workspace="w", tokens=9, latest_start_ms=now_ms + 700
        )
        self.forwarders["e"].waiting = (prompt,)
        self.forwarders["e"].on_work_changed(True)
        self.select("f")
        self.assertEqual(self.forwarders["f"].fleet_work.waiting, (prompt,))
        self.network.timers.advance(100)
        self.select("f")
        self.assertEqual(self.forwarders["f"].fleet_work.waiting, (prompt,))

    def test_waiting_prompts_are_reported_while_nothing_runs(self) -> None:
        """Guards against a prompt that others forget while it waits at an instance without work."""
        now_ms = self.network.clock.now_ms()
        prompt = WaitingPrompt(0, "p", model="m", workspace="w", latest_start_ms=now_ms + 9_000)
        forwarder = self.forwarders["e"]
        forwarder.has_waiting_requests = True
        self.select("e")  # The check for waiting requests starts with the first query.
        forwarder.waiting = (prompt,)
        self.network.timers.advance(3 * RESEND_INTERVAL_MS)
        self.select("f")
        self.assertEqual(self.forwarders["f"].fleet_work.waiting, (prompt,))

    def test_unresponsive_hub_delays_a_request_only_by_the_timeout(self) -> None:
        """Guards against requests that wait for a hub that is frozen, slow or unreachable."""
        self.network.unresponsive.add("a")
        selected_ms = self.select("f")
        self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.assertEqual(selected_ms, [QUERY_TIMEOUT_MS])

    def test_second_hub_knows_the_work_when_the_first_one_dies(self) -> None:
        """Guards against instances without a view until all have reported their work to a new hub."""
        self.dispatch("e", "r1")
        self.network.unresponsive.add("a")
        for _ in range(MAX_CONSECUTIVE_TIMEOUTS):
            self.select("f")
            self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.assertEqual(self.network.links["f"].dropped, ["a"])
        self.assertEqual(len(self.select("f")), 1)
        self.assertIn("r1", self.forwarders["f"].fleet_work.work)
        self.assertEqual(self.queried_hubs("f")[-1], "b")

    def test_isolated_instance_selects_without_a_hub(self) -> None:
        """Guards against an instance that stops serving during a network partition."""
        self.network.unreachable.update("abcde")
        for _ in range(20):
            self.assertEqual(len(self.select("f")), 1)

    def test_connection_that_fails_while_a_query_is_written(self) -> None:
        """Guards against an exception, and a callback that runs twice, if the hub is lost in the call."""
        links = self.network.links["f"]

        def send(instance_id: str, message: object) -> bool:
            for callback in links.on_peer_lost:
                callback(instance_id)
            return False

        self.network.unresponsive.add("a")
        links.send = send
        self.assertEqual(len(self.select("f")), 1)
        self.network.timers.advance(1_000)
        self.assertFalse(self.exchanges["f"]._ranking.hubs(self.network.clock.now_ms())[0] == "a")

    def test_ended_work_is_reported_in_batches(self) -> None:
        """Guards against a message for each event of each stream."""
        self.dispatch("f", "r1")
        self.network.links["f"].sent.clear()
        self.forwarders["f"].work = {}
        for _ in range(5):
            self.forwarders["f"].on_work_changed(False)
        self.network.timers.advance(BATCH_DELAY_MS)
        updates = [item for _, item in self.network.links["f"].sent if isinstance(item, WorkUpdate)]
        self.assertEqual(len(updates), 2)
        self.select("e")
        self.assertEqual(self.forwarders["e"].fleet_work.work, {})

    def test_unchanged_work_does_not_expire(self) -> None:
        """Guards against a long prompt whose engines appear idle after a second."""
        self.dispatch("f", "r1")
        for _ in range(5):
            self.network.timers.advance(RESEND_INTERVAL_MS + HUB_CHECK_INTERVAL_MS)
            self.select("e")
            self.assertIn("r1", self.forwarders["e"].fleet_work.work)

    def test_waiting_requests_are_scheduled_when_capacity_is_free(self) -> None:
        """Guards against requests that keep waiting for slots that another instance has freed."""
        self.forwarders["f"].has_waiting_requests = True
        self.select("f")
        self.network.timers.advance(500)
        self.assertGreater(self.forwarders["f"].schedule_calls, 5)
        self.forwarders["f"].has_waiting_requests = False
        self.network.timers.advance(500)
        schedule_calls = self.forwarders["f"].schedule_calls
        self.network.timers.advance(500)
        self.assertEqual(self.forwarders["f"].schedule_calls, schedule_calls)

    def test_late_snapshot_is_used_for_the_next_selection(self) -> None:
        """Guards against a slow hub whose responses are all discarded."""
        self.network.unresponsive.add("a")
        self.select("f")
        query_id = self.network.links["f"].sent[-1][1].query_id
        self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.network.unresponsive.clear()
        self.dispatch("e", "r1")
        self.network.deliver("f", "a", WorkQuery(query_id))
        self.assertIn("r1", self.forwarders["f"].fleet_work.work)

    def test_concurrent_selections_are_ranked(self) -> None:
        """Guards against instances that all select the upstream that is best in the same snapshot."""
        turns = {}
        for name in "cdef":
            self.exchanges[name].refresh(lambda: None, "m")
            turns[name] = self.forwarders[name].fleet_work.choice_rank
        self.assertEqual(turns, {"c": 0, "d": 1, "e": 2, "f": 3})
        self.dispatch("c", "r1")
        self.network.timers.advance(5)
        self.exchanges["c"].refresh(lambda: None, "m")
        self.assertEqual(self.forwarders["c"].fleet_work.choice_rank, 3)
        self.network.timers.advance(20)
        self.exchanges["c"].refresh(lambda: None, "m")
        self.assertEqual(self.forwarders["c"].fleet_work.choice_rank, 0)

    def test_selections_for_another_service_are_not_counted(self) -> None:
        """Guards against calls to a plain service that avoid its best upstream because of a model's prompts."""
        self.exchanges["e"].refresh(lambda: None, "m")
        self.exchanges["f"].refresh(lambda: None, "shop")
        self.assertEqual(self.forwarders["f"].fleet_work.choice_rank, 0)

    def test_retries_of_other_instances_are_known_before_a_retry(self) -> None:
        """Guards against hundreds of instances that each use the whole fleet's retry budget."""
        self.dispatch("e", "r1")
        self.network.timers.advance(WINDOW_MS)
        self.forwarders["e"].scheduler.attempt_totals = {"llm": AttemptCounts(4, 3)}
        self.dispatch("e", "r2")
        for name in "fa":
            self.select(name)
            self.assertEqual(
                self.forwarders[name].attempts, FleetAttempts({"llm": AttemptCounts(4, 3)}, 6), name
            )


class HedgesTest(unittest.TestCase):
    """Two instances and a hub whose upstreams turn slow, so that they hedge."""

    def setUp(self) -> None:
        self.network = FakeNetwork("abc")
        self.forwarders = {name: FakeForwarder(name, hedge_fraction=0.02) for name in "abc"}
        self.exchanges = {
            name: WorkExchange(
                name,
                forwarder,
                self.network.ranking(name),
                self.network.links[name],
                self.network.clock,
                self.network.timers,
            )
            for name, forwarder in self.forwarders.items()
        }

    def report(self, name: str, **counts: int) -> None:
        forwarder = self.forwarders[name]
        forwarder.scheduler.attempt_totals = {"llm": AttemptCounts(**counts)}
        forwarder.work = {f"r{len(forwarder.events)}{counts}": UpstreamWork(50.0, 1, 0)}
        forwarder.on_work_changed(True)

    def test_hedges_of_others_are_known_before_a_hedge(self) -> None:
        """Guards against a fraction that each of 72 instances uses for itself."""
        for name in "bc":
            self.report(name, first=0)
        self.report("b", first=100, retries=3, hedges=2)
        self.exchanges["c"].refresh(lambda: None)
        self.assertEqual(self.forwarders["c"].attempts.hedging, AttemptCounts(100, hedges=2))
        # The hub itself uses its own counts.
        self.exchanges["a"].refresh(lambda: None)
        self.assertEqual(self.forwarders["a"].attempts.hedging, AttemptCounts(100, 3, 2))

    def test_times_of_all_instances_reach_each(self) -> None:
        """Guards against instances that see too few requests to know which attempt is late."""
        hedging = self.forwarders["b"].scheduler.hedging
        for _ in range(60):
            hedging._pending_samples.append(("llm/stream/short", 2.0))
        self.report("b", first=60)
        self.exchanges["c"].refresh(lambda: None)
        (event,) = self.forwarders["c"].events
        quantiles = event.quantiles["llm/stream/short"]
        self.assertEqual(quantiles.count, 60)
        self.assertAlmostEqual(quantiles.tail, 2.0, delta=0.05)

    def test_hub_of_an_earlier_release(self) -> None:
        """Guards against hedges that are taken for counted while a fleet is updated."""
        self.exchanges["c"].refresh(lambda: None)
        snapshot = WorkSnapshot(0, (), (), service_attempts=(("llm", 5, 1),))
        self.exchanges["c"]._on_snapshot("a", snapshot)
        attempts = self.forwarders["c"].attempts
        self.assertEqual(attempts.counts, {"llm": AttemptCounts(5, 1)})
        self.assertIsNone(attempts.hedging)

    def test_messages_without_hedges(self) -> None:
        """Guards against more traffic between instances that do not hedge."""
        forwarder = FakeForwarder("d")
        forwarder.scheduler.hedging.merge_samples([("c", 1.0)], 0)
        self.assertEqual(forwarder.scheduler.hedging.own_quantiles(0), {})
        self.assertEqual(encode_hedge_rows({"llm": AttemptCounts(5, 1)}), ())


class ColdOffersTest(ExchangeFixture):
    """Six instances, of which `a` and `b` are hubs, and a cold upstream that bears 3 requests a second."""

    def setUp(self) -> None:
        super().setUp()
        self.pacings = {name: item.scheduler.pacing for name, item in self.forwarders.items()}
        for name, forwarder in self.forwarders.items():
            pacing = self.pacings[name]
            pacing.cold.replace_limits({"r1": ColdLimit(3.0, 0)})
            forwarder.now_ms = self.network.clock.now_ms
        # The hubs know the counts from here on.
        self.network.timers.advance(LONG_WINDOW_MS + 1)
        self.dispatch("f", "r2")
        self.network.timers.advance(LONG_WINDOW_MS)

    def make_cold(self, *names: str) -> None:
        for name in names:
            self.pacings[name].cold.observe("r1", 3_000, self.network.clock.now_ms())

    def try_to_send(self, name: str) -> bool:
        """Choose an upstream, and send a request to the cold one if it has room."""
        now_ms = self.network.clock.now_ms()
        self.select(name)
        has_room = self.pacings[name].has_room("r1", now_ms)
        if has_room:
            self.pacings[name].count_sent("r1", now_ms)
            self.forwarders[name].work = {"r1": UpstreamWork(50.0, now_ms, 0)}
            self.forwarders[name].on_work_changed(True)
        return has_room

    def test_all_instances_keep_the_limit_together(self) -> None:
        """All instances send to a cold upstream at once, hubs included."""
        self.make_cold(*"abcdef")
        self.assertEqual([self.try_to_send(name) for name in "abcdef"], [True] * 3 + [False] * 3)
        self.network.timers.advance(1_001)
        self.assertEqual([self.try_to_send(name) for name in "fedcba"], [True] * 3 + [False] * 3)

    def test_instances_that_choose_at_once(self) -> None:
        """All instances ask before any of them has reported its choice."""
        self.make_cold(*"abcdef")
        for name in "cdef":
            self.select(name)
        now_ms = self.network.clock.now_ms()
        have_room = [self.pacings[name].has_room("r1", now_ms) for name in "cdef"]
        self.assertEqual(have_room, [True, True, True, False])

    def test_knowledge_of_one_instance(self) -> None:
        """Only one instance has read that the upstream is cold; the others learn it from the hub."""
        self.make_cold("e")
        self.assertTrue(self.try_to_send("e"))
        self.assertTrue(self.try_to_send("d"))
        self.assertTrue(self.pacings["d"].cold.is_cold("r1", self.network.clock.now_ms()))

    def test_second_hub_keeps_the_limit(self) -> None:
        """The first hub dies while a cold upstream has had most of its requests."""
        self.make_cold(*"abcdef")
        self.assertTrue(self.try_to_send("c") and self.try_to_send("d"))
        self.assertTrue(self.select("e") and self.select("f"))
        self.network.unreachable.add("a")
        for exchange in self.exchanges.values():
            exchange._on_lost("a")
        self.assertEqual([self.try_to_send(name) for name in "ef"], [True, False])

    def test_hub_without_the_majority(self) -> None:
        """The hubs are cut off from the others, and only offer their own part of the limit."""
        self.make_cold(*"abcdef")
        self.network.unreachable.update("cdef")
        self.network.timers.advance(1_600)
        offers = [self.exchanges["a"]._offers(name)["r1"].room for name in "abab"]
        self.assertEqual(offers, [1, 0, 1, 0])

    def test_instance_that_is_cut_off(self) -> None:
        """An instance reaches no hub and keeps to its part, whatever its own counts say."""
        self.make_cold(*"abcdef")
        sent = 0
        for name in "cdef":
            self.network.unresponsive.add(name)
            for _ in range(3):
                sent += self.try_to_send(name)
                self.network.timers.advance(QUERY_TIMEOUT_MS)
        self.assertLessEqual(sent, 1)


if __name__ == "__main__":
    unittest.main()
