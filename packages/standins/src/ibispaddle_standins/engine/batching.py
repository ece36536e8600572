"""Simulation of continuous batching.

Waiting sequences are admitted in order of priority and arrival as long as their memory fits. The
first admitted sequence in the same order gets the whole prefill rate, and every decoding sequence
gets one token per decode step. The rates are multiplied by `time_scale`.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from .memory import Memory

# Minimum wall time between wake-ups for decode steps. Shorter steps are processed in batches, which
# bounds the CPU time of a stand-in with a high time scale.
MIN_STEP_S = 0.002


class Phase(StrEnum):
    """State of a sequence."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass(eq=False)
class Sequence:
    """A request that the engine processes."""

    request_id: str
    completion_id: str
    model: str
    prompt_digest: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    order: int
    memory_tokens: int  # Allocated while admitted; 0 if handles have reserved the memory.
    prefix_hashes: list[str] = field(default_factory=list)
    has_crash_marker: bool = False
    phase: Phase = Phase.WAITING
    prefill_remaining: float = 0.0
    cached_tokens: int = 0
    generated: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    readers: int = 0
    unread_since: float = 0.0
    started: bool = False

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the key that orders sequences by priority and arrival."""
        return (self.priority, self.order)

    @property
    def ran(self) -> bool:
        """Return whether the engine computed anything for the sequence."""
        return self.started

    @property
    def ended(self) -> bool:
        """Return whether the sequence is finished or cancelled."""
        return self.phase in (Phase.FINISHED, Phase.CANCELLED)


class Batcher:
    """Schedule and advance all sequences of an engine."""

    def __init__(
        self,
        memory: Memory,
        prefill_tokens_per_s: float,
        decode_tokens_per_s: float,
        max_batch: int,
        time_scale: float,
    ) -> None:
        self.memory = memory
        self.prefill_rate = prefill_tokens_per_s * time_scale
        self.decode_rate = decode_tokens_per_s * time_scale
        self.max_batch = max_batch
        self.frozen = False
        self.waiting: list[Sequence] = []
        self.prefilling: list[Sequence] = []
        self.decoding: list[Sequence] = []
        self.tokens_generated = 0
        self.tokens_prefilled = 0.0
        self.on_first_work: Callable[[Sequence], None] = lambda sequence: None
        self.on_tokens: Callable[[Sequence], None] = lambda sequence: None
        self._wake = asyncio.Event()
        self._last_s = time.monotonic()
        self._steps_due = 0.0

    @property
    def running(self) -> int:
        """Return the number of admitted sequences."""
        return len(self.prefilling) + len(self.decoding)

    @property
    def queued_prefill_tokens(self) -> int:
        """Return the number of prompt tokens that are yet to be computed."""
        waiting = sum(sequence.prompt_tokens for sequence in self.waiting)
        return waiting + int(sum(sequence.prefill_remaining for sequence in self.prefilling))

    def submit(self, sequence: Sequence) -> None:
        """Add a sequence to the queue."""
        self._advance()
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda entry: entry.sort_key)
        self._admit()
        self._wake.set()

    def cancel(self, sequence: Sequence) -> bool:
        """Cancel a sequence and free its memory; return whether it hadn't ended yet."""
        if sequence.ended:
            return False
        self._advance()
        if sequence.ended:
            return False
        self._end_sequence(sequence, Phase.CANCELLED)
        self._wake.set()
        return True

    def retry_admission(self) -> None:
        """Try to admit waiting sequences, after memory was freed by others than sequences."""
        self._wake.set()

    def set_frozen(self, frozen: bool) -> None:
        """Pause or continue all computation."""
        self._advance()
        self.frozen = frozen
        self._wake.set()

    async def run(self) -> None:
        """Advance the sequences until the task is cancelled."""
        while True:
            self._wake.clear()
            self._advance()
            self._admit()
            delay = self._next_wakeup_delay_s()
            if delay is None:
                await self._wake.wait()
            elif not self._wake.is_set():
                loop = asyncio.get_running_loop()
                timer = loop.call_later(delay, self._wake.set)
                await self._wake.wait()
                timer.cancel()

    def _next_wakeup_delay_s(self) -> float | None:
        if self.frozen or not self.running:
            return None
        delays = []
        if self.prefilling:
            delays.append(self.prefilling[0].prefill_remaining / self.prefill_rate)
        if self.decoding:
            delays.append(max(MIN_STEP_S, (1.0 - self._steps_due) / self.decode_rate))
        return max(0.0005, min(delays))

    def _admit(self) -> None:
        while self.waiting and self.running < self.max_batch and not self.frozen:
            sequence = self.waiting[0]
            if sequence.memory_tokens and not self.memory.fits(sequence.memory_tokens):
                break
            self.waiting.pop(0)
            self.memory.allocate(sequence.memory_tokens)
            sequence.cached_tokens = self.memory.cached_tokens(sequence.prefix_hashes)
            # The prompt's last token is always computed, because that yields the first output
            # token.
            remaining = max(1, sequence.prompt_tokens - sequence.cached_tokens)
            sequence.prefill_remaining = float(remaining)
            sequence.phase = Phase.PREFILL
            self.prefilling.append(sequence)
            self.prefilling.sort(key=lambda entry: entry.sort_key)

    def _advance(self) -> None:
        now = time.monotonic()
        elapsed = now - self._last_s
        self._last_s = now
        if self.frozen:
            return
        self._advance_decoding(elapsed)
        self._advance_prefill(elapsed)

    def _advance_decoding(self, elapsed: float) -> None:
        if not self.decoding:
            self._steps_due = 0.0
            return
        self._steps_due += elapsed * self.decode_rate
        steps = int(self._steps_due)
        self._steps_due -= steps
        if steps:
            for sequence in list(self.decoding):
                self._generate(sequence, steps)

    def _advance_prefill(self, elapsed: float) -> None:
        budget = elapsed * self.prefill_rate
        while self.prefilling and budget > 0:
            sequence = self.prefilling[0]
            if not sequence.started:
                sequence.started = True
                self.on_first_work(sequence)
            used = min(budget, sequence.prefill_remaining)
            budget -= used
            sequence.prefill_remaining -= used
            self.tokens_prefilled += used
            if sequence.prefill_remaining >= 0.5:
                break
            self.prefilling.remove(sequence)
            sequence.phase = Phase.DECODE
            self.decoding.append(sequence)
            self._generate(sequence, 1)

    def _generate(self, sequence: Sequence, tokens: int) -> None:
        added = min(tokens, sequence.max_tokens - sequence.generated)
        sequence.generated += added
        self.tokens_generated += added
        sequence.changed.set()
        self.on_tokens(sequence)
        if sequence.generated >= sequence.max_tokens:
            self._end_sequence(sequence, Phase.FINISHED)

    def _end_sequence(self, sequence: Sequence, phase: Phase) -> None:
        if sequence.phase is Phase.WAITING:
            self.waiting.remove(sequence)
        else:
            members = self.prefilling if sequence.phase is Phase.PREFILL else self.decoding
            members.remove(sequence)
            self.memory.free(sequence.memory_tokens)
            if phase is Phase.FINISHED:
                self.memory.add_to_cache(sequence.prefix_hashes)
        sequence.phase = phase
        sequence.changed.set()
