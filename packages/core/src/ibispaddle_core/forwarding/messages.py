"""Input events and output effects of a forwarded attempt."""

from dataclasses import dataclass

from ..scheduling import Outcome

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ResponseHead:
    """The head of an upstream's response, independent of the wire format."""

    status: int
    headers: Headers  # For the caller, without hop-by-hop headers.
    is_for_other_request: bool = False
    not_run: bool = False  # Proves that the upstream did not run the request.
    is_authentic: bool = False  # Proves that the upstream itself sent the response.
    faulty_address: str | None = None  # The upstream at fault, if it is another one.
    # Requests a second that the upstream takes from all instances together, if it states a limit.
    limit_per_s: float | None = None
    # Time for which an upstream that refused the request wants no other one from this instance.
    retry_after_ms: int = 0
    is_leaving: bool = False  # The upstream is about to end and wants no new work.
    cold_remaining_ms: int | None = None  # Time for which it stays cold, if it states that.
    # Another instance has decided that the caller gets this response, whatever its status.
    is_final: bool = False
    upstream_id: str = ""  # Its upstream, if another instance has passed it on.


@dataclass(frozen=True)
class HeadReceived:
    """The response's head was received."""

    head: ResponseHead


@dataclass(frozen=True)
class BodyReceived:
    """A part of the response's body was received."""

    data: bytes


@dataclass(frozen=True)
class CallEnded:
    """The call ended; `byte_sent` is true if the upstream may have received the request.

    `connection_closed` is true if the upstream's end of the connection ended an incomplete response.
    """

    is_complete: bool
    byte_sent: bool = True
    text: str = ""
    connection_closed: bool = False


ForwardingEvent = HeadReceived | BodyReceived | CallEnded


@dataclass(frozen=True)
class ForwardHead:
    """Send the head of a streamed response to the caller."""

    status: int
    headers: Headers


@dataclass(frozen=True)
class ForwardData:
    """Send complete events to the caller."""

    data: bytes
    events: int


@dataclass(frozen=True)
class CompleteResponse:
    """A complete response of the upstream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class AttemptResult:
    """The result of an ended attempt.

    `answer` is the response for the caller if no other attempt follows. It is None after a stream and
    if the upstream's response must not be forwarded.
    """

    outcome: Outcome
    text: str = ""
    answer: CompleteResponse | None = None
    faulty_address: str | None = None
    connection_closed: bool = False  # The connection broke before the response was complete.


Effect = ForwardHead | ForwardData | AttemptResult
