"""The retry budget that hundreds of instances share.

The load pattern is a service of which all upstreams fail for some seconds before 195 instances that take
about a request a second each. An allowance of each instance's own multiplies with the fleet.
"""

import heapq
import random
import unittest

from ibispaddle_core.hubs import AttemptAggregator
from ibispaddle_core.scheduling import AttemptCounts, FleetAttempts
from ibispaddle_core.scheduling.retries import FLEET_FRESH_MS, WINDOW_MS, RetryBudget

INSTANCES = 195
REQUESTS_PER_S = 150
RATIO, SLACK, FLOOR = 0.2, 460, 55
# One way between an instance and a hub, with the time the hub takes.
MESSAGE_MS = 2
DURATION_MS = 20_000


class Instance:
    """An instance that tells a hub of its attempts and asks it before each retry."""

    def __init__(self, name: str, board: AttemptAggregator) -> None:
        self.name, self.board = name, board
        self.budget = RetryBudget(RATIO, FLOOR, SLACK)

    def update(self, now_ms: int) -> None:
        self.board.update(self.name, self.budget.totals, now_ms)

    def ask(self, now_ms: int) -> None:
        counts = self.board.total_excluding(self.name, now_ms)
        self.budget.take_fleet(FleetAttempts(counts, INSTANCES), now_ms)


def retries_of_a_fleet(attempts: int, seed: int) -> list[int]:
    """Return the times of all retries while every attempt fails after 100 ms."""
    rng = random.Random(seed)
    board = AttemptAggregator(-WINDOW_MS)
    fleet = [Instance(f"i{number}", board) for number in range(INSTANCES)]
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
                    instance.budget.count_first_attempt(now_ms)
                heapq.heappush(due, (now_ms + MESSAGE_MS, number, "told", instance, attempt))
                if attempt < attempts:
                    heapq.heappush(due, (now_ms + 100, number, "failed", instance, attempt))
            case "told":
                instance.update(now_ms)
            case "failed":
                instance.ask(now_ms + MESSAGE_MS)
                if instance.budget.try_take(now_ms + 2 * MESSAGE_MS):
                    times.append(now_ms + 2 * MESSAGE_MS)
                    heapq.heappush(due, (times[-1], number, "send", instance, attempt + 1))
    return sorted(times)


class FleetRetriesTest(unittest.TestCase):
    def test_all_instances_together_keep_the_budget(self) -> None:
        """Guards against 195 instances that each use a slack of their own."""
        for seed in range(3):
            times = retries_of_a_fleet(attempts=4, seed=seed)
            allowed = RATIO * REQUESTS_PER_S * WINDOW_MS / 1000 + SLACK
            most = max(
                sum(start <= at < start + WINDOW_MS for at in times)
                for start in range(0, DURATION_MS, 250)
            )
            self.assertLessEqual(most, allowed)
            # The budget is there to be used.
            self.assertGreater(most, 0.6 * allowed)

    def test_fleet_whose_hub_has_just_started_keeps_the_budget(self) -> None:
        """Guards against a hub that counts from zero while the others have retried before."""
        budgets = [RetryBudget(RATIO, FLOOR, SLACK) for _ in range(INSTANCES)]
        board = AttemptAggregator(started_ms=0)
        taken = 0
        for budget in budgets:
            budget.take_fleet(FleetAttempts(board.total_excluding("a", 100), INSTANCES), 100)
            taken += sum(budget.try_take(200) for _ in range(20))
        self.assertLessEqual(taken, 2 * SLACK)

    def test_retries_of_others_count(self) -> None:
        """Guards against a retry beyond what the others have left."""
        budget = RetryBudget(RATIO, FLOOR, SLACK)
        budget.take_fleet(FleetAttempts(AttemptCounts(0, SLACK)), 0)
        self.assertFalse(budget.try_take(1))
        budget.take_fleet(FleetAttempts(AttemptCounts(0, 0)), 2)
        self.assertTrue(budget.try_take(3))

    def test_instance_without_news_has_an_allowance_of_its_own(self) -> None:
        """Guards against an instance that reaches no hub and cannot retry, or retries without bound."""
        budget = RetryBudget(RATIO, 3, SLACK)
        budget.take_fleet(FleetAttempts(AttemptCounts(0, SLACK)), 0)
        now_ms = FLEET_FRESH_MS + 1
        self.assertEqual(sum(budget.try_take(now_ms) for _ in range(10)), 3)

    def test_restarted_instance_is_counted_anew(self) -> None:
        """Guards against negative counts after the totals of an instance begin at zero again."""
        board = AttemptAggregator(-WINDOW_MS)
        for now_ms, totals in ((0, (5, 2)), (10, (9, 4)), (20, (1, 1))):
            board.update("a", AttemptCounts(*totals), now_ms)
        self.assertEqual(board.total_excluding("b", 30), AttemptCounts(5, 3))
        self.assertEqual(board.total_excluding("a", 30), AttemptCounts(0, 0))
        self.assertEqual(board.total_excluding("b", 21 + WINDOW_MS), AttemptCounts(0, 0))


if __name__ == "__main__":
    unittest.main()
