"""Long bodies of recorded answers, which only the instance that ran the call keeps."""

from collections.abc import Callable
from dataclasses import dataclass

from .messages import BodyReply, BodyRequest, OutgoingMessage
from .records import MAX_LOGGED_BODY_BYTES, Outcome

# Long bodies that the instance keeps for its own outcomes.
MAX_LONG_BODY_BYTES = 8_388_608
# Longest body that is sent to another instance; a frame between instances has at most 8 MiB.
MAX_FETCHED_BODY_BYTES = 4_194_304
FETCH_TIMEOUT_MS = 1_000


class LongBodyStore:
    """Keep the outcomes with long bodies, oldest out first."""

    def __init__(self) -> None:
        self._outcomes: dict[str, tuple[str, Outcome]] = {}  # Claim id and outcome by key.
        self._size = 0

    def add(self, key_hash: str, claim_id: str, outcome: Outcome) -> None:
        """Keep an outcome if its body does not travel through the log."""
        size = len(outcome.body or b"")
        if not MAX_LOGGED_BODY_BYTES < size <= MAX_LONG_BODY_BYTES:
            return
        self._outcomes[key_hash] = (claim_id, outcome)
        self._size += size
        while self._size > MAX_LONG_BODY_BYTES:
            _, oldest = self._outcomes.pop(next(iter(self._outcomes)))
            self._size -= len(oldest.body or b"")

    def get(self, key_hash: str) -> Outcome | None:
        """Return the outcome of a key's call, if it is kept."""
        return self._outcomes.get(key_hash, ("", None))[1]

    def reply_to(self, request: BodyRequest) -> BodyReply:
        """Return the reply to another instance."""
        claim_id, outcome = self._outcomes.get(request.key_hash, ("", None))
        if claim_id != request.claim_id or outcome is None:
            return BodyReply(request.claim_id, None)
        is_short = len(outcome.body or b"") <= MAX_FETCHED_BODY_BYTES
        return BodyReply(request.claim_id, outcome if is_short else None)


@dataclass
class _Fetch:
    call_id: str
    claim_id: str
    instance_id: str
    due_ms: int


class BodyFetcher:
    """Ask the instances that ran calls for their long bodies, for a bounded time."""

    def __init__(self) -> None:
        self._fetches: dict[str, _Fetch] = {}  # By call id.
        self._outgoing: list[OutgoingMessage] = []

    def begin(
        self, call_id: str, claim_id: str, key_hash: str, now_ms: int, deadline_ms: int
    ) -> None:
        """Fetch the body of a claim's outcome for a call."""
        instance_id = claim_id.partition("/")[0]
        due_ms = min(deadline_ms, now_ms + FETCH_TIMEOUT_MS)
        self._fetches[call_id] = _Fetch(call_id, claim_id, instance_id, due_ms)
        self._outgoing.append(OutgoingMessage(instance_id, BodyRequest(claim_id, key_hash)))

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the requests that were not sent yet."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def receive(self, instance_id: str, reply: BodyReply) -> list[str]:
        """End the fetches that a reply answers; return their calls."""
        return self._end(lambda f: (f.claim_id, f.instance_id) == (reply.claim_id, instance_id))

    def expire(self, now_ms: int) -> list[str]:
        """End the fetches whose time has passed; return their calls."""
        return self._end(lambda fetch: now_ms >= fetch.due_ms)

    def next_due_ms(self) -> int | None:
        """Return when the next fetch ends without an answer."""
        return min((fetch.due_ms for fetch in self._fetches.values()), default=None)

    def _end(self, applies: Callable[[_Fetch], bool]) -> list[str]:
        ended = [call_id for call_id, fetch in self._fetches.items() if applies(fetch)]
        for call_id in ended:
            del self._fetches[call_id]
        return ended
