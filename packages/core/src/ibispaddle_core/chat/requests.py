"""Parsing and validation of chat-completions and completions requests."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from .errors import ProtocolError
from .hashes import prefix_hashes
from .tokens import estimate_tokens

_PATH = re.compile(r" - at `\$(?P<path>.*)`$")

Positive = Annotated[int, msgspec.Meta(ge=1)]


class Kind(StrEnum):
    """Name the two request forms of the protocol."""

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
    """Hold what the system has to know about a request; the body is passed on unchanged."""

    kind: Kind
    model: str
    stream: bool
    max_output_tokens: int | None
    prompt_tokens: int
    prefix_hashes: tuple[str, ...]
    document: Mapping[str, Any]


def parse_request(kind: Kind, body: bytes) -> Result[CompletionRequest, ProtocolError]:
    """Return the validated request, or the error for its caller.

    >>> parse_request(Kind.TEXT, b'{"model": "m", "prompt": "hello"}').unwrap().prompt_tokens
    2
    >>> parse_request(Kind.TEXT, b'{"model": "m"}').unwrap_err().param
    'prompt'
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Err(_invalid("invalid_json", f"The body is not valid JSON: {exc}."))
    if not isinstance(document, dict):
        return Err(_invalid("invalid_json", "The body is not a JSON object."))
    try:
        if kind is Kind.CHAT:
            return Ok(_from_chat(msgspec.convert(document, _Chat), document))
        return Ok(_from_text(msgspec.convert(document, _Text), document))
    except msgspec.ValidationError as exc:
        return Err(_from_validation(exc))


def _from_chat(chat: _Chat, document: Mapping[str, Any]) -> CompletionRequest:
    prompt = "\n".join(_text_of(message) for message in chat.messages)
    tools = len(msgspec.json.encode(chat.tools)) if chat.tools else 0
    limit = chat.max_completion_tokens or chat.max_tokens
    return _build(Kind.CHAT, chat, prompt, tools, limit, document)


def _from_text(text: _Text, document: Mapping[str, Any]) -> CompletionRequest:
    if isinstance(text.prompt, list) and len(text.prompt) != 1:
        raise msgspec.ValidationError("Expected one prompt - at `$.prompt`")
    prompt = text.prompt if isinstance(text.prompt, str) else text.prompt[0]
    return _build(Kind.TEXT, text, prompt, 0, text.max_tokens, document)


def _build(
    kind: Kind,
    common: _Common,
    prompt: str,
    extra_characters: int,
    limit: int | None,
    document: Mapping[str, Any],
) -> CompletionRequest:
    return CompletionRequest(
        kind=kind,
        model=common.model,
        stream=bool(common.stream),
        max_output_tokens=limit,
        prompt_tokens=max(1, estimate_tokens(len(prompt) + extra_characters)),
        prefix_hashes=prefix_hashes(prompt),
        document=document,
    )


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
