"""An HTTP request of a caller and its response."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import h11
from ibispaddle_core.forwarding.memory_budget import pause_limit, resume_limit

from .delegated_call import DelegatedCall
from .events import Headers, find_header
from .http_listener import CallerConnection

_REASONS = {status.value: status.phrase.encode("ascii") for status in HTTPStatus}


class ResponseWriter(Protocol):
    """The connection's protocol, as seen by an exchange."""

    conn: CallerConnection
    accepted_while_draining: bool

    def send(self, event: Any, data: Any = None) -> None:
        """Serialize h11 events of the response and write them."""

    def end_response(self) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """Close the connection without completing the response."""

    def closes_after_response(self) -> bool:
        """Return whether the response must have the header `Connection: close`."""

    def response_room(self) -> int:
        """Return the number of bytes of unread responses for which there is room."""


class Exchange:
    """Hold a complete request and write its response.

    The component that handles the exchange sets two callbacks: `on_closed`, called when the caller
    disconnects before the response is complete, and `on_drained`, called when some unsent bytes
    have been written. After the caller has disconnected, all methods do nothing.
    """

    def __init__(
        self,
        http: ResponseWriter,
        method: str,
        target: str,
        headers: Headers,
        arrived_ms: int,
    ) -> None:
        self._http = http
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.arrived_ms = arrived_ms
        self.body = b""
        self.status = 0
        self.is_closed = False
        self.is_counted = False
        self.close_reason = ""  # Set if this instance has given up the caller.
        self.is_upstream_waiting = (
            False  # Reading from the upstream is paused because of the caller.
        )
        self.accepted_while_draining = http.accepted_while_draining
        self.is_complete = False
        # Set if another instance sent the request.
        self.delegated_call: DelegatedCall | None = None
        self.on_closed: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    @property
    def sock(self) -> Any:
        """Return the socket of the caller's connection."""
        return self._http.conn.sock

    @property
    def unsent_bytes(self) -> int:
        """Return the number of buffered response bytes that are not sent yet."""
        return self._http.conn.unsent_bytes

    def must_pause(self, max_unsent_bytes: int) -> bool:
        """Return whether the caller is so slow that reading from the upstream has to be paused."""
        return self.unsent_bytes > pause_limit(max_unsent_bytes, self._http.response_room())

    def may_resume(self, max_unsent_bytes: int) -> bool:
        """Return whether the caller has read so much that reading from the upstream may be resumed."""
        return self.unsent_bytes <= resume_limit(max_unsent_bytes, self._http.response_room())

    @property
    def is_response_started(self) -> bool:
        """Return whether the response's head was written."""
        return self.status != 0

    def header(self, name: str) -> str | None:
        """Return the first value of a request header."""
        return find_header(self.headers, name)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        if self.is_closed or self.is_response_started:
            return
        length = (("Content-Length", str(len(body))),) if status not in (204, 304) else ()
        self._send_head(status, (*headers, *length), self._body_event(body))
        self.end()

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed response."""
        if not self.is_closed and not self.is_response_started:
            self._send_head(status, headers, None)

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if not self.is_closed and not self.is_complete and data and self.method != "HEAD":
            self._http.send(h11.Data(data=data))

    def end(self) -> None:
        """Complete the response."""
        if not self.is_closed and not self.is_complete:
            self.is_complete = True
            self._http.end_response()

    def abort(self) -> None:
        """Close the caller's connection, so that the caller detects an incomplete response."""
        if not self.is_closed and not self.is_complete:
            self._http.abort()

    def _body_event(self, body: bytes) -> h11.Data | None:
        return h11.Data(data=body) if body and self.method != "HEAD" else None

    def _send_head(self, status: int, headers: Headers, data: h11.Data | None) -> None:
        self.status = status
        if self._http.closes_after_response():
            headers = (*headers, ("Connection", "close"))
        encoded = [(k.encode("ascii"), v.encode("latin-1", "replace")) for k, v in headers]
        reason = _REASONS.get(status, b"")
        response = h11.Response(status_code=status, headers=encoded, reason=reason)
        self._http.send(response, data)
