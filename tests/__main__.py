"""Run all test modules in parallel processes and print one summary line.

Each module runs in a separate process, so that a test that blocks its process cannot stop the
others. Tests that are listed in KNOWN-RED.txt are run and printed, but do not affect the result.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODULE_TIMEOUT_S = 300
PARALLEL_MODULES = 4  # Leaves CPU cores for the processes that the tests start.


def read_known_failures() -> dict[str, str]:
    """Return the ids of tests that are known to fail, with their entries in KNOWN-RED.txt."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    entries = (line.removeprefix("test: ") for line in lines if line.startswith("test: "))
    return {entry.split()[0]: entry for entry in entries}


def run_module(module: str, report: pathlib.Path) -> None:
    """Run one module in this process and write its results to the report file."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    outcome = unittest.TextTestRunner(stream=sys.stderr, verbosity=1).run(suite)
    failed = [case.id() for case, _ in outcome.failures + outcome.errors]
    failed += [case.id() for case in outcome.unexpectedSuccesses]
    report.write_text(
        json.dumps({"run": outcome.testsRun, "failed": failed, "skipped": len(outcome.skipped)})
    )


def run_in_subprocess(module: str) -> tuple[str, dict, str, float]:
    """Run one module in a subprocess and return its results and output."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        cmd = [sys.executable, "-m", "tests", "--module", module, "--report", str(report)]
        env = dict(os.environ, PYTHONHASHSEED="0")
        proc = subprocess.Popen(
            cmd, cwd=ROOT, env=env, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
        try:
            output, _ = proc.communicate(timeout=MODULE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            proc.kill()
            output = f"module '{module}' did not end within {MODULE_TIMEOUT_S} s"
        crashed = {"run": 1, "failed": [f"{module} (did not complete)"], "skipped": 0}
        results = json.loads(report.read_text()) if report.exists() else crashed
    return module, results, output, time.monotonic() - started


def discover(patterns: list[str]) -> list[str]:
    """Return the names of the test modules whose path contains one of the patterns."""
    paths = sorted(ROOT.glob("tests/**/test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return [name for name in names if not patterns or any(p in name for p in patterns)]


def main() -> int:
    """Run the selected modules and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*", help="run only modules whose name contains one")
    parser.add_argument("--module")
    parser.add_argument("--report", type=pathlib.Path)
    args = parser.parse_args()
    if args.module:
        run_module(args.module, args.report)
        return 0
    known_failures = read_known_failures()
    total = failed = skipped = 0
    with ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        for module, results, output, seconds in pool.map(
            run_in_subprocess, discover(args.patterns)
        ):
            unexpected = [test for test in results["failed"] if test not in known_failures]
            total += results["run"]
            failed += len(unexpected)
            skipped += results["skipped"] + len(results["failed"]) - len(unexpected)
            print(f"{'FAIL' if unexpected else 'ok  '} {module} {results['run']} {seconds:.1f}s")
            for test in results["failed"]:
                print(f"  {'failed' if test in unexpected else 'known to fail'}: {test}")
            if unexpected:
                print(output)
            sys.stdout.flush()
    print(f"{total - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not total else 0


if __name__ == "__main__":
    sys.exit(main())
