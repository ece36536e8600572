"""Fakes to run several instances in one process, with a manual clock."""

import heapq
import itertools
import unittest
from collections.abc import Callable
from unittest import mock

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.hubs import Candidate, HubRanking


class FakeTimer:
    def __init__(self) -> None:
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class FakeTimers:
    """Timers whose callbacks run when the test advances the clock."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._due: list[tuple[int, int, FakeTimer, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, at_ms: int, callback: Callable[[], None]) -> FakeTimer:
        timer = FakeTimer()
        heapq.heappush(self._due, (at_ms, next(self._numbers), timer, callback))
        return timer

    def after(self, delay_ms: int, callback: Callable[[], None]) -> FakeTimer:
        return self.at(self._clock.now_ms() + delay_ms, callback)

    def advance(self, duration_ms: int) -> None:
        end_ms = self._clock.now_ms() + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            at_ms, _, timer, callback = heapq.heappop(self._due)
            self._clock.advance(max(0, at_ms - self._clock.now_ms()))
            if not timer.is_cancelled:
                callback()
        self._clock.advance(end_ms - self._clock.now_ms())


class FakeLinks:
    """Fake of `FleetLinks`; messages arrive at once, unless one side is unreachable."""

    def __init__(self, instance_id: str, network: "FakeNetwork") -> None:
        self.instance_id, self._network = instance_id, network
        self.receivers = {}
        self.on_peer_lost = []
        self.sent = []
        self.dropped = []
        self.connected = {}  # In the order of the connections.

    def encode(self, message):
        return message

    def send(self, instance_id: str, message) -> bool:
        self.sent.append((instance_id, message))
        if instance_id in self._network.unreachable:
            return False
        self._network.deliver(self.instance_id, instance_id, message)
        return True

    send_frame = send

    def count_heard(self, since_ms: int) -> int:
        """Return the number of the other instances that can reach this one."""
        if self.instance_id in self._network.unresponsive:
            return 0
        gone = self._network.unresponsive | self._network.unreachable
        return len(self._network.links.keys() - gone - {self.instance_id})

    def connected_ids(self) -> tuple[str, ...]:
        return tuple(name for name in self.connected if name not in self._network.unreachable)

    def connect(self, instance_id: str) -> None:
        """Open a connection, which both sides can use."""
        gone = self._network.unresponsive | self._network.unreachable
        other = self._network.links.get(instance_id)
        if other is not None and not gone & {self.instance_id, instance_id}:
            self.connected[instance_id] = None
            other.connected[self.instance_id] = None

    def answer(self, instance_id: str, message) -> None:
        self.send(instance_id, message)

    def drop(self, instance_id: str, reason: str) -> None:
        self.dropped.append(instance_id)


class FakeNetwork:
    """Connects the instances `a`, `b`, `c` and so on, ordered by descending capacity."""

    def __init__(self, names: str) -> None:
        self.clock = ManualClock()
        self.timers = FakeTimers(self.clock)
        self.unresponsive: set[str] = set()  # Instances that receive messages without responding.
        self.unreachable: set[str] = set()
        self.links = {name: FakeLinks(name, self) for name in names}
        self._candidates = [
            Candidate(name, f"{name}:1", capacity=10.0 - number)
            for number, name in enumerate(names)
        ]

    def ranking(self, name: str) -> HubRanking:
        hub_ranking = HubRanking(name)
        hub_ranking.replace_candidates(self._candidates)
        return hub_ranking

    def deliver(self, sender: str, receiver: str, message) -> None:
        if (
            receiver in self.unresponsive
            or sender in self.unresponsive
            or receiver not in self.links
        ):
            return
        handler = self.links[receiver].receivers.get(type(message))
        if handler is not None:
            handler(sender, message)


class SilentTestCase(unittest.TestCase):
    """A test of instances that would log the events of their topics."""

    def setUp(self) -> None:
        for module in ("fleet.topics", "store.follower"):
            patch = mock.patch(f"ibispaddle_daemon.{module}.log_event")
            patch.start()
            self.addCleanup(patch.stop)
