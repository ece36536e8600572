"""Fleets for prompts that span engines."""

import time
from dataclasses import replace

from ibispaddle_bench.fleet import MODEL
from ibispaddle_bench.processes import ManagedProcess

from tests.support.waiting import wait_until

from .support import Call, FleetTest, long_prompt

# A living instance repeats a lost deletion after at most 2 s; a call takes 1 s at most.
FREED_S = 3.5
# A handle expires 5 s after its request's deadline.
EXPIRY_GRACE_S = 5.0
# Probes read the handles of an engine this often.
KV_PROBE_S = 5.0
KV_TOKENS = 2_000
PROMPT_TOKENS = 2_500  # Needs the memory of two engines.
LONG_TOKENS = 500
OPTIMISTIC = {"models": {MODEL: {"decode_tokens_per_s": 1_000_000.0}}}


class MemoryTest(FleetTest):
    """Run prompts that span both engines."""

    SPEC = replace(
        FleetTest.SPEC, runners=2, kv_tokens=KV_TOKENS, configuration=OPTIMISTIC, time_scale=1.0
    )

    def spanning(
        self,
        tokens: int = LONG_TOKENS,
        timeout_ms: int = 8_000,
        entry: ManagedProcess | None = None,
        **kwargs,
    ) -> Call:
        """Send a prompt that spans engines."""
        prompt = long_prompt(self.id().rpartition(".")[2], PROMPT_TOKENS)
        return Call(
            entry or self.entry, prompt=prompt, tokens=tokens, timeout_ms=timeout_ms, **kwargs
        )

    def held(self) -> dict[str, int]:
        """Return the memory in use at the engines that run, by engine."""
        used = {r.name: r.state()["kv_tokens_used"] for r in self.fleet.runners if r.running}
        return {name: tokens for name, tokens in used.items() if tokens}

    def holders(self) -> list[ManagedProcess]:
        """Return the engines on which memory is reserved, in id order."""
        return [runner for runner in self.fleet.runners if self.handles(runner)]

    def wait_for_holders(self, count: int) -> list[ManagedProcess]:
        """Return the engines that hold memory when there are so many."""
        wait_until(lambda: len(self.holders()) == count, f"memory at {count} engines")
        return self.holders()

    def assert_freed(self, timeout_s: float = FREED_S) -> None:
        """Check that no engine holds memory within the time limit."""
        ends = time.monotonic() + timeout_s
        while (held := self.held()) and time.monotonic() < ends:
            time.sleep(0.02)
        self.assertEqual(held, {}, f"engine memory is held after {timeout_s:.1f} s")
        for runner in self.fleet.runners:
            self.assertEqual(self.handles(runner) if runner.running else {}, {}, runner.name)
