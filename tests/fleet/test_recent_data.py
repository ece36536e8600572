"""Tests of the age of the store's data at instances that the store turns away.

Real relays and followers run in virtual time. The store refuses or ignores the calls of some instances
for a while, and instances are killed or suspended.
"""

import itertools
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from hypothesis import example, given, settings
from hypothesis import strategies as st
from ibispaddle_core.topics import (
    ChangesPage,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicFormatError,
    TopicUpdate,
)
from ibispaddle_daemon.calls import CallResult
from ibispaddle_daemon.events import CallFailure, HttpCallError
from ibispaddle_daemon.fleet.messages import TopicQuery
from ibispaddle_daemon.fleet.topics import TopicRelay
from ibispaddle_daemon.store import StoreCall
from ibispaddle_daemon.store.follower import TopicFollower

from tests.topics.test_recency import Store

from .fakes import FakeNetwork, FakeTimer, FakeTimers, SilentTestCase

IN_FORCE_MS = 2_000
# Time after an instance was killed or suspended in which others may have older data.
DETECTION_MS = 1_000
LATENCY_MS = 5
CHECK_INTERVAL_MS = 50
VERSION_GAP_MS = 400
MAX_ANSWER_RECORDS = 1_000
START_MS = 10_000
TIMED_OUT = CallResult(0, (), b"", HttpCallError(CallFailure.TIMEOUT, "deadline", True))
UNAVAILABLE = CallResult(503, (), b"", None)
# The long-poll wait and interval of each topic, as the daemon chooses them.
URGENT_TOPICS = {"config": (400, 0), "servers": (0, 600)}
OTHER_TOPICS = {"instances": (1_500, 400)}
NAMES = "abcdefghijklmnopqrstuvwxyzABCD"
OUTAGE_MS = 20_000
MAX_QUERIES_PER_S = 20  # Of each instance.


class FakeProcess:
    """Runs the callbacks of an instance; one that is suspended runs them later."""

    def __init__(self) -> None:
        self.is_killed = False
        self._waiting: list[Callable[[], None]] | None = None

    @property
    def is_running(self) -> bool:
        return not self.is_killed and self._waiting is None

    def run(self, callback: Callable[[], None]) -> None:
        if self._waiting is not None:
            self._waiting.append(callback)
        elif not self.is_killed:
            callback()

    def suspend(self) -> None:
        self._waiting = []

    def resume(self) -> None:
        waiting, self._waiting = self._waiting or [], None
        for callback in waiting:
            self.run(callback)


class ProcessTimers:
    """The timers of a process."""

    def __init__(self, timers: FakeTimers, process: FakeProcess) -> None:
        self._timers, self._process = timers, process

    def at(self, at_ms: int, callback: Callable[[], None]) -> FakeTimer:
        def run() -> None:
            if not timer.is_cancelled:
                callback()

        timer = self._timers.at(at_ms, lambda: self._process.run(run))
        return timer

    def after(self, delay_ms: int, callback: Callable[[], None]) -> FakeTimer:
        def run() -> None:
            if not timer.is_cancelled:
                callback()

        timer = self._timers.after(delay_ms, lambda: self._process.run(run))
        return timer


class Network(FakeNetwork):
    """A network with a latency, and the processes that it connects."""

    def __init__(self, names: str) -> None:
        super().__init__(names)
        self.processes = {name: FakeProcess() for name in names}

    def deliver(self, sender: str, receiver: str, message) -> None:
        handler = self.links[receiver].receivers.get(type(message))
        if handler is not None:
            process = self.processes[receiver]
            self.timers.after(LATENCY_MS, lambda: process.run(lambda: handler(sender, message)))

    def kill(self, name: str) -> None:
        """Kill a process; the others lose their connections to it."""
        self.processes[name].is_killed = True
        self.unreachable.add(name)
        for other, link in self.links.items():
            for callback in link.on_peer_lost:
                self.processes[other].run(lambda callback=callback: callback(name))


class Access(StrEnum):
    """How the store treats the calls of an instance."""

    SERVED = "served"
    REFUSED = "refused"  # With 503.
    IGNORED = "ignored"  # Without an answer.


# Calls of all instances in an outage of the store.
MAX_OUTAGE_CALLS = {Access.REFUSED: 1_063, Access.IGNORED: 649}


@dataclass
class PendingCall:
    """A call to the store that has not ended."""

    instance: str
    topic: str
    read: ReadNewest | ReadChanges
    end: Callable[[CallResult], None]


