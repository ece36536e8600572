"""An outage of the log for one hour in virtual time, with the daemon's log components."""

import unittest

from ibispaddle_core.configuration import Applied, Unavailable
from ibispaddle_core.idempotency import Refuse, Send
from ibispaddle_core.runstate import RunState

from .virtual_fleet import RATE_CAP_PER_S, VirtualFleet, list_outcomes

INSTANCES = 9
BEGIN_MS = 60_000
OUTAGE_MS = 3_600_000
END_MS = BEGIN_MS + OUTAGE_MS
AFTER_MS = 120_000
REQUEST_MS = 1_000
BUSY_MS = 20_000  # Around the end of the outage every instance sends a request in each step.
CHANGE_MS = 1_000
# Interval of changes during the outage, as the design assumes; shorter around its end, to measure
# the recovery.
SLOW_CHANGE_MS = 43_000
REFUSAL_MS = 100
# Log readers wait up to 5 s between attempts, and usage is flushed every 2 s.
RECOVERY_MS = 8_000


class LongOutageTest(unittest.TestCase):
    fault = "down"

    @classmethod
    def setUpClass(cls):
        cls.fleet = VirtualFleet(INSTANCES)
        cls.queue_sizes = []
        cls.pending_timers = []
        next_change_ms = 5_000
        instances = list(cls.fleet.instances.values())
        for step, now_ms in enumerate(range(1_000, END_MS + AFTER_MS, REQUEST_MS)):
            cls.fleet.run_to(now_ms)
            if now_ms == BEGIN_MS:
                cls.fleet.log.set_fault(cls.fault)
            if now_ms == END_MS:
                cls.fleet.log.set_fault("")
            if now_ms > 5_000:
                busy = abs(now_ms - END_MS) <= BUSY_MS
                for instance in instances if busy else [instances[step % INSTANCES]]:
                    instance.send_request()
            if now_ms >= next_change_ms:
                instances[step % INSTANCES].submit_change(f"c{step}")
                near_end = now_ms >= END_MS - SLOW_CHANGE_MS
                next_change_ms += CHANGE_MS if near_end else SLOW_CHANGE_MS
            if now_ms % 60_000 == 0:
                cls.queue_sizes.append([instance.queue_sizes() for instance in instances])
                cls.pending_timers.append(len(cls.fleet.timers._heap))
            cls.fleet.flush()

    def flushed_ms(self):
        """Return the time after the outage until the log had the usage of every instance."""
        end = self.fleet.clock.epoch_ms + END_MS
        first = {}
        for record in self.fleet.log.streams["usage"]:
            if record["time_ms"] >= end:
                first.setdefault(record["data"]["instance_boot"], record["time_ms"] - end)
        self.assertEqual(len(first), INSTANCES)
        return max(first.values())

    def outcomes_between(self, kind, begin_ms, end_ms):
        return list_outcomes(self.fleet.instances, kind, begin_ms, end_ms)

    def test_calls_are_refused_at_once_and_not_run(self):
        """Guard against calls that wait for the log, run, or are refused without a retry time."""
        found = self.outcomes_between("decisions", BEGIN_MS + 10_000, END_MS)
        self.assertGreater(len(found), OUTAGE_MS // REQUEST_MS - 20)
        for began_ms, ended_ms, decision in found:
            self.assertIsInstance(decision, Refuse)
            self.assertEqual(decision.run_state, RunState.NOT_RUN)
            self.assertGreater(decision.retry_after_ms, 0)
            self.assertLessEqual(ended_ms - began_ms, REFUSAL_MS)

    def test_changes_are_refused_and_the_configuration_stays(self):
        """Guard against changes that are partly accepted, and against a lost configuration."""
        before = [o for *_, o in self.outcomes_between("changes", 0, BEGIN_MS)]
        self.assertTrue(all(isinstance(o, Applied) for o in before))
        found = self.outcomes_between("changes", BEGIN_MS + 10_000, END_MS - 10_000)
        self.assertGreater(len(found), 50)
        for *_, outcome in found:
            self.assertIsInstance(outcome, Unavailable)

    def test_memory_is_bounded(self):
        """Guard against queues that grow with the length of the outage."""
        minutes = len(self.queue_sizes) - 2
        early, late = self.queue_sizes[2:12], self.queue_sizes[12:minutes]
        for name in early[0][0]:
            largest = max(sizes[name] for minute in early for sizes in minute)
            for minute in late:
                self.assertLessEqual(max(sizes[name] for sizes in minute), largest + 1, name)
        self.assertLessEqual(
            max(self.pending_timers[12:minutes]), max(self.pending_timers[2:12]) * 1.2
        )

    def test_no_burst_after_the_end(self):
        """Guard against instances that together exceed the rate cap when the log recovers."""
        self.assertEqual(self.fleet.log.rate_limited_appends, 0)
        times = [t for t in self.fleet.log.appends_ms if END_MS <= t < END_MS + AFTER_MS]
        busiest = max(sum(t <= other < t + 1_000 for other in times) for t in times)
        print(f"{self.fault}: at most {busiest} appends in a second after the end")
        self.assertLess(busiest, RATE_CAP_PER_S)

    def test_recovery(self):
        """Guard against a fleet that doesn't recover after the end of the outage."""
        claims = self.outcomes_between("decisions", END_MS, END_MS + AFTER_MS - 10_000)
        refused = [began for began, _, d in claims if not isinstance(d, Send)]
        changes = self.outcomes_between("changes", END_MS, END_MS + AFTER_MS - 15_000)
        failed = [began for began, _, o in changes if isinstance(o, Unavailable)]
        claims_ms = max(refused, default=END_MS) - END_MS
        changes_ms = max(failed, default=END_MS) - END_MS
        applied_ms = min(e for _, e, o in changes if isinstance(o, Applied)) - END_MS
        flushed_ms = self.flushed_ms()
        print(
            f"{self.fault}: last refused claim {claims_ms} ms, last refused change"
            f" {changes_ms} ms, first applied {applied_ms} ms, usage {flushed_ms} ms"
        )
        self.assertLess(max(claims_ms, changes_ms, applied_ms), RECOVERY_MS)
        self.assertLess(flushed_ms, RECOVERY_MS)

    def test_usage_is_complete(self):
        """Guard against usage during the outage that is lost or counted twice."""
        end_ms = END_MS + AFTER_MS
        self.fleet.run_to(end_ms + 10_000)
        counted, logged = self.fleet.count_requests()
        self.assertEqual(counted, logged)
        self.assertGreater(counted, OUTAGE_MS // REQUEST_MS)


class UnreachableLogTest(LongOutageTest):
    """The log refuses connections instead of responding with 503."""

    fault = "unreachable"


if __name__ == "__main__":
    unittest.main()
