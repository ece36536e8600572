"""Tests of the stored parts in quarantine."""

import unittest
from types import SimpleNamespace

import msgspec
from ibispaddle_core.quarantine import Death, PartQuarantine, PartQuarantined
from ibispaddle_core.topics import TopicUpdate
from ibispaddle_daemon.store import QuarantineDirectory
from ibispaddle_daemon.store.quarantine import MAX_FALLBACK_DELAY_MS, WRITE_RETRY_MS

from .fakes import FakeNetwork

DEATHS = tuple(Death(f"r{number}", "b") for number in range(3))


class FakeGuard:
    def __init__(self, clock) -> None:
        self.registry, self._clock, self.on_decided = PartQuarantine(), clock, []

    def merge(self, changes) -> None:
        before = self.registry.quarantined_parts
        self.registry.merge(changes, self._clock.now_ms(), self._clock.wall_ms())
        after = self.registry.quarantined_parts
        if before != after:
            for callback in self.on_decided:
                callback(after - before, before - after)

    def lift(self, part: str) -> None:
        self.merge(self.registry.lift(part))

    def entry(self, part: str):
        return self.registry.entry(part, self._clock.now_ms(), self._clock.wall_ms())


class QuarantineDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        network = FakeNetwork("a")
        self.clock, self.timers = network.clock, network.timers
        self.guard = FakeGuard(self.clock)
        self.is_responsible = True
        relay = SimpleNamespace(add=lambda topic, follower, is_urgent: None)
        self.directory = QuarantineDirectory(
            "http://store",
            None,
            self.guard,
            lambda: self.is_responsible,
            self.clock,
            self.timers,
            relay,
        )
        self.writes: list[tuple[str, bytes | None]] = []
        self.failures: list = []
        self.directory._writer.write = self.write

    def write(self, key: str, value: bytes | None, on_failed) -> None:
        self.writes.append((key, value))
        self.failures.append(on_failed)

    def entry(self, expires_in_ms: int = 60_000) -> PartQuarantined:
        return PartQuarantined("p", DEATHS, self.clock.wall_ms() + expires_in_ms)

    def read(self, value: bytes | None) -> None:
        """Simulate that the topic was read."""
        self.directory._apply(TopicUpdate({"p": value}))

    def test_restored_store_without_an_entry(self) -> None:
        """Guards against a quarantine that instances which start later do not know."""
        self.guard.merge([self.entry()])
        [(_, value)] = self.writes
        self.read(value)
        self.writes.clear()
        self.directory._apply(TopicUpdate({}, is_snapshot=True, is_restored=True))
        self.assertEqual([key for key, _ in self.writes], ["p"])

    def test_one_instance_writes(self) -> None:
        """Guards against a write of each of hundreds of instances."""
        self.guard.merge([self.entry()])
        [(key, value)] = self.writes
        self.assertEqual(key, "p")
        self.is_responsible = False
        self.read(value)
        self.timers.advance(2 * MAX_FALLBACK_DELAY_MS)
        self.assertEqual(len(self.writes), 1)

    def test_others_write_what_is_missing(self) -> None:
        """Guards against a decision that is lost with the instance that had to store it."""
        self.is_responsible = False
        self.guard.merge([self.entry()])
        self.assertEqual(self.writes, [])
        self.timers.advance(MAX_FALLBACK_DELAY_MS)
        self.assertEqual(len(self.writes), 1)

    def test_failed_write_is_repeated(self) -> None:
        """Guards against a decision that is lost because the store was down."""
        self.guard.merge([self.entry()])
        self.failures[0]()
        self.timers.advance(WRITE_RETRY_MS)
        self.assertEqual(len(self.writes), 2)

    def test_stored_entries_are_applied(self) -> None:
        self.read(msgspec.json.encode(self.entry()))
        self.assertEqual(self.guard.registry.quarantined_parts, {"p"})
        self.assertEqual(self.writes, [])
        self.read(None)
        self.assertEqual(self.guard.registry.quarantined_parts, frozenset())

    def test_released_and_expired_entries_are_removed(self) -> None:
        """Guards against a topic that grows without end."""
        self.read(msgspec.json.encode(self.entry()))
        self.guard.lift("p")
        self.assertEqual(self.writes, [("p", None)])
        self.writes.clear()
        self.read(msgspec.json.encode(self.entry(expires_in_ms=0)))
        self.assertEqual(self.writes, [("p", None)])

    def test_unreadable_entries_are_skipped(self) -> None:
        """Guards against an instance that stops reading at an entry of another writer."""
        for value in (b"", b"{}", b"\xff", b'{"type":"quarantined","part":1}'):
            self.read(value)
        self.assertEqual(self.guard.registry.quarantined_parts, frozenset())


if __name__ == "__main__":
    unittest.main()
