"""Tests of crashes that are proved only after the attempt of a request has ended."""

import json
import unittest
from types import SimpleNamespace

from ibispaddle_core.clock import ManualClock
from ibispaddle_core.quarantine import PartQuarantine, Quarantine
from ibispaddle_daemon.calls import CallResult
from ibispaddle_daemon.events import CallFailure, HttpCallError
from ibispaddle_daemon.suspects import LATE_PROOF_MS, LostAttempt, SuspectTracker

TIMEOUT = CallResult(0, (), b"", HttpCallError(CallFailure.TIMEOUT, "no response", True))


def boot(boot_id: str) -> CallResult:
    """Return the response of an upstream with this boot."""
    return CallResult(200, (), json.dumps({"boot_id": boot_id}).encode(), None)


class LateProofTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = SuspectTracker(Quarantine(), PartQuarantine(), self.clock)
        self.callbacks: list = []
        self.tracker._calls.send = lambda *arguments: self.callbacks.append(arguments[-1])
        self.events: list = []
        self.tracker.fire = lambda event, *_: self.events.append(event)
        self.answered = 0
        requests = {"f1": ("a",), "f2": ("b",)}
        lost = LostAttempt("r1", "http://r1", "boot 1", requests, unreachable=False)
        self.tracker.check_upstream(lost, self.count_answer)
        self.callbacks.pop()(TIMEOUT)

    def count_answer(self) -> None:
        self.answered += 1

    def report(self, upstream_id: str, boot_id: str) -> None:
        load = SimpleNamespace(upstream_id=upstream_id, boot_id=boot_id)
        self.tracker._on_load_reported(load)

    def deaths(self) -> list[tuple]:
        """Return the upstreams, boots and requests of the crashes that were reported."""
        found = [event for event in self.events if event.name == "upstream_died"]
        return [(event.args[0], event.args[1], sorted(event.args[2])) for event in found]

    def test_next_boot_proves_the_crash(self) -> None:
        """Guards against a crash that is forgotten because the next process started late."""
        self.assertEqual((self.answered, self.deaths()), (1, []))
        self.report("r2", "boot 9")
        self.report("r1", "boot 1")
        self.assertEqual(self.callbacks, [])
        self.report("r1", "boot 2")
        self.callbacks.pop()(boot("boot 2"))
        self.assertEqual(self.deaths(), [("r1", "boot 1", ["f1", "f2"])])
        self.report("r1", "boot 3")
        self.assertEqual((self.answered, self.callbacks), (1, []))

    def test_old_report_of_another_instance_proves_nothing(self) -> None:
        """Guards against suspicions because a report of an earlier boot arrives late."""
        self.report("r1", "boot 0")
        self.callbacks.pop()(boot("boot 1"))
        self.report("r1", "boot 2")
        self.assertEqual((self.deaths(), self.callbacks), ([], []))

    def test_request_that_was_answered_elsewhere(self) -> None:
        """Guards against suspicions of a sound request that was in flight at the crash."""
        self.tracker.clear_suspect("f2", ("b",))
        self.report("r1", "boot 2")
        self.callbacks.pop()(boot("boot 2"))
        self.assertEqual(self.deaths(), [("r1", "boot 1", ["f1"])])

    def test_attempts_at_one_upstream_are_reported_together(self) -> None:
        """Guards against memory and reports for each pair of requests that were in flight at a crash."""
        for number in range(50):
            requests = {f"g{n}": () for n in range(number)}
            lost = LostAttempt("r1", "http://r1", "boot 1", requests, unreachable=False)
            self.tracker.check_upstream(lost, self.count_answer)
            self.callbacks.pop()(TIMEOUT)
        self.report("r1", "boot 2")
        self.callbacks.pop()(boot("boot 2"))
        self.assertEqual(self.callbacks, [])
        [(_, _, requests)] = self.deaths()
        self.assertEqual(len(requests), 51)

    def test_upstream_that_stays_silent(self) -> None:
        """Guards against a crash that is forgotten at a second timeout, or remembered for ever."""
        self.report("r1", "boot 2")
        self.callbacks.pop()(TIMEOUT)
        self.report("r1", "boot 2")
        self.assertEqual(len(self.callbacks), 1)
        self.callbacks.pop()(TIMEOUT)
        self.clock.advance(LATE_PROOF_MS)
        self.report("r1", "boot 2")
        self.assertEqual((self.deaths(), self.callbacks), ([], []))


if __name__ == "__main__":
    unittest.main()
