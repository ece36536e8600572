"""Claims in virtual time while the log turns away some instances, with the daemon's log components.

All instances send requests all the time, so each partition has a committer with work.
"""

import unittest

from ibispaddle_core.idempotency import PARTITIONS, Refuse, Send, rank_committers

from .virtual_fleet import VirtualFleet, list_outcomes

INSTANCES = 9
BEGIN_MS = 30_000
DURATION_MS = 60_000
END_MS = BEGIN_MS + DURATION_MS
AFTER_MS = 40_000
# Shorter than the log holds a read for which there are no records.
SHORT_OUTAGE_MS = 4_000
REQUEST_MS = 500
# Longest time from a request to the decision while the log turns instances away, also if several committers refuse
# one after the other and the last one has to read the stream first.
DECISION_MS = 1_000
# Time after which all instances know that an outage has ended, as readers wait up to 5 s between attempts.
RECOVERY_MS = 8_000


class TurnedAwayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = VirtualFleet(INSTANCES)
        names = self.fleet.view.names
        first = rank_committers(0, names, names[0])
        self.ranked = [self.fleet.instances[name] for name in first]

    def run_to(self, end_ms: int) -> None:
        now_ms = self.fleet.clock.now_ms()
        for time_ms in range(now_ms, end_ms, REQUEST_MS):
            self.fleet.run_to(time_ms)
            for instance in self.fleet.instances.values():
                instance.send_request()
            self.fleet.flush()
        self.fleet.run_to(end_ms)

    def turn_away(self, count: int) -> None:
        """Turn away the first instances by rank of a partition for a while."""
        self.run_to(BEGIN_MS)
        self.fleet.log.turned_away = {instance.own_id for instance in self.ranked[:count]}
        self.run_to(END_MS)
        self.fleet.log.turned_away.clear()
        self.run_to(END_MS + AFTER_MS)

    def check_decisions(self, *numbers: int) -> None:
        """Check that all calls of some instances by rank are sent, in time while the log turns others away."""
        instances = {number: self.ranked[number] for number in numbers}
        found = list_outcomes(instances, "decisions", BEGIN_MS, END_MS + AFTER_MS - RECOVERY_MS)
        self.assertGreater(len(found), len(numbers) * DURATION_MS // REQUEST_MS)
        others = [decision for *_, decision in found if not isinstance(decision, Send)]
        self.assertEqual(others, [])
        times_ms = [ended_ms - began_ms for began_ms, ended_ms, _ in found if began_ms < END_MS]
        self.assertLessEqual(max(times_ms), DECISION_MS)

    @property
    def followed(self) -> int:
        return sum(i.committers.partition_count for i in self.fleet.instances.values())

    def test_one_instance(self) -> None:
        """Guards against refused calls of all instances because one committer has no access to the log."""
        self.turn_away(1)
        self.check_decisions(*range(INSTANCES))

    def test_most_instances(self) -> None:
        """Guards against refused calls of the instances that have access, which rank last."""
        self.turn_away(INSTANCES - 2)
        self.check_decisions(INSTANCES - 2, INSTANCES - 1)

    def test_readers_after_an_outage(self) -> None:
        """Guards against instances that all read the streams after they were asked in an outage."""
        self.run_to(BEGIN_MS)
        self.assertEqual(self.followed, PARTITIONS)
        self.fleet.log.set_fault("down")
        self.run_to(END_MS)
        self.fleet.log.set_fault("")
        self.run_to(END_MS + AFTER_MS)
        self.assertLessEqual(self.followed, PARTITIONS)
        begin_ms = END_MS + RECOVERY_MS
        found = list_outcomes(self.fleet.instances, "decisions", begin_ms, END_MS + AFTER_MS)
        self.assertFalse([d for *_, d in found if isinstance(d, Refuse)])

    def test_outage_while_reads_are_held(self) -> None:
        """Guards against instances that count the log as unavailable although no read fails any more."""
        self.run_to(BEGIN_MS)
        self.fleet.log.fault = "down"
        self.run_to(BEGIN_MS + SHORT_OUTAGE_MS)
        self.fleet.log.fault = ""
        begin_ms = BEGIN_MS + SHORT_OUTAGE_MS + RECOVERY_MS
        self.run_to(begin_ms + AFTER_MS)
        self.assertLessEqual(self.followed, PARTITIONS)
        found = list_outcomes(self.fleet.instances, "decisions", begin_ms, begin_ms + AFTER_MS)
        self.assertFalse([(b, d) for b, _, d in found if isinstance(d, Refuse)])


if __name__ == "__main__":
    unittest.main()
