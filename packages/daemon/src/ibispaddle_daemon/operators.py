"""Endpoints of the operator API under `/operator/`."""

import hashlib
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import (
    Applied,
    Change,
    ChangeRejected,
    Conflict,
    FoldResult,
    LastChange,
    Outcome,
    RecordError,
    Unavailable,
    Undetermined,
)
from ibispaddle_core.settings import FleetConfig, InstanceSettings, SettingsError, parse_json

from .configuration import Configuration
from .http_exchange import Exchange
from .responses import JSON, respond_error, respond_method_not_allowed, respond_not_found

APPLY_TIMEOUT_MS = 10_000
RETRY_AFTER_MS = 1_000

RequestHandler = Callable[[Exchange], None]


class OperatorEndpoints(BaseComponent):
    """Authenticate requests below `/operator/` and dispatch them to their handlers.

    Serves the endpoints of the configuration. Other components register theirs with `add_endpoint`.
    """

    channel = "operators"

    def __init__(
        self, settings: InstanceSettings, configuration: Configuration, clock: Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._configuration = configuration
        self._clock = clock
        self._key_digests: frozenset[str] | None = None
        self._initial_key_digests: dict[str, frozenset[str]] = {}
        self._endpoints: dict[tuple[str, str], RequestHandler] = {
            ("GET", "/operator/config"): self._show_config,
            ("POST", "/operator/config"): self._apply_change,
            ("GET", "/operator/config/history"): self._show_history,
            ("GET", "/operator/instances"): self._show_instances,
        }

    def add_endpoint(
        self,
        method: str,
        path: str,
        handle_request: RequestHandler,
        initial_key_digests: frozenset[str] = frozenset(),
    ) -> None:
        """Register an endpoint; the handler is called only for requests with a valid operator key.

        `initial_key_digests` are the digests of the keys that are valid for the path while no
        configuration is in force.
        """
        self._endpoints[method, path] = handle_request
        self._initial_key_digests[path] = initial_key_digests

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._key_digests = frozenset(config.operator_key_sha256)

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        if not self._has_operator_key(exchange):
            error = ProtocolError(401, "invalid_operator_key", "An operator key is required.")
            respond_error(exchange, error)
            return
        handle_request = self._endpoints.get((exchange.method, exchange.path))
        allowed = [method for method, path in self._endpoints if path == exchange.path]
        if handle_request is not None:
            handle_request(exchange)
        elif allowed:
            respond_method_not_allowed(exchange, ", ".join(allowed))
        else:
            respond_not_found(exchange)

    def _has_operator_key(self, exchange: Exchange) -> bool:
        scheme, _, key = (exchange.header("authorization") or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
        # Only digests are compared, so the duration of the lookup reveals nothing about a key.
        keys = self._key_digests
        if keys is None:
            keys = self._initial_key_digests.get(exchange.path, frozenset())
        return scheme.lower() == "bearer" and digest in keys

    # Configuration

    def _show_config(self, exchange: Exchange) -> None:
        configuration = self._configuration
        state = configuration.reader.state
        respond_json(
            exchange,
            200,
            {
                "instance": self._settings.instance_id,
                "site": self._settings.site_name,
                "revision": configuration.revision,
                "as_of": state.as_of if state else None,
                "log_available": configuration.log_available,
                "layers": dict(state.layers) if state else {},
                "last_change": _encode_last_change(state.last_change) if state else None,
                "in_force": configuration.config.to_document() if configuration.config else None,
            },
        )

    def _show_history(self, exchange: Exchange) -> None:
        limit = parse_qs(exchange.query).get("limit", ["50"])[0]
        if not (limit.isascii() and limit.isdigit() and 0 < int(limit) <= 500):
            text = f"The limit '{limit[:20]}' is not a number from 1 to 500."
            respond_error(exchange, ProtocolError(400, "invalid_value", text, param="limit"))
            return
        results = list(self._configuration.history)[-int(limit) :]
        respond_json(exchange, 200, {"changes": [_encode_result(result) for result in results]})

    def _show_instances(self, exchange: Exchange) -> None:
        configuration = self._configuration
        state = configuration.reader.state
        own = {
            "id": self._settings.instance_id,
            "revision": configuration.revision,
            "as_of": state.as_of if state else None,
        }
        others = [
            {"id": name, "revision": heartbeat.config_revision, "as_of": heartbeat.config_offset}
            for name, heartbeat in sorted(configuration.peer_heartbeats.items())
        ]
        respond_json(exchange, 200, {"instances": [own, *others]})

    def _apply_change(self, exchange: Exchange) -> None:
        try:
            body = parse_json(exchange.body, "request")
            change = Change.from_record(body)
        except (RecordError, SettingsError) as exc:
            respond_error(exchange, ProtocolError(400, "invalid_change", str(exc)))
            return
        self._configuration.apply(
            change,
            APPLY_TIMEOUT_MS,
            lambda outcome: self.respond_outcome(exchange, change.change_id, outcome),
        )

    def respond_outcome(self, exchange: Exchange, change_id: str, outcome: Outcome) -> None:
        """Respond with the outcome of a change."""
        match outcome:
            case Applied(revision, warnings):
                texts = [str(message) for message in warnings]
                body = {"change_id": change_id, "revision": revision, "warnings": texts}
                respond_json(exchange, 200, body)
            case Conflict(expected, revision, winner):
                state = self._configuration.reader.state
                document = state.layers.get(winner.layer) if state and winner else None
                respond_json(
                    exchange,
                    409,
                    {
                        "error": {
                            "code": "conflict",
                            "message": f"Expected revision {expected}, but {revision} is current.",
                        },
                        "revision": revision,
                        "winner": _encode_last_change(winner),
                        "document": document,
                    },
                )
            case ChangeRejected(messages):
                encoded = [_encode_message(message) for message in messages]
                text = "The checks reported errors; nothing was changed."
                error = {"code": "checks_failed", "message": text}
                respond_json(exchange, 422, {"error": error, "messages": encoded})
            case Unavailable(text):
                unavailable = ProtocolError(
                    503, "log_unavailable", text, retry_after_ms=RETRY_AFTER_MS
                )
                respond_error(exchange, unavailable)
            case Undetermined():
                text = (
                    f"It is not known yet whether the change '{change_id}' was accepted; repeat the"
                    " same request to find out."
                )
                respond_json(exchange, 504, {"error": {"code": "undetermined", "message": text}})


def respond_json(exchange: Exchange, status: int, body: Any) -> None:
    """Send a response with a JSON body."""
    exchange.respond(status, JSON, msgspec.json.encode(body))


def _encode_last_change(change: LastChange | None) -> dict[str, str] | None:
    return change._asdict() if change else None


def _encode_result(result: FoldResult) -> dict[str, Any]:
    return {
        "offset": result.offset,
        "time_ms": result.time_ms,
        "status": str(result.status),
        "revision": result.revision,
        "change": result.change.to_record() if result.change else None,
        "winner": _encode_last_change(result.winner) if result.status == "conflict" else None,
    }


def _encode_message(message: Any) -> dict[str, str]:
    return {
        "id": message.id,
        "severity": str(message.severity),
        "text": message.text,
        "hint": message.hint,
        "source": message.source,
        "path": message.path,
    }
