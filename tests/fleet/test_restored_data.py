"""Tests of instances whose store goes back to a copy and gives out its last offsets again, in virtual time."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st
from ibispaddle_core.topics import TopicPosition
from ibispaddle_daemon.fleet.messages import TopicQuery, TopicResponse
from ibispaddle_daemon.fleet.topic_bodies import decode_response

from .fakes import SilentTestCase
from .test_recent_data import DETECTION_MS, IN_FORCE_MS, NAMES, Access, Fleet

# Versions are so rare that one that is missed stays missed.
VERSION_GAP_MS = 60_000
AWAY_MS = 1_100
# A fault: the time after the one before, its kind, the index of the instance and its duration.
FAULTS = st.lists(
    st.tuples(
        st.integers(0, 2_000),
        st.sampled_from(["refused", "ignored", "suspended", "killed"]),
        st.integers(0, 5),
        st.integers(200, 6_000),
    ),
    max_size=3,
)


class RestoredDataTest(SilentTestCase):
    def start(self, size: int, versions: int) -> Fleet:
        """Return a fleet that has read a number of versions."""
        fleet = Fleet(NAMES[:size], VERSION_GAP_MS)
        for _ in range(versions):
            fleet.advance(IN_FORCE_MS // 2, lambda: None)
            fleet.put_versions(1)
        fleet.advance(IN_FORCE_MS, lambda: None)
        return fleet

    def assert_recent(self, fleet: Fleet) -> None:
        if fleet.must_be_recent():
            self.assertEqual(fleet.find_outdated(), [], f"at {fleet.clock.now_ms()} ms")

    @settings(max_examples=100, deadline=None)
    @given(
        st.integers(1, 6),
        st.integers(0, 3),
        st.integers(0, 4),
        st.sampled_from([5, 300, AWAY_MS, 4_000]),
        FAULTS,
    )
    @example(3, 2, 2, AWAY_MS, [])
    @example(3, 2, 2, 5, [])
    @example(4, 2, 2, AWAY_MS, [(0, "refused", 0, 6_000), (0, "suspended", 1, 4_000)])
    def test_newest_versions_are_read(
        self,
        size: int,
        lost: int,
        written: int,
        away_ms: int,
        faults: list[tuple[int, str, int, int]],
    ) -> None:
        """Guards against versions that are missed because their offsets count as read (issue 52)."""
        fleet = self.start(size, versions=3)
        fleet.restore(away_ms, lost, written)
        for after_ms, kind, number, duration_ms in faults:
            fleet.advance(after_ms, lambda: self.assert_recent(fleet))
            name = NAMES[number % size]
            match kind:
                case "suspended":
                    fleet.suspend(name, duration_ms)
                case "killed":
                    fleet.kill(name)
                case _:
                    fleet.cut(name, Access(kind), duration_ms)
        fleet.advance(away_ms + 4 * IN_FORCE_MS, lambda: self.assert_recent(fleet))

    def test_time_until_all_have_the_newest_versions(self) -> None:
        """Guards against instances that learn only after the bound that the store was restored."""
        fleet = self.start(len(NAMES), versions=3)
        fleet.restore(AWAY_MS, lost=2, written=2)
        fleet.advance(AWAY_MS, lambda: None)
        back_ms = fleet.clock.now_ms()
        numbers = {topic: item.written - 1 for topic, item in fleet.store.topics.items()}
        times_ms = {}

        def check() -> None:
            for name, instance in fleet.instances.items():
                if all(
                    instance.applied[topic] == numbers[topic] for topic in ("config", "servers")
                ):
                    times_ms.setdefault(name, fleet.clock.now_ms() - back_ms)

        fleet.advance(IN_FORCE_MS, check)
        self.assertEqual(set(times_ms), set(NAMES))
        self.assertLess(max(times_ms.values()), IN_FORCE_MS, times_ms)

    def test_calls_after_the_return(self) -> None:
        """Guards against a fleet that reads the store anew at once, each instance by itself."""
        fleet = self.start(len(NAMES), versions=3)
        fleet.store.calls.clear()
        fleet.advance(10_000, lambda: None)
        quiet = fleet.store.calls.total()
        fleet.restore(5, lost=2, written=2)
        fleet.store.calls.clear()
        fleet.advance(10_000, lambda: None)
        self.assertLessEqual(fleet.store.calls.total(), 2 * quiet)


class EarlierReleaseTest(SilentTestCase):
    """A follower that knows no eras queries a hub that has seen the store go back."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet("ab", VERSION_GAP_MS)
        self.fleet.advance(DETECTION_MS, lambda: None)
        self.fleet.kill("b")
        self.hub = self.fleet.network.links["a"]

    def ask(self, number: int, offset: int | None) -> str:
        """Return the kind of the hub's answer for the configuration."""
        self.hub.sent.clear()
        self.hub.receivers[TopicQuery]("b", TopicQuery(number, {"config": offset}))
        self.fleet.advance(IN_FORCE_MS, lambda: None)
        (response,) = [m for _, m in self.hub.sent if isinstance(m, TopicResponse)]
        return decode_response(response)["config"].kind

    def test_offsets_of_the_lost_era(self) -> None:
        """Guards against a follower that misses versions, as its hub takes its offset for one of the new era."""
        self.fleet.put_versions(2)
        self.fleet.advance(IN_FORCE_MS, lambda: None)
        self.assertEqual(self.ask(1, 3), "changes")
        self.fleet.restore(5, lost=2, written=2)
        self.fleet.advance(IN_FORCE_MS, lambda: None)
        position = self.fleet.instances["a"].followers["config"].position
        self.assertEqual(position, TopicPosition(2, 3))
        # It may not have processed the first answer, for example because it read the store meanwhile.
        answers = [self.ask(2, 3), self.ask(3, 3), self.ask(4, None), self.ask(5, 3)]
        self.assertEqual(answers, ["gone", "gone", "newest", "changes"])

    def test_hub_of_an_earlier_release(self) -> None:
        """Guards against instances that miss versions because their hub does."""
        fleet = Fleet("abcd", VERSION_GAP_MS)
        fleet.store.eraless.add("a")
        for name in "bcd":
            # An instance reads the list of the others before it queries a hub.
            fleet.instances[name].followers["instances"].read_store()
        fleet.advance(IN_FORCE_MS, lambda: None)
        fleet.put_versions(2)
        fleet.advance(IN_FORCE_MS, lambda: None)
        fleet.restore(5, lost=2, written=2)
        fleet.store.calls.clear()
        fleet.advance(5 * IN_FORCE_MS, lambda: None)
        outdated = [line for line in fleet.find_outdated() if not line.startswith("a")]
        self.assertEqual(outdated, [])
        # The first one of this release reads the store for the others.
        self.assertLess(fleet.store.calls["c"] + fleet.store.calls["d"], fleet.store.calls["b"])


if __name__ == "__main__":
    unittest.main()
