"""Tests of the instance list reader and the probes, in virtual time with a fake HTTP client."""

import json
import unittest

from ibispaddle_core.gossip import ListSeen, RunnerReport
from ibispaddle_core.membership import ListedState, MembershipView, MemberState
from ibispaddle_daemon.events import CallFailure, HttpCallError, call_completed, peer_received
from ibispaddle_daemon.instance_list import InstanceListReader
from ibispaddle_daemon.probes import Probes, expired_handles

from .support import FakeHttp, VirtualEventLoop, instance, listing, make_settings, runner

REFUSED = (0, b"", HttpCallError(CallFailure.UNREACHABLE, "Connection refused", False))
TIMEOUT = (0, b"", HttpCallError(CallFailure.TIMEOUT, "the deadline passed", True))


def list_body(version, *entries):
    items = [
        {
            "id": entry.id,
            "kind": str(entry.kind),
            "address": entry.address,
            "data_centre": entry.data_centre,
            "state": str(entry.state),
            "models": ["m"],
            "service": None,
            "fenced": False,
        }
        for entry in entries
    ]
    return json.dumps({"version": version, "entries": items}).encode()


class ListTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualEventLoop()
        self.answer = (200, list_body(1, instance("a"), runner("r1"), runner("r2")), None)
        self.http = FakeHttp(lambda call: self.answer).register(self.loop)
        self.view = MembershipView("a")
        self.reader = InstanceListReader(
            make_settings(), self.view, self.loop.clock, self.loop.timers, seed=1
        ).register(self.loop)
        self.loop.start_components()

    def states(self):
        entries = self.loop.events("list_changed")[-1][0]
        return {entry.id: str(entry.state) for entry in entries}

    def test_change_is_reported_within_one_second(self):
        """Guard against new work for an upstream that has been leaving for two seconds."""
        self.assertEqual(self.states(), {"a": "live", "r1": "live", "r2": "live"})
        leaving = runner("r2", state=ListedState.LEAVING)
        self.answer = (200, list_body(2, instance("a"), runner("r1"), leaving), None)
        self.loop.run_for(1_000)
        self.assertEqual(self.states()["r2"], "leaving")
        self.assertEqual(len(self.loop.events("list_changed")), 2)

    def test_failed_polls_change_nothing(self):
        """Guard against an instance that stops working when the list is unavailable."""
        for answer in (REFUSED, TIMEOUT, (503, b"", None), (200, b"<html>", None)):
            self.answer = answer
            self.loop.run_for(2_000)
        self.assertGreater(self.reader.failures, 10)
        self.assertEqual(len(self.loop.events("list_changed")), 1)
        self.assertEqual(self.loop.events("readiness_changed"), [("instance_list", True)])

    def test_empty_and_older_lists_change_nothing(self):
        """Guard against removing members because of an empty or outdated list."""
        self.answer = (200, list_body(3), None)
        self.loop.run_for(5_000)
        self.answer = (200, list_body(2, instance("a"), runner("r1")), None)
        self.loop.run_for(5_000)
        self.assertEqual(self.states(), {"a": "live", "r1": "live", "r2": "live"})

    def test_forgotten_runner_gets_no_new_work(self):
        """Guard against new work for a runner that was removed from the list."""
        self.view.observe("r2", True, self.loop.clock.now_ms())
        self.answer = (200, list_body(2, instance("a"), runner("r1")), None)
        self.loop.run_for(1_000)
        self.assertEqual(self.states()["r2"], "leaving")
        states = {m.entry.id: m.state for m in self.loop.events("members_changed")[-1][0]}
        self.assertEqual(states["r2"], MemberState.FORGOTTEN)

    def test_instances_of_a_data_centre_poll_in_turn(self):
        """Guard against list traffic that grows with the square of the fleet size."""
        names = [instance(f"i{n}") for n in range(1, 10)]
        self.answer = (200, list_body(2, instance("a"), runner("r1"), runner("r2"), *names), None)
        self.loop.run_for(1_000)
        before = len(self.http.calls)
        for now_ms in range(0, 45_000, 1_000):
            for entry in names:
                self.view.observe_heartbeat(entry.id, 1, now_ms, False, self.loop.clock.now_ms())
            self.loop.run_for(1_000)
        self.assertAlmostEqual(len(self.http.calls) - before, 9, delta=1)

    def test_new_version_is_polled_and_announced(self):
        """Guard against learning of a leaving runner only in the instance's own time slot."""
        self.answer = (200, list_body(2, instance("a"), instance("b"), runner("r1")), None)
        self.loop.run_for(1_000)
        self.view.observe_heartbeat("b", 1, 1, False, self.loop.clock.now_ms())
        self.answer = (200, list_body(3, instance("a"), instance("b")), None)
        self.loop.fire(peer_received("b", ListSeen(3)), "*")
        self.loop.run_for(210)
        self.assertEqual(self.view.version, 3)
        self.assertIn(("b", ListSeen(3)), self.loop.events("peer_send"))
        before = len(self.http.calls)
        self.loop.fire(peer_received("b", ListSeen(3)), "*")
        self.loop.run_for(10)
        self.assertEqual(len(self.http.calls), before)

    def test_unresponsive_list_is_polled_again_only_after_the_timeout(self):
        """Guard against calls that accumulate when the list is slow."""
        self.answer = None
        self.loop.run_for(3_000)
        self.assertLessEqual(len(self.http.calls), 3)


class ProbeTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualEventLoop()
        self.seq = 0
        self.mode = {"r1": "ok", "r2": "ok"}
        self.handles = {}
        self.http = FakeHttp(self.answer).register(self.loop)
        self.view = MembershipView("a")
        self.view.apply_list(
            listing(
                1,
                instance("a"),
                runner("r1", address="127.0.0.1:71"),
                runner("r2", address="127.0.0.1:72"),
            ),
            0,
        )
        self.probes = Probes(
            make_settings(), self.view, self.loop.clock, self.loop.timers, seed=1
        ).register(self.loop)
        self.loop.start_components()

    def answer(self, call):
        name = "r1" if ":71/" in call.url else "r2"
        mode = self.mode[name]
        if mode == "refused":
            return REFUSED
        if mode == "frozen":
            delay_ms = call.deadline_ms - self.loop.clock.now_ms()
            self.loop.timers.after(delay_ms, lambda: self.expire(call))
            return None
        if call.url.endswith("/kv"):
            return (200, json.dumps({"boot_id": "x", "handles": self.handles}).encode(), None)
        if call.method == "DELETE":
            self.handles.pop(call.url.rpartition("/")[2], None)
            return (200, b"{}", None)
        if mode == "garbage":
            return (200, b'{"boot_id": 1}', None)
        self.seq += 1
        state = "leaving" if mode == "leaving" else "live"
        body = {"boot_id": "x", "seq": self.seq, "running": 3, "state": state, "models": ["m"]}
        return (200, json.dumps(body).encode(), None)

    def expire(self, call):
        status, body, error = TIMEOUT
        self.loop.fire(call_completed(call.call_id, status, (), body, error), call.channel)

    def state(self, name):
        return self.view.state(name, self.loop.clock.now_ms())

    def time_to_failure(self, mode):
        self.loop.run_for(2_000)
        self.mode["r1"] = mode
        started_ms = self.loop.clock.now_ms()
        while not self.loop.events("runner_failed"):
            self.loop.run_for(10)
            self.assertLess(self.loop.clock.now_ms() - started_ms, 5_000)
        self.assertEqual(self.loop.events("runner_failed"), [("r1",)])
        self.assertEqual(self.state("r1"), MemberState.DOWN)
        self.assertEqual(self.state("r2"), MemberState.LIVE)
        return self.loop.clock.now_ms() - started_ms

    def test_refused_connection_marks_a_runner_down_within_one_interval(self):
        """Guard against new work for a crashed runner."""
        self.assertLessEqual(self.time_to_failure("refused"), 600)

    def test_frozen_runner_is_down_within_two_seconds(self):
        """Guard against new work for a runner that accepts connections but does not answer."""
        self.assertLessEqual(self.time_to_failure("frozen"), 2_000)

    def test_malformed_reports_mark_a_runner_down(self):
        """Guard against using a runner whose load is unknown."""
        self.assertLessEqual(self.time_to_failure("garbage"), 600)

    def test_restarted_runner_is_used_again(self):
        """Guard against a runner that is not used after its restart."""
        self.time_to_failure("refused")
        before = len(self.loop.events("load_reported"))
        self.mode["r1"] = "ok"
        self.loop.run_for(600)
        self.assertEqual(self.state("r1"), MemberState.LIVE)
        loads = [args[0] for args in self.loop.events("load_reported")[before:]]
        self.assertIn("r1", [load.upstream_id for load in loads])
        puts = [args[0] for args in self.loop.events("gossip_put")]
        self.assertIn(RunnerReport("r1", False), puts)

    def test_one_failed_probe_does_not_mark_a_runner_down(self):
        """Guard against a runner that is not used because of a single lost response."""
        self.loop.run_for(2_000)
        self.mode["r1"] = "frozen"
        self.loop.run_for(520)
        self.mode["r1"] = "ok"
        self.loop.run_for(2_000)
        self.assertEqual(self.loop.events("runner_failed"), [])

    def test_leaving_runner_is_detected_by_its_report(self):
        """Guard against new work for a leaving runner that is still live in the list."""
        self.mode["r1"] = "leaving"
        self.loop.run_for(1_000)
        self.assertEqual(self.state("r1"), MemberState.LEAVING)

    def test_expired_handles_are_deleted(self):
        """Guard against engine memory that is never freed after an instance died."""
        now_ms = self.loop.clock.wall_ms()
        kept = {f"ir-b-1-r-1.0-{now_ms + 60_000}": 10, "other-1": 5}
        self.handles = {f"ir-b-1-r-0.0-{now_ms - 1}": 10} | kept
        self.loop.run_for(6_000)
        self.assertEqual(self.handles, kept)

    def test_only_assigned_runners_are_probed(self):
        """Guard against a number of probes per instance that grows with the fleet."""
        names = [instance(f"i{n}") for n in range(8)]
        runners = [runner(f"s{n}", address=f"127.0.0.1:{100 + n}") for n in range(40)]
        view = MembershipView("i0")
        view.apply_list(listing(1, *names, *runners), 0)
        loop = VirtualEventLoop()
        FakeHttp(lambda call: TIMEOUT).register(loop)
        probes = Probes(make_settings("i0"), view, loop.clock, loop.timers, seed=1).register(loop)
        loop.start_components()
        self.assertLess(len(probes.runner_ids), 20)
        self.assertEqual(
            set(probes.runner_ids), {entry.id for entry, _ in view.probe_assignments(0)}
        )


class HandleTest(unittest.TestCase):
    def test_malformed_responses_have_no_handles(self):
        """Guard against a malformed response of a runner that stops the probes."""
        for body in (b"", b"[1, null, {}]", b'"x"', b'{"handles": 3}', b"\xff"):
            self.assertEqual(expired_handles(body, 10), [])


if __name__ == "__main__":
    unittest.main()
