"""Tests of the retry budget that hundreds of instances share.

All upstreams of a service fail for some seconds while 195 instances receive about one request per
second each. A budget of each instance's own would multiply with the size of the fleet.
"""

import heapq
import random
import unittest

from ibispaddle_core.hubs import AttemptAggregator
from ibispaddle_core.scheduling import AttemptCounts, FleetAttempts
from ibispaddle_core.scheduling.retries import FLEET_COUNTS_MAX_AGE_MS, WINDOW_MS, RetryBudget

INSTANCES = 195
REQUESTS_PER_S = 150
RATIO, SLACK, FLOOR = 0.2, 460, 55
SERVICE = "llm"
# One-way delay between an instance and a hub, including the processing time of the hub.
MESSAGE_MS = 2
DURATION_MS = 20_000


class Instance:
    """Report attempts to a hub and request the fleet's counts before each retry."""

    def __init__(self, name: str, aggregator: AttemptAggregator) -> None:
        self.name, self.aggregator = name, aggregator
        self.budget = RetryBudget(RATIO, FLOOR, SLACK)

    def update(self, now_ms: int) -> None:
        self.aggregator.update(self.name, self.budget.totals, now_ms)

    def request_fleet_counts(self, now_ms: int) -> None:
        counts = self.aggregator.total_excluding(self.name, now_ms)
        self.budget.set_fleet_attempts(FleetAttempts(counts, INSTANCES), now_ms)


