"""Tests of the admission of requests while an instance drains."""

import unittest

from ibispaddle_core.forwarding import DrainAdmission
from ibispaddle_core.scheduling.cost import CostModel

from tests.scheduling import fakes
from tests.scheduling.test_least_work import config


class DrainAdmissionTest(unittest.TestCase):
    """The load pattern is a rolling restart of all instances of a fleet."""

    def setUp(self) -> None:
        self.stop = DrainAdmission(admits_all_ms=3_200, ends_ms=7_600)
        self.cost = CostModel(config())

    def may_admit(self, now_ms: int, **values: object) -> bool:
        req = fakes.request("a", arrived_ms=now_ms, deadline_ms=now_ms + 10_000, **values)
        return self.stop.may_admit(now_ms, self.cost.max_duration_ms(req))

    def test_all_requests_are_admitted_until_callers_are_redirected(self) -> None:
        """Guards against refusals while the balancer still sends callers to this instance."""
        self.assertTrue(self.may_admit(3_100, prompt_tokens=133_000, max_output_tokens=700))

    def test_stream_that_may_outlast_the_process_is_refused(self) -> None:
        """Guards against a stream that starts 5 s after the signal and is cut off at process exit."""
        self.assertFalse(self.may_admit(4_800, max_output_tokens=1_360))

    def test_stream_that_may_fall_silent_is_refused(self) -> None:
        """Guards against a short stream that is cut at process exit because its runner was silent (LOST)."""
        short = {"ttft_objective_ms": 300, "max_output_tokens": 100}
        self.assertTrue(self.may_admit(4_800, **short, patience_ms=1_900))
        self.assertFalse(self.may_admit(5_600, **short, patience_ms=2_000))

    def test_short_requests_are_admitted_until_the_end(self) -> None:
        """Guards against callers that find no instance while the whole fleet is restarted."""
        self.assertTrue(self.may_admit(4_800, max_output_tokens=100))
        req = fakes.request("a", model="s", arrived_ms=6_900, deadline_ms=7_500)
        self.assertTrue(self.stop.may_admit(6_900, self.cost.max_duration_ms(req)))


if __name__ == "__main__":
    unittest.main()
