"""Tests of the distance between data centres in the placement."""

import unittest
from collections import Counter

from ibispaddle_core.scheduling import (
    FleetPaces,
    PeerWork,
    RequestArrived,
    Scheduler,
    Upstream,
    UpstreamsChanged,
    UpstreamWork,
)
from ibispaddle_core.scheduling.distance import CROSSING_WORK_MS
from ibispaddle_core.scheduling.least_work import NEAR_EQUAL_PENALTY, PENALTY_PER_WORK_MS
from ibispaddle_core.settings.fleet import FleetConfig

from .fakes import request

DATA_CENTRES = ("a", "b", "c")
ENGINES = 9  # In each data centre.


def config(delay_ms: float | None, **model: object) -> FleetConfig:
    pairs = [("a", "b"), ("a", "c"), ("b", "c")]
    delays = [{"first": first, "second": second, "delay_ms": delay_ms} for first, second in pairs]
    cfg = {"upstream_slots": 6, "delays": [] if delay_ms is None else delays, **model}
    return FleetConfig.from_document(
        {
            "neighbours": {"north": {}},
            "models": {"m": cfg},
            "scheduling": {"placement": "least_work"},
        }
    )


class DistanceTest(unittest.TestCase):
    def start(self, delay_ms: float | None = 0.9, own: str = "a", **model: object) -> None:
        self.scheduler = Scheduler.from_config(config(delay_ms, **model), 1, "boot-1", 0, own)
        upstreams = [
            Upstream(f"{name}{number}", name, ("m",))
            for name in DATA_CENTRES
            for number in range(ENGINES)
        ]
        self.scheduler.handle(UpstreamsChanged(tuple(upstreams)), 0)

    def arrive(self, number: int, **values: object) -> list:
        self.scheduler.handle(FleetPaces({}), 10 + number)
        req = request(f"q{number}", arrived_ms=10 + number, **values)
        return self.scheduler.handle(RequestArrived(req), 10 + number)

    def chosen(self, count: int, **values: object) -> Counter:
        """Return the number of requests that each data centre gets."""
        found = [item for number in range(count) for item in self.arrive(number, **values)]
        return Counter(item.upstream_id[0] for item in found)

    def test_equal_choices_stay_near(self) -> None:
        """Light load, evenly spread: every engine is idle, and each data centre serves its own."""
        for own in DATA_CENTRES:
            self.start(own=own)
            self.assertEqual(self.chosen(ENGINES), {own: ENGINES})

    def test_demand_that_moves_to_one_data_centre(self) -> None:
        """All callers move to one data centre: its engines must not be full while others are idle."""
        self.start()
        chosen = self.chosen(6 * ENGINES)
        self.assertLess(max(chosen.values()) - min(chosen.values()), ENGINES + 2)

    def test_far_data_centres_are_used_later(self) -> None:
        """Data centres that are 40 ms apart: the way there and back costs more than a wait of 46 ms for
        another request, and less than one for two of them."""
        self.start(40.0)
        self.assertEqual(self.chosen(2 * ENGINES), {"a": 2 * ENGINES})
        self.start(40.0)
        self.assertEqual(set(self.chosen(4 * ENGINES)), set(DATA_CENTRES))

    def test_busy_data_centre(self) -> None:
        """The others' long prompts fill the near engines, and short ones go to the next data centre."""
        self.start()
        work = {f"a{number}": UpstreamWork(500.0, 2, 50_000) for number in range(ENGINES)}
        self.scheduler.handle(PeerWork("fleet", work), 5)
        self.assertEqual(self.chosen(4)["a"], 0)

    def test_engines_that_share_a_prompt(self) -> None:
        """A long prompt is divided among engines that are near to each other while these are free."""
        self.start(max_helpers=4, harmless_reading_ms=50.0)
        values = {"prompt_tokens": 100_000, "ttft_objective_ms": 3_000}
        [dispatch] = self.arrive(0, **values)
        names = [dispatch.upstream_id, *dispatch.helper_ids]
        self.assertGreater(len(names), 1)
        self.assertEqual({name[0] for name in names}, {"a"})

    def test_crossing_outweighs_the_random_order(self) -> None:
        """Guards against a random order among equal engines that crosses data centres."""
        self.assertGreaterEqual(CROSSING_WORK_MS * PENALTY_PER_WORK_MS, NEAR_EQUAL_PENALTY)

    def test_without_delays_or_own_data_centre(self) -> None:
        """Deployments without delays, or with a single data centre, decide as before."""
        decisions = []
        for delay_ms, own in ((None, "a"), (0.9, ""), (None, "")):
            self.start(delay_ms, own)
            decisions.append([self.arrive(number) for number in range(40)])
        self.assertEqual(decisions[0], decisions[1])
        self.assertEqual(decisions[0], decisions[2])


if __name__ == "__main__":
    unittest.main()
