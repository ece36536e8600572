"""Delivery of messages to the committers, with retries and failover."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .messages import ClaimRequest, CommitterRequest, OutgoingMessage

# A request without a response is repeated after this time. A committer that waits for a slow log
# responds to the repetition at once; after two requests without a response, the next committer is
# used. A call with a deadline of one second can therefore still be answered that another claim holds
# its key if the preferred committer is paused.
REQUEST_RETRY_MS = 150
MAX_UNANSWERED = 2
# Committers delay an outcome by up to 400 ms, and no caller waits for the acknowledgement.
UPDATE_RETRY_MS = 1_000
# Requests with a provisional response are repeated, since the committer may crash or be paused.
PENDING_RETRY_MS = 500
# How long an unresponsive committer is avoided.
SUSPECT_MS = 2_000


@dataclass
class _Delivery:
    partition: int
    message: CommitterRequest
    expires_ms: int
    due_ms: int
    target: str = ""
    is_awaiting_response: bool = False
    unanswered: int = 0
    send_count: int = 0


class CommitterClient:
    """Send each message until it is removed; fails over when a committer does not respond.

    `committers_for` returns the candidate committers of a partition in order of preference. A
    message can safely reach several committers, because entries are deduplicated by claim id.
    """

    def __init__(self, committers_for: Callable[[int], Sequence[str]]) -> None:
        self._committers_for = committers_for
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
        """Return how many times the current message about a claim was sent."""
        delivery = self._deliveries.get(claim_id)
        return delivery.send_count if delivery is not None else 0

    def record_response(self, claim_id: str, instance_id: str, now_ms: int) -> None:
        """Record a response that does not complete the delivery."""
        self._suspected_until_ms.pop(instance_id, None)
        delivery = self._deliveries.get(claim_id)
        if delivery is not None and delivery.target == instance_id:
            delivery.is_awaiting_response, delivery.unanswered = False, 0
            delivery.due_ms = now_ms + PENDING_RETRY_MS

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
            delivery.send_count -= 1
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
        target = self._choose_target(delivery.partition, now_ms)
        if target != delivery.target:
            delivery.target, delivery.unanswered = target, 0
        delivery.is_awaiting_response = True
        delivery.send_count += 1
        wait_ms = (
            REQUEST_RETRY_MS if isinstance(delivery.message, ClaimRequest) else UPDATE_RETRY_MS
        )
        delivery.due_ms = now_ms + wait_ms
        return OutgoingMessage(target, delivery.message)

    def _choose_target(self, partition: int, now_ms: int) -> str:
        """Return the first candidate that is not suspected, or whose suspicion ends first."""
        return min(
            self._committers_for(partition),
            key=lambda name: max(now_ms, self._suspected_until_ms.get(name, 0)),
        )
