"""Tests of the usage, share and quarantine components, in virtual time with fake peers and log."""

import unittest

from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.gossip import Consumption, Entry, MemoryClaims, WaitingLargePrompts
from ibispaddle_core.membership import MembershipView
from ibispaddle_core.quarantine import Death, Notice, NoticeReceived, Suspicion
from ibispaddle_core.scheduling import (
    PeerConsumption,
    PeerMemoryClaims,
    PeerWaitingPrompts,
    WaitingPrompt,
)
from ibispaddle_core.usage import Counts, UsageAck, UsageSync, UsageTotals
from ibispaddle_daemon.events import drain_completed, log_records, peer_received, usage_counted
from ibispaddle_daemon.instance_list import members_changed
from ibispaddle_daemon.peers import gossip_received, peer_connected
from ibispaddle_daemon.quarantine import (
    QuarantineManager,
    quarantine_lifted,
    suspect_completed,
    upstream_died,
)
from ibispaddle_daemon.shares import SchedulerStateSync
from ibispaddle_daemon.usage import UsageRecorder

from .support import FakeLog, VirtualEventLoop, instance, listing, make_settings


class ComponentTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualEventLoop()
        self.log = FakeLog().register(self.loop)
        self.view = MembershipView("a")
        self.view.apply_list(
            listing(1, instance("a"), instance("b"), instance("c"), instance("d", "v.2")), 0
        )

    def observe_heartbeats(self, *names, boot=1):
        now_ms = self.loop.clock.now_ms()
        for name in names:
            self.view.observe_heartbeat(name, boot, now_ms + 1, False, now_ms)

    def sent(self, kind):
        return [args for args in self.loop.events("peer_send") if isinstance(args[1], kind)]

    def receive(self, peer_id, message):
        self.loop.fire(peer_received(peer_id, message), "*")
        self.loop.process_events()


class UsageTest(ComponentTest):
    def setUp(self):
        super().setUp()
        self.usage = UsageRecorder(
            make_settings(), self.view, 5, self.loop.clock, self.loop.timers
        ).register(self.loop)
        self.loop.start_components()

    def count(self, tokens=10):
        self.loop.fire(usage_counted("w", "n", tokens, 1, 2.0), "*")
        self.loop.process_events()

    def total(self):
        totals = UsageTotals()
        for _, data in self.log.records:
            totals.fold(data)
        return totals.total("w")

    def test_counters_are_sent_to_two_replicas_within_a_round(self):
        """Guard against losing usage when an instance or its data centre fails."""
        self.count()
        self.loop.run_for(500)
        messages = self.sent(UsageSync)
        self.assertEqual([peer for peer, _ in messages], ["b", "d"])
        self.assertEqual(messages[0][1].counters, (("w", Counts(1, 10, 1, 2)),))
        for peer, sync in messages:
            self.receive(peer, UsageAck("a-5", sync.upto))
        self.loop.run_for(1_000)
        self.assertEqual(len(self.sent(UsageSync)), 2)

    def test_lost_responses_and_outages_do_not_change_the_total(self):
        """Guard against usage that is lost or counted twice when the log is unavailable."""
        for mode in ("ok", "fail", "lose", "fail", "lose", "ok"):
            self.log.mode = mode
            self.count()
            self.loop.run_for(2_500)
        self.assertEqual(self.total().prompt_tokens, 60)

    def test_counters_of_a_dead_instance_are_appended(self):
        """Guard against losing the usage of a killed instance."""
        sync = UsageSync("b-7", 0, 1, (("w", Counts(1, 70, 0, 0)),))
        self.observe_heartbeats("b", boot=7)
        self.receive("b", sync)
        self.assertEqual(self.sent(UsageAck), [("b", UsageAck("b-7", 1))])
        for _ in range(8):
            self.loop.run_for(1_000)
        self.assertEqual(self.log.records, [])
        self.loop.run_for(5_000)
        self.assertEqual(self.total().prompt_tokens, 70)

    def test_counters_of_an_earlier_boot_are_appended(self):
        """Guard against losing usage when an instance restarts before it counts as down."""
        self.receive("b", UsageSync("b-7", 0, 1, (("w", Counts(1, 70, 0, 0)),)))
        self.observe_heartbeats("b", boot=8)
        self.loop.run_for(2_500)
        self.assertEqual(self.total().prompt_tokens, 70)

    def test_drain_waits_for_the_log(self):
        """Guard against losing usage at a graceful shutdown."""
        self.log.mode = "fail"
        self.count()
        self.loop.fire(drain_completed("requests"), "*")
        self.loop.run_for(1_000)
        self.assertNotIn(("usage",), self.loop.events("drain_completed"))
        self.log.mode = "ok"
        self.loop.run_for(500)
        self.assertEqual(self.total().prompt_tokens, 10)
        self.assertEqual(self.loop.events("drain_completed").count(("usage",)), 1)


