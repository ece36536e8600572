"""Events into a forwarded attempt and effects out of it."""

from dataclasses import dataclass

from ..scheduling import Outcome

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ResponseHead:
    """Describe the head of an upstream's response, as the wire format states it."""

    status: int
    headers: Headers  # To be passed on; without those of a single connection.
    is_for_other_request: bool = False  # Belongs to another request.
    not_run: bool = False  # Proves that the upstream did not run the request.
    is_authentic: bool = False  # Proves that the upstream itself answered.
    faulty_address: str | None = None  # The upstream at fault, if it is another one.


@dataclass(frozen=True)
class HeadReceived:
    """Report the response's head."""

    head: ResponseHead


@dataclass(frozen=True)
class BodyReceived:
    """Report a part of the response's body."""

    data: bytes


@dataclass(frozen=True)
class CallEnded:
    """Report the end of the call; `byte_sent` tells whether the upstream may have the request."""

    is_complete: bool
    byte_sent: bool = True
    text: str = ""


ForwardingEvent = HeadReceived | BodyReceived | CallEnded


@dataclass(frozen=True)
class ForwardHead:
    """Begin a streamed answer to the caller."""

    status: int
    headers: Headers


@dataclass(frozen=True)
class ForwardData:
    """Pass on whole events."""

    data: bytes
    events: int


@dataclass(frozen=True)
class CompleteResponse:
    """Hold a complete answer of the upstream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class AttemptResult:
    """End the attempt.

    `answer` is what the caller gets if no other attempt follows; None after a stream, and where the
    upstream gave nothing that may be passed on.
    """

    outcome: Outcome
    text: str = ""
    answer: CompleteResponse | None = None
    faulty_address: str | None = None


Effect = ForwardHead | ForwardData | AttemptResult
