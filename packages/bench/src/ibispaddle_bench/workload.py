"""Seeded request traffic for the experiment."""

import math
from dataclasses import dataclass
from functools import cache
from random import Random

from ibispaddle_core.scheduling import Request

from .engine_model import CHUNK_TOKENS, DECODE_STREAM_MS, STEP_OVERHEAD_MS, prefill_ms

RUNNERS = 25
PROMPTS_PER_LONG_PROMPT = 50  # One prompt in fifty is longer than LONG_TOKENS.
LONG_TOKENS = 100_000
MAX_TOKENS = 1_000_000
PARETO_EXPONENT = 1.5  # Of prompt lengths between LONG_TOKENS and MAX_TOKENS.
MEDIAN_TOKENS = 2_500
LENGTH_SIGMA = 0.8  # Of the logarithm of the length of shorter prompts.
MEAN_OUTPUT_TOKENS = 245  # 2.7 million tokens/s divided by 11,000 requests/s, from the design page.
MAX_OUTPUT_TOKENS = 1_024
PREFIX_SHARE = 0.3
PREFIX_TOKENS = 800
NEIGHBOURS = {"north": 4.0, "east": 2.0, "south": 1.0, "west": 1.0}
# 1,024 output tokens at 76 ms each take 78 s; the default timeout in the settings is 120 s.
DEADLINE_MS = {"short": 120_000, "medium": 120_000, "long": 300_000}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request, its arrival time and the values that only the engine knows."""

    at_ms: float
    request: Request
    output_tokens: int
    prefix: str
    prefix_tokens: int


def prompt_tokens(rng: Random) -> int:
    """Return a random prompt length."""
    if rng.random() < 1 / PROMPTS_PER_LONG_PROMPT:
        top = 1 - (LONG_TOKENS / MAX_TOKENS) ** PARETO_EXPONENT
        return int(LONG_TOKENS / (1 - rng.random() * top) ** (1 / PARETO_EXPONENT))
    return int(
        max(1_000, min(LONG_TOKENS - 1, rng.lognormvariate(math.log(MEDIAN_TOKENS), LENGTH_SIGMA)))
    )


def engine_time_ms(prompt: int, output: int) -> float:
    """Return the engine time that a request uses on a busy engine."""
    return prefill_ms(prompt) + prompt / CHUNK_TOKENS * STEP_OVERHEAD_MS + output * DECODE_STREAM_MS


@cache
def capacity_per_s() -> float:
    """Return the request rate at which all runners are fully utilised."""
    rng = Random("capacity")
    costs = []
    for _ in range(200_000):
        prompt = prompt_tokens(rng)
        segments = -(-prompt // 340_000)
        costs.append(
            segments * engine_time_ms(prompt // segments, 0) + MEAN_OUTPUT_TOKENS * DECODE_STREAM_MS
        )
    return RUNNERS * 1000 / (sum(costs) / len(costs))


def generate_arrivals(
    seed: int, load: float, duration_ms: int, mix: dict[str, float] | None = None
) -> list[Arrival]:
    """Return Poisson arrivals; `load` is relative to the capacity, `mix` the weight of each neighbour."""
    rng = Random(f"workload/{seed}")
    mix = mix or NEIGHBOURS
    rate_per_ms = load * capacity_per_s() / 1000
    result: list[Arrival] = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(rate_per_ms)
        if at_ms >= duration_ms:
            return result
        prompt = prompt_tokens(rng)
        output = max(1, min(MAX_OUTPUT_TOKENS, int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS))))
        neighbour = rng.choices(list(mix), list(mix.values()))[0]
        shared = rng.random() < PREFIX_SHARE and prompt < LONG_TOKENS
        prefix = f"{neighbour}/{rng.randrange(20)}" if shared else ""
        kind = "long" if prompt > LONG_TOKENS else "medium" if prompt >= 8_000 else "short"
        # Only the first block is shared between requests; the other blocks are unique.
        blocks = max(1, prompt // PREFIX_TOKENS)
        name = f"q{len(result)}"
        hashes = (prefix, *(f"{name}/{i}" for i in range(1, blocks))) if shared else ()
        request = Request(
            request_id=name,
            workspace=f"{neighbour}.w",
            neighbour=neighbour,
            model="m",
            prompt_tokens=prompt,
            max_output_tokens=MAX_OUTPUT_TOKENS,
            arrived_ms=int(at_ms),
            deadline_ms=int(at_ms) + DEADLINE_MS[kind],
            fingerprint=name,
            prefix_hashes=hashes,
        )
        result.append(Arrival(at_ms, request, output, prefix, PREFIX_TOKENS if shared else 0))