def retries_of_a_fleet(attempts: int, seed: int) -> list[int]:
    """Return the times of all retries while every attempt fails after 100 ms."""
    rng = random.Random(seed)
    aggregator = AttemptAggregator("hub", -WINDOW_MS)
    fleet = [Instance(f"i{number}", aggregator) for number in range(INSTANCES)]
    for instance in fleet:
        instance.update(0)
    # Time, order, action, instance, attempt.
    due: list[tuple[int, int, str, Instance, int]] = []
    for number in range(DURATION_MS * REQUESTS_PER_S // 1000):
        arrives_ms = rng.randrange(DURATION_MS)
        heapq.heappush(due, (arrives_ms, number, "send", rng.choice(fleet), 1))
    times = []
    number = len(due)
    while due:
        now_ms, _, action, instance, attempt = heapq.heappop(due)
        number += 1
        match action:
            case "send":
                if attempt == 1:
                    instance.budget.count_first_attempt(SERVICE, now_ms)
                heapq.heappush(due, (now_ms + MESSAGE_MS, number, "reported", instance, attempt))
                if attempt < attempts:
                    heapq.heappush(due, (now_ms + 100, number, "failed", instance, attempt))
            case "reported":
                instance.update(now_ms)
            case "failed":
                instance.request_fleet_counts(now_ms + MESSAGE_MS)
                if instance.budget.try_acquire(SERVICE, now_ms + 2 * MESSAGE_MS):
                    times.append(now_ms + 2 * MESSAGE_MS)
                    heapq.heappush(due, (times[-1], number, "send", instance, attempt + 1))
    return sorted(times)


class FleetRetriesTest(unittest.TestCase):
    def test_all_instances_together_keep_the_budget(self) -> None:
        """Guards against 195 instances that each use the whole slack."""
        for seed in range(3):
            times = retries_of_a_fleet(attempts=4, seed=seed)
            allowed = RATIO * REQUESTS_PER_S * WINDOW_MS / 1000 + SLACK
            most = max(
                sum(start <= at < start + WINDOW_MS for at in times)
                for start in range(0, DURATION_MS, 250)
            )
            self.assertLessEqual(most, allowed)
            # The budget must not be much stricter than configured.
            self.assertGreater(most, 0.6 * allowed)

    def test_fleet_whose_hub_has_just_started_keeps_the_budget(self) -> None:
        """Guards against a restarted hub that counts from zero although instances have retried."""
        budgets = [RetryBudget(RATIO, FLOOR, SLACK) for _ in range(INSTANCES)]
        aggregator = AttemptAggregator("hub", started_ms=0)
        taken = 0
        for budget in budgets:
            budget.set_fleet_attempts(
                FleetAttempts(aggregator.total_excluding("a", 100), INSTANCES), 100
            )
            taken += sum(budget.try_acquire(SERVICE, 200) for _ in range(20))
        self.assertLessEqual(taken, SLACK)

    def test_retries_of_other_instances_count(self) -> None:
        """Guards against a retry although the other instances have used up the budget."""
        budget = RetryBudget(RATIO, FLOOR, SLACK)
        budget.set_fleet_attempts(FleetAttempts({SERVICE: AttemptCounts(0, SLACK)}), 0)
        self.assertFalse(budget.try_acquire(SERVICE, 1))
        budget.set_fleet_attempts(FleetAttempts({}), 2)
        self.assertTrue(budget.try_acquire(SERVICE, 3))

    def test_instance_without_fleet_counts_has_a_local_allowance(self) -> None:
        """Guards against no retries, or unbounded ones, while an instance reaches no hub."""
        budget = RetryBudget(RATIO, 3, SLACK)
        budget.set_fleet_attempts(FleetAttempts({SERVICE: AttemptCounts(0, SLACK)}), 0)
        now_ms = FLEET_COUNTS_MAX_AGE_MS + 1
        self.assertEqual(sum(budget.try_acquire(SERVICE, now_ms) for _ in range(10)), 3)

    def test_instance_that_has_just_become_a_hub_has_no_counts(self) -> None:
        """Guards against a new hub that takes the retries before its first reports for none."""
        aggregator = AttemptAggregator("hub", 0)
        aggregator.update("hub", {SERVICE: AttemptCounts(3, 1)}, 3 * WINDOW_MS - 1)
        aggregator.update("a", {SERVICE: AttemptCounts(900, 400)}, 3 * WINDOW_MS)
        self.assertIsNone(aggregator.total_excluding("b", 3 * WINDOW_MS + 10))
        for now_ms in range(3 * WINDOW_MS + 500, 4 * WINDOW_MS, 500):
            aggregator.update("a", {SERVICE: AttemptCounts(900, 400)}, now_ms)
        self.assertIsNotNone(aggregator.total_excluding("b", 4 * WINDOW_MS))

    def test_requests_for_another_service_do_not_count(self) -> None:
        """Guards against retries at a service in proportion to the requests for another one."""
        for counts in (None, {"other": AttemptCounts(10_000, 0)}):
            budget = RetryBudget(RATIO, FLOOR, SLACK)
            budget.set_fleet_attempts(FleetAttempts(counts, INSTANCES), 0)
            for _ in range(5_000):
                budget.count_first_attempt("other", 0)
            taken = sum(budget.try_acquire(SERVICE, 1) for _ in range(2_000))
            self.assertGreater(taken, 0)
            self.assertLessEqual(taken, SLACK)

    def test_aggregator_counts_each_service_apart(self) -> None:
        """Guards against a report on one service that hides the counts of another."""
        aggregator = AttemptAggregator("hub", -WINDOW_MS)
        aggregator.update("a", {}, 0)
        aggregator.update("a", {"x": AttemptCounts(3, 1)}, 1)
        aggregator.update("a", {"y": AttemptCounts(2, 0)}, 2)
        aggregator.update("a", {"x": AttemptCounts(4, 1)}, 3)
        expected = {"x": AttemptCounts(4, 1), "y": AttemptCounts(2, 0)}
        self.assertEqual(aggregator.total_excluding("b", 4), expected)

    def test_totals_of_a_restarted_instance_are_counted_from_zero(self) -> None:
        """Guards against negative counts after the totals of an instance restart at zero."""
        aggregator = AttemptAggregator("hub", -WINDOW_MS)
        for now_ms, totals in ((0, (5, 2)), (10, (9, 4)), (20, (1, 1))):
            aggregator.update("a", {SERVICE: AttemptCounts(*totals)}, now_ms)
        self.assertEqual(aggregator.total_excluding("b", 30), {SERVICE: AttemptCounts(5, 3)})
        self.assertEqual(aggregator.total_excluding("a", 30), {})
        self.assertEqual(aggregator.total_excluding("b", 21 + WINDOW_MS), {})


if __name__ == "__main__":
    unittest.main()
