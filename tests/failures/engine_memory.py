"""Base test case for prompts whose KV memory spans several engines."""

import time
from dataclasses import replace

from ibispaddle_bench.fleet import MODEL
from ibispaddle_bench.processes import ManagedProcess

from tests.support.waiting import wait_until

from .support import FleetTest, ModelCall, long_prompt

# A running instance retries a failed deletion after at most 2 s, and a call takes at most 1 s.
FREE_TIMEOUT_S = 3.5
# A handle expires 5 s after its request's deadline.
HANDLE_EXPIRY_AFTER_DEADLINE_S = 5.0
# Interval at which probes read the handles of an engine.
KV_PROBE_INTERVAL_S = 5.0
KV_TOKENS = 2_000
PROMPT_TOKENS = 2_500  # Needs the memory of two engines.
LONG_TOKENS = 500
FAST_DECODE_CONFIGURATION = {"models": {MODEL: {"decode_tokens_per_s": 1_000_000.0}}}


class MemoryTest(FleetTest):
    """A fleet of two engines, and prompts that need the memory of both."""

    SPEC = replace(
        FleetTest.SPEC,
        runners=2,
        kv_tokens=KV_TOKENS,
        configuration=FAST_DECODE_CONFIGURATION,
        time_scale=1.0,
    )

    def send_spanning_prompt(
        self,
        tokens: int = LONG_TOKENS,
        timeout_ms: int = 8_000,
        entry: ManagedProcess | None = None,
        **kwargs,
    ) -> ModelCall:
        """Send a prompt that spans both engines."""
        prompt = long_prompt(self.id().rpartition(".")[2], PROMPT_TOKENS)
        return ModelCall(
            entry or self.entry, prompt=prompt, tokens=tokens, timeout_ms=timeout_ms, **kwargs
        )

    def list_used_memory(self) -> dict[str, int]:
        """Return the tokens of memory in use by engine, for running engines with any in use."""
        used = {r.name: r.state()["kv_tokens_used"] for r in self.fleet.runners if r.running}
        return {name: tokens for name, tokens in used.items() if tokens}

    def reserving_engines(self) -> list[ManagedProcess]:
        """Return the engines on which memory is reserved, ordered by id."""
        return [runner for runner in self.fleet.runners if self.engine_handles(runner)]

    def wait_for_reservations(self, count: int) -> list[ManagedProcess]:
        """Wait until memory is reserved on the given number of engines and return the engines."""
        wait_until(
            lambda: len(self.reserving_engines()) == count, f"memory reserved on {count} engines"
        )
        return self.reserving_engines()

    def assert_memory_freed(self, timeout_s: float = FREE_TIMEOUT_S) -> None:
        """Check that all engine memory is freed within the time limit."""
        ends = time.monotonic() + timeout_s
        while (held := self.list_used_memory()) and time.monotonic() < ends:
            time.sleep(0.02)
        self.assertEqual(held, {}, f"engine memory is still in use after {timeout_s:.1f} s")
        for runner in self.fleet.runners:
            self.assertEqual(self.engine_handles(runner) if runner.running else {}, {}, runner.name)
