"""Tests of the relaying of store topics through hubs.

The load pattern is a deployment of hundreds of instances. Their calls to the store are its largest
cost, also when hubs die and during outages of the store.
"""

import unittest

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.hubs.sources import EXCLUSION_MS, SECONDHAND_PAUSE_MS, STALE_EXCLUSION_MS
from ibispaddle_core.topics import (
    ChangesPage,
    NewestPage,
    TopicMirror,
    TopicPosition,
    TopicUpdate,
)
from ibispaddle_daemon.fleet.topics import (
    CATCH_UP_FRACTION,
    CATCH_UP_RETRY_MS,
    HOLD_FRACTION,
    RESPONSE_MARGIN_MS,
    SHORT_RESPONSE_MARGIN_MS,
    STALE_FRACTION,
    STALE_RETRY_DELAY_MS,
    START_TIMEOUT_MS,
    TopicRelay,
)
from ibispaddle_daemon.gateway import CONFIG_WAIT_FRACTION
from ibispaddle_daemon.store.upstreams import READ_INTERVAL_FRACTION

from tests.topics.positions import at

from .fakes import FakeNetwork

IN_FORCE_MS = 2_000
NAMES = "abcdefghijklmnopqrst"
HOLD_MS = round(HOLD_FRACTION * IN_FORCE_MS)
PAUSE_MS = 400


class FakeFollower:
    """Fake of the follower of one topic, which relays the data that it gets from a hub."""

    def __init__(self, relay: TopicRelay, topic: str = "t") -> None:
        self._relay, self._topic, self._mirror = relay, topic, TopicMirror()
        self.position: TopicPosition | None = None
        self.values: dict[str, bytes | None] = {}
        self.confirmed_ms: int | None = None
        self.read_confirmed_ms: int | None = None
        self.store_reads = 0
        self.is_store_unavailable = False
        self.is_ahead_of_hubs = False

    def read_store(self) -> None:
        self.store_reads += 1

    def apply_relayed(self, answer, confirmed_ms: int, is_from_hub: bool) -> bool:
        if self.is_ahead_of_hubs:
            return False
        match answer:
            case NewestPage(records):
                self.values = {r.key: r.value for r in records}
            case ChangesPage(records):
                self.values |= {r.key: r.value for r in records}
        self.position = answer.position
        self.confirmed_ms = confirmed_ms
        is_snapshot = isinstance(answer, NewestPage)
        self._mirror.apply(TopicUpdate(dict(self.values), is_snapshot), self.position)
        self._relay.publish(self._topic, self._mirror, confirmed_ms)
        return True


