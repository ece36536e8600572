"""Tests of runners that crash in silence while they share a long prompt with others.

The load pattern is a prompt of several hundred thousand tokens whose first runner loses its power: its
connections stay open, and its entry is removed after three missing heartbeats.
"""

import contextlib
import signal
import threading
import time
import unittest
from typing import Any

from ibispaddle_bench.processes import ManagedProcess, call_json

from tests.support.waiting import wait_until

from .processes import Platform, configuration, route
from .supervised_runner import SupervisedRunner

# The platform removes an entry after three intervals of 1.2 s.
REMOVED_AFTER_S = 3.6
# Time after a crash within which the memory that was reserved for its work must be free.
FREE_S = 4.0
TOKENS = "400000,700"


class LostRunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(runners=3)
        self.addCleanup(self.platform.__exit__)
        long = route("long", "streaming", "llm", resumable=True, gap_aim_ms=1_000)
        long |= {"timeout_ms": 15_000, "slo_ms": 2_500}
        self.platform.configure(configuration(2, routes=[long]))
        wait_until(lambda: self.platform.instance.events("config_in_force")[1:], "version")
        for runner in self.platform.runners:
            runner.set_faults(delay_s=30)

    def start_prompt(self) -> ManagedProcess:
        """Send a prompt that two runners share and return its first runner."""

        def run() -> None:
            headers = {"Token_Count": TOKENS, "Deadline_Ms": "15000"}
            with contextlib.suppress(OSError):  # The instance ends with the test.
                self.platform.instance.call("POST", "/long/x", b"prompt", **headers)

        threading.Thread(target=run, daemon=True).start()
        wait_until(lambda: any(r.state()["runs"] for r in self.platform.runners), "run", 5)
        return next(r for r in self.platform.runners if r.state()["runs"])

    def reserved(self, runners: list[ManagedProcess]) -> list[str]:
        return [handle for runner in runners for handle in runner.state()["reserved"]]

    def test_memory_at_other_runners_is_freed(self) -> None:
        """Guards against memory that is kept after the silent crash of the first runner (review/5)."""
        first = self.start_prompt()
        others = [runner for runner in self.platform.runners if runner is not first]
        kept = set(self.reserved(others))
        self.assertTrue(kept)
        first.signal(signal.SIGSTOP)
        self.addCleanup(first.signal, signal.SIGCONT)
        crashed_s = time.monotonic()
        time.sleep(REMOVED_AFTER_S)
        self.assertTrue(kept & set(self.reserved(others)))  # It might only be slow to report.
        self.platform.put("keyed.servers", first.name, None)
        while kept & set(self.reserved(others)) and time.monotonic() < crashed_s + FREE_S:
            time.sleep(0.02)
        self.assertEqual(kept & set(self.reserved(others)), set())

    def test_running_work_of_an_unlisted_runner_is_kept(self) -> None:
        """Guards against work that is given up because its runner could not report for a while."""
        first = self.start_prompt()
        kept = set(self.reserved(self.platform.runners))
        self.platform.put("keyed.servers", first.name, None)
        time.sleep(FREE_S)
        self.assertEqual(set(self.reserved(self.platform.runners)), kept)
        self.assertEqual(self.platform.instance.events("attempt_failed"), [])


class ReusedAddressTest(unittest.TestCase):
    def test_memory_is_freed_although_another_process_responds(self) -> None:
        """Guards against memory that is kept because the address of a lost runner was used again."""
        platform = Platform(runners=0)
        self.addCleanup(platform.__exit__)
        long = route("long", "streaming", "llm", resumable=True, gap_aim_ms=1_000)
        long |= {"timeout_ms": 15_000, "slo_ms": 2_500}
        platform.configure(configuration(2, routes=[long]))
        wait_until(lambda: platform.instance.events("config_in_force")[1:], "version")
        runners = []
        for number in range(3):
            runners.append(SupervisedRunner(platform, f"llm-{number}", True, delay_s=30))
            self.addCleanup(runners[-1].close)
        wait_until(lambda: len(platform.instance.events("upstream_added")) >= 4, "upstreams")

        def state(runner: SupervisedRunner) -> Any:
            return call_json(f"http://{runner.address}/admin/state")

        def run() -> None:
            headers = {"Token_Count": TOKENS, "Deadline_Ms": "15000"}
            with contextlib.suppress(OSError):  # The instance ends with the test.
                platform.instance.call("POST", "/long/x", b"prompt", **headers)

        threading.Thread(target=run, daemon=True).start()
        wait_until(lambda: any(state(r)["runs"] for r in runners), "run", 5)
        first = next(r for r in runners if state(r)["runs"])
        others = [runner for runner in runners if runner is not first]
        kept = {handle for runner in others for handle in state(runner)["reserved"]}
        self.assertTrue(kept)

        def is_kept() -> bool:
            return any(kept & set(state(runner)["reserved"]) for runner in others)

        first.stop_and_answer(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        crashed_s = time.monotonic()
        time.sleep(REMOVED_AFTER_S)
        self.assertTrue(is_kept())  # It might only be slow to report.
        platform.put("keyed.servers", first.name, None)
        while is_kept() and time.monotonic() < crashed_s + FREE_S:
            time.sleep(0.02)
        self.assertFalse(is_kept())


if __name__ == "__main__":
    unittest.main()
