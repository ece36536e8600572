"""Tests of data that an instance lacks although another one, which it can reach, has it.

The store turns away an instance in other ways than with errors alone: it answers in short or slow
pages, or refuses one topic. Or those that are asked answer late, or are of the release before.
"""

import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from unittest import mock

import msgspec
from ibispaddle_daemon.calls import CallResult
from ibispaddle_daemon.fleet.messages import TopicQuery

from tests.fleet import test_recent_data
from tests.fleet.fakes import SilentTestCase
from tests.fleet.test_recent_data import (
    IN_FORCE_MS,
    LATENCY_MS,
    MAX_ANSWER_RECORDS,
    NAMES,
    OTHER_TOPICS,
    OUTAGE_MS,
    UNAVAILABLE,
    URGENT_TOPICS,
    VERSION_GAP_MS,
    Access,
    FakeStore,
    Fleet,
    PendingCall,
)

KEYS = 12  # Of each topic.
PAGE_RECORDS = 2
PAGE_DELAY_MS = 400
# Round trip of more than the timeout of a query that is answered at once.
LONG_LATENCY_MS = 105
QUIET_GAP_MS = 8_000
# Instances that may read the store while it turns away the first four, or is slow.
MAX_READERS = 8
# An answer of a slow store, which comes in time, and the duration of such a phase.
SLOW_MS = 320
SLOW_PHASE_MS = 4_500
LARGE_SIZE = 195


class PagingStore(FakeStore):
    """A store that answers some instances in short pages and late, or refuses them a topic."""

    def __init__(self, network) -> None:
        super().__init__(network)
        self.paged: set[str] = set()
        self.delay_ms = 0  # Of all answers.
        self.refused: set[tuple[str, str]] = set()  # Instance and topic.

    def put(self, topic: str) -> None:
        self.topics[topic].now_ms = self._clock.now_ms()
        for number in range(KEYS - 1):
            self.topics[topic].put(f"a{number:02d}")
        super().put(topic)

    def _answer(self, call: PendingCall) -> None:
        is_refused = (call.instance, call.topic) in self.refused
        is_paged = call.instance in self.paged
        if call not in self._held or not (is_refused or is_paged or self.delay_ms):
            super()._answer(call)
            return
        self._held.remove(call)
        result, delay_ms = UNAVAILABLE, LATENCY_MS
        if not is_refused:
            size = PAGE_RECORDS if is_paged else MAX_ANSWER_RECORDS
            page = self.topics[call.topic].answer(call.read, size)
            result = CallResult(200, (), page, None)
            delay_ms = PAGE_DELAY_MS if is_paged else self.delay_ms
        self._timers.after(delay_ms, lambda: call.end(result))


