"""Authentication of callers and the time limit of their requests."""

import hashlib
from dataclasses import dataclass

from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.settings import FleetConfig, WorkspaceConfig
from result import Err, Ok, Result

from .http_exchange import Exchange

TIMEOUT_HEADER = "X-Request-Timeout-Ms"
MAX_TIMEOUT_MS = 86_400_000


@dataclass(frozen=True)
class Caller:
    """The workspace that a bearer key belongs to."""

    name: str
    workspace: WorkspaceConfig

    @property
    def neighbour(self) -> str:
        """Return the name of the neighbour that owns the workspace."""
        return self.workspace.neighbour


class CallerDirectory:
    """Looks up workspaces by bearer key."""

    def __init__(self, config: FleetConfig) -> None:
        self._callers = {
            digest: Caller(name, workspace)
            for name, workspace in config.workspaces.items()
            for digest in workspace.key_sha256
        }

    def identify(self, exchange: Exchange) -> Result[Caller, ProtocolError]:
        """Authenticate the caller of a request."""
        scheme, _, key = (exchange.header("authorization") or "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            text = "The header 'Authorization: Bearer KEY' is missing."
            return Err(ProtocolError(401, "missing_api_key", text))
        # Only digests are compared, so the duration of the lookup reveals nothing about a key.
        digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        caller = self._callers.get(digest)
        if caller is None:
            return Err(ProtocolError(401, "invalid_api_key", "The bearer key is not known."))
        return Ok(caller)


def read_timeout_ms(exchange: Exchange, default_ms: int) -> Result[int, ProtocolError]:
    """Return the time limit that a request sets, or the default."""
    text = exchange.header(TIMEOUT_HEADER)
    if text is None:
        return Ok(default_ms)
    if not (text.isascii() and text.isdigit() and len(text) <= 9 and int(text) > 0):
        message = (
            f"The header '{TIMEOUT_HEADER}' is '{text[:40]}'; expected a number of milliseconds."
        )
        return Err(ProtocolError(400, "invalid_value", message, param=TIMEOUT_HEADER))
    return Ok(min(int(text), MAX_TIMEOUT_MS))
