"""Clients of an instance that verify the answers they receive."""

import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import aiohttp
from ibispaddle_standins.answers import CHARACTERS_PER_TOKEN, find_answer_error

FILLER_WORDS = (
    "veil",
    "tulle",
    "motif",
    "archive",
    "season",
    "habit",
    "streak",
    "note",
    "loom",
    "thread",
)


class CallResult(StrEnum):
    """The result of a call as seen by its caller."""

    ANSWERED = "answered"  # The answer is complete and belongs to the request.
    REFUSED = "refused"  # The error states that the request did not run.
    LOST = "lost"  # Any other outcome, including wrong answers.


@dataclass
class CallOutcome:
    """The outcome and the timing of one call."""

    result: CallResult
    prompt_tokens: int = 0
    first_byte_ms: float = 0.0
    total_ms: float = 0.0
    tokens: int = 0
    detail: str = ""


def make_prompt(name: str, tokens: int) -> str:
    """Return a prompt with an estimate of exactly `tokens` tokens that is unique for the name."""
    characters = tokens * CHARACTERS_PER_TOKEN
    words = random.Random(name).choices(FILLER_WORDS, k=200)
    unit = " ".join(words) + " "
    text = f"{name}: " + unit * (characters // len(unit) + 1)
    return text[:characters]


def classify_refusal(status: int, run_state: str | None, body: bytes) -> CallOutcome:
    """Return the outcome of an error response."""
    if run_state is None:
        try:
            run_state = json.loads(body)["error"].get("run_state")
        except (ValueError, KeyError, TypeError, AttributeError):
            run_state = None
    result = CallResult.REFUSED if run_state == "not_run" else CallResult.LOST
    return CallOutcome(result, detail=f"status {status}, run state {run_state}: {body[:200]!r}")


async def complete_chat(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    prompt: str,
    tokens: int,
    stream: bool = True,
    timeout_ms: int = 60_000,
) -> CallOutcome:
    """Send a chat completion request and verify the answer."""
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    headers = {"Authorization": f"Bearer {key}", "X-Request-Timeout-Ms": str(timeout_ms)}
    started = time.perf_counter()
    outcome = CallOutcome(CallResult.LOST)
    try:
        # The client waits 5 s longer than the timeout that it sends with the request.
        async with asyncio.timeout(timeout_ms / 1000 + 5):
            async with session.post(
                f"{url}/v1/chat/completions", json=body, headers=headers
            ) as response:
                if response.status != 200:
                    state = response.headers.get("X-Run-State")
                    outcome = classify_refusal(response.status, state, await response.read())
                elif stream:
                    outcome = await _read_stream(response, prompt, tokens, started)
                else:
                    answer = await response.json()
                    outcome.first_byte_ms = (time.perf_counter() - started) * 1000
                    text = answer["choices"][0]["message"]["content"]
                    _verify_answer(outcome, text, prompt, tokens)
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, IndexError, OSError) as exc:
        outcome = CallOutcome(CallResult.LOST, detail=repr(exc))
    outcome.total_ms = (time.perf_counter() - started) * 1000
    return outcome


async def _read_stream(
    response: aiohttp.ClientResponse, prompt: str, tokens: int, started: float
) -> CallOutcome:
    outcome = CallOutcome(CallResult.LOST)
    parts: list[str] = []
    is_end_received = False
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if not outcome.first_byte_ms:
            outcome.first_byte_ms = (time.perf_counter() - started) * 1000
        if line.startswith(b"data: [DONE]"):
            is_end_received = True
            continue
        event = json.loads(line[6:])
        if "error" in event:
            outcome.detail = f"error event {event['error']!r}"
            return outcome
        parts += [choice["delta"].get("content") or "" for choice in event["choices"]]
    outcome.tokens = len(parts)
    _verify_answer(outcome, "".join(parts), prompt, tokens)
    if not is_end_received and outcome.result is CallResult.ANSWERED:
        outcome.result, outcome.detail = CallResult.LOST, "the stream has no end mark"
    return outcome


def _verify_answer(outcome: CallOutcome, text: str, prompt: str, tokens: int) -> None:
    outcome.tokens = tokens
    outcome.detail = find_answer_error(text, prompt, tokens)
    outcome.result = CallResult.LOST if outcome.detail else CallResult.ANSWERED


async def call_service(
    session: aiohttp.ClientSession, url: str, key: str, path: str, body: bytes, call_key: str
) -> CallOutcome:
    """Send a service call that is not idempotent and verify the answer."""
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": call_key}
    started = time.perf_counter()
    try:
        async with asyncio.timeout(15):
            async with session.post(
                f"{url}/services/{path}", data=body, headers=headers
            ) as response:
                data = await response.read()
                if response.status != 200:
                    outcome = classify_refusal(
                        response.status, response.headers.get("X-Run-State"), data
                    )
                else:
                    outcome = _verify_service_answer(json.loads(data), body, call_key)
    except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as exc:
        outcome = CallOutcome(CallResult.LOST, detail=repr(exc))
    outcome.total_ms = outcome.first_byte_ms = (time.perf_counter() - started) * 1000
    return outcome


def _verify_service_answer(answer: Any, body: bytes, call_key: str) -> CallOutcome:
    is_expected = (
        answer.get("key") == call_key
        and answer.get("body_sha256") == hashlib.sha256(body).hexdigest()
        and answer.get("run") == 1
    )
    if is_expected:
        return CallOutcome(CallResult.ANSWERED)
    return CallOutcome(
        CallResult.LOST, detail=f"answer to another call or a second run: {answer!r}"
    )


def new_session() -> aiohttp.ClientSession:
    """Return a client session without limits on connections or time."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
        read_bufsize=1 << 20,
    )
