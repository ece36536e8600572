"""What the forwarder needs to know of a wire format. Adapters implement the protocols."""

from dataclasses import dataclass
from typing import Protocol

from ibispaddle_core.forwarding import ResponseHead

from ..events import Headers


@dataclass(frozen=True)
class CallerRequest:
    """Hold what the headers of a caller's request state.

    `time_left_ms` is None where the caller states no limit, and the token counts are 0 where the
    request is not for a model.
    """

    attempt_id: str = ""
    host: str = ""
    key: str = ""
    time_left_ms: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: int | None = None


@dataclass(frozen=True)
class Helper:
    """Name an upstream that reads a part of the prompt, and the memory it keeps it in, if any."""

    address: str
    handle: str = ""


@dataclass(frozen=True)
class UpstreamCall:
    """Describe one attempt to its upstream."""

    attempt_id: str
    upstream_id: str
    workspace: str
    time_left_ms: int
    priority: int
    last_event_id: int | None = None
    helpers: tuple[Helper, ...] = ()


class ForwardingCodec(Protocol):
    """Translate between headers and the types above."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Return what a caller's headers state; malformed values count as missing."""

    def upstream_headers(self, headers: Headers, call: UpstreamCall) -> Headers:
        """Return the headers for the upstream, made from the caller's."""

    def read_head(self, status: int, headers: Headers, attempt_id: str) -> ResponseHead:
        """Return the head of an upstream's response to the attempt."""

    def refusal_headers(self, retry_after_ms: int) -> Headers:
        """Return the headers of an answer of the instance's own; 0 names no time."""