class FakeScheduler:
    def __init__(self):
        self.consumption_values, self.claim_values, self.waiting = {}, {}, ()

    def consumption(self):
        return self.consumption_values

    def memory_claims(self):
        return self.claim_values

    def waiting_prompts(self):
        return self.waiting


class SharesTest(ComponentTest):
    def setUp(self):
        super().setUp()
        self.scheduler, self.events = FakeScheduler(), []
        self.shares = SchedulerStateSync(
            make_settings(),
            self.scheduler,
            self.events.append,
            5,
            self.loop.clock,
            self.loop.timers,
        ).register(self.loop)
        self.loop.start_components()

    def puts(self):
        return [args[0] for args in self.loop.events("gossip_put")]

    def receive_entries(self, *entries):
        self.loop.fire(gossip_received(entries), "*")
        self.loop.process_events()

    def test_changes_are_sent_once_and_refreshed(self):
        """Guard against shares that are not sent to other instances, or sent too often."""
        self.scheduler.consumption_values = {"n": 7.4}
        self.scheduler.claim_values = {"r1": 10}
        self.loop.run_for(5_000)
        claims = MemoryClaims(5, (("r1", 10),))
        self.assertEqual(self.puts(), [Consumption("n", 5, 7), claims])
        self.scheduler.claim_values = {}
        self.loop.run_for(16_000)
        self.assertEqual(self.puts()[2:], [MemoryClaims(5, ()), Consumption("n", 5, 7)])

    def test_values_of_other_instances_reach_the_scheduler(self):
        """Guard against serving a neighbour more than its share, ignoring other instances."""
        self.receive_entries(
            Entry("b", 9, 1, Consumption("n", 7, 100)),
            Entry("b", 9, 2, Consumption("o", 7, 50)),
            Entry("b", 9, 3, MemoryClaims(7, (("r1", 10),))),
        )
        self.assertEqual(
            self.events,
            [PeerMemoryClaims("b-7", {"r1": 10}), PeerConsumption("b-7", {"n": 100.0, "o": 50.0})],
        )

    def test_waiting_prompts_are_repeated_and_withdrawn(self):
        """Guard against an entry that expires while its prompt waits, or remains afterwards."""
        self.scheduler.waiting = (WaitingPrompt(70, "q1", ("r1", "r2")),)
        self.loop.run_for(4_800)
        self.scheduler.waiting = ()
        self.loop.run_for(4_000)
        prompts = [entry.prompts for entry in self.puts()]
        self.assertEqual(prompts, 3 * [((70, "q1", ("r1", "r2")),)] + [()])

    def test_waiting_prompts_of_other_instances_reach_the_scheduler(self):
        """Guard against a newer prompt that starts first because the entry was not passed on."""
        self.receive_entries(Entry("b", 9, 1, WaitingLargePrompts(80, ((70, "q1", ("r1", "r2")),))))
        self.assertEqual(
            self.events, [PeerWaitingPrompts("b", 80, (WaitingPrompt(70, "q1", ("r1", "r2")),))]
        )

    def test_claims_of_a_dead_instance_are_removed(self):
        """Guard against memory claims that remain after their instance has died."""
        self.receive_entries(Entry("b", 9, 3, MemoryClaims(7, (("r1", 10),))))
        self.loop.fire(members_changed(self.view.members(0)), "*")
        self.loop.process_events()
        self.assertEqual(len(self.events), 1)
        self.loop.fire(members_changed(self.view.members(11_000)), "*")
        self.loop.process_events()
        self.assertEqual(self.events[1:], [PeerMemoryClaims("b-7", {})])

    def test_claims_of_an_earlier_boot_are_removed(self):
        """Guard against memory claims that remain after their process was restarted."""
        self.receive_entries(Entry("b", 9, 3, MemoryClaims(7, (("r1", 10),))))
        self.receive_entries(Entry("b", 10, 1, MemoryClaims(10, ())))
        self.assertEqual(
            self.events[1:], [PeerMemoryClaims("b-7", {}), PeerMemoryClaims("b-10", {})]
        )


