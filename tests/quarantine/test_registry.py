"""Tests of the quarantine: a request causes few crashes, and innocent requests are not blocked."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from ibispaddle_core.quarantine import (
    Clearance,
    Death,
    Quarantine,
    lift_record,
    parse_record,
    quarantine_record,
)

FIXED = settings(derandomize=True, max_examples=200, deadline=None, database=None)
D1, D2, D3 = Death("r1", "x"), Death("r2", "y"), Death("r3", "z")


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine(window_ms=1_000)

    def blocked(self, now_ms=10):
        return [entry.fingerprint for entry in self.quarantine.entries(now_ms)]

    def test_crash_reported_by_two_instances_counts_once(self):
        """Guard against a quarantine after a single crash."""
        for _ in range(2):
            suspicions, entries = self.quarantine.upstream_died(D1, ["f", "f"], 0)
            self.assertEqual((len(suspicions), entries), (1, ()))
        self.assertEqual(self.blocked(), [])

    def test_completion_clears_earlier_crashes_only(self):
        """Guard against an innocent request that is blocked after a later, unrelated crash."""
        self.quarantine.upstream_died(D1, ["f"], 0)
        self.assertEqual(self.quarantine.completed("f", 1), Clearance("f", (D1,), 1))
        self.assertFalse(self.quarantine.is_suspect("f"))
        self.quarantine.upstream_died(D2, ["f"], 2)
        self.assertEqual(self.blocked(), [])
        self.quarantine.upstream_died(D3, ["f"], 3)
        self.assertEqual(self.blocked(), ["f"])
        self.assertIsNone(self.quarantine.completed("f", 4))

    def test_clearance_overrides_a_suspicion_that_arrives_later(self):
        """Guard against a cleared suspicion that is merged again from a slow peer."""
        other = Quarantine()
        suspicions, _ = other.upstream_died(D1, ["f"], 0)
        self.quarantine.merge((), (other.completed("f", 1),))
        self.quarantine.merge(suspicions, ())
        self.assertFalse(self.quarantine.is_suspect("f"))

    def test_quarantine_expires(self):
        """Guard against a request that is refused indefinitely."""
        self.quarantine.upstream_died(D1, ["f"], 0)
        self.quarantine.upstream_died(D2, ["f"], 5)
        self.assertEqual(self.blocked(1_004), ["f"])
        self.assertEqual(self.blocked(1_005), [])
        self.quarantine.expire(1_005)
        self.assertFalse(self.quarantine.is_suspect("f"))

    def test_records_rebuild_the_quarantine(self):
        """Guard against a restarted instance that admits a quarantined fingerprint."""
        _, _ = self.quarantine.upstream_died(D1, ["f"], 0)
        _, (entry,) = self.quarantine.upstream_died(D2, ["f"], 5)
        fresh = Quarantine(window_ms=1_000)
        fresh.fold(parse_record(quarantine_record(entry)).ok_value)
        self.assertEqual(fresh.entries(10), self.quarantine.entries(10))
        lifted = lift_record(self.quarantine.lift("f", 11), "operator")
        late = quarantine_record(entry)
        for record in (lifted, late):
            fresh.fold(parse_record(record).ok_value)
        self.assertEqual(fresh.entries(12), ())

    def test_invalid_records_are_errors(self):
        """Guard against a reader that stops at a record that it cannot decode."""
        good = {"op": "lift", "fingerprint": "f", "deaths": [["a", "b"]], "at_ms": 1}
        self.assertTrue(parse_record(good).is_ok())
        for data in ({}, good | {"op": "x"}, good | {"deaths": [["a"]]}, good | {"at_ms": "1"}):
            self.assertTrue(parse_record(data).is_err(), data)

    def test_crashes_are_distinguished_by_boot(self):
        """Guard against a second crash of an upstream that is mistaken for the first one."""
        registry = Quarantine()
        registry.upstream_died(Death("u", "b1"), ("f",), 0)
        self.assertTrue(registry.has_died("u", "b1"))
        self.assertFalse(registry.has_died("u", "b2"))
        self.assertFalse(registry.has_died("v", "b1"))


class PlacementTest(unittest.TestCase):
    def test_suspects_of_one_crash_get_different_upstreams(self):
        """Guard against an innocent request that runs next to the crashing request again."""
        upstreams = [f"r{n}" for n in range(6)]
        views = [Quarantine() for _ in range(3)]
        names = [f"f{n}" for n in range(6)]
        for number, view in enumerate(views):
            suspicions, _ = view.upstream_died(D1, names[number::3], 0)
            for other in views:
                other.merge(suspicions, ())
        chosen = [
            views[n % 3].allowed_upstreams(name, upstreams, 1) for n, name in enumerate(names)
        ]
        self.assertEqual(len({choice[0] for choice in chosen}), 6)

    def test_surplus_suspect_waits_until_an_earlier_one_is_cleared(self):
        """Guard against two suspects on one upstream if there are fewer upstreams than suspects."""
        quarantine = Quarantine()
        quarantine.upstream_died(D1, ["f0", "f1", "f2"], 0)
        self.assertEqual(quarantine.allowed_upstreams("f2", ["r1", "r2"], 1), ())
        quarantine.completed("f0", 2)
        self.assertEqual(
            quarantine.allowed_upstreams("f2", ["r1", "r2"], 3),
            quarantine.allowed_upstreams("f2", ["r2", "r1"], 3),
        )
        self.assertEqual(len(quarantine.allowed_upstreams("f2", ["r1", "r2"], 3)), 1)

    def test_suspect_waits_a_limited_time_for_an_earlier_one(self):
        """Guard against a request that waits for another caller's retry that never comes."""
        quarantine = Quarantine()
        quarantine.upstream_died(D1, ["f0", "f1"], 0)
        self.assertEqual(quarantine.allowed_upstreams("f1", ["r1"], 59_999), ())
        self.assertEqual(quarantine.allowed_upstreams("f1", ["r1"], 60_000), ("r1",))

    def test_requests_that_are_not_suspect_are_not_restricted(self):
        """Guard against requests that wait although they are not suspect."""
        quarantine = Quarantine()
        quarantine.upstream_died(D1, ["f"], 0)
        self.assertEqual(quarantine.allowed_upstreams("g", ["r1", "r2"], 1), ("r1", "r2"))


