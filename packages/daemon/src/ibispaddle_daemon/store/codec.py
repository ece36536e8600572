"""What the daemon needs to know of the store's interface. Adapters implement the protocol."""

from dataclasses import dataclass
from typing import Protocol

from ibispaddle_core.topics import ChangesPage, NewestPage, OffsetExpired, ReadChanges, ReadNewest


@dataclass(frozen=True)
class StoreCall:
    """Describe one HTTP call to the store."""

    method: str
    path: str  # With its query.
    body: bytes = b""


class StoreCodec(Protocol):
    """Translate calls to keyed topics and their answers."""

    def read(self, topic: str, call: ReadNewest | ReadChanges) -> StoreCall:
        """Return the call that reads from a topic."""

    def put(self, topic: str, key: str, value: bytes | None) -> StoreCall:
        """Return the call that writes the newest record of a key; None removes the key."""

    def decode(
        self, call: ReadNewest | ReadChanges, status: int, body: bytes
    ) -> NewestPage | ChangesPage | OffsetExpired:
        """Return the answer to a read; raise `TopicFormatError` if it is none."""
