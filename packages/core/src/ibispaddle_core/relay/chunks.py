"""Fields of the upstream's bodies that the relay checks."""

import msgspec

DONE = b"[DONE]"
CANCELLED = "cancelled"

# Refusals that state that the engine did not begin: the request is wrong or there is no room.
_REFUSAL_STATUSES = frozenset((400, 404, 413, 414, 415, 422, 429, 431))
_REFUSAL_CODES = frozenset(("rejected", "queue_full", "unknown_handle", "insufficient_memory"))
# Refusals whose cause is the request itself, so that another upstream would refuse it too.
_CALLER_STATUSES = frozenset((400, 413, 414, 415, 422, 431))


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
    """Token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """One event of a streamed answer."""

    id: str
    choices: list[Choice] = []
    usage: Usage | None = None


class _WholeChoice(msgspec.Struct):
    finish_reason: str | None = None


class Whole(msgspec.Struct):
    """An answer that is not streamed."""

    id: str
    choices: list[_WholeChoice]
    usage: Usage | None = None


class _ErrorFields(msgspec.Struct):
    message: str = ""
    code: str | int | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorFields


decode_chunk = msgspec.json.Decoder(Chunk).decode
decode_completion = msgspec.json.Decoder(Whole).decode
_decode_error = msgspec.json.Decoder(_ErrorBody).decode


def is_refusal(status: int, body: bytes) -> bool:
    """Return whether the body is a refusal that proves that nothing ran."""
    try:
        code = _decode_error(body).error.code
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return status in _REFUSAL_STATUSES or (status in (409, 503) and code in _REFUSAL_CODES)


def is_invalid_request(status: int) -> bool:
    """Return whether a refusal with this status has its cause in the request."""
    return status in _CALLER_STATUSES
