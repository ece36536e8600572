"""Interface between the forwarder and a platform's wire format; adapters implement it."""

from dataclasses import dataclass
from typing import Protocol

from ibispaddle_core.forwarding import ResponseHead

from ..events import Headers


@dataclass(frozen=True)
class CallerRequest:
    """The values in the headers of a caller's request.

    `attempt_id` is the caller's own id of the request, which log lines show. `time_left_ms` is None if
    the caller sets no time limit. The token counts are 0 for requests that are not for a model.
    `prompt_parts` identifies the parts of the prompt that other requests may have as well, in order.
    """

    attempt_id: str = ""
    host: str = ""
    key: str = ""
    time_left_ms: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: int | None = None
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class Helper:
    """An upstream that processes a part of the prompt.

    `handle` identifies its memory reservation; it is empty if the upstream keeps nothing.
    """

    address: str
    handle: str = ""


@dataclass(frozen=True)
class UpstreamCall:
    """The parameters of an attempt that are sent to its upstream.

    `attempt_id` is the caller's own id of the request.
    """

    attempt_id: str
    upstream_id: str
    workspace: str
    time_left_ms: int
    priority: int
    last_event_id: int | None = None
    helpers: tuple[Helper, ...] = ()


class ForwardingCodec(Protocol):
    """Translate between HTTP headers and the types above.

    `liveness_path` is the path at which an upstream reports on itself without using a slot, or None.
    """

    liveness_path: str | None

    def read_boot(self, body: bytes) -> int | None:
        """Return the Unix time in ms of the upstream's start from such a report, or None."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Parse a caller's headers; malformed values count as missing."""

    def upstream_headers(self, headers: Headers, call: UpstreamCall) -> Headers:
        """Return the headers for the upstream, based on the caller's."""

    def delegated_headers(
        self, headers: Headers, time_left_ms: int, last_event_id: int | None = None
    ) -> Headers:
        """Return the caller's headers for another instance that gets the request.

        With a `last_event_id`, the stream is to continue after that event.
        """

    def read_head(self, status: int, headers: Headers, attempt_id: str) -> ResponseHead:
        """Return the head of an upstream's response to the attempt."""

    def refusal_headers(self, retry_after_ms: int) -> Headers:
        """Return the headers of a response that the instance generates itself.

        A `retry_after_ms` of 0 leaves out the retry time.
        """
