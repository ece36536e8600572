"""Interface between the daemon and a platform's store; adapters implement it."""

from dataclasses import dataclass
from typing import Protocol

from ibispaddle_core.topics import ChangesPage, NewestPage, OffsetExpired, ReadChanges, ReadNewest

from ..events import Headers

# Maximum size of the changes in one response. A reader that is further behind needs the newest records
# only, and a larger response may take longer than the timeout of a read where there is little bandwidth.
MAX_CHANGES_KB = 256


@dataclass(frozen=True)
class StoreCall:
    """An HTTP call to the store."""

    method: str
    path: str  # Includes the query string.
    body: bytes = b""


class StoreCodec(Protocol):
    """Encode calls to keyed topics and decode their responses."""

    def read(self, topic: str, call: ReadNewest | ReadChanges) -> StoreCall:
        """Return the call that reads from a topic, with at most `MAX_CHANGES_KB` of changes."""

    def put(self, topic: str, key: str, value: bytes | None) -> StoreCall:
        """Return the call that writes the newest record of a key; None removes the key."""

    def decode(
        self, call: ReadNewest | ReadChanges, status: int, headers: Headers, body: bytes
    ) -> NewestPage | ChangesPage | OffsetExpired:
        """Decode the response to a read; raise `TopicFormatError` if it is invalid."""
