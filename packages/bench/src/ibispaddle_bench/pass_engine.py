"""Simulation in virtual time of an engine that computes in passes of several steps.

A pass with streams runs `stride` steps; each step generates one token of every stream and prefills some
prompt tokens. A pass without streams is one step. Several engines can each prefill a part of a prompt; its
first token follows when the last part is complete. All times are in milliseconds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class PassCosts:
    """The costs and limits of an engine, in milliseconds and tokens."""

    slots: int = 8
    kv_tokens: int = 232_000
    stride: int = 43
    chunk_tokens: int = 2_048
    step_ms: float = 1.02
    step_ms_per_stream: float = 0.0045
    prefill_tokens_per_ms: float = 206.0
    attention_ms_per_million_pairs: float = 0.138
    tokens_per_event: int = 43

    def prefill_ms(self, tokens: float) -> float:
        """Return the time to prefill a whole prompt on one engine."""
        return (
            tokens / self.prefill_tokens_per_ms
            + self.attention_ms_per_million_pairs * tokens * tokens / 2e6
        )


@dataclass(eq=False)
class Prompt:
    """A request: a prompt, which may be prefilled in parts, and the length of its output."""

    tokens: int
    output_tokens: int
    on_first_token: Callable[[float], None]
    on_done: Callable[[float, float], None]  # Time, and the longest gap between events.
    priority: int = 5
    remaining_parts: int = 1
    is_cancelled: bool = False


@dataclass(eq=False)
class _PromptPart:
    prompt: Prompt
    remaining_ms: float
    owner: "PassEngine"


@dataclass(eq=False)
class _Stream:
    prompt: Prompt
    generated: int = 0
    event_count: int = 0
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0


@dataclass
class PassEngine:
    """A simulated engine; `schedule(at_ms, action)` adds an event to the simulation."""

    costs: PassCosts
    schedule: Callable[[float, Callable[[], None]], None]
    _prefilling: list[_PromptPart] = field(default_factory=list)
    _streams: list[_Stream] = field(default_factory=list)
    _queue: list[tuple[int, int, Prompt, list["PassEngine"]]] = field(default_factory=list)
    _admitted: int = 0
    _submitted: int = 0
    _is_busy: bool = False
    used_tokens: int = 0

    def submit(self, now_ms: float, prompt: Prompt, helpers: list["PassEngine"]) -> None:
        """Add a prompt, which is queued while all slots are in use; `helpers` prefill parts of it."""
        self._submitted += 1
        self._queue.append((prompt.priority, self._submitted, prompt, helpers))
        self._queue.sort(key=lambda item: item[:2])
        self._admit(now_ms)

    def _admit(self, now_ms: float) -> None:
        while self._queue and self._admitted < self.costs.slots:
            _, _, prompt, helpers = self._queue.pop(0)
            if prompt.is_cancelled:
                continue
            self._admitted += 1
            engines = [self, *helpers]
            prompt.remaining_parts = len(engines)
            part_ms = self.costs.prefill_ms(prompt.tokens) / len(engines)
            for engine in engines:
                engine._enqueue_part(now_ms, _PromptPart(prompt, part_ms, self))

    def _enqueue_part(self, now_ms: float, part: _PromptPart) -> None:
        # A part of another engine's prompt goes to the front, so the latest such part is prefilled first.
        index = 0
        if part.owner is self:
            index = len(self._prefilling)
            while index and self._precedes(part, self._prefilling[index - 1]):
                index -= 1
        self._prefilling.insert(index, part)
        self._begin_pass(now_ms)

    def _precedes(self, part: _PromptPart, other: _PromptPart) -> bool:
        return other.owner is self and other.prompt.priority > part.prompt.priority

    def _begin_pass(self, now_ms: float) -> None:
        if self._is_busy or not (self._prefilling or self._streams):
            return
        self._is_busy = True
        costs = self.costs
        steps = costs.stride if self._streams else 1
        step_ms = costs.step_ms + costs.step_ms_per_stream * len(self._streams)
        duration_ms = steps * step_ms
        remaining_ms = steps * costs.chunk_tokens / costs.prefill_tokens_per_ms
        prefilled: list[tuple[_PromptPart, float]] = []
        for part in self._prefilling:
            used_ms = min(remaining_ms, part.remaining_ms)
            prefilled.append((part, used_ms))
            remaining_ms -= used_ms
            duration_ms += used_ms
            if remaining_ms <= 0:
                break
        end_ms = now_ms + duration_ms
        streams = list(self._streams)
        self.schedule(end_ms, lambda: self._end_pass(end_ms, steps, prefilled, streams))

    def _end_pass(
        self,
        now_ms: float,
        steps: int,
        prefilled: list[tuple[_PromptPart, float]],
        streams: list[_Stream],
    ) -> None:
        for part, used_ms in prefilled:
            part.remaining_ms -= used_ms
            if part.remaining_ms <= 1e-9 or part.prompt.is_cancelled:
                self._prefilling.remove(part)
                part.owner._end_part(now_ms, part.prompt)
        for stream in streams:
            self._advance_stream(now_ms, steps, stream)
        self._is_busy = False
        self._admit(now_ms)
        self._begin_pass(now_ms)

    def _end_part(self, now_ms: float, prompt: Prompt) -> None:
        prompt.remaining_parts -= 1
        if prompt.remaining_parts:
            return
        if prompt.is_cancelled:
            self._admitted -= 1
            self._admit(now_ms)
            return
        self._streams.append(_Stream(prompt, last_event_ms=now_ms))
        prompt.on_first_token(now_ms)
        self._begin_pass(now_ms)

    def _advance_stream(self, now_ms: float, steps: int, stream: _Stream) -> None:
        prompt = stream.prompt
        stream.generated += steps
        event_count = math.floor(stream.generated / self.costs.tokens_per_event)
        is_complete = stream.generated >= prompt.output_tokens
        if event_count > stream.event_count or is_complete:
            gap_ms = now_ms - stream.last_event_ms
            stream.longest_gap_ms = max(stream.longest_gap_ms, gap_ms)
            stream.event_count, stream.last_event_ms = event_count, now_ms
        if is_complete or prompt.is_cancelled:
            self._streams.remove(stream)
            self._admitted -= 1
            if not prompt.is_cancelled:
                prompt.on_done(now_ms, stream.longest_gap_ms)
