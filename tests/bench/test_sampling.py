"""Tests of the sampling profiler."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from ibispaddle_bench.sampling import read_costs

PROGRAM = """
import sys, time

def busy():
    ends = time.process_time() + 0.3
    while time.process_time() < ends:
        pass

busy()
sys.exit(int(sys.argv[1]))
"""


class SamplingTest(unittest.TestCase):
    def test_costs_name_the_busy_function(self):
        """Guard against a profile that misses the function that uses the CPU."""
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "busy_program.py").write_text(PROGRAM)
            output = Path(folder, "profile.json")
            command = ["-m", "ibispaddle_bench.sampling", str(output), "-m", "busy_program", "3"]
            process = subprocess.run([sys.executable, *command], cwd=folder, timeout=30)
            costs = read_costs(output)
        self.assertEqual(process.returncode, 3)
        self.assertTrue(costs[0].function.endswith(" busy"), costs[0])
        self.assertGreater(costs[0].own, 0.8)


if __name__ == "__main__":
    unittest.main()
