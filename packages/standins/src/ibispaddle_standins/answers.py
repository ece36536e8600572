"""Content of the engine stand-in's completions, which lets a client verify them.

Each token contains a short hash of the prompt and its own index, so that a missing or duplicated
token and a token of another completion are detected.
"""

import hashlib
import re
from typing import Any

_TOKEN = re.compile(r"([0-9a-f]{8})\.(\d+) ")

CHARACTERS_PER_TOKEN = 4


def prompt_text(body: dict[str, Any]) -> str:
    """Return the concatenated text of a request body's messages, or its prompt."""
    if "messages" not in body:
        prompt = body["prompt"]
        return prompt if isinstance(prompt, str) else "\n".join(prompt)
    texts = []
    for message in body["messages"]:
        content = message.get("content") or ""
        if not isinstance(content, str):
            content = "".join(part.get("text", "") for part in content)
        texts.append(content)
    return "\n".join(texts)


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, rounded up.

    >>> estimate_tokens("12345")
    2
    """
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def prompt_hash(text: str) -> str:
    """Return the hash of a prompt (8 hexadecimal digits) for the tokens of its completion."""
    return hashlib.blake2b(text.encode(), digest_size=4).hexdigest()


def token_text(digest: str, index: int) -> str:
    """Return the token at an index of the completion.

    >>> token_text("00c0ffee", 2)
    '00c0ffee.2 '
    """
    return f"{digest}.{index} "


def find_answer_error(text: str, prompt: str, tokens: int) -> str:
    """Return why a text isn't the whole answer of `tokens` tokens, or an empty string."""
    digest = prompt_hash(prompt)
    found = list(_TOKEN.finditer(text))
    if sum(len(match.group()) for match in found) != len(text):
        return "the answer contains text that is not a token"
    for position, match in enumerate(found):
        if match.group(1) != digest:
            return f"token {position} belongs to another prompt"
        if int(match.group(2)) != position:
            return f"token {match.group(2)} stands at position {position}"
    if len(found) != tokens:
        return f"{len(found)} tokens instead of {tokens}"
    return ""
