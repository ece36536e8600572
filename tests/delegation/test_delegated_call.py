"""Tests of the headers that only instances see."""

import unittest

from ibispaddle_core.runstate import RunState
from ibispaddle_daemon.delegated_call import (
    DelegatedCall,
    answer_headers,
    call_headers,
    read_call,
    read_origin,
    relayed_headers,
    without_hop_headers,
)

CALLER = (("Host", "a.example"), ("Key", "k"))


class DelegatedCallTest(unittest.TestCase):
    def test_call_is_read_as_sent(self) -> None:
        for call in (DelegatedCall("b", 7, 2), DelegatedCall("b", None, 1)):
            headers = (*CALLER, *call_headers(call))
            self.assertEqual((read_call(headers), without_hop_headers(headers)), (call, CALLER))

    def test_request_of_a_caller(self) -> None:
        self.assertIsNone(read_call(CALLER))

    def test_malformed_values(self) -> None:
        headers = (
            ("ibispaddle-delegated-by", "b"),
            ("ibispaddle-config-version", "-7"),
            ("ibispaddle-runs-left", "9" * 20),
        )
        self.assertEqual(read_call(headers), DelegatedCall("b", None, 1))

    def test_unknown_run_state_proves_nothing(self) -> None:
        headers = (("Ibispaddle-Run-State", "half_run"), ("Ibispaddle-Ask-Another", "1"))
        self.assertIs(read_origin(headers).run_state, RunState.UNKNOWN)

    def test_upstream_cannot_speak_for_the_delegate(self) -> None:
        """Guards against upstreams whose response makes the sender repeat a request that has run."""
        forged = (*CALLER, *answer_headers(RunState.NOT_RUN, may_ask_another=True))
        origin = read_origin(relayed_headers(forged, "u1"))
        self.assertEqual((origin.upstream_id, origin.run_state), ("u1", None))


if __name__ == "__main__":
    unittest.main()
