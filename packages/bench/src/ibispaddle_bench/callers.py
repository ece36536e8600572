"""Callers of an instance that verify what they receive."""

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

WORDS = ("veil", "tulle", "motif", "archive", "season", "habit", "streak", "note", "loom", "thread")


class Result(StrEnum):
    """Tell how a call ended for its caller."""

    ANSWERED = "answered"  # The content is complete and belongs to the request.
    REFUSED = "refused"  # The caller was told that the request did not run.
    LOST = "lost"  # Everything else.


@dataclass
class CallOutcome:
    """Report one call."""

    result: Result
    prompt_tokens: int = 0
    first_byte_ms: float = 0.0
    total_ms: float = 0.0
    tokens: int = 0
    detail: str = ""


def make_prompt(name: str, tokens: int) -> str:
    """Return a prompt of exactly so many estimated tokens that differs between names."""
    characters = tokens * CHARACTERS_PER_TOKEN
    words = random.Random(name).choices(WORDS, k=200)
    unit = " ".join(words) + " "
    text = f"{name}: " + unit * (characters // len(unit) + 1)
    return text[:characters]


def classify_refusal(status: int, run_state: str | None, body: bytes) -> CallOutcome:
    """Return the outcome of an answer that is an error."""
    if run_state is None:
        try:
            run_state = json.loads(body)["error"].get("run_state")
        except (ValueError, KeyError, TypeError, AttributeError):
            run_state = None
    result = Result.REFUSED if run_state == "not_run" else Result.LOST
    return CallOutcome(result, detail=f"status {status}, run state {run_state}: {body[:200]!r}")


async def complete(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    prompt: str,
    tokens: int,
    stream: bool = True,
    timeout_ms: int = 60_000,
) -> CallOutcome:
    """Send one prompt as a chat request and verify the answer."""
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    headers = {"Authorization": f"Bearer {key}", "X-Request-Timeout-Ms": str(timeout_ms)}
    started = time.perf_counter()
    outcome = CallOutcome(Result.LOST)
    try:
        # The caller waits a little longer than the time that it allots.
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
                    _judge(outcome, text, prompt, tokens)
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, IndexError, OSError) as exc:
        outcome = CallOutcome(Result.LOST, detail=repr(exc))
    outcome.total_ms = (time.perf_counter() - started) * 1000
    return outcome


async def _read_stream(
    response: aiohttp.ClientResponse, prompt: str, tokens: int, started: float
) -> CallOutcome:
    outcome = CallOutcome(Result.LOST)
    parts: list[str] = []
    done = False
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if not outcome.first_byte_ms:
            outcome.first_byte_ms = (time.perf_counter() - started) * 1000
        if line.startswith(b"data: [DONE]"):
            done = True
            continue
        event = json.loads(line[6:])
        if "error" in event:
            outcome.detail = f"error event {event['error']!r}"
            return outcome
        parts += [choice["delta"].get("content") or "" for choice in event["choices"]]
    outcome.tokens = len(parts)
    _judge(outcome, "".join(parts), prompt, tokens)
    if not done and outcome.result is Result.ANSWERED:
        outcome.result, outcome.detail = Result.LOST, "the stream has no end mark"
    return outcome


def _judge(outcome: CallOutcome, text: str, prompt: str, tokens: int) -> None:
    outcome.tokens = tokens
    outcome.detail = find_answer_error(text, prompt, tokens)
    outcome.result = Result.LOST if outcome.detail else Result.ANSWERED


async def call_service(
    session: aiohttp.ClientSession, url: str, key: str, path: str, body: bytes, call_key: str
) -> CallOutcome:
    """Send one call that is not idempotent and verify the answer."""
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
                    outcome = _judge_call(json.loads(data), body, call_key)
    except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as exc:
        outcome = CallOutcome(Result.LOST, detail=repr(exc))
    outcome.total_ms = outcome.first_byte_ms = (time.perf_counter() - started) * 1000
    return outcome


def _judge_call(answer: Any, body: bytes, call_key: str) -> CallOutcome:
    right = (
        answer.get("key") == call_key
        and answer.get("body_sha256") == hashlib.sha256(body).hexdigest()
        and answer.get("run") == 1
    )
    if right:
        return CallOutcome(Result.ANSWERED)
    return CallOutcome(Result.LOST, detail=f"answer to another call or a second run: {answer!r}")


def new_session() -> aiohttp.ClientSession:
    """Return a session without limits of its own."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
        read_bufsize=1 << 20,
    )
