"""Tests of upstream lists with thousands of entries, as in a large fleet."""

import unittest
from unittest import mock

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.membership import Registration
from ibispaddle_core.scheduling import UpstreamsChanged
from ibispaddle_core.topics import ReadChanges, TopicUpdate
from ibispaddle_daemon.store import UpstreamDirectory, upstreams

from tests.fleet.fakes import FakeTimers
from tests.topics.positions import at

from .fakes import ForwarderFixture, streams

UPSTREAMS = 3_000


class LargeListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fixture = ForwarderFixture(streams(), ())
        decode = lambda key, value: Registration(key, "s", "x:1", value.decode())  # noqa: E731
        clock, timers = self.fixture.clock, self.fixture.timers
        self.directory = UpstreamDirectory("t", "http://x", None, decode, clock, timers)
        self.directory.register(self.fixture.root)
        self.fixture.flush()
        self.events: list = []
        handle_event = self.fixture.forwarder.handle_event
        self.fixture.forwarder.handle_event = lambda event: (
            self.events.append(event),
            handle_event(event),
        )
        with mock.patch.object(upstreams, "log_event") as self.log:
            self.apply({f"u{number:04}": b"a" for number in range(UPSTREAMS)}, True)

    def apply(self, values: dict, is_snapshot: bool = False) -> None:
        self.directory._apply(TopicUpdate(values, is_snapshot))
        self.fixture.flush()

    def lists(self) -> list[UpstreamsChanged]:
        return [event for event in self.events if isinstance(event, UpstreamsChanged)]

    def test_one_change_updates_one_upstream(self) -> None:
        """Guards against an update of all upstreams for each change of a single one."""
        self.apply({"u0007": b"a"})
        self.assertEqual(len(self.lists()), 1)
        self.apply({"u0007": b"b"})
        before, after = (event.upstreams for event in self.lists())
        changed = [
            new.upstream_id for old, new in zip(before, after, strict=True) if old is not new
        ]
        self.assertEqual(changed, ["u0007"])
        self.assertEqual(len(self.fixture.forwarder.scheduler.runners.live("s")), UPSTREAMS)

    def test_log_lines_of_a_large_list_are_bounded(self) -> None:
        """Guards against thousands of log lines from each of hundreds of starting instances."""
        self.assertLessEqual(self.log.call_count, upstreams.MAX_LOGGED_UPSTREAMS + 1)


class ColdEntryTest(unittest.TestCase):
    """Entries of an upstream whose cold time counts down, as a hub passes them on."""

    def setUp(self) -> None:
        self.clock = ManualClock()

        def decode(key: str, value: bytes) -> Registration:
            return Registration(key, "s", "x:1", "dc", cold_remaining_ms=int(value))

        timers = FakeTimers(self.clock)
        self.directory = UpstreamDirectory("t", "http://x", None, decode, self.clock, timers)
        self.mirror = self.directory._topic._mirror
        self.position = 0
        self.beat(b"0", is_snapshot=True)

    def beat(self, value: bytes, is_snapshot: bool = False) -> int:
        """Read a heartbeat after 1.2 s, and return the number of changes for the others."""
        self.clock.advance(1_200)
        self.position += 1
        self.mirror.apply(TopicUpdate({"r1": value}, is_snapshot), at(self.position))
        answer = self.mirror.answer(ReadChanges(self.position - 1, 0))
        return 0 if is_snapshot else len(answer.records)

    def test_countdown_is_passed_on_twice(self) -> None:
        """A data centre returns cold: its countdowns must not be passed on with each heartbeat, but an
        instance that starts later must not take the upstreams for cold."""
        self.assertEqual(
            [self.beat(value) for value in (b"3000", b"1800", b"600", b"0", b"0")], [1, 0, 0, 1, 0]
        )

    def test_upstream_that_is_cold_again(self) -> None:
        """Guards against instances that do not learn of an upstream that is cold without a restart."""
        self.assertEqual([self.beat(value) for value in (b"3000", b"2900", b"1700")], [1, 1, 0])


if __name__ == "__main__":
    unittest.main()