class FakeStore:
    """The store's topics, a codec whose bodies are objects, and the access of each instance."""

    def __init__(self, network: Network) -> None:
        self._clock, self._timers = network.clock, network.timers
        self.topics = {topic: Store() for topic in (*URGENT_TOPICS, *OTHER_TOPICS)}
        self.access = dict.fromkeys(network.links, Access.SERVED)
        self.calls: Counter[str] = Counter()  # By instance.
        self.eraless: set[str] = set()  # Instances that do not read the era.
        self._numbers = itertools.count()
        self._reads: dict[str, tuple[str, ReadNewest | ReadChanges]] = {}
        self._held: list[PendingCall] = []

    def put(self, topic: str) -> None:
        self.topics[topic].now_ms = self._clock.now_ms()
        self.topics[topic].put("k")
        for call in [call for call in self._held if call.topic == topic]:
            self._answer(call)

    def read(self, topic: str, call: ReadNewest | ReadChanges) -> StoreCall:
        path = f"/{next(self._numbers)}"
        self._reads[path] = (topic, call)
        return StoreCall("GET", path)

    def decode(
        self, call: ReadNewest | ReadChanges, status: int, headers, body
    ) -> NewestPage | ChangesPage | OffsetExpired:
        if status != 200:
            raise TopicFormatError(f"status {status}")
        return body

    def receive(
        self, instance: str, path: str, timeout_ms: int, callback: Callable[[CallResult], None]
    ) -> None:
        """Handle a call of an instance."""
        self.calls[instance] += 1
        topic, read = self._reads.pop(path)

        def end(result: CallResult) -> None:
            timeout.cancel()
            callback(result)

        timeout = self._timers.after(timeout_ms, lambda: callback(TIMED_OUT))
        call = PendingCall(instance, topic, read, end)
        self._timers.after(LATENCY_MS, lambda: self._hold(call))

    def _hold(self, call: PendingCall) -> None:
        wait_ms = 0
        if isinstance(call.read, ReadChanges) and self.access[call.instance] is Access.SERVED:
            is_new = call.read.offset != len(self.topics[call.topic].records)
            wait_ms = 0 if is_new else call.read.wait_ms
        self._held.append(call)
        self._timers.after(wait_ms, lambda: self._answer(call))

    def _answer(self, call: PendingCall) -> None:
        if call not in self._held:
            return
        self._held.remove(call)
        match self.access[call.instance]:
            case Access.SERVED:
                page = self.topics[call.topic].answer(call.read, MAX_ANSWER_RECORDS)
                if call.instance in self.eraless:
                    page = replace(page, era=0)
                result = CallResult(200, (), page, None)
            case Access.REFUSED:
                result = UNAVAILABLE
            case Access.IGNORED:
                return
        self._timers.after(LATENCY_MS, lambda: call.end(result))


class FakeCalls:
    """The client of an instance for its calls to the store."""

    def __init__(self, instance: str, process: FakeProcess, store: FakeStore) -> None:
        self._instance, self._process, self._store = instance, process, store

    def send(
        self,
        method: str,
        url: str,
        body: bytes,
        timeout_ms: int,
        callback: Callable[[CallResult], None],
        max_body_bytes: int = 0,
        may_reuse_connection: bool = False,
    ) -> str:
        run = self._process.run
        self._store.receive(
            self._instance, url, timeout_ms, lambda result: run(lambda: callback(result))
        )
        return url


class Instance:
    """The relay and the followers of an instance, and the number of the last applied record."""

    def __init__(self, name: str, network: Network, store: FakeStore) -> None:
        self.process = network.processes[name]
        timers = ProcessTimers(network.timers, self.process)
        self.relay = TopicRelay(
            network.ranking(name), network.links[name], network.clock, timers, IN_FORCE_MS
        )
        self.applied: dict[str, int] = {}
        self.followers = {}
        for topic, (wait_ms, interval_ms) in (URGENT_TOPICS | OTHER_TOPICS).items():
            self.followers[topic] = TopicFollower(
                topic,
                "",
                store,
                wait_ms,
                interval_ms,
                lambda update, topic=topic: self._apply(topic, update),
                network.clock,
                timers,
                self.relay,
                is_urgent=topic in URGENT_TOPICS,
            )
            self.followers[topic]._calls = FakeCalls(name, self.process, store)
        self.running_since_ms = self.served_since_ms = network.clock.now_ms()

    def _apply(self, topic: str, update: TopicUpdate) -> None:
        if (value := update.values.get("k")) is not None:
            self.applied[topic] = int(value)


