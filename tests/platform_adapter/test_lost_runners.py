"""Tests of runners that crash in silence while they share a long prompt with others.

The load pattern is a prompt of several hundred thousand tokens whose first runner loses its power: its
connections stay open, and its entry is removed after three missing heartbeats.
"""

import contextlib
import signal
import threading
import time
import unittest
from collections.abc import Callable, Sequence
from typing import Any

from ibispaddle_bench.processes import ManagedProcess

from tests.support.waiting import wait_until

from .processes import Platform, configuration, route
from .supervised_runner import SupervisedRunner

# The platform removes an entry after three intervals of 1.2 s.
REMOVED_AFTER_S = 3.6
# Time after a crash within which the memory that was reserved for its work must be free.
FREE_S = 4.0
TOKENS = "400000,700"


Runner = ManagedProcess | SupervisedRunner


class SharedPromptTest(unittest.TestCase):
    """A prompt that several runners share, and that the first of them doesn't end."""

    runners: Sequence[Runner]

    def start_platform(self, runners: int) -> Platform:
        platform = Platform(runners=runners)
        self.addCleanup(platform.__exit__)
        long = route("long", "streaming", "llm", resumable=True, gap_aim_ms=1_000)
        long |= {"timeout_ms": 15_000, "slo_ms": 2_500}
        platform.configure(configuration(2, routes=[long]))
        wait_until(lambda: platform.instance.events("config_in_force")[1:], "version")
        return platform

    def start_prompt(self) -> Runner:
        """Send a prompt that two runners share and return its first runner."""

        def run() -> None:
            headers = {"Token_Count": TOKENS, "Deadline_Ms": "15000"}
            with contextlib.suppress(OSError):  # The instance ends with the test.
                self.platform.instance.call("POST", "/long/x", b"prompt", **headers)

        threading.Thread(target=run, daemon=True).start()
        wait_until(lambda: any(r.state()["runs"] for r in self.runners), "run", 5)
        return next(r for r in self.runners if r.state()["runs"])

    def reserved(self, runners: Sequence[Runner]) -> list[str]:
        return [handle for runner in runners for handle in runner.state()["reserved"]]

    def check_memory_is_freed(self, silence: Callable[[Any], None]) -> None:
        """Silence the first runner and check that the memory at the others is free in time."""
        first = self.start_prompt()
        others = [runner for runner in self.runners if runner is not first]
        kept = set(self.reserved(others))
        self.assertTrue(kept)
        silence(first)
        crashed_s = time.monotonic()
        time.sleep(REMOVED_AFTER_S)
        self.assertTrue(kept & set(self.reserved(others)))  # It might only be slow to report.
        self.platform.put("keyed.servers", first.name, None)
        while kept & set(self.reserved(others)) and time.monotonic() < crashed_s + FREE_S:
            time.sleep(0.02)
        self.assertEqual(kept & set(self.reserved(others)), set())


class LostRunnerTest(SharedPromptTest):
    def setUp(self) -> None:
        self.platform = self.start_platform(runners=3)
        self.runners = self.platform.runners
        for runner in self.platform.runners:
            runner.set_faults(delay_s=30)

    def test_memory_at_other_runners_is_freed(self) -> None:
        """Guards against memory that is kept after the silent crash of the first runner (review/5)."""

        def stop(runner: ManagedProcess) -> None:
            runner.signal(signal.SIGSTOP)
            self.addCleanup(runner.signal, signal.SIGCONT)

        self.check_memory_is_freed(stop)

    def test_running_work_of_an_unlisted_runner_is_kept(self) -> None:
        """Guards against work that is given up because its runner could not report for a while."""
        first = self.start_prompt()
        kept = set(self.reserved(self.runners))
        self.platform.put("keyed.servers", first.name, None)
        time.sleep(FREE_S)
        self.assertEqual(set(self.reserved(self.runners)), kept)
        self.assertEqual(self.platform.instance.events("attempt_failed"), [])


class ReusedAddressTest(SharedPromptTest):
    def setUp(self) -> None:
        self.platform = self.start_platform(runners=0)
        runners = []
        for number in range(3):
            runners.append(SupervisedRunner(self.platform, f"llm-{number}", True, delay_s=30))
            self.addCleanup(runners[-1].close)
        self.runners = runners
        instance = self.platform.instance
        wait_until(lambda: len(instance.events("upstream_added")) >= 4, "upstreams")

    def test_memory_is_freed_although_another_process_responds(self) -> None:
        """Guards against memory that is kept because the address of a lost runner was used again."""
        response = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        self.check_memory_is_freed(lambda runner: runner.stop_and_answer(response))


if __name__ == "__main__":
    unittest.main()