class Fleet:
    """Simulate requests on upstreams; a culprit crashes its upstream, and callers then retry."""

    def __init__(self, culprits, innocents, upstreams, instances=3):
        self.views = [Quarantine() for _ in range(instances)]
        self.boots = {f"r{n}": 0 for n in range(upstreams)}
        self.culprits = {f"c{n}" for n in range(culprits)}
        self.names = sorted(self.culprits) + [f"i{n}" for n in range(innocents)]
        self.running: dict[str, tuple[int, str]] = {}  # Instance and upstream by fingerprint.
        self.deaths = dict.fromkeys(self.culprits, 0)
        self.now_ms = 0

    def send(self, name, instance, pick):
        view = self.views[instance]
        if name in self.running or view.is_quarantined(name, self.now_ms):
            return
        mine: dict[str, list[str]] = {}
        for other, (number, upstream) in self.running.items():
            if number == instance:
                mine.setdefault(upstream, []).append(other)
        allowed = view.allowed_upstreams(name, sorted(self.boots), self.now_ms, mine)
        if allowed:
            self.running[name] = (instance, allowed[pick % len(allowed)])

    def finish(self, name):
        """Complete an innocent request, or let a culprit crash its upstream."""
        if name not in self.running:
            return
        instance, upstream = self.running[name]
        if name not in self.culprits:
            del self.running[name]
            clearance = self.views[instance].completed(name, self.now_ms)
            if clearance is not None:
                for view in self.views:
                    view.merge((), (clearance,))
            return
        self.deaths[name] += 1
        death = Death(upstream, str(self.boots[upstream]))
        self.boots[upstream] += 1
        hit: dict[int, list[str]] = {}
        for other, (number, place) in list(self.running.items()):
            if place == upstream:
                hit.setdefault(number, []).append(other)
                del self.running[other]
        # Callers get a response only after all instances have acknowledged the suspicions.
        for number, names in hit.items():
            suspicions, _ = self.views[number].upstream_died(death, names, self.now_ms)
            for view in self.views:
                view.merge(suspicions, ())


STEPS = st.lists(
    st.tuples(st.booleans(), st.integers(0, 20), st.integers(0, 2), st.integers(0, 7)),
    min_size=20,
    max_size=120,
)


class QuarantinePropertyTest(unittest.TestCase):
    def run_steps(self, fleet, steps):
        for is_send, index, instance, pick in steps:
            fleet.now_ms += 1
            name = fleet.names[index % len(fleet.names)]
            if is_send:
                fleet.send(name, instance, pick)
                continue
            completes = name in fleet.running and name not in fleet.culprits
            fleet.finish(name)
            for view in fleet.views if completes else ():
                self.assertFalse(view.is_suspect(name))
                self.assertFalse(view.is_quarantined(name, fleet.now_ms))

    @FIXED
    @given(STEPS, st.integers(1, 4), st.integers(0, 6), st.integers(2, 6))
    def test_at_most_two_crashes_per_fingerprint(self, steps, culprits, innocents, upstreams):
        """Guard against a request that crashes one upstream after another."""
        fleet = Fleet(culprits, innocents, upstreams)
        self.run_steps(fleet, steps)
        for name in fleet.culprits:
            for turn in range(6):
                fleet.now_ms += 60_000  # Reservations for other suspects expire.
                fleet.send(name, turn % 3, 0)
                fleet.finish(name)
            self.assertLessEqual(fleet.deaths[name], 2)
            self.assertTrue(all(v.is_quarantined(name, fleet.now_ms) for v in fleet.views))

    @FIXED
    @given(STEPS, st.integers(1, 10), st.integers(2, 6))
    def test_innocents_beside_one_culprit_are_never_blocked(self, steps, innocents, upstreams):
        """Guard against refusals of requests that only shared an upstream with a culprit."""
        fleet = Fleet(1, innocents, upstreams)
        self.run_steps(fleet, steps)
        blocked = {e.fingerprint for v in fleet.views for e in v.entries(fleet.now_ms)}
        self.assertLessEqual(blocked, fleet.culprits)


if __name__ == "__main__":
    unittest.main()
