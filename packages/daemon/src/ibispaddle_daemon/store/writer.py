"""Writing of records to a keyed topic."""

from collections.abc import Callable

from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock

from ..calls import CallbackHttpClient, CallResult
from ..logs import log_event
from .codec import StoreCodec

WRITE_TIMEOUT_MS = 2_000


class TopicWriter(BaseComponent):
    """Write the newest record of a key.

    `on_failed` is called if the store did not confirm a write. The write may have taken effect
    nevertheless, so it must do no harm to repeat it.
    """

    def __init__(self, topic: str, url: str, codec: StoreCodec, clock: Clock) -> None:
        super().__init__(channel=f"topic-writer-{topic}")
        self._topic, self._url, self._codec = topic, url, codec
        self._calls = CallbackHttpClient(f"topic-writes-{topic}", clock).register(self)

    def write(self, key: str, value: bytes | None, on_failed: Callable[[], None]) -> None:
        """Write a record; a value of None removes the key."""
        call = self._codec.put(self._topic, key, value)

        def done(result: CallResult) -> None:
            if result.error is None and result.status == 200:
                return
            reason = (
                result.error.text
                if result.error is not None
                else f"the store responded with status {result.status}"
            )
            log_event(logevents.STORE_UNAVAILABLE, topic=self._topic, reason=reason)
            on_failed()

        self._calls.send(
            call.method,
            self._url + call.path,
            call.body,
            WRITE_TIMEOUT_MS,
            done,
            may_reuse_connection=True,
        )
