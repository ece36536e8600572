"""When an instance tells the others what it has in flight."""

import unittest
from collections.abc import Callable
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.membership import InstanceList, Kind, ListEntry, MembershipView
from ibispaddle_core.scheduling import PeerWork, UpstreamWork
from ibispaddle_daemon.forwarding.peer_work import GATHER_MS, PeerWorkExchange


class Timers:
    """Collect delays instead of waiting for them."""

    def __init__(self) -> None:
        self.due: list[tuple[int, Callable[[], None]]] = []

    def after(self, delay_ms: int, callback: Callable[[], None]) -> None:
        self.due.append((delay_ms, callback))


class PeerWorkExchangeTest(unittest.TestCase):
    """The load pattern is a deployment of dozens of instances with a request a second each."""

    def exchange(self, instances: int) -> tuple[SimpleNamespace, Timers]:
        view, clock, timers = MembershipView("i0", "dc"), ManualClock(), Timers()
        entries = tuple(ListEntry(f"i{n}", Kind.ENTRY, "", "dc") for n in range(instances))
        view.apply_list(InstanceList(1, entries), 0)
        for number in range(1, instances):
            view.observe_heartbeat(f"i{number}", 1, 1, False, 0)
        work = PeerWork("i0", {"r1": UpstreamWork(50.0, 1, 5_000, 0)}, ())
        scheduler = SimpleNamespace(own_work=lambda name, now_ms: work)
        forwarder = SimpleNamespace(scheduler=scheduler, on_work_added=None)
        exchange = PeerWorkExchange("i0", forwarder, view, clock, timers)
        exchange.fire = lambda *args: None
        exchange._tick()
        timers.due.clear()
        return forwarder, timers

    def test_few_instances_tell_each_request_at_once(self) -> None:
        """Guards against two instances that choose the same engine."""
        forwarder, timers = self.exchange(9)
        forwarder.on_work_added(1)
        self.assertEqual([delay for delay, _ in timers.due], [GATHER_MS])

    def test_many_instances_tell_only_prompts_of_several_engines_at_once(self) -> None:
        """Guards against messages that take most of an instance's processor time."""
        forwarder, timers = self.exchange(71)
        forwarder.on_work_added(1)
        self.assertEqual(timers.due, [])
        forwarder.on_work_added(4)
        self.assertEqual(len(timers.due), 1)


if __name__ == "__main__":
    unittest.main()
