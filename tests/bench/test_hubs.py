"""Tests of the simulated pass engine, and of placement with hubs in virtual time."""

import heapq
import itertools
import unittest

from ibispaddle_bench.experiment_hubs import Simulation, generate_workload
from ibispaddle_bench.pass_engine import PassCosts, PassEngine, Prompt

COSTS = PassCosts()


class EventLoop:
    """A virtual-time event loop."""

    def __init__(self) -> None:
        self.events: list = []
        self.numbers = itertools.count()

    def schedule(self, at_ms, action) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def run(self) -> None:
        while self.events:
            heapq.heappop(self.events)[2]()


class PassEngineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        self.engines = [PassEngine(COSTS, self.loop.schedule) for _ in range(4)]
        self.first_token_ms: dict[str, float] = {}
        self.gaps_ms: dict[str, float] = {}

    def prompt(self, name: str, tokens: int, output: int = 430) -> Prompt:
        return Prompt(
            tokens,
            output,
            lambda at_ms: self.first_token_ms.setdefault(name, at_ms),
            lambda at_ms, gap_ms: self.gaps_ms.setdefault(name, gap_ms),
        )

    def test_single_prompt(self) -> None:
        """Guard against prefill that is faster or slower than its costs."""
        self.engines[0].submit(0.0, self.prompt("a", 20_600), [])
        self.loop.run()
        steps = -(-20_600 // COSTS.chunk_tokens)
        max_ms = COSTS.prefill_ms(20_600) + (steps + 1) * (COSTS.step_ms + 1)
        self.assertGreaterEqual(self.first_token_ms["a"], COSTS.prefill_ms(20_600))
        self.assertLess(self.first_token_ms["a"], max_ms)
        self.assertLess(self.gaps_ms["a"], 60)

    def test_helpers_share_the_prefill(self) -> None:
        """Guard against prefilling the parts of a prompt sequentially."""
        self.engines[0].submit(0.0, self.prompt("a", 100_000), self.engines[1:])
        self.loop.run()
        self.assertLess(self.first_token_ms["a"], COSTS.prefill_ms(100_000) / 4 + 80)

    def test_streams_pause_during_prefill_of_a_long_prompt(self) -> None:
        """Guard against a simulation in which long prompts don't delay the streams of other requests."""
        engine = self.engines[0]
        engine.submit(0.0, self.prompt("short", 5_000, 4_300), [])
        self.loop.schedule(100.0, lambda: engine.submit(100.0, self.prompt("long", 200_000), []))
        self.loop.run()
        self.assertGreater(self.gaps_ms["short"], 300)

    def test_slots_limit_running_prompts(self) -> None:
        """Guard against engines that run an unlimited number of requests."""
        for number in range(COSTS.slots + 1):
            self.engines[0].submit(0.0, self.prompt(f"p{number}", 5_000), [])
        self.loop.run()
        last_name = max(self.first_token_ms, key=lambda name: self.first_token_ms[name])
        self.assertEqual(last_name, f"p{COSTS.slots}")
        others = [at_ms for name, at_ms in self.first_token_ms.items() if name != last_name]
        self.assertGreater(self.first_token_ms[last_name], max(others) + 300)


class HubsTest(unittest.TestCase):
    """The load alternates every ten seconds between mostly short and mostly long prompts."""

    def test_many_instances_place_nearly_as_well_as_one(self) -> None:
        """Guard against late answers because no instance sees the load of the whole fleet."""
        arrivals = generate_workload(seed=3, engines=20, duration_ms=12_000, load=1.0)
        relative_value = {
            name: Simulation(3, instances, 20, has_hub).run(arrivals)["worth"]
            for name, instances, has_hub in (("one", 1, False), ("hub", 20, True))
        }
        self.assertGreater(relative_value["hub"], 0.92 * relative_value["one"])


if __name__ == "__main__":
    unittest.main()
