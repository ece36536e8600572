"""Tests of the choice of delegates, of their admission and of what may be delegated."""

import itertools
import random
import unittest
from collections import Counter

from ibispaddle_core.delegation import (
    Delegate,
    DelegateAdmission,
    DelegateSelection,
    DelegateVerdict,
    DelegationState,
    EndRequest,
    HopFailure,
    TryAgain,
    after_failed_hop,
    may_delegate,
)
from ibispaddle_core.runstate import RunState
from ibispaddle_core.scheduling import RetryPolicy

ONCE, BEFORE_OUTPUT, RESUMABLE = (
    RetryPolicy.PROVED_NOT_RUN,
    RetryPolicy.BEFORE_OUTPUT,
    RetryPolicy.ANY_TIME,
)


class SelectionTest(unittest.TestCase):
    """Requests go to near delegates by their capacity, and not to those that failed."""

    def test_spread_by_capacity(self):
        selection = DelegateSelection("dc1", random.Random(1))
        selection.replace(Delegate(name, f"{name}:1", "dc1", float(cores)) for name, cores in
                          (("a", 1), ("b", 1), ("c", 2)))  # fmt: skip
        chosen = Counter()
        for _ in range(400):
            delegate = selection.choose(None, (), 0)
            selection.begin(delegate.instance_id)
            chosen[delegate.instance_id] += 1
        self.assertAlmostEqual(200, chosen["c"], delta=20)
        for _ in range(chosen["c"]):
            selection.end("c")
        self.assertGreater(
            [selection.choose(None, (), 0).instance_id for _ in range(30)].count("c"), 12
        )

    def test_suspected_delegate(self):
        """Guards against requests that are lost here because the only delegate has failed once."""
        selection = DelegateSelection("dc1", random.Random(1))
        selection.replace([Delegate("a", "x:1", "dc1", 1.0), Delegate("b", "x:2", "dc2", 1.0)])
        selection.suspect("a", 0)
        self.assertEqual("b", selection.choose(None, (), 10).instance_id)
        self.assertTrue(selection.has_delegate())
        selection.exclude("b", 10)
        self.assertEqual("a", selection.choose(None, (), 20).instance_id)
        self.assertFalse(selection.has_delegate())

    def test_data_centre_that_is_cut_as_a_whole(self):
        selection = DelegateSelection("dc1", random.Random(1))
        near = [Delegate(f"n{i}", "x:1", "dc1", 1.0) for i in range(9)]
        selection.replace([*near, Delegate("far", "x:2", "dc2", 1.0)])
        tried = []
        for _ in range(3):
            tried.append(selection.choose(None, tried, 0).instance_id)
        self.assertEqual("far", tried[-1])

    def test_excluded_delegate(self):
        selection = DelegateSelection("dc1", random.Random(1))
        selection.replace([Delegate("a", "a:1", "dc2", 1.0)])
        selection.exclude("a", now_ms=100)
        self.assertIsNone(selection.choose(None, (), 1_099))
        self.assertEqual("a", selection.choose(None, (), 1_100).instance_id)

    def test_home(self):
        selection = DelegateSelection("dc1", random.Random(1))
        selection.replace([Delegate("a", "a:1", "dc2", 1.0), Delegate("b", "b:1", "dc3", 1.0)])
        self.assertEqual("b", selection.choose(frozenset({"dc1", "dc3"}), (), 0).instance_id)
        self.assertIsNone(selection.choose(frozenset({"dc1"}), (), 0))


class AdmissionTest(unittest.TestCase):
    """A delegate refuses as not run what it could not serve."""

    def verdict(self, version=5, sender=5, time_left_ms=100, isolated=False, draining=False):
        admission = DelegateAdmission()
        admission.replace_version(version)
        admission.is_isolated, admission.is_draining = isolated, draining
        return admission.admit(sender, time_left_ms)

    def test_verdicts(self):
        for expected, options in (
            (DelegateVerdict.ACCEPTED, {}),
            (DelegateVerdict.ACCEPTED, {"version": 6}),
            (DelegateVerdict.ACCEPTED, {"sender": None}),
            (DelegateVerdict.OUTDATED, {"version": 4}),
            (DelegateVerdict.OUTDATED, {"version": None}),
            (DelegateVerdict.ISOLATED, {"isolated": True}),
            (DelegateVerdict.DRAINING, {"draining": True}),
            (DelegateVerdict.NO_TIME, {"time_left_ms": 0}),
        ):
            with self.subTest(options=options):
                verdict = self.verdict(**options)
                self.assertIs(expected, verdict)
                refused = expected is not DelegateVerdict.ACCEPTED
                self.assertEqual(RunState.NOT_RUN if refused else None, verdict.run_state)


class RulesTest(unittest.TestCase):
    """A request that is not idempotent runs once, and a request takes one hop only."""

    def test_delegable(self):
        for expected, state in (
            (True, DelegationState(ONCE, 1_000, 2)),
            (False, DelegationState(ONCE, 1_000, 2, runs=1)),
            (False, DelegationState(ONCE, 1_000, 2, is_delegated=True)),
            (False, DelegationState(ONCE, 1_000, 2, is_in_flight=True)),
            (False, DelegationState(ONCE, 1_000, 2, has_output=True)),
            (True, DelegationState(BEFORE_OUTPUT, 1_000, 2, runs=1)),
            (False, DelegationState(BEFORE_OUTPUT, 1_000, 2, runs=2)),
            (False, DelegationState(BEFORE_OUTPUT, 1_000, 2, runs=1, has_output=True)),
            (True, DelegationState(RESUMABLE, 1_000, 2, runs=1, has_output=True)),
            (False, DelegationState(RESUMABLE, 1_000, 2, runs=2, has_output=True)),
        ):
            with self.subTest(state=state):
                self.assertEqual(expected, may_delegate(state, now_ms=0))
                self.assertFalse(may_delegate(state, now_ms=1_000))

    def test_failed_hops(self):
        unknown, not_run = EndRequest(RunState.UNKNOWN), EndRequest(RunState.NOT_RUN)
        for policy, failure in itertools.product(RetryPolicy, HopFailure):
            state = DelegationState(policy, 1_000, max_runs=2)
            is_lost = failure is HopFailure.LOST
            expected = unknown if is_lost and policy is ONCE else TryAgain(is_lost)
            with self.subTest(policy=policy, failure=failure):
                self.assertEqual(expected, after_failed_hop(failure, state, 0))
                self.assertEqual(
                    unknown if is_lost else not_run, after_failed_hop(failure, state, 1_000)
                )

    def test_runs_of_the_route(self):
        state = DelegationState(BEFORE_OUTPUT, 1_000, max_runs=2, runs=1)
        self.assertEqual(TryAgain(False), after_failed_hop(HopFailure.REFUSED, state, 0))
        self.assertEqual(EndRequest(RunState.UNKNOWN), after_failed_hop(HopFailure.LOST, state, 0))
