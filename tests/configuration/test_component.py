"""Tests of the daemon's configuration component with fake timers, view and events."""

import unittest

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.clock import ManualClock
from ibispaddle_core.configuration import Applied, Change, ConfigState, LogRecord, Undetermined
from ibispaddle_core.gossip import Heartbeat, StateReply, StateRequest
from ibispaddle_core.settings import FleetConfig, InstanceSettings
from ibispaddle_daemon.configuration import Configuration
from ibispaddle_daemon.events import (
    list_changed,
    log_appended,
    log_health,
    log_records,
    log_reread,
    process_paused,
)
from ibispaddle_daemon.platform_log import LogError, LogFailure

RETENTION_MS = 400_000


class FakeTimers:
    def __init__(self, clock):
        self.clock = clock
        self.due = []

    def at(self, time_ms, callback):
        self.due.append((time_ms, callback))

    def after(self, delay_ms, callback):
        self.at(self.clock.now_ms() + delay_ms, callback)

    def run(self):
        now_ms = self.clock.now_ms()
        ready = [item for item in self.due if item[0] <= now_ms]
        self.due = [item for item in self.due if item[0] > now_ms]
        for _, callback in ready:
            callback()


class FakeView:
    """List the instances `entry.1` (the one under test), `entry.2` and `entry.3`."""

    names = ("entry.1", "entry.2", "entry.3")

    def ranked_instances(self, now_ms):
        return self.names

    def members(self, now_ms, kind):
        class Entry:
            def __init__(self, name):
                self.id = name

        class Member:
            def __init__(self, name):
                self.entry = Entry(name)

        return [Member(name) for name in self.names]


class EventRecorder(BaseComponent):
    """Record the events that the component fires."""

    def __init__(self):
        super().__init__()
        self.appended = []
        self.sent = []
        self.in_force = []
        self.ready = []
        self.reread = []
        self.positions = []

    @handler("config_position", channel="*")
    def _on_config_position(self, offset, revision):
        self.positions.append((offset, revision))

    @handler("source_reread", channel="*")
    def _on_source_reread(self, source, number):
        self.reread.append(number)

    @handler("log_append", channel="*")
    def _on_log_append(self, stream, data, token, channel):
        self.appended.append((token, data))

    @handler("peer_send", channel="*")
    def _on_peer_send(self, instance_id, message):
        self.sent.append((instance_id, message))

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config, revision):
        self.in_force.append((revision, config))

    @handler("readiness_changed", channel="*")
    def _on_readiness_changed(self, component, ready):
        self.ready.append(ready)


def change(change_id, expected, weight=1.0):
    document = {"neighbours": {"n": {"weight": weight}}}
    return Change(change_id, expected, "base", document, "ann")


def state(revision, weight):
    return ConfigState(revision, revision, {"base": {"neighbours": {"n": {"weight": weight}}}})


class ComponentTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.timers = FakeTimers(self.clock)
        self.recorder = EventRecorder()
        settings = InstanceSettings(
            instance_id="entry.1",
            data_centre="dc",
            log_url="http://127.0.0.1:1",
            list_url="http://127.0.0.1:1",
            log_retention_ms=RETENTION_MS,
            claim_window_ms=1_000,
        )
        self.file_config = FleetConfig()
        self.component = Configuration(
            settings, self.file_config, FakeView(), self.clock, self.timers, seed=1
        ).register(self.recorder)
        self.component._on_started()
        self.component._on_list_changed(())
        self.flush()

    def flush(self):
        while len(self.recorder):
            self.recorder.flush()

    def wait(self, delta_ms):
        """Advance the clock in steps that are shorter than all delays of the component."""
        for _ in range(delta_ms // 50):
            self.clock.advance(50)
            self.timers.run()
            self.flush()

    def page(self, *data, start=0, first=0):
        times = self.clock.wall_ms()
        records = [LogRecord(start + n, times, d) for n, d in enumerate(data)]
        self.component._on_log_health(True)
        self.component._on_log_records("config", records, first, start + len(data))
        self.flush()

    def answer(self, peer, found):
        requests = [m for name, m in self.recorder.sent if name == peer]
        body = msgspec.json.encode(found.to_record()) if found else b""
        reply = StateReply("configuration", requests[-1].request_id, body)
        self.component._on_peer_received(peer, reply)
        self.flush()

    def revisions(self):
        return [revision for revision, _ in self.recorder.in_force]


class StartTest(ComponentTest):
    def test_files_are_used_only_with_an_empty_log(self):
        """Guard against a base file that replaces an accepted configuration."""
        self.assertEqual(self.recorder.in_force, [])
        self.page()
        self.assertEqual(self.recorder.in_force, [(-1, self.file_config)])
        self.assertEqual(self.recorder.ready, [False, True])

    def test_log_without_retained_records_is_not_an_empty_log(self):
        """Guard against use of the base file after the log has dropped every record."""
        self.page(start=5, first=5)
        self.assertEqual(self.recorder.in_force, [])

    def test_no_revision_is_published_before_the_end_of_the_log(self):
        """Guard against an instance that serves old revisions while it starts."""
        records = [change("a", -1, 1.0).to_record(), change("b", 0, 2.0).to_record()]
        log_record = LogRecord(0, 0, records[0])
        self.component._on_log_records("config", [log_record], 0, 2)
        self.flush()
        self.assertEqual(self.revisions(), [])
        self.page(records[1], start=1)
        self.assertEqual(self.revisions(), [1])

    def test_start_from_the_most_recent_peer(self):
        """Guard against a start from the peer that responds first."""
        self.component._on_log_health(False)
        self.wait(1_000)
        self.assertEqual([name for name, _ in self.recorder.sent], ["entry.2", "entry.3"])
        self.answer("entry.2", state(3, 3.0))
        self.assertEqual(self.revisions(), [])
        self.answer("entry.3", state(7, 7.0))
        self.wait(100)
        self.assertEqual(self.revisions(), [7])

    def test_unresponsive_peer_times_out_after_two_seconds(self):
        """Guard against a dead peer that keeps an instance from starting."""
        self.wait(1_000)
        self.answer("entry.2", state(3, 3.0))
        self.wait(1_900)
        self.assertEqual(self.revisions(), [])
        self.wait(200)
        self.assertEqual(self.revisions(), [3])

    def test_revision_in_a_heartbeat_is_the_minimum(self):
        """Guard against a start with a revision that other instances have replaced."""
        self.component._on_peer_received("entry.3", Heartbeat(False, 9, 9))
        self.wait(1_000)
        self.answer("entry.2", state(3, 3.0))
        self.wait(2_500)
        self.assertEqual(self.revisions(), [])

    def test_no_state_is_returned_before_the_instance_has_started(self):
        """Guard against a state from an instance that is still reading the log."""
        self.component._on_peer_received("entry.2", StateRequest("configuration", 4))
        self.flush()
        self.assertEqual(self.recorder.sent[-1][1].body, b"")


class RunTest(ComponentTest):
    def setUp(self):
        super().setUp()
        self.page(change("a", -1, 1.0).to_record())

    def test_higher_offset_is_fetched_from_a_peer_unless_the_log_delivers_it(self):
        """Guard against an instance that cannot read the log, and against needless transfers."""
        self.component._on_peer_received("entry.2", Heartbeat(False, 1, 1))
        self.page(change("b", 0, 2.0).to_record(), start=1)
        self.wait(400)
        self.assertEqual(self.recorder.sent, [])
        self.component._on_peer_received("entry.2", Heartbeat(False, 2, 2))
        self.wait(400)
        self.answer("entry.2", state(2, 5.0))
        self.assertEqual(self.revisions(), [0, 1, 2])

    def test_unusable_configuration_leaves_the_last_one_in_force(self):
        """Guard against an instance that stops because a different version accepted a change."""
        bad = Change("b", 0, "base", {"modles": {}}, "ann").to_record()
        self.page(bad, start=1)
        self.assertEqual(self.revisions(), [0])
        self.page(change("c", 1, 3.0).to_record(), start=2)
        self.assertEqual(self.revisions(), [0, 2])

    def test_unusable_configuration_is_not_reported_as_in_force(self):
        """Guard against an operator who is told that a revoked key no longer works (review/4)."""
        bad = Change("b", 0, "base", {"modles": {}}, "ann").to_record()
        self.page(bad, start=1)
        self.assertEqual(self.recorder.positions[-1], (1, 0))
        self.page(change("c", 1, 3.0).to_record(), start=2)
        self.assertEqual(self.recorder.positions[-1], (2, 2))

    def test_change_whose_append_response_is_lost(self):
        """Guard against a response to the operator that contradicts the log."""
        outcomes = []
        self.component.apply(change("b", 0, 2.0), 5_000, outcomes.append)
        self.flush()
        token, data = self.recorder.appended[-1]
        error = LogError(LogFailure.LOST, "closed")
        self.component._on_log_appended(token, None, error)
        self.assertEqual(outcomes, [])
        self.page(data, start=1)
        self.assertEqual(outcomes, [Applied(1)])

    def test_change_that_never_appears_in_the_log(self):
        """Guard against an operator who waits forever or gets a definite result."""
        outcomes = []
        self.component.apply(change("b", 0, 2.0), 5_000, outcomes.append)
        self.component._on_log_appended("b", 1, None)
        self.wait(5_100)
        self.assertEqual(outcomes, [Undetermined("b")])

    def test_lowest_rank_appends_a_snapshot(self):
        """Guard against a log that drops the configuration of a fleet without changes."""
        self.wait(RETENTION_MS // 4 - 1_000)
        self.assertEqual(self.recorder.appended, [])
        self.wait(15_000)
        self.assertEqual(len(self.recorder.appended), 1)
        self.assertEqual(self.recorder.appended[0][1]["snapshot"]["revision"], 0)

    def test_second_rank_leaves_the_snapshot_to_the_first(self):
        """Guard against a snapshot from every instance."""
        self.component._view.names = ("entry.0", "entry.1", "entry.2")
        self.wait(RETENTION_MS // 4 + 4_000)
        self.assertEqual(self.recorder.appended, [])
        self.page(self.component.reader.state.to_record(), start=1)
        self.wait(20_000)
        self.assertEqual(self.recorder.appended, [])

    def test_no_snapshot_during_an_outage(self):
        """Guard against appends that can only fail."""
        self.component._on_log_health(False)
        self.wait(RETENTION_MS // 4 + 15_000)
        self.assertEqual(self.recorder.appended, [])


class PauseTest(ComponentTest):
    """The process was paused and the configuration may have changed meanwhile."""

    def setUp(self):
        super().setUp()
        self.page(change("a", -1, 1.0).to_record())
        self.wait(2_500)
        self.pause()

    def pause(self):
        self.recorder.fire(process_paused(1), "*")
        self.flush()

    def reread_log(self, complete):
        self.component._on_log_health(complete)
        self.recorder.fire(log_reread(complete, 1), "*")
        self.flush()

    def test_end_of_the_log_confirms_the_state(self):
        """Guard against waiting for other instances although the log is available."""
        self.wait(3_000)
        self.assertEqual(self.recorder.reread, [])
        self.reread_log(True)
        self.assertEqual((self.recorder.reread, self.recorder.sent), ([1], []))

    def test_peers_confirm_the_state_while_the_log_is_down(self):
        """Guard against serving the state from before the pause when a peer has a newer one."""
        self.reread_log(False)
        self.answer("entry.2", state(0, 1.0))
        self.wait(1_000)
        self.assertEqual(self.recorder.reread, [])
        self.answer("entry.3", state(4, 4.0))
        self.wait(100)
        self.assertEqual((self.recorder.reread, self.revisions()), ([1], [0, 4]))

    def test_local_state_alone_is_not_a_confirmation(self):
        """Guard against an old configuration without log and peers, and against a missing retry."""
        self.reread_log(False)
        self.wait(2_500)
        self.assertEqual(self.recorder.reread, [])
        self.wait(1_500)
        self.answer("entry.2", state(0, 1.0))
        self.wait(2_500)
        self.assertEqual(self.recorder.reread, [1])

    def test_reply_to_a_request_from_before_the_pause_is_ignored(self):
        """Guard against an old peer state that was buffered in a socket during the pause."""
        self.component._on_peer_received("entry.2", Heartbeat(False, 4, 4))
        self.wait(300)
        old = self.recorder.sent[-1][1].request_id
        self.pause()
        self.reread_log(False)
        body = msgspec.json.encode(state(0, 1.0).to_record())
        self.component._on_peer_received("entry.2", StateReply("configuration", old, body))
        self.wait(2_500)
        self.assertEqual(self.recorder.reread, [])

    def test_gap_in_the_log_is_not_the_end(self):
        """Guard against a pause longer than the retention that leaves an old state in force."""
        self.page(change("z", 8, 9.0).to_record(), start=9, first=9)
        self.reread_log(True)
        self.assertEqual(self.recorder.reread, [])
        self.answer("entry.2", state(8, 8.0))
        self.answer("entry.3", state(8, 8.0))
        self.wait(100)
        self.assertEqual((self.recorder.reread, self.revisions()), ([1], [0, 9]))


class EventTest(ComponentTest):
    def test_events_reach_the_handlers(self):
        """Guard against handlers that are bound to another event or channel."""
        self.recorder.fire(list_changed(()), "*")
        self.recorder.fire(log_health(True), "*")
        self.recorder.fire(log_records("config", [], 0, 0), "configuration")
        self.recorder.fire(log_appended(None, 0, None), "configuration")
        self.flush()
        self.assertTrue(self.component.log_available)
        self.assertEqual(self.revisions(), [-1])


if __name__ == "__main__":
    unittest.main()
