"""Tests of the exchange of the quarantine's changes between instances, without the store."""

import unittest

from ibispaddle_core.quarantine import CrashReport, Death, PartQuarantine
from ibispaddle_daemon.fleet import QuarantineExchange
from ibispaddle_daemon.fleet.messages import (
    FleetCodec,
    QuarantineReply,
    QuarantineUpdate,
    WorkQuery,
    WorkSnapshot,
)
from ibispaddle_daemon.fleet.quarantine import MAX_PUSHES, PUSH_DELAY_MS, PUSH_RETRY_MS
from ibispaddle_daemon.fleet.work import WorkExchange
from ibispaddle_daemon.peer_frames import HEADER

from .fakes import FakeNetwork
from .test_work import FakeForwarder


def report(number: int, *parts: str) -> CrashReport:
    return CrashReport(Death(f"r{number}", "b"), f"request {number}", parts)


class FakeGuard:
    """Holds a registry and applies changes at the clock's time."""

    def __init__(self, network: FakeNetwork) -> None:
        self.registry = PartQuarantine()
        self._clock = network.clock
        self.on_changed = lambda: None
        self.before_decision = lambda callback: callback()

    def merge(self, changes: tuple) -> None:
        self.registry.merge(changes, self._clock.now_ms(), self._clock.now_ms())

    def merge_own(self, *changes: object) -> None:
        self.merge(changes)
        self.on_changed()


class QuarantineExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = FakeNetwork("abcdef")
        self.guards = {name: FakeGuard(self.network) for name in "abcdef"}
        self.exchanges, self.work = {}, {}
        for name in "abcdef":
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance, or replace it by one that knows nothing."""
        network, ranking = self.network, self.network.ranking(name)
        self.guards[name] = FakeGuard(network)
        links, clock, timers = network.links[name], network.clock, network.timers
        exchange = QuarantineExchange(self.guards[name], ranking, links, clock, timers, name)
        self.exchanges[name] = exchange
        self.work[name] = WorkExchange(
            name, FakeForwarder(name), ranking, links, clock, timers, exchange
        )

    def knows(self, name: str, number: int) -> bool:
        return self.guards[name].registry.current_boot_id(f"r{number}", "b") != "b"

    def select(self, name: str) -> None:
        self.network.clock.advance(10)  # A snapshot is reused for some milliseconds.
        self.work[name].refresh(lambda: None)

    def pushes(self, name: str) -> list[str]:
        sent = self.network.links[name].sent
        return [receiver for receiver, item in sent if isinstance(item, QuarantineUpdate)]

    def test_crash_is_known_to_the_next_selection_of_any_instance(self) -> None:
        """Guards against instances that each have to see the crashes themselves."""
        self.guards["f"].merge_own(report(1, "part"))
        self.select("f")
        self.select("e")
        self.assertTrue(self.knows("a", 1) and self.knows("e", 1))

    def test_crash_is_pushed_to_both_hubs(self) -> None:
        """Guards against a standby hub that knows nothing when the first one dies."""
        for name in "fa":
            self.guards[name].merge_own(report(ord(name), "part"))
            self.network.timers.advance(PUSH_DELAY_MS)
        self.assertTrue(all(self.knows(hub, ord(name)) for hub in "ab" for name in "fa"))
        self.network.unresponsive.add("a")
        for _ in range(3):
            self.select("e")
            self.network.timers.advance(100)
        self.assertTrue(self.knows("e", ord("f")) and self.knows("e", ord("a")))

    def test_pushes_end(self) -> None:
        """Guards against messages without end, to hubs that do not respond or that know all."""
        self.guards["f"].merge_own(report(1, "part"))
        self.network.timers.advance(60_000)
        self.assertEqual(self.pushes("f"), ["a", "b"])
        self.assertEqual((self.pushes("a"), self.pushes("b")), (["b"], ["a"]))
        self.network.unresponsive.update("ab")
        self.guards["f"].merge_own(report(2, "part"))
        self.network.timers.advance(PUSH_RETRY_MS * 10 * MAX_PUSHES)
        self.assertEqual(len(self.pushes("f")), 2 + 2 * MAX_PUSHES)

    def test_lost_push_is_repeated(self) -> None:
        """Guards against a crash that no other instance learns of because one message was lost."""
        self.network.unresponsive.add("a")
        self.guards["f"].merge_own(report(1, "part"))
        self.network.timers.advance(PUSH_DELAY_MS)
        self.network.unresponsive.clear()
        self.network.timers.advance(PUSH_RETRY_MS)
        self.assertTrue(self.knows("a", 1))

    def test_restarted_hub_learns_all_again(self) -> None:
        """Guards against a quarantine that ends because a hub was replaced."""
        self.guards["f"].merge_own(report(1, "part"))
        self.network.timers.advance(PUSH_DELAY_MS)
        self.select("f")
        self.start("a")
        self.select("f")
        self.select("f")
        self.assertTrue(self.knows("a", 1))

    def test_restarted_instance_learns_all_again(self) -> None:
        """Guards against an instance that sends deadly requests again after its restart."""
        self.guards["f"].merge_own(report(1, "part"))
        self.network.timers.advance(PUSH_DELAY_MS)
        self.start("f")
        self.select("f")
        self.assertTrue(self.knows("f", 1))

    def test_nothing_is_sent_without_changes(self) -> None:
        """Guards against messages that grow with the quarantine."""
        self.guards["f"].merge_own(report(1, "part"))
        self.network.timers.advance(1_000)
        for name in "ef":
            self.select(name)
            self.network.links[name].sent.clear()
            self.network.links["a"].sent.clear()
            self.select(name)
            [(_, query)] = self.network.links[name].sent
            [(_, snapshot)] = self.network.links["a"].sent
            self.assertEqual((query.changes, snapshot.changes), ((), ()))

    def test_messages_are_encoded(self) -> None:
        codec = FleetCodec()
        changes = (report(1, "part", "first"),)
        messages = (
            WorkQuery(1, "m", 2, changes, (3, 4)),
            WorkSnapshot(1, (), (), None, 0, 2, changes, (3, 4)),
            QuarantineUpdate(1, changes, None),
            QuarantineReply(1, changes, (3, 4)),
        )
        for message in messages:
            frame = codec.encode(message)
            self.assertEqual(codec.decode(frame[HEADER.size :]).unwrap(), message)

    def test_process_without_the_exchange_is_understood(self) -> None:
        """Guards against a fleet that cannot be updated one instance after the other."""
        self.work["f"]._quarantine = None
        self.select("f")
        self.assertEqual(self.network.links["a"].sent[-1][1].changes, ())
        self.exchanges["f"].apply_response("a", 0, (), None)
        self.assertEqual(self.guards["f"].registry.sequence, 0)


if __name__ == "__main__":
    unittest.main()
