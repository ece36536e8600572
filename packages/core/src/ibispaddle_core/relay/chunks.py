"""Decoding of the fields of upstream responses that the relay validates."""

import msgspec

from ..decoding import DECODE_ERRORS

DONE = b"[DONE]"
CANCELLED = "cancelled"

# Refusals that prove that the engine did not start the request: it is invalid, or there is no capacity.
_REFUSAL_STATUSES = frozenset((400, 404, 413, 414, 415, 422, 429, 431))
_REFUSAL_CODES = frozenset(("rejected", "queue_full", "unknown_handle", "insufficient_memory"))
# Refusals that are caused by the request itself; another upstream would refuse it too.
_INVALID_REQUEST_STATUSES = frozenset((400, 413, 414, 415, 422, 431))


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: msgspec.Raw | None = None


class Choice(msgspec.Struct):
    """One choice of a streamed chunk."""

    token_index: int | None = None
    finish_reason: str | None = None
    delta: _Delta | None = None
    text: str | None = None

    @property
    def has_content(self) -> bool:
        """Return whether the chunk carries a part of the answer."""
        delta = self.delta
        return bool(self.text or (delta and (delta.content or delta.tool_calls)))


class Usage(msgspec.Struct):
    """Token counts of a completion."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """One event of a streamed completion."""

    id: str
    choices: list[Choice] = []
    usage: Usage | None = None


class _CompletionChoice(msgspec.Struct):
    finish_reason: str | None = None


class Completion(msgspec.Struct):
    """A completion that is not streamed."""

    id: str
    choices: list[_CompletionChoice]
    usage: Usage | None = None


class _ErrorFields(msgspec.Struct):
    message: str = ""
    code: str | int | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorFields


decode_chunk = msgspec.json.Decoder(Chunk).decode
decode_completion = msgspec.json.Decoder(Completion).decode
_decode_error = msgspec.json.Decoder(_ErrorBody).decode


def is_refusal(status: int, body: bytes) -> bool:
    """Return whether the response is a refusal that proves that the request did not run."""
    try:
        code = _decode_error(body).error.code
    except DECODE_ERRORS:
        return False
    return status in _REFUSAL_STATUSES or (status in (409, 503) and code in _REFUSAL_CODES)


def is_invalid_request(status: int) -> bool:
    """Return whether a refusal with this status is caused by the request itself."""
    return status in _INVALID_REQUEST_STATUSES