class Fleet:
    """Instances and the store, in virtual time."""

    def __init__(self, names: str, version_gap_ms: int = VERSION_GAP_MS) -> None:
        self._version_gap_ms = version_gap_ms
        self.network = Network(names)
        self.clock, self.timers = self.network.clock, self.network.timers
        self.clock.advance(START_MS)
        self.store = FakeStore(self.network)
        self.instances = {name: Instance(name, self.network, self.store) for name in names}
        self._cut_until_ms = dict.fromkeys(names, 0)
        self.failed_ms = 0  # Time at which the last instance was killed or suspended.
        self._put()
        for instance in self.instances.values():
            instance.relay.start_reading()

    def _put(self) -> None:
        self.put_versions(1)
        self.timers.after(self._version_gap_ms, self._put)

    def put_versions(self, count: int) -> None:
        """Write a number of records to each topic."""
        for _ in range(count):
            for topic in self.store.topics:
                self.store.put(topic)

    def restore(self, away_ms: int, lost: int, written: int) -> None:
        """Take the store away, and restore it without its last records before some are written again."""

        def go_back() -> None:
            for topic in self.store.topics.values():
                topic.now_ms = self.clock.now_ms()
                topic.restore(lost)
            self.put_versions(written)

        self.timers.after(away_ms, go_back)
        for name in self.instances:
            self.cut(name, Access.REFUSED, away_ms)

    def cut(self, name: str, access: Access, duration_ms: int) -> None:
        """Let the store turn away an instance for a time."""
        end_ms = self.clock.now_ms() + duration_ms
        self._cut_until_ms[name] = max(end_ms, self._cut_until_ms[name])
        self.store.access[name] = access

        def serve() -> None:
            if self._cut_until_ms[name] <= self.clock.now_ms():
                self.store.access[name] = Access.SERVED
                self.instances[name].served_since_ms = self.clock.now_ms()

        self.timers.after(duration_ms, serve)

    def kill(self, name: str) -> None:
        """Kill an instance."""
        self.failed_ms = self.clock.now_ms()
        self.network.kill(name)

    def suspend(self, name: str, duration_ms: int) -> None:
        """Suspend the process of an instance for a time."""
        instance = self.instances[name]
        if not instance.process.is_running:
            return
        self.failed_ms = self.clock.now_ms()
        instance.process.suspend()

        def resume() -> None:
            instance.running_since_ms = self.clock.now_ms()
            instance.process.resume()

        self.timers.after(duration_ms, resume)

    def advance(self, duration_ms: int, check: Callable[[], None]) -> None:
        """Let time pass, and check the instances at intervals."""
        end_ms = self.clock.now_ms() + duration_ms
        while (left_ms := end_ms - self.clock.now_ms()) > 0:
            self.timers.advance(min(left_ms, CHECK_INTERVAL_MS))
            check()

    def running_for(self, duration_ms: int) -> dict[str, Instance]:
        """Return the instances that have been running for a time."""
        since_ms = self.clock.now_ms() - duration_ms
        return {
            name: instance
            for name, instance in self.instances.items()
            if instance.process.is_running and instance.running_since_ms <= since_ms
        }

    def must_be_recent(self) -> bool:
        """Return whether one instance was served for long enough, and no other has just failed."""
        since_ms = self.clock.now_ms() - IN_FORCE_MS
        is_served = any(
            self.store.access[name] is Access.SERVED and instance.served_since_ms <= since_ms
            for name, instance in self.running_for(IN_FORCE_MS).items()
        )
        return is_served and self.clock.now_ms() - self.failed_ms >= DETECTION_MS

    def find_outdated(self) -> list[str]:
        """Return the topics of instances that have old data, or lack a version that has to be in force."""
        now_ms = self.clock.now_ms()
        found = []
        for topic in URGENT_TOPICS:
            allowed = self.store.topics[topic].numbers_since("k", now_ms - IN_FORCE_MS)
            for name, instance in self.running_for(IN_FORCE_MS).items():
                age_ms = now_ms - (instance.followers[topic].confirmed_ms or 0)
                applied = instance.applied.get(topic, -1)
                if age_ms >= IN_FORCE_MS or applied not in allowed:
                    found.append(f"{name}, {topic}: {age_ms} ms, {applied} of {allowed}")
        return found

    def count_queries(self) -> Counter[str]:
        """Return the number of queries that each instance has sent."""
        return Counter(
            {
                name: sum(isinstance(message, TopicQuery) for _, message in link.sent)
                for name, link in self.network.links.items()
            }
        )


