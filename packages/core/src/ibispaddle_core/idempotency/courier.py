"""Delivery of asks and notes to a committer that answers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .messages import ClaimRequest, CommitterRequest, OutgoingMessage

# An ask without an answer is repeated after this time. A committer that waits for a slow log answers
# the repetition at once; one that is silent twice is passed over. A retry with a deadline of a second
# therefore still learns that another claim holds its key when the first choice is paused.
ASK_REPEAT_MS = 150
MAX_SILENT = 2
# An outcome waits up to 400 ms at the committer, and nothing waits for the answer to a note.
NOTE_REPEAT_MS = 1_000
# A committer that waits or has named another claim is asked again, since it may die or be paused.
HEARD_REPEAT_MS = 500
# How long a silent committer is passed over.
SUSPECT_MS = 2_000


@dataclass
class _Item:
    partition: int
    message: CommitterRequest
    expires_ms: int
    due_ms: int
    target: str = ""
    awaiting: bool = False
    silent: int = 0
    sent: int = 0


class CommitterClient:
    """Send each message until it is removed, and to the next choice when a committer is silent.

    `choices` returns the instances to ask for a partition, best first. A message that reaches several
    committers has the effect of one, because entries are recognised by their claim id.
    """

    def __init__(self, choices: Callable[[int], Sequence[str]]) -> None:
        self._choices = choices
        self._items: dict[str, _Item] = {}
        self._suspects: dict[str, int] = {}  # Until when an instance is passed over.

    def __len__(self) -> int:
        return len(self._items)

    def add(self, partition: int, message: CommitterRequest, now_ms: int, expires_ms: int) -> None:
        """Send a message from now on; it replaces an earlier message about the same claim."""
        self._items[message.claim_id] = _Item(partition, message, expires_ms, now_ms)

    def replace(self, message: CommitterRequest) -> None:
        """Send another message instead of the one about the same claim from the next time on."""
        item = self._items.get(message.claim_id)
        if item is not None:
            item.message = message

    def remove(self, claim_id: str) -> None:
        """End the delivery of the message about a claim."""
        self._items.pop(claim_id, None)

    def sent(self, claim_id: str) -> int:
        """Return how often the current message about a claim was sent."""
        item = self._items.get(claim_id)
        return item.sent if item is not None else 0

    def record_response(self, claim_id: str, instance_id: str, now_ms: int) -> None:
        """Record an answer that does not end the delivery."""
        self._suspects.pop(instance_id, None)
        item = self._items.get(claim_id)
        if item is not None and item.target == instance_id:
            item.awaiting, item.silent = False, 0
            item.due_ms = now_ms + HEARD_REPEAT_MS

    def connection_lost(self, instance_id: str, now_ms: int) -> None:
        """Send at once to the next choice what the lost instance has not answered."""
        self._suspects[instance_id] = now_ms + SUSPECT_MS
        for item in self._items.values():
            if item.target == instance_id:
                item.awaiting, item.due_ms = False, now_ms

    def send_failed(self, claim_id: str, instance_id: str, now_ms: int) -> None:
        """Record that no byte of the message left this instance."""
        item = self._items.get(claim_id)
        if item is not None and item.target == instance_id:
            item.sent -= 1
        self.connection_lost(instance_id, now_ms)

    def next_due_ms(self) -> int | None:
        """Return the time of the next message, or None."""
        return min((item.due_ms for item in self._items.values()), default=None)

    def due_messages(self, now_ms: int) -> list[OutgoingMessage]:
        """Return the messages to send now."""
        outgoing = []
        for claim_id, item in list(self._items.items()):
            if now_ms >= item.expires_ms:
                del self._items[claim_id]
            elif now_ms >= item.due_ms:
                outgoing.append(self._send(item, now_ms))
        return outgoing

    def _send(self, item: _Item, now_ms: int) -> OutgoingMessage:
        if item.awaiting:
            item.silent += 1
            if item.silent >= MAX_SILENT:
                self._suspects[item.target] = now_ms + SUSPECT_MS
        target = self._pick(item.partition, now_ms)
        if target != item.target:
            item.target, item.silent = target, 0
        item.awaiting = True
        item.sent += 1
        wait_ms = ASK_REPEAT_MS if isinstance(item.message, ClaimRequest) else NOTE_REPEAT_MS
        item.due_ms = now_ms + wait_ms
        return OutgoingMessage(target, item.message)

    def _pick(self, partition: int, now_ms: int) -> str:
        """Return the best choice that is not passed over, or the one whose time ends first."""
        return min(
            self._choices(partition), key=lambda name: max(now_ms, self._suspects.get(name, 0))
        )
