"""A short seeded soak run in which instances reach no upstream."""

import unittest

from .plan import create_plan
from .run import run

# Seeds whose runs had violations are added here with the cause.
SEEDS = (1,)


class IsolationTest(unittest.TestCase):
    def test_invariants_hold_while_instances_reach_no_upstream(self) -> None:
        """Guards against callers who are served worse where no upstream is reached (issue 49)."""
        for seed in SEEDS:
            result = run(create_plan(seed, has_isolation=True))
            self.assertEqual(list(result.violations), [], result.plan)
            self.assertGreater(result.outcomes["200"], 100)


if __name__ == "__main__":
    unittest.main()
