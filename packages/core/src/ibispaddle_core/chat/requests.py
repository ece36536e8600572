"""Parsing and validation of chat-completions and completions requests."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from ..decoding import DECODE_ERRORS
from .errors import ProtocolError
from .hashes import prefix_hash_steps
from .steps import Steps, finish
from .tokens import estimate_tokens

_PATH = re.compile(r" - at `\$(?P<path>.*)`$")

Positive = Annotated[int, msgspec.Meta(ge=1)]


class Kind(StrEnum):
    """The two request types of the protocol."""

    CHAT = "chat"
    TEXT = "text"


class _Part(msgspec.Struct):
    type: str
    text: str = ""


class _Message(msgspec.Struct):
    role: Annotated[str, msgspec.Meta(min_length=1)]
    content: str | list[_Part] | None = None


class _Common(msgspec.Struct, kw_only=True):
    model: Annotated[str, msgspec.Meta(min_length=1)]
    stream: bool | None = None
    max_tokens: Positive | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] | None = None


class _Chat(_Common, kw_only=True):
    messages: Annotated[list[_Message], msgspec.Meta(min_length=1)]
    max_completion_tokens: Positive | None = None
    tools: list[Any] | None = None


class _Text(_Common, kw_only=True):
    prompt: str | list[str]


@dataclass(frozen=True)
class CompletionRequest:
    """The parsed fields of a request; the body itself is forwarded unchanged."""

    kind: Kind
    model: str
    stream: bool
    max_output_tokens: int | None
    prompt_tokens: int
    prefix_hashes: tuple[str, ...]
    document: Mapping[str, Any]


@dataclass(frozen=True)
class _Fields:
    """The fields that both request types have in common."""

    common: _Common
    prompt: str
    output_limit: int | None
    tool_characters: int = 0


def parse_request(kind: Kind, body: bytes) -> Result[CompletionRequest, ProtocolError]:
    """Parse and validate a request; return it, or the error for its caller.

    >>> parse_request(Kind.TEXT, b'{"model": "m", "prompt": "hello"}').unwrap().prompt_tokens
    2
    >>> parse_request(Kind.TEXT, b'{"model": "m"}').unwrap_err().param
    'prompt'
    """
    return finish(parse_steps(kind, body))


def parse_steps(kind: Kind, body: bytes) -> Steps[Result[CompletionRequest, ProtocolError]]:
    """Compute `parse_request`, yielding between short steps; decoding the JSON is a single step."""
    try:
        document = msgspec.json.decode(body)
    except DECODE_ERRORS as exc:
        return Err(_invalid("invalid_json", f"The body is not valid JSON: {exc}."))
    if not isinstance(document, dict):
        return Err(_invalid("invalid_json", "The body is not a JSON object."))
    yield
    try:
        fields = _chat_fields(document) if kind is Kind.CHAT else _text_fields(document)
    except msgspec.ValidationError as exc:
        return Err(_from_validation(exc))
    hashes = yield from prefix_hash_steps(fields.prompt)
    return Ok(
        CompletionRequest(
            kind=kind,
            model=fields.common.model,
            stream=bool(fields.common.stream),
            max_output_tokens=fields.output_limit,
            prompt_tokens=max(1, estimate_tokens(len(fields.prompt) + fields.tool_characters)),
            prefix_hashes=hashes,
            document=document,
        )
    )


def _chat_fields(document: Mapping[str, Any]) -> _Fields:
    chat = msgspec.convert(document, _Chat)
    prompt = "\n".join(_text_of(message) for message in chat.messages)
    tools = len(msgspec.json.encode(chat.tools)) if chat.tools else 0
    return _Fields(chat, prompt, chat.max_completion_tokens or chat.max_tokens, tools)


def _text_fields(document: Mapping[str, Any]) -> _Fields:
    text = msgspec.convert(document, _Text)
    if isinstance(text.prompt, list) and len(text.prompt) != 1:
        raise msgspec.ValidationError("Expected one prompt - at `$.prompt`")
    prompt = text.prompt if isinstance(text.prompt, str) else text.prompt[0]
    return _Fields(text, prompt, text.max_tokens)


def _text_of(message: _Message) -> str:
    if message.content is None or isinstance(message.content, str):
        return message.content or ""
    return "".join(part.text for part in message.content)


def _from_validation(exc: msgspec.ValidationError) -> ProtocolError:
    text = str(exc)
    match = _PATH.search(text)
    path = match["path"].lstrip(".") if match else ""
    missing = re.match(r"Object missing required field `(\w+)`", text)
    if missing:
        path = f"{path}.{missing[1]}".lstrip(".")
    reason = _PATH.sub("", text)
    message = f"The value of '{path}' is not valid: {reason}." if path else f"{reason}."
    return _invalid("invalid_value", message, path or None)


def _invalid(code: str, message: str, param: str | None = None) -> ProtocolError:
    return ProtocolError(400, code, message, param=param)
