"""Messages between an instance with a call and the committer of the key's partition."""

from dataclasses import dataclass
from enum import StrEnum

from .records import Claim, Outcome, Release, Settlement


class ClaimVerdict(StrEnum):
    """The state of a claim as known to a committer."""

    PENDING = "pending"  # Not yet read from the stream.
    CONTESTED = "contested"  # Not yet read from the stream; another claim holds the key so far.
    WON = "won"
    LOST = "lost"  # Another claim came first, and its call has not completed.
    SETTLED = "settled"  # Another claim came first; the response carries its outcome.
    OTHER_REQUEST = "other_request"  # Another claim came first, for a different request.
    FREED = "freed"  # The claim lost to one that has been released; the call needs a new claim.
    VOID = "void"
    REFUSED = "refused"  # Not appended, because the log is unavailable.


@dataclass(frozen=True)
class ClaimRequest:
    """Request the verdict on a claim; the committer appends the claim if it is not in the stream.

    With `is_query` the claim is not appended: the instance knows that another claim came first, and
    the response is FREED if that claim has been released.
    """

    claim: Claim
    is_query: bool = False

    @property
    def claim_id(self) -> str:
        """Return the id of the claim."""
        return self.claim.claim_id


@dataclass(frozen=True)
class ClaimResponse:
    """Response to a `ClaimRequest`; sent again when the verdict changes.

    `is_read` is true if the claim was read from the stream; a lost claim that was read can never hold
    the key. `holder` is the id of the claim whose outcome is included.
    """

    claim_id: str
    verdict: ClaimVerdict
    outcome: Outcome | None = None
    is_read: bool = False
    holder: str = ""


@dataclass(frozen=True)
class ClaimUpdate:
    """Request that a committer appends a release or an outcome.

    With `sent_once`, the released claim was sent only once, and to this committer.
    """

    entry: Release | Settlement
    sent_once: bool = False

    @property
    def claim_id(self) -> str:
        """Return the id of the claim."""
        return self.entry.claim_id


@dataclass(frozen=True)
class ClaimUpdateAck:
    """Response to a `ClaimUpdate`; `in_stream` is false while the entry is still queued."""

    claim_id: str
    in_stream: bool


@dataclass(frozen=True)
class BodyRequest:
    """Request the long body of an outcome from the instance that ran the call."""

    claim_id: str
    key_hash: str


@dataclass(frozen=True)
class BodyReply:
    """Response with the outcome and its body, or None if it is not stored or too long."""

    claim_id: str
    outcome: Outcome | None


ClaimMessage = ClaimRequest | ClaimResponse | ClaimUpdate | ClaimUpdateAck | BodyRequest | BodyReply
CommitterRequest = ClaimRequest | ClaimUpdate
CommitterResponse = ClaimResponse | ClaimUpdateAck


@dataclass(frozen=True)
class OutgoingMessage:
    """A message and its recipient instance."""

    instance_id: str
    message: ClaimMessage
