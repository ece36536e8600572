"""Events that the daemon's components send to each other.

Event classes have lower-case names because circuits derives the name of the event from the class.
"""

# ruff: noqa: N801

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from circuits import Event

Headers = tuple[tuple[str, str], ...]

CONNECT_TIMEOUT_MS = 2_000

# Maximum size of a buffered response. A page of the platform's log has a few megabytes.
MAX_BUFFERED_BODY_BYTES = 33_554_432


class CallFailure(StrEnum):
    """The reason why an HTTP call did not complete."""

    UNREACHABLE = "unreachable"  # No connection could be established.
    BUSY = "busy"  # The connection pool is exhausted.
    CLOSED = "closed"  # The connection was closed before the response was complete.
    TIMEOUT = "timeout"  # The deadline of the call passed.
    CANCELLED = "cancelled"
    PROTOCOL = "protocol"  # The response is not valid HTTP.
    TOO_LARGE = "too_large"  # A buffered response exceeds the client's size limit.


@dataclass(frozen=True)
class HttpCallError:
    """A failed HTTP call.

    `byte_sent` is true if at least one byte of the request was written to the connected socket.
    `is_refused` is true if the host answered that no process listens at the address.
    """

    failure: CallFailure
    text: str
    byte_sent: bool
    is_refused: bool = False


class CallSink(Protocol):
    """Receives the progress of a streamed call through method calls, in the order of the events."""

    def call_sent(self, call_id: str) -> None:
        """Report that the first byte was written."""

    def call_head(self, call_id: str, status: int, headers: Headers) -> None:
        """Report the status and headers of the response."""

    def call_data(self, call_id: str, data: bytes) -> None:
        """Report a part of the response body."""

    def call_ended(self, call_id: str, error: HttpCallError | None) -> None:
        """Report the end of the call; `error` is None after a complete response."""


@dataclass(frozen=True)
class HttpCall:
    """One HTTP call.

    `url` is `http://IP:PORT/PATH`, or has another scheme that selects TLS. `deadline_ms` is a
    monotonic time. The client adds `Host` and `Content-Length`. A streamed call with a `sink` is
    reported through the sink's methods instead of events, which saves one event per relayed token.
    """

    call_id: str
    method: str
    url: str
    headers: Headers
    body: bytes
    deadline_ms: int
    channel: str
    stream: bool = False
    sink: CallSink | None = None
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    # On a new connection, a call cannot receive bytes of an earlier call and cannot hit an idle
    # connection that the upstream has dropped without closing it.
    may_reuse_connection: bool = True
    max_body_bytes: int = MAX_BUFFERED_BODY_BYTES  # Limit of a response that is not streamed.
    # Time after which a call fails whose upstream reads nothing of the request; None: its deadline.
    write_timeout_ms: int | None = None


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of the header, or None; names are compared case-insensitively.

    >>> find_header((("Content-Type", "text/plain"),), "content-type")
    'text/plain'
    """
    lowered = name.lower()
    return next((value for key, value in headers if key.lower() == lowered), None)


class http_call(Event):
    """Start an HTTP call: `http_call(HttpCall)`, on channel `http_client`."""


class http_cancel(Event):
    """Close the connection of a call: `http_cancel(call_id)`, on channel `http_client`."""


class http_pause(Event):
    """Stop reading the response of a call: `http_pause(call_id)`, on channel `http_client`."""


class http_resume(Event):
    """Resume reading the response of a call: `http_resume(call_id)`, on channel `http_client`."""


class call_completed(Event):
    """Report a completed call: `call_completed(call_id, status, headers, body, error)`."""


class call_sent(Event):
    """Report that the first byte was written: `call_sent(call_id)`."""


class call_head(Event):
    """Report the response's status and headers: `call_head(call_id, status, headers)`."""


class call_data(Event):
    """Report a part of the response body: `call_data(call_id, data)`."""


class call_ended(Event):
    """Report the end of a streamed call: `call_ended(call_id, error)`.

    `error` is None after a complete response.
    """


class log_append(Event):
    """Append to a stream of the platform log: `log_append(stream, data, token, channel)`."""


class log_appended(Event):
    """Report the result of an append: `log_appended(token, offset, error)`."""


class log_follow(Event):
    """Follow a stream from an offset: `log_follow(stream, from_offset, channel)`."""


class log_records(Event):
    """Deliver records of a stream: `log_records(stream, records, first_offset, next_offset)`."""


class log_health(Event):
    """Report whether the platform log is available: `log_health(available)`."""


class configuration_changed(Event):
    """Report a new configuration in force: `configuration_changed(config, revision)`."""


class list_changed(Event):
    """Report a new instance list: `list_changed(entries)`."""


class list_questioned(Event):
    """Report that an upstream in the list does not respond: `list_questioned()`."""


class load_reported(Event):
    """Report a runner's load: `load_reported(load)`."""


class runner_failed(Event):
    """Report that a runner does not respond: `runner_failed(upstream_id)`."""


class runner_boot_ended(Event):
    """Report that a peer saw a runner's boot end: `runner_boot_ended(upstream_id, boot_id)`."""


class peer_send(Event):
    """Send a message to one instance: `peer_send(instance_id, message)`."""


class peer_broadcast(Event):
    """Send a message to all instances: `peer_broadcast(message)`."""


class peer_received(Event):
    """Deliver a message from an instance: `peer_received(instance_id, message)`."""


class claim_requested(Event):
    """Request a claim: `claim_requested(call_id, key, request_hash, deadline_ms, channel)`."""


class claim_decided(Event):
    """Report the decision on a claim: `claim_decided(call_id, decision)`."""


class claim_finished(Event):
    """Record the outcome of a claimed call: `claim_finished(call_id, outcome)`."""


class exchange_started(Event):
    """Dispatch a caller's request: `exchange_started(exchange)`, on the channel of its path."""


class usage_counted(Event):
    """Add the usage of one request.

    `usage_counted(workspace, neighbour, prompt_tokens, generated_tokens, engine_ms)`.
    """


class readiness_changed(Event):
    """Report whether a component is ready: `readiness_changed(component, ready)`."""


class process_paused(Event):
    """Report that the process was paused: `process_paused(number)`; pauses are numbered from 1."""


class source_reread(Event):
    """Report a source that was read again after a pause: `source_reread(source, number)`."""


class log_reread(Event):
    """Report on the followed streams after a pause: `log_reread(complete, number)`.

    `complete` is true when all followed streams were read to their end by reads that began after
    the pause, and false when the log is unavailable.
    """


class pause_ended(Event):
    """Report that all sources were read again after a pause: `pause_ended()`."""


class drain_started(Event):
    """Begin a graceful shutdown: `drain_started()`."""


class drain_completed(Event):
    """Report that a component is drained: `drain_completed(component)`."""
