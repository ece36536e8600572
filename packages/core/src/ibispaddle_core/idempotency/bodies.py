"""Long bodies of recorded responses, which only the instance that ran the call stores."""

from collections.abc import Callable
from dataclasses import dataclass

from .messages import BodyReply, BodyRequest, OutgoingMessage
from .records import MAX_LOGGED_BODY_BYTES, Outcome

# Limit for the total size of the long bodies that an instance stores.
MAX_LONG_BODY_BYTES = 8_388_608
# Longest body that is sent to another instance; frames between instances are limited to 8 MiB.
MAX_FETCHED_BODY_BYTES = 4_194_304
FETCH_TIMEOUT_MS = 1_000


class LongBodyStore:
    """Store outcomes with long bodies; evicts the oldest when the size limit is exceeded."""

    def __init__(self) -> None:
        self._outcomes: dict[str, tuple[str, Outcome]] = (
            {}
        )  # Maps key hash to claim id and outcome.
        self._size = 0

    def add(self, key_hash: str, claim_id: str, outcome: Outcome) -> None:
        """Store an outcome if its body is too long for the log and within the size limit."""
        size = len(outcome.body or b"")
        if not MAX_LOGGED_BODY_BYTES < size <= MAX_LONG_BODY_BYTES:
            return
        self._outcomes[key_hash] = (claim_id, outcome)
        self._size += size
        while self._size > MAX_LONG_BODY_BYTES:
            _, oldest = self._outcomes.pop(next(iter(self._outcomes)))
            self._size -= len(oldest.body or b"")

    def get(self, key_hash: str) -> Outcome | None:
        """Return the stored outcome of a key's call, or None."""
        return self._outcomes.get(key_hash, ("", None))[1]

    def reply_to(self, request: BodyRequest) -> BodyReply:
        """Return the reply to another instance's request for a body."""
        claim_id, outcome = self._outcomes.get(request.key_hash, ("", None))
        if claim_id != request.claim_id or outcome is None:
            return BodyReply(request.claim_id, None)
        is_fetchable = len(outcome.body or b"") <= MAX_FETCHED_BODY_BYTES
        return BodyReply(request.claim_id, outcome if is_fetchable else None)


@dataclass
class _Fetch:
    call_id: str
    claim_id: str
    instance_id: str
    due_ms: int


class BodyFetcher:
    """Fetch long bodies from the instances that ran the calls, with a timeout."""

    def __init__(self) -> None:
        self._pending: dict[str, _Fetch] = {}  # Maps call id to fetch.
        self._outgoing: list[OutgoingMessage] = []

    def begin(
        self, call_id: str, claim_id: str, key_hash: str, now_ms: int, deadline_ms: int
    ) -> None:
        """Start fetching the body of a claim's outcome for a call."""
        instance_id = claim_id.partition("/")[0]
        due_ms = min(deadline_ms, now_ms + FETCH_TIMEOUT_MS)
        self._pending[call_id] = _Fetch(call_id, claim_id, instance_id, due_ms)
        self._outgoing.append(OutgoingMessage(instance_id, BodyRequest(claim_id, key_hash)))

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return and clear the requests that have not been sent yet."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def receive(self, instance_id: str, reply: BodyReply) -> list[str]:
        """Remove the fetches that a reply completes; return their call ids."""
        return self._remove(lambda f: (f.claim_id, f.instance_id) == (reply.claim_id, instance_id))

    def expire(self, now_ms: int) -> list[str]:
        """Remove the fetches that have timed out; return their call ids."""
        return self._remove(lambda fetch: now_ms >= fetch.due_ms)

    def next_due_ms(self) -> int | None:
        """Return the time of the next timeout, or None."""
        return min((fetch.due_ms for fetch in self._pending.values()), default=None)

    def _remove(self, matches: Callable[[_Fetch], bool]) -> list[str]:
        call_ids = [call_id for call_id, fetch in self._pending.items() if matches(fetch)]
        for call_id in call_ids:
            del self._pending[call_id]
        return call_ids