# A fault: the time after the one before, its kind, the index of the instance and its duration.
FAULTS = st.lists(
    st.tuples(
        st.integers(0, 2_000),
        st.sampled_from(["refused", "refused", "ignored", "ignored", "suspended", "killed"]),
        st.integers(0, 5),
        st.integers(200, 6_000),
    ),
    max_size=8,
)


class RecentDataTest(SilentTestCase):
    def assert_recent(self, fleet: Fleet) -> None:
        if fleet.must_be_recent():
            at_ms = fleet.clock.now_ms() - START_MS
            self.assertEqual(fleet.find_outdated(), [], f"after {at_ms} ms")

    @settings(max_examples=100, deadline=None)
    @given(st.integers(2, 6), FAULTS)
    @example(3, [(2_000, "refused", 0, 6_000)])
    @example(3, [(2_000, "ignored", 0, 6_000)])
    @example(4, [(2_000, "refused", 0, 6_000), (0, "refused", 1, 6_000)])
    @example(4, [(2_000, "refused", 0, 6_000), (1_000, "killed", 1, 0)])
    @example(4, [(2_000, "refused", 0, 6_000), (1_000, "suspended", 1, 4_000)])
    @example(
        5,
        [
            (160, "refused", 3, 2_226),
            (329, "refused", 1, 1_682),
            (1_035, "ignored", 0, 200),
            (26, "suspended", 2, 1_236),
        ],
    )
    def test_data_stays_recent(self, size: int, faults: list[tuple[int, str, int, int]]) -> None:
        """Guards against old versions at instances that the store turns away (issue 49)."""
        fleet = Fleet(NAMES[:size])
        fleet.advance(IN_FORCE_MS, lambda: None)
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
        fleet.advance(4 * IN_FORCE_MS, lambda: self.assert_recent(fleet))

    def check_only_the_last_one(self, access: Access) -> None:
        fleet = Fleet(NAMES)
        fleet.advance(IN_FORCE_MS, lambda: None)
        for name in NAMES[:-1]:
            fleet.cut(name, access, OUTAGE_MS)
        fleet.advance(OUTAGE_MS, lambda: self.assert_recent(fleet))

    def test_only_the_last_one_is_served(self) -> None:
        """Guards against data that reaches only the instances that query the one that is served."""
        self.check_only_the_last_one(Access.REFUSED)

    def test_only_the_last_one_is_answered(self) -> None:
        """Guards against instances that wait for answers of the store while another one has the data."""
        self.check_only_the_last_one(Access.IGNORED)

    def test_only_one_reads_while_nothing_fails(self) -> None:
        """Guards against calls to the store that grow with the size of the fleet."""
        fleet = Fleet(NAMES)
        fleet.advance(2 * IN_FORCE_MS, lambda: None)
        fleet.store.calls.clear()
        fleet.advance(OUTAGE_MS, lambda: self.assert_recent(fleet))
        self.assertEqual(set(fleet.store.calls), {NAMES[0]})

    def check_outage(self, access: Access) -> None:
        fleet = Fleet(NAMES)
        fleet.advance(2 * IN_FORCE_MS, lambda: None)
        for name in NAMES:
            fleet.cut(name, access, OUTAGE_MS)
        fleet.store.calls.clear()
        queries = fleet.count_queries()
        fleet.advance(OUTAGE_MS, lambda: None)
        self.assertLessEqual(fleet.store.calls.total(), MAX_OUTAGE_CALLS[access])
        most_queries = max((fleet.count_queries() - queries).values())
        self.assertLessEqual(most_queries, MAX_QUERIES_PER_S * OUTAGE_MS // 1_000)

    def test_calls_while_the_store_serves_nobody(self) -> None:
        """Guards against instances that call the store, or each other, all the time in an outage."""
        self.check_outage(Access.REFUSED)

    def test_calls_while_the_store_answers_nobody(self) -> None:
        """Guards against the same while calls to the store are not answered."""
        self.check_outage(Access.IGNORED)


if __name__ == "__main__":
    unittest.main()
