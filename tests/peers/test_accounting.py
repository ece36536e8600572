"""Tests of the usage and quarantine components, in virtual time with fake peers and log."""

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
    QuarantineGuard,
    quarantine_lifted,
    suspect_completed,
    upstream_died,
)
from ibispaddle_daemon.shares import SchedulerStateSync
from ibispaddle_daemon.usage import UsageRecorder

from .support import FakeLog, Loop, instance, listing, make_settings


class Base(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.log = FakeLog().register(self.loop)
        self.view = MembershipView("a")
        self.view.apply_list(
            listing(1, instance("a"), instance("b"), instance("c"), instance("d", "v.2")), 0
        )

    def beat(self, *names, boot=1):
        now_ms = self.loop.clock.now_ms()
        for name in names:
            self.view.observe_heartbeat(name, boot, now_ms + 1, False, now_ms)

    def sent(self, kind):
        return [args for args in self.loop.events("peer_send") if isinstance(args[1], kind)]

    def receive(self, peer_id, message):
        self.loop.fire(peer_received(peer_id, message), "*")
        self.loop.settle()


class UsageTest(Base):
    def setUp(self):
        super().setUp()
        self.usage = UsageRecorder(
            make_settings(), self.view, 5, self.loop.clock, self.loop.timers
        ).register(self.loop)
        self.loop.begin()

    def count(self, tokens=10):
        self.loop.fire(usage_counted("w", "n", tokens, 1, 2.0), "*")
        self.loop.settle()

    def total(self):
        totals = UsageTotals()
        for _, data in self.log.records:
            totals.fold(data)
        return totals.total("w")

    def test_counters_are_copied_within_a_round_to_two_holders(self):
        """Guard against tokens that are lost with their instance or its data centre."""
        self.count()
        self.loop.run_for(500)
        messages = self.sent(UsageSync)
        self.assertEqual([peer for peer, _ in messages], ["b", "d"])
        self.assertEqual(messages[0][1].counters, (("w", Counts(1, 10, 1, 2)),))
        for peer, sync in messages:
            self.receive(peer, UsageAck("a-5", sync.upto))
        self.loop.run_for(1_000)
        self.assertEqual(len(self.sent(UsageSync)), 2)

    def test_lost_answers_and_outages_do_not_change_the_total(self):
        """Guard against usage that is lost or counted twice when the log is down."""
        for mode in ("ok", "fail", "lose", "fail", "lose", "ok"):
            self.log.mode = mode
            self.count()
            self.loop.run_for(2_500)
        self.assertEqual(self.total().prompt_tokens, 60)

    def test_counters_of_a_dead_instance_are_appended(self):
        """Guard against usage that is lost with a killed instance."""
        sync = UsageSync("b-7", 0, 1, (("w", Counts(1, 70, 0, 0)),))
        self.beat("b", boot=7)
        self.receive("b", sync)
        self.assertEqual(self.sent(UsageAck), [("b", UsageAck("b-7", 1))])
        for _ in range(8):
            self.loop.run_for(1_000)
        self.assertEqual(self.log.records, [])
        self.loop.run_for(5_000)
        self.assertEqual(self.total().prompt_tokens, 70)

    def test_counters_of_an_earlier_boot_are_appended(self):
        """Guard against usage that is lost when an instance restarts quickly."""
        self.receive("b", UsageSync("b-7", 0, 1, (("w", Counts(1, 70, 0, 0)),)))
        self.beat("b", boot=8)
        self.loop.run_for(2_500)
        self.assertEqual(self.total().prompt_tokens, 70)

    def test_drain_waits_for_the_log(self):
        """Guard against usage that a planned stop loses."""
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
        self.consumed, self.claimed, self.waiting = {}, {}, ()

    def consumption(self):
        return self.consumed

    def memory_claims(self):
        return self.claimed

    def waiting_prompts(self):
        return self.waiting


class SharesTest(Base):
    def setUp(self):
        super().setUp()
        self.scheduler, self.told = FakeScheduler(), []
        self.shares = SchedulerStateSync(
            make_settings(), self.scheduler, self.told.append, 5, self.loop.clock, self.loop.timers
        ).register(self.loop)
        self.loop.begin()

    def puts(self):
        return [args[0] for args in self.loop.events("gossip_put")]

    def receive_entries(self, *entries):
        self.loop.fire(gossip_received(entries), "*")
        self.loop.settle()

    def test_changes_are_written_once_and_renewed(self):
        """Guard against shares that other instances do not know, or learn at too high a cost."""
        self.scheduler.consumed = {"n": 7.4}
        self.scheduler.claimed = {"r1": 10}
        self.loop.run_for(5_000)
        claims = MemoryClaims(5, (("r1", 10),))
        self.assertEqual(self.puts(), [Consumption("n", 5, 7), claims])
        self.scheduler.claimed = {}
        self.loop.run_for(16_000)
        self.assertEqual(self.puts()[2:], [MemoryClaims(5, ()), Consumption("n", 5, 7)])

    def test_values_of_others_reach_the_scheduler(self):
        """Guard against an instance that serves a neighbour beyond its share."""
        self.receive_entries(
            Entry("b", 9, 1, Consumption("n", 7, 100)),
            Entry("b", 9, 2, Consumption("o", 7, 50)),
            Entry("b", 9, 3, MemoryClaims(7, (("r1", 10),))),
        )
        self.assertEqual(
            self.told,
            [PeerMemoryClaims("b-7", {"r1": 10}), PeerConsumption("b-7", {"n": 100.0, "o": 50.0})],
        )

    def test_waiting_prompts_are_repeated_and_withdrawn(self):
        """Guard against an entry that expires while its prompt waits, or stays after it."""
        self.scheduler.waiting = (WaitingPrompt(70, "q1", ("r1", "r2")),)
        self.loop.run_for(4_800)
        self.scheduler.waiting = ()
        self.loop.run_for(4_000)
        prompts = [entry.prompts for entry in self.puts()]
        self.assertEqual(prompts, 3 * [((70, "q1", ("r1", "r2")),)] + [()])

    def test_waiting_prompts_of_others_reach_the_scheduler(self):
        """Guard against a younger prompt that overtakes because the entry is not handed on."""
        self.receive_entries(Entry("b", 9, 1, WaitingLargePrompts(80, ((70, "q1", ("r1", "r2")),))))
        self.assertEqual(
            self.told, [PeerWaitingPrompts("b", 80, (WaitingPrompt(70, "q1", ("r1", "r2")),))]
        )

    def test_claims_of_a_dead_instance_end(self):
        """Guard against memory that stays claimed by an instance that is gone."""
        self.receive_entries(Entry("b", 9, 3, MemoryClaims(7, (("r1", 10),))))
        self.loop.fire(members_changed(self.view.members(0)), "*")
        self.loop.settle()
        self.assertEqual(len(self.told), 1)
        self.loop.fire(members_changed(self.view.members(11_000)), "*")
        self.loop.settle()
        self.assertEqual(self.told[1:], [PeerMemoryClaims("b-7", {})])

    def test_claims_of_an_earlier_boot_end(self):
        """Guard against memory that stays claimed by a process that was restarted."""
        self.receive_entries(Entry("b", 9, 3, MemoryClaims(7, (("r1", 10),))))
        self.receive_entries(Entry("b", 10, 1, MemoryClaims(10, ())))
        self.assertEqual(self.told[1:], [PeerMemoryClaims("b-7", {}), PeerMemoryClaims("b-10", {})])


class QuarantineTest(Base):
    def setUp(self):
        super().setUp()
        self.guard = QuarantineGuard(
            make_settings(), self.view, self.loop.clock, self.loop.timers
        ).register(self.loop)
        self.loop.begin()

    def die(self, upstream, *fingerprints, token=1):
        self.loop.fire(upstream_died(upstream, "x", fingerprints, token, "entry"), "*")
        self.loop.settle()

    def shared(self):
        return [args[0] for args in self.loop.events("suspicions_shared")]

    def test_caller_is_answered_after_all_acknowledgements(self):
        """Guard against a resend that reaches an instance before the suspicion does."""
        self.die("r1", "f")
        notices = self.sent(Notice)
        self.assertEqual([peer for peer, _ in notices], ["b", "c", "d"])
        for peer, notice in notices:
            self.assertEqual(self.shared(), [])
            self.receive(peer, NoticeReceived(notice.notice_id))
        self.assertEqual(self.shared(), [1])

    def test_silent_peer_delays_the_answer_by_one_second_at_most(self):
        """Guard against a caller that waits for an instance that is paused."""
        self.die("r1", "f")
        _, notice = self.sent(Notice)[0]
        self.receive("b", NoticeReceived(notice.notice_id))
        self.loop.run_for(990)
        self.assertEqual(self.shared(), [])
        self.loop.run_for(20)
        self.assertEqual(self.shared(), [1])
        resent = [peer for peer, _ in self.sent(Notice)[3:]]
        self.assertEqual(set(resent), {"c", "d"})

    def test_death_without_requests_is_answered_at_once(self):
        """Guard against a wait when nothing is suspected."""
        self.die("r1")
        self.assertEqual((self.shared(), self.sent(Notice)), ([1], []))

    def test_second_death_reaches_the_log_in_spite_of_an_outage(self):
        """Guard against a quarantine that ends with the instance that found it."""
        notice = Notice(4, (Suspicion("f", Death("r1", "y"), self.loop.clock.wall_ms()),))
        self.receive("b", notice)
        self.assertEqual(self.sent(NoticeReceived), [("b", NoticeReceived(4))])
        self.log.mode = "fail"
        self.die("r2", "f")
        self.assertTrue(self.guard.registry.is_quarantined("f", self.loop.clock.wall_ms()))
        self.log.mode = "ok"
        self.loop.run_for(1_500)
        ((stream, data),) = self.log.records
        self.assertEqual(
            (stream, data["op"], data["fingerprint"]), ("quarantine", "quarantine", "f")
        )

    def test_completed_suspect_is_cleared_everywhere(self):
        """Guard against an innocent request that other instances still suspect."""
        self.die("r1", "f")
        self.loop.fire(suspect_completed("f"), "*")
        self.loop.settle()
        notices = [notice for _, notice in self.sent(Notice) if notice.clearances]
        self.assertEqual(notices[0].clearances[0].deaths, (Death("r1", "x"),))
        self.assertFalse(self.guard.registry.is_suspect("f"))

    def test_lift_takes_effect_through_the_log(self):
        """Guard against a lift that only one instance knows."""
        self.die("r1", "f")
        self.die("r2", "f")
        self.loop.fire(quarantine_lifted("f", "operator"), "*")
        self.loop.settle()
        records = [LogRecord(n, 0, data) for n, (_, data) in enumerate(self.log.records)]
        bad = LogRecord(9, 0, {"op": "?"})
        self.loop.fire(log_records("quarantine", [*records, bad], 0, 10), "quarantine")
        self.loop.settle()
        self.assertFalse(self.guard.registry.is_quarantined("f", self.loop.clock.wall_ms()))

    def test_new_instance_is_told_about_suspects(self):
        """Guard against a restarted instance that lets a suspect take down another upstream."""
        self.die("r1", "f")
        before = len(self.sent(Notice))
        self.loop.fire(peer_connected("c"), "*")
        self.loop.settle()
        ((peer, notice),) = self.sent(Notice)[before:]
        self.assertEqual((peer, notice.suspicions[0].fingerprint), ("c", "f"))


if __name__ == "__main__":
    unittest.main()