class ReachableDataTest(SilentTestCase):
    def start(self, size: int, gap_ms: int = VERSION_GAP_MS, names: Sequence[str] = NAMES) -> Fleet:
        with (
            mock.patch.object(test_recent_data, "FakeStore", PagingStore),
            mock.patch.object(test_recent_data, "VERSION_GAP_MS", gap_ms),
        ):
            fleet = Fleet(names[:size])
        patch = mock.patch.object(test_recent_data, "VERSION_GAP_MS", gap_ms)
        patch.start()
        self.addCleanup(patch.stop)
        fleet.advance(2 * IN_FORCE_MS, lambda: None)
        return fleet

    def assert_recent(
        self, fleet: Fleet, topics: Callable[[], dict] = lambda: URGENT_TOPICS
    ) -> None:
        """Let time pass; at each time, another instance must have had the data for long enough."""
        worst: Counter[str] = Counter()
        best_ms: list[dict[str, int]] = []

        def check() -> None:
            now_ms = fleet.clock.now_ms()
            running = fleet.running_for(0)
            best_ms.append(
                {
                    topic: max(i.followers[topic].confirmed_ms or 0 for i in running.values())
                    for topic in topics()
                }
            )
            if len(best_ms) <= IN_FORCE_MS // test_recent_data.CHECK_INTERVAL_MS:
                return
            required_ms = best_ms[-1 - IN_FORCE_MS // test_recent_data.CHECK_INTERVAL_MS]
            for name, instance in fleet.running_for(IN_FORCE_MS).items():
                for topic, at_ms in required_ms.items():
                    # Each relay adds a latency to the age.
                    lag_ms = at_ms - (instance.followers[topic].confirmed_ms or 0)
                    if lag_ms > 10 * LATENCY_MS:
                        label = f"{name}, {topic}"
                        worst[label] = max(worst[label], now_ms - at_ms + lag_ms)

        fleet.advance(OUTAGE_MS, check)
        self.assertEqual(dict(worst), {}, "age of data that others had two seconds before, in ms")

    def test_first_hub_gets_short_pages(self) -> None:
        """Guards against a hub that queries nobody while the store answers it, but with too few records."""
        fleet = self.start(4)
        fleet.store.paged = {"a"}
        self.assert_recent(fleet)

    def test_return_of_the_hubs_while_the_store_answers_in_pages(self) -> None:
        """Guards against an instance that reads page after page although its hub has returned."""
        fleet = self.start(4)
        fleet.store.paged = {"d"}
        for name in "abc":
            fleet.suspend(name, 1_500)
        fleet.advance(IN_FORCE_MS, lambda: None)
        self.assert_recent(fleet)

    def check_other_topics(self, fleet: Fleet) -> None:
        late: Counter[str] = Counter()

        def check() -> None:
            now_ms = fleet.clock.now_ms()
            for topic, (wait_ms, _) in OTHER_TOPICS.items():
                allowed = fleet.store.topics[topic].numbers_since(
                    "k", now_ms - wait_ms - IN_FORCE_MS
                )
                for name, instance in fleet.instances.items():
                    if instance.applied.get(topic, -1) not in allowed:
                        late[name] += 1

        fleet.advance(OUTAGE_MS, check)
        self.assertEqual(
            dict(late), {}, f"of {OUTAGE_MS // test_recent_data.CHECK_INTERVAL_MS} checks"
        )

    def test_other_topics_while_the_first_three_are_turned_away(self) -> None:
        fleet = self.start(6)
        for name in "abc":
            fleet.cut(name, Access.REFUSED, OUTAGE_MS)
        self.check_other_topics(fleet)

    def test_other_topics_while_the_first_four_are_turned_away(self) -> None:
        """Guards against lists and quarantines that nobody reads whom the store serves."""
        fleet = self.start(6)
        for name in "abcd":
            fleet.cut(name, Access.REFUSED, OUTAGE_MS)
        self.check_other_topics(fleet)

    def test_other_topic_is_refused_to_the_first_hub(self) -> None:
        """Guards against a fleet without changes of a topic that the store refuses to one instance."""
        fleet = self.start(6)
        fleet.store.refused = {("a", topic) for topic in OTHER_TOPICS}
        self.check_other_topics(fleet)

    def test_urgent_topic_is_refused_to_the_first_hub(self) -> None:
        for topic in URGENT_TOPICS:
            fleet = self.start(6)
            fleet.store.refused = {("a", topic)}
            self.assert_recent(fleet)

    def test_readers_while_the_first_four_are_turned_away(self) -> None:
        """Guards against a fleet that reads the store as a whole because of its first four instances."""
        fleet = self.start(len(NAMES))
        for name in NAMES[:4]:
            fleet.cut(name, Access.REFUSED, OUTAGE_MS)
        fleet.advance(IN_FORCE_MS, lambda: None)
        fleet.store.calls.clear()
        fleet.advance(OUTAGE_MS // 2, lambda: None)
        self.assertLessEqual(len(fleet.store.calls), MAX_READERS, dict(fleet.store.calls))

    def test_readers_while_the_store_is_slow(self) -> None:
        """Guards against a fleet that reads the store as a whole as soon as its answers take 0.3 s."""
        fleet = self.start(len(NAMES))
        fleet.store.calls.clear()
        fleet.store.delay_ms = SLOW_MS
        fleet.advance(SLOW_PHASE_MS, lambda: None)
        self.assertLessEqual(len(fleet.store.calls), MAX_READERS, dict(fleet.store.calls))

    def test_return_of_the_store_to_a_single_instance(self) -> None:
        """Guards against data that takes seconds through a fleet whose instances have paused their search."""
        names = [f"i{number:03d}" for number in range(LARGE_SIZE)]
        fleet = self.start(LARGE_SIZE, names=names)
        for name in names:
            fleet.cut(name, Access.REFUSED, 2 * OUTAGE_MS)
        fleet.advance(OUTAGE_MS // 2, lambda: None)
        returned_ms = fleet.clock.now_ms()
        fleet.store.access[names[-1]] = Access.SERVED
        known_ms: dict[str, int] = {}

        def check() -> None:
            for name, instance in fleet.instances.items():
                times_ms = [instance.followers[topic].confirmed_ms or 0 for topic in URGENT_TOPICS]
                if min(times_ms) > returned_ms:
                    known_ms.setdefault(name, fleet.clock.now_ms() - returned_ms)

        fleet.advance(OUTAGE_MS // 2, check)
        self.assertEqual(len(known_ms), LARGE_SIZE)
        spread_ms = max(known_ms.values()) - min(known_ms.values())
        self.assertLessEqual(spread_ms, IN_FORCE_MS)

    def set_latency(self, fleet: Fleet, latency_ms: int) -> None:
        network = fleet.network

        def deliver(sender: str, receiver: str, message) -> None:
            handler = network.links[receiver].receivers.get(type(message))
            process = network.processes[receiver]
            network.timers.after(latency_ms, lambda: process.run(lambda: handler(sender, message)))

        network.deliver = deliver

    def test_answers_after_the_timeout(self) -> None:
        """Guards against an instance that discards all answers because each arrives a little late."""
        fleet = self.start(4)
        self.set_latency(fleet, LONG_LATENCY_MS)
        fleet.advance(IN_FORCE_MS, lambda: None)
        fleet.cut("a", Access.IGNORED, OUTAGE_MS)
        self.assert_recent(fleet)

    def test_others_of_the_release_before(self) -> None:
        """Guards against the same while the others hold each query because they know no `wanted_age_ms`."""
        fleet = self.start(4, QUIET_GAP_MS)
        for name in "bcd":
            receivers = fleet.network.links[name].receivers
            receive = receivers[TopicQuery]
            receivers[TopicQuery] = lambda sender, query, receive=receive: receive(
                sender, msgspec.structs.replace(query, wanted_age_ms=None)
            )
        fleet.cut("a", Access.IGNORED, OUTAGE_MS)
        self.assert_recent(fleet)


if __name__ == "__main__":
    unittest.main()
