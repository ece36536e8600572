"""Errors and their JSON representation in the protocol."""

from dataclasses import dataclass

import msgspec

from ..runstate import RunState
from ..scheduling.messages import RefusalReason


@dataclass(frozen=True)
class ProtocolError:
    """The error with which a request ends.

    `status` is the HTTP status; `code` is a stable, machine-readable error code.
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    param: str | None = None
    retry_after_ms: int = 0

    @property
    def type(self) -> str:
        """Return the protocol's error type."""
        return _TYPES.get(self.status, "server_error" if self.status >= 500 else _INVALID)


_INVALID = "invalid_request_error"
_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
    503: "overloaded_error",
    504: "timeout_error",
}

_REFUSALS: dict[RefusalReason, tuple[int, str, str]] = {
    RefusalReason.DEADLINE: (504, "deadline", "The request cannot end within its allotted time."),
    RefusalReason.QUEUE_FULL: (429, "queue_full", "Too many requests are queued."),
    RefusalReason.NO_UPSTREAM: (503, "no_upstream", "No engine for this model is available."),
    RefusalReason.NO_UPSTREAM_IN_HOME: (
        503,
        "no_upstream_in_home",
        "No engine for this model is available in the regions where the request may run.",
    ),
    RefusalReason.TOO_LARGE: (400, "context_length_exceeded", "The prompt is too long."),
    RefusalReason.UPSTREAM_FAILED: (502, "upstream_failed", "The engine failed."),
    RefusalReason.CANCELLED: (499, "cancelled", "The caller left."),
    RefusalReason.DRAINING: (503, "draining", "The instance is being stopped."),
    RefusalReason.EVACUATED: (
        503,
        "evacuated",
        "All engines for this model are in data centres that are being evacuated.",
    ),
    RefusalReason.NO_MEMORY: (503, "no_memory", "No engines have the memory for the prompt now."),
    RefusalReason.MEMORY_INVALID: (
        503,
        "memory_invalid",
        "The engines cannot reserve the memory for the prompt.",
    ),
    RefusalReason.QUARANTINED: (
        422,
        "quarantined",
        "Requests with a part of this content crashed the upstreams that ran them.",
    ),
}


def refusal_error(
    reason: RefusalReason, run_state: RunState, retry_after_ms: int = 0
) -> ProtocolError:
    """Return the error for a request that the scheduler refused."""
    status, code, message = _REFUSALS[reason]
    return ProtocolError(status, code, message, run_state, None, retry_after_ms)


def error_body(error: ProtocolError) -> bytes:
    """Return the JSON body of an error.

    >>> error_body(ProtocolError(404, "model_not_found", "No model 'x'.", param="model"))[:40]
    b'{"error":{"message":"No model \\'x\\'.","typ'
    """
    return msgspec.json.encode(
        {
            "error": {
                "message": error.message,
                "type": error.type,
                "param": error.param,
                "code": error.code,
                "run_state": str(error.run_state),
            }
        }
    )


def error_event(error: ProtocolError) -> bytes:
    """Return the server-sent event that terminates a stream with an error."""
    return b"data: " + error_body(error) + b"\n\n"
