"""Delivery of messages to the committers, with retries and failover."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .messages import ClaimRequest, ClaimUpdate, CommitterRequest, OutgoingMessage

# A request without a response is repeated after this time. A committer that waits for a slow log
# responds to the repetition at once; after two requests without a response, the next committer is
# used. A call with a deadline of one second can therefore still be answered that another claim holds
# its key if the preferred committer is paused.
REQUEST_RETRY_MS = 150
MAX_UNANSWERED = 2
# Committers delay an outcome by up to 400 ms, and no caller waits for the acknowledgement.
UPDATE_RETRY_MS = 1_000
# A committer that has queued an update for this long is not the only one any more that is asked to append it,
# as the log may be unavailable to it alone.
STALLED_UPDATE_MS = 3_000
# Requests with a provisional response are repeated, since the committer may crash or be paused.
PENDING_RETRY_MS = 500
# How long an unresponsive committer is avoided.
SUSPECT_MS = 2_000
# Number of committers that refuse a claim, as the log is unavailable to them, before the instance acts as
# committer itself. Each committer reads the whole stream of its partition.
MAX_REFUSALS = 3


@dataclass
class _Delivery:
    partition: int
    message: CommitterRequest
    expires_ms: int
    due_ms: int
    target: str = ""
    target_since_ms: int = 0
    is_awaiting_response: bool = False
    unanswered: int = 0
    # How many times the message was sent to each committer that may have queued its entry.
    sends: Counter[str] = field(default_factory=Counter)
    refused_by: set[str] = field(default_factory=set)


class CommitterClient:
    """Send each message until it is removed; fails over when a committer does not respond.

    `committers_for` returns the candidate committers of a partition in order of preference, among
    them the own instance. A message can safely reach several committers, because entries are
    deduplicated by claim id.
    """

    def __init__(self, committers_for: Callable[[int], Sequence[str]], own_id: str) -> None:
        self._committers_for = committers_for
        self._own_id = own_id
        self._deliveries: dict[str, _Delivery] = {}
        self._suspected_until_ms: dict[str, int] = {}  # By instance.

    def __len__(self) -> int:
        return len(self._deliveries)

    def add(self, partition: int, message: CommitterRequest, now_ms: int, expires_ms: int) -> None:
        """Start delivering a message; it replaces an earlier message about the same claim."""
        self._deliveries[message.claim_id] = _Delivery(partition, message, expires_ms, now_ms)

    def replace(self, message: CommitterRequest) -> None:
        """Replace the message about the same claim; the next transmission sends the new one."""
        delivery = self._deliveries.get(message.claim_id)
        if delivery is not None:
            delivery.message = message

    def remove(self, claim_id: str) -> None:
        """Stop delivering the message about a claim."""
        self._deliveries.pop(claim_id, None)

    def send_count(self, claim_id: str) -> int:
        """Return how many times the current message about a claim was sent.

        Messages to a committer that has certainly refused the claim do not count.
        """
        delivery = self._deliveries.get(claim_id)
        return delivery.sends.total() if delivery is not None else 0

    def is_unsent(self, claim_id: str) -> bool:
        """Return whether certainly no committer has queued the claim that is being delivered."""
        return claim_id in self._deliveries and not self.send_count(claim_id)

    def record_refusal(self, claim_id: str, instance_id: str, now_ms: int) -> bool:
        """Record that the log is unavailable to a committer; return whether another one is asked.

        The refusal is certain if it responds to the only message that this committer got. It is asked
        about other claims nevertheless, so that all instances ask the same few committers.
        """
        self._suspected_until_ms.pop(instance_id, None)
        delivery = self._deliveries.get(claim_id)
        if delivery is None:
            return False
        if delivery.sends[instance_id] == 1:
            del delivery.sends[instance_id]
        delivery.refused_by.add(instance_id)
        if delivery.target != instance_id:
            return delivery.target not in delivery.refused_by or bool(self._untried(delivery))
        return self._ask_next(delivery, now_ms)

    def _ask_next(self, delivery: _Delivery, now_ms: int) -> bool:
        """Ask the next committer at once, or all of them again after a pause; return which."""
        has_next = bool(self._untried(delivery))
        if not has_next:
            delivery.refused_by.clear()
        delivery.is_awaiting_response, delivery.unanswered = False, 0
        delivery.due_ms = now_ms if has_next else now_ms + PENDING_RETRY_MS
        return has_next

    def record_response(self, claim_id: str, instance_id: str, now_ms: int) -> None:
        """Record a response that does not complete the delivery."""
        self._suspected_until_ms.pop(instance_id, None)
        delivery = self._deliveries.get(claim_id)
        if delivery is not None and delivery.target == instance_id:
            delivery.is_awaiting_response, delivery.unanswered = False, 0
            delivery.due_ms = now_ms + PENDING_RETRY_MS
            is_update = isinstance(delivery.message, ClaimUpdate)
            if is_update and now_ms - delivery.target_since_ms >= STALLED_UPDATE_MS:
                delivery.refused_by.add(instance_id)
                self._ask_next(delivery, now_ms)

    def connection_lost(self, instance_id: str, now_ms: int) -> None:
        """Mark an instance as suspected, and resend its unanswered messages at once."""
        self._suspected_until_ms[instance_id] = now_ms + SUSPECT_MS
        for delivery in self._deliveries.values():
            if delivery.target == instance_id:
                delivery.is_awaiting_response, delivery.due_ms = False, now_ms

    def send_failed(self, claim_id: str, instance_id: str, now_ms: int) -> None:
        """Record that no byte of a message was sent, and fail over."""
        delivery = self._deliveries.get(claim_id)
        if delivery is not None and delivery.target == instance_id:
            delivery.sends[instance_id] -= 1
        self.connection_lost(instance_id, now_ms)

    def next_due_ms(self) -> int | None:
        """Return the time of the next transmission, or None."""
        return min((delivery.due_ms for delivery in self._deliveries.values()), default=None)

    def due_messages(self, now_ms: int) -> list[OutgoingMessage]:
        """Return the messages that are due to be sent; drops expired ones."""
        outgoing = []
        for claim_id, delivery in list(self._deliveries.items()):
            if now_ms >= delivery.expires_ms:
                del self._deliveries[claim_id]
            elif now_ms >= delivery.due_ms:
                outgoing.append(self._send(delivery, now_ms))
        return outgoing

    def _send(self, delivery: _Delivery, now_ms: int) -> OutgoingMessage:
        if delivery.is_awaiting_response:
            delivery.unanswered += 1
            if delivery.unanswered >= MAX_UNANSWERED:
                self._suspected_until_ms[delivery.target] = now_ms + SUSPECT_MS
        target = self._choose_target(delivery, now_ms)
        if target != delivery.target:
            delivery.target, delivery.unanswered = target, 0
            delivery.target_since_ms = now_ms
        delivery.is_awaiting_response = True
        delivery.sends[target] += 1
        wait_ms = (
            REQUEST_RETRY_MS if isinstance(delivery.message, ClaimRequest) else UPDATE_RETRY_MS
        )
        delivery.due_ms = now_ms + wait_ms
        return OutgoingMessage(target, delivery.message)

    def _untried(self, delivery: _Delivery) -> Sequence[str]:
        """Return the candidates that may still be asked, which have not refused the claim."""
        names = self._committers_for(delivery.partition)
        if not delivery.refused_by:
            return names
        if len(delivery.refused_by) >= MAX_REFUSALS:
            names = [self._own_id]
        return [name for name in names if name not in delivery.refused_by]

    def _choose_target(self, delivery: _Delivery, now_ms: int) -> str:
        """Return the first candidate that is not suspected, or whose suspicion ends first."""
        return min(
            self._untried(delivery) or self._committers_for(delivery.partition),
            key=lambda name: max(now_ms, self._suspected_until_ms.get(name, 0)),
        )
