"""Load generator process: sends streaming requests on a schedule and measures the time to first byte.

Reads a `WorkerSpec` as one JSON line from standard input, starts at the given wall-clock time, and
writes a `WorkerReport` as one JSON line to standard output.
"""

import asyncio
import random
import re
import resource
import sys
import time
from typing import Literal

import aiohttp
import msgspec
from ibispaddle_standins.answers import CHARACTERS_PER_TOKEN, find_answer_error

from .callers import FILLER_WORDS, new_session

CONTENT = re.compile(rb'"content": ?"([^"]*)"')
LAG_INTERVAL_S = 0.005
# Length of the padded name that makes each prompt unique from its start.
NAME_CHARACTERS = 64


class LengthClass(msgspec.Struct, frozen=True):
    """A range of prompt lengths and its weight in the mix."""

    weight: float
    lowest: int
    highest: int


class WorkerSpec(msgspec.Struct):
    """Parameters of the load of one process."""

    targets: list[str]
    key: str
    rate: float  # Requests per second of this process.
    duration_s: float
    output_tokens: int
    mix: list[LengthClass]
    seed: int
    start_wall_s: float
    timeout_s: float = 60.0


class Sample(msgspec.Struct):
    """A planned request and its measurements."""

    at_s: float
    prompt_tokens: int
    result: Literal["answered", "refused", "lost"] = "lost"
    first_byte_ms: float = 0.0
    total_ms: float = 0.0
    longest_gap_ms: float = 0.0
    detail: str = ""


class WorkerReport(msgspec.Struct):
    """The samples of one process, its CPU use and its event loop lag."""

    samples: list[Sample]
    cpu_share: float
    lag_p99_ms: float


def plan_requests(spec: WorkerSpec) -> list[Sample]:
    """Return the planned requests; plans with the same seed are equal."""
    rng = random.Random(spec.seed)
    weights = [entry.weight for entry in spec.mix]
    samples = []
    at_s = rng.expovariate(spec.rate)
    while at_s < spec.duration_s:
        entry = rng.choices(spec.mix, weights)[0]
        samples.append(Sample(at_s, rng.randint(entry.lowest, entry.highest)))
        at_s += rng.expovariate(spec.rate)
    return samples


class Worker:
    """Sends the planned requests and measures them."""

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.samples = plan_requests(spec)
        longest = max((s.prompt_tokens for s in self.samples), default=0) * CHARACTERS_PER_TOKEN
        unit = " ".join(random.Random(spec.seed).choices(FILLER_WORDS, k=500)) + " "
        # The filler has no characters that must be escaped in JSON.
        self.filler = (unit * (longest // len(unit) + 1)).encode()
        self.lags: list[float] = []

    async def run(self) -> WorkerReport:
        """Send all requests and return the report."""
        await asyncio.sleep(max(0.0, self.spec.start_wall_s - time.time()))
        lag_task = asyncio.create_task(self.measure_lag())
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_before, started = usage.ru_utime + usage.ru_stime, time.perf_counter()
        async with new_session() as session, asyncio.TaskGroup() as group:
            for index, sample in enumerate(self.samples):
                delay = sample.at_s - (time.perf_counter() - started)
                if delay > 0:
                    await asyncio.sleep(delay)
                group.create_task(self.send(session, index, sample))
        lag_task.cancel()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime - cpu_before
        lag = sorted(self.lags)[int(len(self.lags) * 0.99)] if self.lags else 0.0
        return WorkerReport(self.samples, cpu_s / (time.perf_counter() - started), lag)

    async def measure_lag(self) -> None:
        """Measure the delay of the event loop's timers."""
        while True:
            before = time.perf_counter()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lags.append((time.perf_counter() - before - LAG_INTERVAL_S) * 1000)

    async def send(self, session: aiohttp.ClientSession, index: int, sample: Sample) -> None:
        """Send one request and fill in its sample."""
        spec = self.spec
        name = f"{spec.seed}-{index} ".ljust(NAME_CHARACTERS, "-").encode()
        characters = sample.prompt_tokens * CHARACTERS_PER_TOKEN
        prompt = (name + self.filler[: characters - len(name)])[:characters]
        body = (
            b'{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}'
            % (spec.output_tokens, prompt)
        )
        url = spec.targets[index % len(spec.targets)] + "/v1/chat/completions"
        headers = {
            "Authorization": f"Bearer {spec.key}",
            "Content-Type": "application/json",
            "X-Request-Timeout-Ms": str(int(spec.timeout_s * 1000)),
        }
        started = time.perf_counter()
        try:
            async with (
                asyncio.timeout(spec.timeout_s + 5),
                session.post(url, data=body, headers=headers) as response,
            ):
                if response.status != 200:
                    refused = response.headers.get("X-Run-State") == "not_run"
                    sample.result = "refused" if refused else "lost"
                    text = (await response.read())[:200]
                    sample.detail = f"status {response.status}: {text!r}"
                    return
                received = bytearray()
                last = started
                async for data in response.content.iter_any():
                    now = time.perf_counter()
                    if not received:
                        sample.first_byte_ms = (now - started) * 1000
                    else:
                        sample.longest_gap_ms = max(sample.longest_gap_ms, (now - last) * 1000)
                    last = now
                    received += data
            sample.total_ms = (time.perf_counter() - started) * 1000
            self.verify_answer(sample, bytes(received), prompt)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            sample.detail = repr(exc)

    def verify_answer(self, sample: Sample, received: bytes, prompt: bytes) -> None:
        """Verify that the answer is complete and belongs to the request, and set the result."""
        text = b"".join(CONTENT.findall(received)).decode()
        sample.detail = find_answer_error(text, prompt.decode(), self.spec.output_tokens)
        if not sample.detail and not received.endswith(b"data: [DONE]\n\n"):
            sample.detail = "the stream has no end mark"
        sample.result = "lost" if sample.detail else "answered"


def main() -> None:
    """Run the worker with the specification from standard input."""
    spec = msgspec.json.decode(sys.stdin.buffer.readline(), type=WorkerSpec)
    report = asyncio.run(Worker(spec).run())
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")


if __name__ == "__main__":
    main()