class QuarantineTest(ComponentTest):
    def setUp(self):
        super().setUp()
        self.quarantine = QuarantineManager(
            make_settings(), self.view, self.loop.clock, self.loop.timers
        ).register(self.loop)
        self.loop.start_components()

    def report_crash(self, upstream, *fingerprints, token=1):
        self.loop.fire(
            upstream_died(upstream, "x", dict.fromkeys(fingerprints, ()), token, "entry"), "*"
        )
        self.loop.process_events()

    def shared_tokens(self):
        return [args[0] for args in self.loop.events("suspicions_shared")]

    def test_suspicions_are_shared_after_all_acknowledgements(self):
        """Guard against a caller's retry that arrives at an instance before the suspicion."""
        self.report_crash("r1", "f")
        notices = self.sent(Notice)
        self.assertEqual([peer for peer, _ in notices], ["b", "c", "d"])
        for peer, notice in notices:
            self.assertEqual(self.shared_tokens(), [])
            self.receive(peer, NoticeReceived(notice.notice_id))
        self.assertEqual(self.shared_tokens(), [1])

    def test_silent_peer_delays_the_response_by_at_most_one_second(self):
        """Guard against a caller that waits for a paused instance."""
        self.report_crash("r1", "f")
        _, notice = self.sent(Notice)[0]
        self.receive("b", NoticeReceived(notice.notice_id))
        self.loop.run_for(990)
        self.assertEqual(self.shared_tokens(), [])
        self.loop.run_for(20)
        self.assertEqual(self.shared_tokens(), [1])
        resent = [peer for peer, _ in self.sent(Notice)[3:]]
        self.assertEqual(set(resent), {"c", "d"})

    def test_crash_without_requests_is_answered_immediately(self):
        """Guard against a delay when there are no suspicions."""
        self.report_crash("r1")
        self.assertEqual((self.shared_tokens(), self.sent(Notice)), ([1], []))

    def test_second_crash_is_logged_after_an_outage(self):
        """Guard against a quarantine that is lost with the instance that created it."""
        notice = Notice(4, (Suspicion("f", Death("r1", "y"), self.loop.clock.wall_ms()),))
        self.receive("b", notice)
        self.assertEqual(self.sent(NoticeReceived), [("b", NoticeReceived(4))])
        self.log.mode = "fail"
        self.report_crash("r2", "f")
        self.assertTrue(self.quarantine.registry.is_quarantined("f", self.loop.clock.wall_ms()))
        self.log.mode = "ok"
        self.loop.run_for(1_500)
        ((stream, data),) = self.log.records
        self.assertEqual(
            (stream, data["op"], data["fingerprint"]), ("quarantine", "quarantine", "f")
        )

    def test_completed_suspect_is_cleared_on_all_instances(self):
        """Guard against a harmless request that other instances still suspect."""
        self.report_crash("r1", "f")
        self.loop.fire(suspect_completed("f"), "*")
        self.loop.process_events()
        notices = [notice for _, notice in self.sent(Notice) if notice.clearances]
        self.assertEqual(notices[0].clearances[0].deaths, (Death("r1", "x"),))
        self.assertFalse(self.quarantine.registry.is_suspect("f"))

    def test_lift_takes_effect_through_the_log(self):
        """Guard against a lifted quarantine that only one instance knows of."""
        self.report_crash("r1", "f")
        self.report_crash("r2", "f")
        self.loop.fire(quarantine_lifted("f", "operator"), "*")
        self.loop.process_events()
        records = [LogRecord(n, 0, data) for n, (_, data) in enumerate(self.log.records)]
        bad = LogRecord(9, 0, {"op": "?"})
        self.loop.fire(log_records("quarantine", [*records, bad], 0, 10), "quarantine")
        self.loop.process_events()
        self.assertFalse(self.quarantine.registry.is_quarantined("f", self.loop.clock.wall_ms()))

    def test_new_instance_receives_the_suspicions(self):
        """Guard against a restarted instance that lets a suspect crash another upstream."""
        self.report_crash("r1", "f")
        before = len(self.sent(Notice))
        self.loop.fire(peer_connected("c"), "*")
        self.loop.process_events()
        ((peer, notice),) = self.sent(Notice)[before:]
        self.assertEqual((peer, notice.suspicions[0].fingerprint), ("c", "f"))


if __name__ == "__main__":
    unittest.main()
