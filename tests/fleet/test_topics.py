"""Readings of the store that one instance makes for all others.

The load pattern is a deployment of hundreds of instances whose calls to the store are the largest
price of the day, also while hubs die and while the store is away.
"""

import unittest

from ibispaddle_core.topics import (
    ChangesPage,
    NewestPage,
    TopicMirror,
    TopicUpdate,
)
from ibispaddle_daemon.fleet.topics import (
    CATCH_UP_FRACTION,
    CATCH_UP_RETRY_MS,
    EXCLUSION_MS,
    HOLD_FRACTION,
    RESPONSE_MARGIN_MS,
    STALE_FRACTION,
    STALE_RETRY_DELAY_MS,
    START_TIMEOUT_MS,
    TopicRelay,
)
from ibispaddle_daemon.gateway import CONFIG_WAIT_FRACTION
from ibispaddle_daemon.store.upstreams import READ_INTERVAL_FRACTION

from .fakes import Network

IN_FORCE_MS = 2_000
NAMES = "abcdefghijklmnopqrst"
HOLD_MS = round(HOLD_FRACTION * IN_FORCE_MS)


class Follower:
    """Stand for the follower of one topic, which passes on what a hub told it."""

    def __init__(self, relay: TopicRelay, topic: str = "t") -> None:
        self._relay, self._topic, self._mirror = relay, topic, TopicMirror()
        self.offset: int | None = None
        self.values: dict[str, bytes | None] = {}
        self.confirmed_ms: int | None = None
        self.readings = 0
        self.is_store_unavailable = False

    def read_store(self) -> None:
        self.readings += 1

    def apply_relayed(self, answer, confirmed_ms: int) -> None:
        match answer:
            case NewestPage(records, _, end):
                self.values, self.offset = {r.key: r.value for r in records}, end
            case ChangesPage(records, next_offset, _):
                self.values |= {r.key: r.value for r in records}
                self.offset = next_offset
        self.confirmed_ms = confirmed_ms
        is_snapshot = isinstance(answer, NewestPage)
        self._mirror.apply(TopicUpdate(dict(self.values), is_snapshot), self.offset)
        self._relay.publish(self._topic, self._mirror, confirmed_ms)


class TopicRelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network(NAMES)
        self.clock, self.timers = self.network.clock, self.network.timers
        self.relays, self.followers = {}, {}
        for name in NAMES:
            relay = TopicRelay(
                self.network.ranking(name),
                self.network.links[name],
                self.clock,
                self.timers,
                IN_FORCE_MS,
            )
            self.followers[name] = Follower(relay)
            relay.add("t", self.followers[name])
            self.relays[name] = relay
        self.mirror = TopicMirror()

    def read(self, hub: str, value: bytes, position: int) -> None:
        """Let a hub read the store."""
        is_first = self.mirror.position is None
        self.mirror.apply(TopicUpdate({"k": value}, is_first), position)
        self.followers[hub].confirmed_ms = self.clock.now_ms()
        self.relays[hub].publish("t", self.mirror, self.clock.now_ms())

    def begin(self) -> None:
        for relay in self.relays.values():
            relay.begin()

    def test_only_the_first_hub_reads(self) -> None:
        """Guards against calls to the store that grow with the fleet."""
        self.begin()
        self.read("a", b"1", 5)
        self.timers.advance(START_TIMEOUT_MS)
        self.assertEqual(
            [f.readings for f in self.followers.values()], [2] + [0] * (len(NAMES) - 1)
        )
        self.assertEqual({f.values["k"] for n, f in self.followers.items() if n != "a"}, {b"1"})

    def test_change_reaches_all_at_once(self) -> None:
        """Guards against a configuration that is in force late where hubs pass it on."""
        self.begin()
        self.read("a", b"1", 5)
        self.timers.advance(100)
        self.read("a", b"2", 6)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_age_is_never_underestimated(self) -> None:
        """Guards against a revoked key that is trusted longer because a hub passed it on."""
        self.begin()
        self.read("a", b"1", 5)
        read_ms = self.clock.now_ms()
        for _ in range(3):
            self.timers.advance(HOLD_MS)
            self.assertLessEqual(self.followers["e"].confirmed_ms, read_ms)

    def test_calm_fleet_leaves_the_store_alone(self) -> None:
        """Guards against readings that look old, so that each instance reads the store as well."""
        self.begin()
        for number in range(20):
            self.read("a", b"1", 5 + number)
            self.timers.advance(round(READ_INTERVAL_FRACTION * IN_FORCE_MS))
        self.assertEqual(sum(f.readings for n, f in self.followers.items() if n != "a"), 0)

    def test_store_that_holds_readings_back_is_left_alone_too(self) -> None:
        """Guards against the same where a reading is as old as the store held it back."""
        wait_ms = round(CONFIG_WAIT_FRACTION * IN_FORCE_MS)
        self.begin()
        for number in range(20):
            began_ms = self.clock.now_ms()
            self.timers.advance(wait_ms)
            self.mirror.apply(TopicUpdate({"k": b"1"}, number == 0), 5 + number)
            self.relays["a"].publish("t", self.mirror, began_ms)
            self.followers["a"].confirmed_ms = began_ms
        readings = sum(f.readings for n, f in self.followers.items() if n != "a")
        self.assertLessEqual(readings, len(NAMES))  # Once, at the start.

    def test_hub_that_dies_is_left_out(self) -> None:
        """Guards against instances that learn nothing any more after their hub is gone."""
        self.begin()
        self.read("a", b"1", 5)
        self.network.silent.add("a")
        self.timers.advance(HOLD_MS + RESPONSE_MARGIN_MS)
        self.assertEqual(self.followers["b"].readings, 1)
        self.read("b", b"2", 6)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_hub_that_does_not_reach_the_store(self) -> None:
        """Guards against a fleet that follows the one hub which the store turns away."""
        self.begin()
        self.read("a", b"1", 5)
        self.followers["a"].is_store_unavailable = True
        self.relays["a"].notify_store_unavailable()
        self.timers.advance(STALE_RETRY_DELAY_MS)
        self.assertEqual(self.followers["b"].readings, 1)
        self.read("b", b"2", 6)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_hub_behind_a_silent_partition(self) -> None:
        """Guards against a configuration that is in force late because a hub knows nothing newer."""
        self.begin()
        self.read("a", b"1", 5)
        self.timers.advance(round(CATCH_UP_FRACTION * IN_FORCE_MS))
        self.assertTrue(all(f.readings for f in self.followers.values()))

    def test_outage_of_the_store(self) -> None:
        """Guards against hundreds of instances that call a store which is away."""
        self.begin()
        self.read("a", b"1", 5)
        for follower in self.followers.values():
            follower.is_store_unavailable = True
        self.timers.advance(10_000)
        self.assertLessEqual(self.followers["t"].readings, 10_000 // CATCH_UP_RETRY_MS)
        for follower in self.followers.values():
            follower.is_store_unavailable = False
        self.read("a", b"2", 6)
        self.timers.advance(EXCLUSION_MS + HOLD_MS)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_news_of_one_topic_do_not_wait_for_another(self) -> None:
        """Guards against an upstream that is used after it left, as another topic is read late."""
        relays = self.relays
        others = {name: Follower(relay, "late") for name, relay in relays.items()}
        for name, relay in relays.items():
            relay.add("late", others[name])
        self.begin()
        late = TopicMirror()
        late.apply(TopicUpdate({}, is_snapshot=True), 1)
        relays["a"].publish("late", late, self.clock.now_ms())
        self.read("a", b"1", 5)
        self.timers.advance(round(STALE_FRACTION * IN_FORCE_MS) - HOLD_MS // 2)
        self.read("a", b"2", 6)
        self.assertEqual(self.followers["b"].values["k"], b"2")

    def test_no_hub_at_the_start(self) -> None:
        """Guards against a fleet that was killed at once and waits for a hub that starts last."""
        self.network.refusing.update(NAMES.replace("e", ""))
        self.relays["e"].begin()
        self.timers.advance(START_TIMEOUT_MS)
        self.assertGreaterEqual(self.followers["e"].readings, 1)
        self.network.refusing.clear()
        self.timers.advance(EXCLUSION_MS)
        self.read("a", b"1", 5)
        self.assertFalse(self.relays["e"].must_read_store())
        self.assertEqual(self.followers["e"].values["k"], b"1")

    def test_hub_that_is_starting_answers_when_it_has_read(self) -> None:
        """Guards against a new instance that gives up a hub which knows everything soon."""
        self.relays["e"].begin()
        self.timers.advance(START_TIMEOUT_MS // 2)
        self.read("a", b"1", 5)
        self.assertEqual(self.followers["e"].values, {"k": b"1"})
        self.assertEqual(self.followers["e"].readings, 0)

    def test_late_answer_of_a_hub_undoes_nothing(self) -> None:
        """Guards against an upstream that is used on and on after it left.

        The store was read while a hub had the question; its answer is older than that reading. The
        instance went back, took the upstream's last heartbeat for news and never saw it leave again.
        """
        self.begin()
        self.read("a", b"1", 5)
        self.followers["e"].values["k"], self.followers["e"].offset = None, 9
        self.read("a", b"2", 7)
        self.assertEqual(self.followers["e"].offset, 9)
        self.assertIsNone(self.followers["e"].values["k"])

    def test_records_are_passed_on_once(self) -> None:
        """Guards against heartbeats of hundreds of upstreams in each answer."""
        self.begin()
        self.read("a", b"1", 5)
        self.read("a", b"1", 6)
        self.timers.advance(HOLD_MS)
        answers = self.network.links["a"].sent
        self.assertEqual(len([1 for peer, _ in answers if peer == "e"]), 2)
        self.assertEqual(self.followers["e"].offset, 6)


if __name__ == "__main__":
    unittest.main()
