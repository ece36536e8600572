"""Tests of the writes to the list of instances by a first hub that the store turns away."""

import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import msgspec
from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.topics import TopicUpdate
from ibispaddle_daemon.store import InstanceDirectory
from ibispaddle_daemon.store.instances import (
    SWEEP_INTERVAL_MS,
    WRITE_RETRY_MS,
    _InstanceRecord,
)

from .fakes import FakeNetwork

RESPONSE_MS = 10
LOST_FOR_MS = 13_000
OUTAGE_MS = 40_000


def create_directory(
    network: FakeNetwork, ranking: HubRanking, capacity: float
) -> InstanceDirectory:
    """Return the list of instances as the instance `a` keeps it."""
    instance = SimpleNamespace(instance_id="a", data_centre="z")
    settings = SimpleNamespace(
        instance=instance, is_first_start=False, capacity=capacity, store_url=""
    )
    clock, timers = network.clock, network.timers
    return InstanceDirectory(
        settings, "127.0.0.1:1", mock.Mock(), ranking, clock, timers, mock.Mock()
    )


class DelistingTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch("ibispaddle_daemon.store.instances.log_event")
        patch.start()
        self.addCleanup(patch.stop)
        network = FakeNetwork("ab")
        self.clock, self.timers, self.ranking = (
            network.clock,
            network.timers,
            network.ranking("a"),
        )
        self.directory = create_directory(network, self.ranking, capacity=9.0)
        self.directory._topic = mock.Mock()
        self.directory._writer = SimpleNamespace(write=self.write)
        self.writes: Counter[str] = Counter()
        own = msgspec.json.encode(self.directory._own_record)
        lost = msgspec.json.encode(_InstanceRecord("127.0.0.1:2", "z"))
        self.directory._apply(TopicUpdate({"a": own, "b": lost}, is_snapshot=True))
        self.directory._on_started()
        for _ in range(3):
            self.ranking.mark_unreachable("b", self.clock.now_ms())
            self.timers.advance(LOST_FOR_MS)

    def write(self, key: str, value: bytes | None, on_failed) -> None:
        """Respond to all writes with an error, as a store does that turns the instance away."""
        self.writes[key] += 1
        self.timers.after(RESPONSE_MS, on_failed)

    def test_writes_while_the_store_turns_the_hub_away(self) -> None:
        """Guards against repeated writes that grow with each sweep."""
        self.timers.advance(OUTAGE_MS)
        self.writes.clear()
        self.timers.advance(SWEEP_INTERVAL_MS)
        self.assertLessEqual(self.writes["b"], 1 + SWEEP_INTERVAL_MS // WRITE_RETRY_MS)

    def test_instance_that_returns_meanwhile(self) -> None:
        """Guards against the removal of an instance that has returned before the store has."""
        self.ranking.mark_reachable("b")
        self.timers.advance(WRITE_RETRY_MS + RESPONSE_MS)
        self.writes.clear()
        self.timers.advance(SWEEP_INTERVAL_MS)
        self.assertEqual(self.writes["b"], 0)

    def test_own_record_of_an_earlier_process(self) -> None:
        """Guards against repeated writes that grow with each change of the list."""
        earlier = msgspec.json.encode(_InstanceRecord("127.0.0.1:3", "z"))
        for _ in range(OUTAGE_MS // SWEEP_INTERVAL_MS):
            self.directory._apply(TopicUpdate({"a": earlier}, is_snapshot=False))
            self.timers.advance(SWEEP_INTERVAL_MS)
        self.writes.clear()
        self.timers.advance(SWEEP_INTERVAL_MS)
        self.assertIn(self.writes["a"], range(1, 2 + SWEEP_INTERVAL_MS // WRITE_RETRY_MS))


class RestoredListTest(unittest.TestCase):
    def setUp(self) -> None:
        network = FakeNetwork("a")
        self.ranking = network.ranking("a")
        self.directory = create_directory(network, self.ranking, capacity=1.0)
        self.writes: list[str] = []
        write = lambda key, value, on_failed: self.writes.append(key)  # noqa: E731
        self.directory._writer = SimpleNamespace(write=write)
        self.own = msgspec.json.encode(self.directory._own_record)
        self.other = msgspec.json.encode(_InstanceRecord("127.0.0.1:2", "z"))
        self.directory._apply(TopicUpdate({"b": self.other}, is_snapshot=True))
        self.directory._apply(TopicUpdate({"a": self.own}))
        self.writes.clear()

    def restore(self, **records: bytes) -> None:
        self.directory._apply(TopicUpdate(records, is_snapshot=True, is_restored=True))

    def test_own_record_that_was_lost(self) -> None:
        """Guards against an instance that is unknown to those that start after the restoration."""
        self.restore(b=self.other)
        self.assertEqual(self.writes, ["a"])
        self.restore(a=self.own, b=self.other)
        self.assertEqual(self.writes, ["a"])

    def test_own_record_of_an_earlier_process(self) -> None:
        """Guards against an instance that is listed with the address of its last process."""
        self.restore(a=msgspec.json.encode(_InstanceRecord("127.0.0.1:9", "z")), b=self.other)
        self.assertEqual(self.writes, ["a"])

    def test_record_of_another_instance_that_was_lost(self) -> None:
        """Guards against hubs that change until an instance has listed itself again."""
        self.restore(a=self.own)
        self.assertEqual(self.ranking.size, 2)

    def test_instances_of_an_earlier_release(self) -> None:
        """Guards against hubs of an earlier release while releases are mixed."""
        names = "bcdefgh"
        earlier = msgspec.json.encode(_InstanceRecord("127.0.0.1:2", "z", capacity=1.0))
        larger = msgspec.json.encode(_InstanceRecord("127.0.0.1:3", "z", capacity=1.4))
        records = dict.fromkeys(names, earlier) | {"x": larger}
        self.directory._apply(TopicUpdate(records, is_snapshot=True))
        self.assertEqual(self.ranking.hubs(now_ms=0), ("x", "a"))


if __name__ == "__main__":
    unittest.main()
