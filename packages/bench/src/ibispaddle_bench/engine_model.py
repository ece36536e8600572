"""Simulation of a language-model engine in virtual time: continuous batching with chunked prefill.

The engine works in steps. A step prefills at most `CHUNK_TOKENS` prompt tokens, highest priority
first, and generates one token of every decoding stream. All times are in milliseconds.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ibispaddle_core.scheduling import RunnerLoad

PREFILL_TOKENS_PER_MS = 50.0
KV_TOKENS = 400_000
CHUNK_TOKENS = 2_048
# Prefilling a token takes twice as long at this position, because attention grows with the context.
ATTENTION_TOKENS = 500_000
DECODE_STEP_MS = 14.0
DECODE_STREAM_MS = 0.1
STEP_OVERHEAD_MS = 1.0
CACHE_TOKENS = 100_000  # Size of the prefix cache, which does not count against KV_TOKENS.


def prefill_ms(tokens: float, position: float = 0.0) -> float:
    """Return the prefill time of `tokens` tokens that start at `position` of the prompt."""
    mean_position = position + tokens / 2
    return tokens / PREFILL_TOKENS_PER_MS * (1 + mean_position / ATTENTION_TOKENS)


def idle_engine_ttft_ms(tokens: int, segments: int = 1) -> float:
    """Return the time to first token of a prompt whose segments each run on an idle engine.

    The last segment takes longest, because its tokens attend to all preceding tokens.
    """
    segment_tokens = tokens // segments
    steps = -(-segment_tokens // CHUNK_TOKENS)
    return prefill_ms(segment_tokens, (segments - 1) * segment_tokens) + steps * STEP_OVERHEAD_MS


@dataclass(slots=True)
class Job:
    """A request, or one segment of a large prompt, that an engine processes."""

    job_id: str
    neighbour: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    prefix: str = ""
    prefix_tokens: int = 0
    position: int = 0
    prompt_offset: int = 0  # Prompt tokens that precede this segment; its tokens attend to them.
    is_reserved: bool = False  # The memory was allocated by `Engine.reserve`.
    decodes: bool = True
    kv_tokens: int = 0
    on_first_token: Callable[[], None] = lambda: None
    on_done: Callable[[], None] = lambda: None
    on_failed: Callable[[], None] = lambda: None
    is_decoding: bool = False
    is_ended: bool = False


@dataclass
class Engine:
    """A simulated engine; `schedule(at_ms, action)` adds an event to the simulation."""

    engine_id: str
    schedule: Callable[[float, Callable[[], None]], None]
    boot_number: int = 0
    is_alive: bool = True
    is_leaving: bool = False
    jobs: dict[str, Job] = field(default_factory=dict)
    handles: dict[str, int] = field(default_factory=dict)
    used_tokens: int = 0
    consumed_ms: dict[str, dict[int, float]] = field(default_factory=dict)
    busy_ms: float = 0.0
    step_time_factor: float = 1.0  # Multiplies the duration of every step.
    frozen_until_ms: float = 0.0  # Steps that would end earlier end at this time.
    _waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    _prefilling: list[tuple[int, int, Job]] = field(default_factory=list)
    _decoding: list[tuple[int, int, Job]] = field(default_factory=list)
    _cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _stream_count: int = 0
    _step_number: int = 0
    _entry_count: int = 0
    _is_stepping: bool = False
    _report_seq: int = 0

    def submit(self, job: Job, now_ms: float) -> None:
        """Add a job to the queue; if the engine has crashed, the job fails immediately."""
        if not self.is_alive:
            job.on_failed()
            return
        self._entry_count += 1
        self.jobs[job.job_id] = job
        heapq.heappush(self._waiting, (job.priority, self._entry_count, job))
        if not self._is_stepping:
            self._begin_step(now_ms)

    def cancel(self, job_id: str) -> None:
        """Cancel a job and free its memory without calling its callbacks."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._release(job)

    def reserve(self, handle: str, tokens: int) -> bool:
        """Reserve memory and return whether it was granted; idempotent for each handle."""
        if handle in self.handles:
            return True
        if not self.is_alive or self.is_leaving or self.used_tokens + tokens > KV_TOKENS:
            return False
        self.handles[handle] = tokens
        self.used_tokens += tokens
        return True

    def free_reservation(self, handle: str) -> None:
        """Free the memory of a reservation; idempotent."""
        self.used_tokens -= self.handles.pop(handle, 0)

    def start_decode(self, job: Job, now_ms: float) -> None:
        """Start to decode the output of a segment job that has been prefilled."""
        if job.is_ended or not self.is_alive:
            return
        self._start_stream(job)
        if not self._is_stepping:
            self._begin_step(now_ms)

    def crash(self) -> None:
        """Fail all jobs and drop the memory and the prefix cache."""
        self.is_alive = False
        jobs = list(self.jobs.values())
        for job in jobs:
            self._release(job)
        self.jobs, self.handles, self.used_tokens = {}, {}, 0
        self._waiting, self._prefilling, self._decoding = [], [], []
        self._cache.clear()
        for job in jobs:
            job.on_failed()

    def restart(self) -> None:
        """Start again without jobs and with a new boot id."""
        self.boot_number += 1
        self.is_alive = True

    def load_report(self, now_ms: float) -> RunnerLoad:
        """Return the load report."""
        self._report_seq += 1
        entries = [j for _, _, j in self._waiting + self._prefilling if not j.is_ended]
        queued = sum(job.prompt_tokens - job.position for job in entries)
        return RunnerLoad(
            self.engine_id,
            f"{self.engine_id}/{self.boot_number}",
            self._report_seq,
            int(now_ms),
            self._stream_count,
            len(entries),
            queued,
            self.used_tokens,
            KV_TOKENS,
            PREFILL_TOKENS_PER_MS * 1000,
            1000 / DECODE_STEP_MS,
        )

    def _release(self, job: Job) -> None:
        if job.is_ended:
            return
        job.is_ended = True
        self.used_tokens -= job.kv_tokens
        job.kv_tokens = 0
        if job.is_decoding:
            self._stream_count -= 1

    def _admit(self) -> None:
        """Start to prefill the waiting jobs that fit into memory, in priority order."""
        blocked = []
        while self._waiting:
            entry = heapq.heappop(self._waiting)
            job = entry[2]
            if job.is_ended:
                continue
            needed_tokens = 0 if job.is_reserved else job.prompt_tokens + job.output_tokens
            if self.used_tokens + needed_tokens > KV_TOKENS:
                blocked.append(entry)
                continue
            job.kv_tokens = needed_tokens
            self.used_tokens += needed_tokens
            if job.prefix and job.prefix in self._cache:
                self._cache.move_to_end(job.prefix)
                job.position = min(job.prompt_tokens - 1, self._cache[job.prefix])
            heapq.heappush(self._prefilling, entry)
        self._waiting = blocked  # Appended in sorted order, which is a valid heap.

    def _begin_step(self, now_ms: float) -> None:
        if not self.is_alive:
            self._is_stepping = False
            return
        self._admit()
        budget = CHUNK_TOKENS
        chunks: list[tuple[Job, int]] = []
        time_ms = 0.0
        entries = self._prefilling
        unfinished = []
        while entries and budget > 0:
            entry = heapq.heappop(entries)
            job = entry[2]
            if job.is_ended:
                continue
            tokens = min(budget, job.prompt_tokens - job.position)
            cost = prefill_ms(tokens, job.prompt_offset + job.position)
            self._record_consumption(job.neighbour, cost, now_ms)
            time_ms += cost
            budget -= tokens
            chunks.append((job, tokens))
            unfinished.append(entry)
        for entry in unfinished:
            heapq.heappush(entries, entry)
        if not chunks and not self._stream_count:
            self._is_stepping = False
            return
        self._is_stepping = True
        if self._stream_count:
            time_ms = max(time_ms, DECODE_STEP_MS) + DECODE_STREAM_MS * self._stream_count
        end_ms = now_ms + time_ms * self.step_time_factor + STEP_OVERHEAD_MS
        self.busy_ms += end_ms - now_ms
        boot = self.boot_number
        self.schedule(end_ms, lambda: self._end_step(chunks, end_ms, boot))

    def _end_step(self, chunks: list[tuple[Job, int]], now_ms: float, boot: int) -> None:
        if not self.is_alive or boot != self.boot_number:
            self._is_stepping = False
            return
        if now_ms < self.frozen_until_ms:
            end_ms = self.frozen_until_ms
            self.schedule(end_ms, lambda: self._end_step(chunks, end_ms, boot))
            return
        self._step_number += 1
        while self._decoding and self._decoding[0][0] <= self._step_number:
            job = heapq.heappop(self._decoding)[2]
            if not job.is_ended:
                self._record_consumption(
                    job.neighbour, DECODE_STREAM_MS * job.output_tokens, now_ms
                )
                del self.jobs[job.job_id]
                self._release(job)
                job.on_done()
        for job, tokens in chunks:
            if job.is_ended:
                continue
            job.position += tokens
            if job.position >= job.prompt_tokens:
                self._prefilling = [e for e in self._prefilling if e[2] is not job]
                heapq.heapify(self._prefilling)
                self._cache_prefix(job)
                if job.decodes:
                    self._start_stream(job)
                job.on_first_token()
        self._begin_step(now_ms)

    def _start_stream(self, job: Job) -> None:
        job.is_decoding = True
        self._stream_count += 1
        self._entry_count += 1
        heapq.heappush(
            self._decoding, (self._step_number + job.output_tokens, self._entry_count, job)
        )

    def _cache_prefix(self, job: Job) -> None:
        if job.prefix:
            self._cache[job.prefix] = job.prefix_tokens
            self._cache.move_to_end(job.prefix)
            while sum(self._cache.values()) > CACHE_TOKENS:
                self._cache.popitem(last=False)

    def _record_consumption(self, neighbour: str, cost_ms: float, now_ms: float) -> None:
        seconds = self.consumed_ms.setdefault(neighbour, {})
        second = int(now_ms // 1000)
        seconds[second] = seconds.get(second, 0.0) + cost_ms
