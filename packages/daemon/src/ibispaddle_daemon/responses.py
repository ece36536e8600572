"""Error responses in the format of the API, and common response headers."""

from ibispaddle_core.chat import ProtocolError, error_body

from .events import Headers
from .http_exchange import Exchange

JSON: Headers = (("Content-Type", "application/json"),)
EVENT_STREAM: Headers = (
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-cache"),
)


def respond_error(exchange: Exchange, error: ProtocolError, headers: Headers = ()) -> None:
    """Send an error response with the run state and the time after which to retry."""
    headers = (*JSON, *headers, ("X-Run-State", str(error.run_state)))
    if error.retry_after_ms > 0:
        headers += (("Retry-After", str(-(-error.retry_after_ms // 1000))),)
        headers += (("Retry-After-Ms", str(error.retry_after_ms)),)
    if error.status == 401:
        headers += (("WWW-Authenticate", "Bearer"),)
    exchange.respond(error.status, headers, error_body(error))


def respond_not_found(exchange: Exchange) -> None:
    """Send the error for a path that does not exist."""
    text = f"The path '{exchange.path[:200]}' does not exist."
    respond_error(exchange, ProtocolError(404, "unknown_path", text))


def respond_method_not_allowed(exchange: Exchange, allowed: str) -> None:
    """Send the error for a method that the path does not support."""
    text = f"The method '{exchange.method[:20]}' is not allowed; use {allowed}."
    error = ProtocolError(405, "method_not_allowed", text)
    respond_error(exchange, error, (("Allow", allowed),))
