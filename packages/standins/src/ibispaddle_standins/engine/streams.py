"""Completion responses of the engine stand-in: event streams and JSON bodies."""

import json
import time
from typing import Any

from aiohttp import web

from ..answers import token_text
from ..server import Faults, abort_connection
from .batching import Phase, Sequence

OTHER_COMPLETION_ID = "cmpl-foreign"
OTHER_PROMPT_DIGEST = "f0f0f0f0"
CHUNK_FAULTS = ("skip_every", "duplicate_every", "foreign_every")


class ChunkWriter:
    """Write the tokens of one sequence as server-sent events."""

    def __init__(self, sequence: Sequence, chat: bool, faults: Faults) -> None:
        self.sequence = sequence
        self.faults = faults
        self.prefix = json.dumps(
            {
                "id": sequence.completion_id,
                "object": "chat.completion.chunk" if chat else "text_completion",
                "created": int(time.time()),
                "model": sequence.model,
            }
        )[:-1]
        self.chat = chat

    def chunk(self, index: int, text: str, reason: str | None, prefix: str = "") -> str:
        """Return the server-sent event for one token."""
        if self.chat:
            role = '"role": "assistant", ' if index == 0 else ""
            content = f'"delta": {{{role}"content": "{text}"}}'
        else:
            content = f'"text": "{text}"'
        reason_json = f'"{reason}"' if reason else "null"
        return (
            f'data: {prefix or self.prefix}, "choices": [{{"index": 0, "token_index": {index}, '
            f'{content}, "finish_reason": {reason_json}}}]}}\n\n'
        )

    def token_events(self, index: int) -> str:
        """Return the events for the token at an index, with the active faults applied."""
        last = index == self.sequence.max_tokens - 1
        text = token_text(self.sequence.prompt_digest, index)
        event = self.chunk(index, text, "stop" if last else None)
        if not any(name in self.faults.values for name in CHUNK_FAULTS):
            return event
        if self._is_due("skip_every", index):
            return ""
        if self._is_due("duplicate_every", index):
            event += event
        if self._is_due("foreign_every", index):
            prefix = self.prefix.replace(self.sequence.completion_id, OTHER_COMPLETION_ID)
            event += self.chunk(index, token_text(OTHER_PROMPT_DIGEST, index), None, prefix)
        return event

    async def write(self, request: web.Request, response: web.StreamResponse, start: int) -> None:
        """Write all tokens, starting at index `start`, until the sequence ends."""
        sent = start
        sequence = self.sequence
        cut_at = self.faults.get("cut_after_tokens", -1)
        while True:
            ready = sequence.generated
            if cut_at > start and ready >= cut_at:
                ready = cut_at
            if sent < ready:
                events = "".join(self.token_events(index) for index in range(sent, ready))
                sent = ready
                await response.write(events.encode())
                if sent == cut_at and cut_at > start:
                    abort_connection(request)
                    raise ConnectionResetError("connection cut by a fault")
                continue
            if sequence.ended:
                break
            sequence.changed.clear()
            await sequence.changed.wait()
        if sequence.phase is Phase.CANCELLED:
            await response.write(self.chunk(sent, "", "cancelled").encode())

    def _is_due(self, name: str, index: int) -> bool:
        every = self.faults.get(name, 0)
        return bool(every) and index % every == every - 1


def usage(sequence: Sequence) -> dict[str, Any]:
    """Return the usage object of a completion."""
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": sequence.generated,
        "total_tokens": sequence.prompt_tokens + sequence.generated,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }


def usage_event(writer: ChunkWriter) -> bytes:
    """Return the server-sent event that reports the usage after the last token."""
    usage_json = json.dumps(usage(writer.sequence))
    return f'data: {writer.prefix}, "choices": [], "usage": {usage_json}}}\n\n'.encode()


def completion_body(sequence: Sequence, chat: bool, faults: Faults) -> dict[str, Any]:
    """Return the response body of a completion that isn't streamed."""
    digest = OTHER_PROMPT_DIGEST if faults.consume("foreign_answer") else sequence.prompt_digest
    text = "".join(token_text(digest, index) for index in range(sequence.generated))
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": sequence.completion_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": int(time.time()),
        "model": sequence.model,
        "choices": [choice],
        "usage": usage(sequence),
    }
