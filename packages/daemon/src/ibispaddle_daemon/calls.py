"""HTTP calls whose complete response is passed to a callback."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent, handler
from ibispaddle_core.clock import Clock

from .events import CallFailure, Headers, HttpCall, HttpCallError, http_call, http_cancel
from .responses import JSON

# Maximum size of the response to an order, a status check or a report, which have some hundred bytes.
MAX_STATUS_BYTES = 65_536
_CALL_NUMBERS = itertools.count(1)


@dataclass(frozen=True)
class CallResult:
    """The complete response to a call, or its error."""

    status: int
    headers: Headers
    body: bytes
    error: HttpCallError | None

    @property
    def failure(self) -> CallFailure | None:
        """Return the reason why the call did not complete, or None."""
        return self.error.failure if self.error is not None else None


class CallbackHttpClient(BaseComponent):
    """Make calls through the HTTP client and pass each result to the call's callback."""

    def __init__(self, channel: str, clock: Clock) -> None:
        super().__init__(channel=channel)
        self._clock = clock
        self._callbacks: dict[str, Callable[[CallResult], None]] = {}

    def send(
        self,
        method: str,
        url: str,
        body: bytes,
        timeout_ms: int,
        callback: Callable[[CallResult], None],
        max_body_bytes: int = MAX_STATUS_BYTES,
        may_reuse_connection: bool = False,
    ) -> str:
        """Make a call and return its id; the callback is called once, within `timeout_ms`.

        A response of more than `max_body_bytes` fails as `TOO_LARGE`. On a connection that is used again, a
        faulty upstream may repeat an earlier response; only calls to the platform may use one, and
        calls whose responses state what they belong to.
        """
        call_id = f"{self.channel}-{next(_CALL_NUMBERS)}"
        self._callbacks[call_id] = callback
        call = HttpCall(
            call_id=call_id,
            method=method,
            url=url,
            headers=JSON if body else (),
            body=body,
            deadline_ms=self._clock.now_ms() + timeout_ms,
            channel=self.channel,
            max_body_bytes=max_body_bytes,
            may_reuse_connection=may_reuse_connection,
        )
        self.fire(http_call(call), "http_client")
        return call_id

    def cancel(self, call_id: str) -> None:
        """Cancel a call and close its connection; its callback will not be called."""
        if self._callbacks.pop(call_id, None) is not None:
            self.fire(http_cancel(call_id), "http_client")

    @handler("call_completed")
    def _on_call_completed(
        self, call_id: str, status: int, headers: Headers, body: bytes, error: HttpCallError | None
    ) -> None:
        callback = self._callbacks.pop(call_id, None)
        if callback is not None:
            callback(CallResult(status, headers, body, error))