class PausingClock:
    """A clock of a process that is suspended after each reading."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock

    def now_ms(self) -> int:
        now_ms = self._clock.now_ms()
        self._clock.advance(PAUSE_MS)
        return now_ms


class TopicRelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = FakeNetwork(NAMES)
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
            self.followers[name] = FakeFollower(relay)
            relay.add("t", self.followers[name])
            self.relays[name] = relay
        self.mirror = TopicMirror()

    def read(self, hub: str, value: bytes, position: int) -> None:
        """Simulate that a hub reads a value from the store."""
        is_first = self.mirror.position is None
        self.mirror.apply(TopicUpdate({"k": value}, is_first), at(position))
        self.followers[hub].confirmed_ms = self.clock.now_ms()
        self.relays[hub].publish("t", self.mirror, self.clock.now_ms())

    def start_reading(self) -> None:
        for relay in self.relays.values():
            relay.start_reading()

    def test_only_the_first_hub_reads(self) -> None:
        """Guards against calls to the store that grow with the size of the fleet."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.timers.advance(START_TIMEOUT_MS)
        self.assertEqual(
            [f.store_reads for f in self.followers.values()], [2] + [0] * (len(NAMES) - 1)
        )
        self.assertEqual({f.values["k"] for n, f in self.followers.items() if n != "a"}, {b"1"})

    def test_change_is_relayed_immediately(self) -> None:
        """Guards against a delay of configurations that are relayed by hubs."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.timers.advance(100)
        self.read("a", b"2", 6)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_age_is_never_underestimated(self) -> None:
        """Guards against a revoked key that is accepted for longer because a hub relayed it."""
        self.start_reading()
        self.read("a", b"1", 5)
        read_ms = self.clock.now_ms()
        for _ in range(3):
            self.timers.advance(HOLD_MS)
            self.assertLessEqual(self.followers["e"].confirmed_ms, read_ms)

    def test_age_is_not_underestimated_by_a_hub_that_pauses(self) -> None:
        """Guards against a revoked key that is accepted for longer because its hub was suspended.

        The hub computed the age of its data before the pause, and the time that the query waited after it.
        """
        self.start_reading()
        self.read("a", b"1", 5)
        self.relays["a"]._clock = PausingClock(self.clock)
        read_ms = self.clock.now_ms()
        self.mirror.apply(TopicUpdate({"k": b"2"}), at(6))
        self.relays["a"].publish("t", self.mirror, read_ms)
        self.assertEqual(self.followers["e"].values["k"], b"2")
        self.assertLessEqual(self.followers["e"].confirmed_ms, read_ms)

    def test_only_the_hub_reads_while_nothing_fails(self) -> None:
        """Guards against data that appears too old, so that every instance reads the store as well."""
        self.start_reading()
        for number in range(20):
            self.read("a", b"1", 5 + number)
            self.timers.advance(round(READ_INTERVAL_FRACTION * IN_FORCE_MS))
        self.assertEqual(sum(f.store_reads for n, f in self.followers.items() if n != "a"), 0)

    def test_only_the_hub_reads_with_long_polling(self) -> None:
        """Guards against the same where the store holds each read, which makes the data older."""
        wait_ms = round(CONFIG_WAIT_FRACTION * IN_FORCE_MS)
        self.start_reading()
        for number in range(20):
            began_ms = self.clock.now_ms()
            self.timers.advance(wait_ms)
            self.mirror.apply(TopicUpdate({"k": b"1"}, number == 0), at(5 + number))
            self.relays["a"].publish("t", self.mirror, began_ms)
            self.followers["a"].confirmed_ms = began_ms
        store_reads = sum(f.store_reads for n, f in self.followers.items() if n != "a")
        self.assertLessEqual(store_reads, len(NAMES))  # Once, at the start.

    def test_dead_hub_is_replaced(self) -> None:
        """Guards against instances that get no more changes after their hub died."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.network.unresponsive.add("a")
        self.timers.advance(HOLD_MS + RESPONSE_MARGIN_MS)
        self.assertEqual(self.followers["b"].store_reads, 1)
        self.read("b", b"2", 6)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_hub_without_access_to_the_store_is_replaced(self) -> None:
        """Guards against a fleet that follows the one hub that the store rejects."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.followers["a"].is_store_unavailable = True
        self.relays["a"].notify_store_unavailable()
        self.timers.advance(STALE_RETRY_DELAY_MS)
        self.assertEqual(self.followers["b"].store_reads, 1)
        self.read("b", b"2", 6)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def turn_away(self, *names: str) -> None:
        """Make the store unavailable to some instances, which notice it."""
        for name in names:
            self.followers[name].is_store_unavailable = True
        for name in names:
            self.relays[name].notify_store_unavailable()

    def test_hub_that_the_store_turns_away(self) -> None:
        """Guards against a first hub that keeps an old version because it has no hub of its own."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.turn_away("a")
        self.timers.advance(STALE_RETRY_DELAY_MS)
        self.read("b", b"2", 6)
        self.assertEqual(self.followers["a"].values["k"], b"2")
        self.assertTrue(self.relays["a"].must_read_store())

    def test_several_hubs_that_the_store_turns_away(self) -> None:
        """Guards against the same while the next instances by rank are turned away as well."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.turn_away(*NAMES[:-1])
        self.timers.advance(round(STALE_FRACTION * IN_FORCE_MS) + SECONDHAND_PAUSE_MS)
        self.assertGreater(self.followers["t"].store_reads, 0)
        self.read("t", b"2", 6)
        self.timers.advance(IN_FORCE_MS)
        values = {name: follower.values["k"] for name, follower in self.followers.items()}
        self.assertEqual(set(values.values()), {b"2"}, values)

    def test_instance_that_is_asked_reads_the_store(self) -> None:
        """Guards against a search that finds nobody because only the first hub had read the store."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.timers.advance(round(STALE_FRACTION * IN_FORCE_MS) + 1)
        before = self.followers["b"].store_reads
        self.followers["a"].is_store_unavailable = True
        self.relays["a"].notify_store_unavailable()
        self.assertGreater(self.followers["b"].store_reads, before)

    def test_cut_off_hub_with_recent_data_is_left(self) -> None:
        """Guards against followers of a hub that gets its own data from one of them."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.turn_away("a")
        for number in range(10):
            self.timers.advance(PAUSE_MS)
            self.read("b", b"%d" % number, 6 + number)
        self.timers.advance(STALE_RETRY_DELAY_MS)
        hubs = {name: relay._sources.current.instance_id for name, relay in self.relays.items()}
        self.assertEqual(hubs["a"], "b")
        self.assertEqual(set(hubs.values()) - {None}, {"b"})

    def test_hub_that_hangs_while_the_data_is_old(self) -> None:
        """Guards against an instance that waits for its hub until its data is too old."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.timers.advance(round(0.8 * STALE_FRACTION * IN_FORCE_MS))
        self.network.unresponsive.add("a")
        self.timers.advance(HOLD_MS + SHORT_RESPONSE_MARGIN_MS)
        self.assertEqual(
            {r._sources.current.instance_id for r in self.relays.values()}, {"b", None}
        )

    def test_hub_without_recent_data(self) -> None:
        """Guards against a late configuration because the hub, cut off from the store, has no newer data."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.timers.advance(round(CATCH_UP_FRACTION * IN_FORCE_MS))
        self.assertTrue(all(f.store_reads for f in self.followers.values()))

    def test_outage_of_the_store(self) -> None:
        """Guards against hundreds of instances that call an unavailable store."""
        self.start_reading()
        self.read("a", b"1", 5)
        for follower in self.followers.values():
            follower.is_store_unavailable = True
        self.timers.advance(10_000)
        self.assertLessEqual(self.followers["t"].store_reads, 10_000 // CATCH_UP_RETRY_MS)
        for follower in self.followers.values():
            follower.is_store_unavailable = False
        self.read("a", b"2", 6)
        self.timers.advance(EXCLUSION_MS + HOLD_MS)
        self.assertEqual(self.followers["e"].values["k"], b"2")

    def test_changes_of_one_topic_do_not_wait_for_another(self) -> None:
        """Guards against an upstream that is used after it left because another topic is delayed."""
        relays = self.relays
        others = {name: FakeFollower(relay, "late") for name, relay in relays.items()}
        for name, relay in relays.items():
            relay.add("late", others[name])
        self.start_reading()
        late = TopicMirror()
        late.apply(TopicUpdate({}, is_snapshot=True), at(1))
        relays["a"].publish("late", late, self.clock.now_ms())
        self.read("a", b"1", 5)
        self.timers.advance(round(STALE_FRACTION * IN_FORCE_MS) - HOLD_MS // 2)
        self.read("a", b"2", 6)
        self.assertEqual(self.followers["b"].values["k"], b"2")

    def test_no_hub_at_the_start(self) -> None:
        """Guards against a restarted fleet that waits for a hub that starts last."""
        self.network.unreachable.update(NAMES.replace("e", ""))
        self.relays["e"].start_reading()
        self.timers.advance(START_TIMEOUT_MS)
        self.assertGreaterEqual(self.followers["e"].store_reads, 1)
        self.network.unreachable.clear()
        self.timers.advance(EXCLUSION_MS)
        self.read("a", b"1", 5)
        self.assertFalse(self.relays["e"].must_read_store())
        self.assertEqual(self.followers["e"].values["k"], b"1")

    def test_starting_hub_responds_after_its_first_read(self) -> None:
        """Guards against a new instance that abandons a hub that is about to have the data."""
        self.relays["e"].start_reading()
        self.timers.advance(START_TIMEOUT_MS // 2)
        self.read("a", b"1", 5)
        self.assertEqual(self.followers["e"].values, {"k": b"1"})
        self.assertEqual(self.followers["e"].store_reads, 0)

    def test_outdated_response_of_a_hub_is_ignored(self) -> None:
        """Guards against an upstream that is used indefinitely after it left.

        If the instance reads the store itself while a hub holds its query, the hub's response may be
        older. The instance applied it, took the upstream's last heartbeat for a change and did not see
        the upstream leave again.
        """
        self.start_reading()
        self.read("a", b"1", 5)
        self.followers["e"].values["k"], self.followers["e"].position = None, at(9)
        self.read("a", b"2", 7)
        self.assertEqual(self.followers["e"].position, at(9))
        self.assertIsNone(self.followers["e"].values["k"])

    def test_hub_that_is_behind(self) -> None:
        """Guards against queries without a pause to a hub whose data is older than this instance's."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.followers["e"].is_ahead_of_hubs = True
        self.followers["e"].position = None
        self.timers.advance(HOLD_MS)
        sent = self.network.links["e"].sent
        sent.clear()
        self.timers.advance(STALE_EXCLUSION_MS)
        self.assertLessEqual(len(sent), len(NAMES))
        self.assertLessEqual({"a", "b"}, {name for name, _ in sent})

    def test_unchanged_records_are_not_relayed(self) -> None:
        """Guards against heartbeats of hundreds of upstreams in each response."""
        self.start_reading()
        self.read("a", b"1", 5)
        self.read("a", b"1", 6)
        self.timers.advance(HOLD_MS)
        answers = self.network.links["a"].sent
        self.assertEqual(len([1 for peer, _ in answers if peer == "e"]), 2)
        self.assertEqual(self.followers["e"].position, at(6))


if __name__ == "__main__":
    unittest.main()
