"""Instances that exchange messages in one process, with a clock of their own."""

import heapq
import itertools
from collections.abc import Callable

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.hubs import Candidate, HubRanking


class Timer:
    def __init__(self) -> None:
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class Timers:
    """Call back when the test lets the time pass."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._due: list[tuple[int, int, Timer, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, at_ms: int, callback: Callable[[], None]) -> Timer:
        timer = Timer()
        heapq.heappush(self._due, (at_ms, next(self._numbers), timer, callback))
        return timer

    def after(self, delay_ms: int, callback: Callable[[], None]) -> Timer:
        return self.at(self._clock.now_ms() + delay_ms, callback)

    def advance(self, duration_ms: int) -> None:
        end_ms = self._clock.now_ms() + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            at_ms, _, timer, callback = heapq.heappop(self._due)
            self._clock.advance(max(0, at_ms - self._clock.now_ms()))
            if not timer.is_cancelled:
                callback()
        self._clock.advance(end_ms - self._clock.now_ms())


class Links:
    """Stand for `FleetLinks`; messages arrive at once, unless one side is cut off."""

    def __init__(self, instance_id: str, network: "Network") -> None:
        self.instance_id, self._network = instance_id, network
        self.receivers = {}
        self.on_peer_lost = []
        self.sent = []
        self.dropped = []

    def encode(self, message):
        return message

    def send(self, instance_id: str, message) -> bool:
        self.sent.append((instance_id, message))
        if instance_id in self._network.refusing:
            return False
        self._network.deliver(self.instance_id, instance_id, message)
        return True

    send_frame = send

    def answer(self, instance_id: str, message) -> None:
        self.send(instance_id, message)

    def drop(self, instance_id: str, reason: str) -> None:
        self.dropped.append(instance_id)


class Network:
    """Connect the instances of a fleet; `a`, `b`, `c` and so on, strongest first."""

    def __init__(self, names: str) -> None:
        self.clock = ManualClock()
        self.timers = Timers(self.clock)
        self.silent: set[str] = set()  # Take messages and do not answer.
        self.refusing: set[str] = set()
        self.links = {name: Links(name, self) for name in names}
        self._candidates = [
            Candidate(name, f"{name}:1", capacity=10.0 - number)
            for number, name in enumerate(names)
        ]

    def ranking(self, name: str) -> HubRanking:
        found = HubRanking(name)
        found.replace_candidates(self._candidates)
        return found

    def deliver(self, sender: str, receiver: str, message) -> None:
        if receiver in self.silent or sender in self.silent or receiver not in self.links:
            return
        handler = self.links[receiver].receivers.get(type(message))
        if handler is not None:
            handler(sender, message)
