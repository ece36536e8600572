"""Messages between an instance with a call and the committer of its key's partition."""

from dataclasses import dataclass
from enum import StrEnum

from .records import Claim, Outcome, Release, Settlement


class ClaimVerdict(StrEnum):
    """What a committer knows about a claim."""

    PENDING = "pending"  # Not read back yet.
    CONTESTED = "contested"  # Not read back yet, but another claim has come first so far.
    WON = "won"
    LOST = "lost"  # Another claim came first, and its call has not ended.
    SETTLED = "settled"  # Another claim came first; its outcome is attached.
    OTHER_REQUEST = "other_request"  # Another claim came first, for a different request.
    FREED = "freed"  # The claim lost to one that was released; the call needs a new claim.
    VOID = "void"
    REFUSED = "refused"  # The committer did not append the claim, since the log is unavailable.


@dataclass(frozen=True)
class ClaimRequest:
    """Ask what became of a claim; the committer appends it if it is not in the stream.

    With `is_query` it is not appended: the instance knows that another claim came first, and learns
    that the key is free if that claim is gone.
    """

    claim: Claim
    is_query: bool = False

    @property
    def claim_id(self) -> str:
        """Return the id of the claim."""
        return self.claim.claim_id


@dataclass(frozen=True)
class ClaimResponse:
    """Answer an ask, at once and again when the verdict changes.

    `is_read` tells whether a lost claim was read, so that it can never come first. `holder` is the
    claim whose outcome is attached.
    """

    claim_id: str
    verdict: ClaimVerdict
    outcome: Outcome | None = None
    is_read: bool = False
    holder: str = ""


@dataclass(frozen=True)
class ClaimUpdate:
    """Ask a committer to append a release or an outcome.

    With `sent_once`, the released claim was sent once, to this committer.
    """

    entry: Release | Settlement
    sent_once: bool = False

    @property
    def claim_id(self) -> str:
        """Return the id of the claim."""
        return self.entry.claim_id


@dataclass(frozen=True)
class ClaimUpdateAck:
    """Answer a note; `in_stream` tells whether it is in the stream or still waits."""

    claim_id: str
    in_stream: bool


@dataclass(frozen=True)
class BodyRequest:
    """Ask the instance that ran a call for the long body of its outcome."""

    claim_id: str
    key_hash: str


@dataclass(frozen=True)
class BodyReply:
    """Return an outcome with its body, or None if it is not kept or too long."""

    claim_id: str
    outcome: Outcome | None


ClaimMessage = ClaimRequest | ClaimResponse | ClaimUpdate | ClaimUpdateAck | BodyRequest | BodyReply
CommitterRequest = ClaimRequest | ClaimUpdate
CommitterResponse = ClaimResponse | ClaimUpdateAck


@dataclass(frozen=True)
class OutgoingMessage:
    """A message and the instance that it goes to."""

    instance_id: str
    message: ClaimMessage
