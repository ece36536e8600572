"""Tests of the decision whether an instance reaches the upstreams."""

import itertools
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st
from ibispaddle_core.delegation import UpstreamReachability

PROBE_TIMEOUT_MS = 400
STEP_MS = 50
SERVICES = {f"{service}{number}": service for service in "abc" for number in range(4)}


class Simulation:
    """An instance whose probes are answered at once or fail after their timeout."""

    def __init__(self, services: dict[str, str], seed: int = 1) -> None:
        self.reachability = UpstreamReachability(random.Random(seed))
        self.reachability.replace_upstreams(services)
        self.now_ms = 1_000
        self.dead: set[str] = set()
        self.is_cut = False
        self.probes = 0
        self._due: list[tuple[int, str]] = []

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for due_ms, name in list(self._due):
                if due_ms <= self.now_ms:
                    self._due.remove((due_ms, name))
                    self.reachability.record_unreachable(name, self.now_ms)
            for name in self.reachability.upstreams_to_probe(self.now_ms):
                self.probes += 1
                if self.is_cut or name in self.dead:
                    self._due.append((self.now_ms + PROBE_TIMEOUT_MS, name))
                    self.reachability.record_silence(name, self.now_ms)
                else:
                    self.reachability.record_contact(name, self.now_ms)


class ReachabilityTest(unittest.TestCase):
    """A cut is found without traffic within 1.6 s, and its end within half of one."""

    def test_cut_without_traffic(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                simulation = Simulation(SERVICES, seed)
                simulation.run(2_000)
                simulation.is_cut = True
                simulation.run(1_600)
                self.assertTrue(simulation.reachability.is_isolated)
                simulation.is_cut = False
                simulation.run(400)
                self.assertFalse(simulation.reachability.is_isolated)

    def test_dead_upstreams(self):
        for seed, count in itertools.product(range(40), range(1, 7)):
            with self.subTest(seed=seed, count=count):
                simulation = Simulation(SERVICES, seed)
                simulation.run(2_000)
                simulation.dead = set(random.Random(seed).sample(sorted(SERVICES), count))
                for _ in range(100):
                    simulation.run(STEP_MS)
                    self.assertFalse(simulation.reachability.is_isolated)

    @given(st.sets(st.sampled_from(sorted(SERVICES)), max_size=len(SERVICES) - 1))
    def test_nearly_all_upstreams_dead(self, dead):
        simulation = Simulation(SERVICES)
        simulation.dead = dead
        simulation.run(6_000)
        for _ in range(100):
            simulation.run(STEP_MS)
            self.assertFalse(simulation.reachability.is_isolated)

    def test_dead_service_costs_few_probes(self):
        simulation = Simulation(SERVICES)
        simulation.dead = {"a0", "a1", "a2", "a3"}
        for _ in range(100):
            simulation.run(100)
            name = random.Random(simulation.now_ms).choice(sorted(simulation.dead))
            simulation.reachability.record_unreachable(name, simulation.now_ms)
        self.assertLess(simulation.probes, 60)

    def test_late_upstreams_cost_few_probes(self):
        """Guards against probes that keep busy upstreams busy."""
        simulation = Simulation(SERVICES)
        for _ in range(10):
            simulation.run(1_000)
            simulation.reachability.record_silence("a0", simulation.now_ms)
        self.assertLess(simulation.probes, 25)

    def test_probes_in_the_own_data_centre(self):
        reachability = UpstreamReachability(random.Random(1), "dc1")
        reachability.replace_upstreams(SERVICES, {name: f"dc{name[1]}" for name in SERVICES})
        for now_ms in range(1_000, 20_000, 1_000):
            (name,) = reachability.upstreams_to_probe(now_ms)
            self.assertEqual("1", name[1])
            reachability.record_contact(name, now_ms)

    def test_fewer_upstreams_than_the_minimum(self):
        reachability = UpstreamReachability(random.Random(1))
        reachability.replace_upstreams({"a": "s", "b": "s"})
        self.assertFalse(reachability.record_unreachable("a", 10))
        self.assertFalse(reachability.record_unreachable("a", 20))
        self.assertTrue(reachability.record_unreachable("b", 30))

    def test_each_service_is_needed(self):
        reachability = UpstreamReachability(random.Random(1))
        reachability.replace_upstreams(SERVICES)
        for name in ("a0", "a1", "a2", "b0", "b1"):
            self.assertFalse(reachability.record_unreachable(name, 10))
        self.assertTrue(reachability.record_unreachable("c3", 10))

    def test_connections_opened_before_the_cut(self):
        reachability = UpstreamReachability(random.Random(1))
        reachability.replace_upstreams(SERVICES)
        reachability.record_unreachable("a0", 100)
        reachability.record_contact("a1", 150, opened_ms=90)
        reachability.record_unreachable("b0", 160)
        self.assertTrue(reachability.record_unreachable("c0", 170))
        self.assertFalse(reachability.record_contact("a1", 180, opened_ms=90))
        self.assertTrue(reachability.is_isolated)
        self.assertTrue(reachability.record_contact("a1", 180, opened_ms=175))

    def test_rounds_are_spread_over_data_centres(self):
        reachability = UpstreamReachability(random.Random(1))
        places = {name: f"dc{name[1]}" for name in SERVICES}
        reachability.replace_upstreams(SERVICES, places)
        reachability.record_unreachable("a0", 10)
        chosen = reachability.upstreams_to_probe(10)
        self.assertLessEqual({"b", "c"}, {SERVICES[name] for name in chosen})
        self.assertEqual(4, len({"dc0", *(places[name] for name in chosen)}))

    def test_new_upstreams_while_isolated(self):
        reachability = UpstreamReachability(random.Random(1))
        reachability.replace_upstreams({"a": "s"})
        reachability.record_unreachable("a", 10)
        reachability.replace_upstreams({"b": "s"})
        self.assertEqual(("b",), reachability.upstreams_to_probe(20))
        self.assertTrue(reachability.record_contact("b", 30))
