"""Chat-completions protocol: requests, error bodies, token estimates and content hashes."""

from .errors import ProtocolError, error_body, error_event, refusal_error
from .exceptions import ChatError
from .hashes import content_fingerprint, fingerprint_steps, part_steps, prefix_hashes
from .models import models_body
from .requests import CompletionRequest, Kind, parse_request, parse_steps
from .steps import Steps
from .tokens import estimate_tokens

__all__ = [
    "ChatError",
    "CompletionRequest",
    "Kind",
    "ProtocolError",
    "Steps",
    "content_fingerprint",
    "error_body",
    "error_event",
    "estimate_tokens",
    "fingerprint_steps",
    "models_body",
    "parse_request",
    "parse_steps",
    "part_steps",
    "prefix_hashes",
    "refusal_error",
]
