"""Operator API under `/operator/`."""

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
from .responses import JSON, not_found, respond_error, wrong_method

APPLY_TIMEOUT_MS = 10_000
RETRY_AFTER_MS = 1_000

Answer = Callable[[Exchange], None]


class OperatorEndpoints(BaseComponent):
    """Answer the paths below `/operator/`; every request needs an operator key.

    Other components add paths with `add_endpoint`.
    """

    channel = "operators"

    def __init__(
        self, settings: InstanceSettings, configuration: Configuration, clock: Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._configuration = configuration
        self._clock = clock
        self._keys: frozenset[str] | None = None
        self._start_keys: dict[str, frozenset[str]] = {}
        self._paths: dict[tuple[str, str], Answer] = {
            ("GET", "/operator/config"): self._show,
            ("POST", "/operator/config"): self._apply,
            ("GET", "/operator/config/history"): self._show_history,
            ("GET", "/operator/instances"): self._show_instances,
        }

    def add_endpoint(
        self, method: str, path: str, answer: Answer, start_keys: frozenset[str] = frozenset()
    ) -> None:
        """Add a path; `answer` is called only for requests with an operator key.

        `start_keys` are the digests of the keys that count while no configuration is in force.
        """
        self._paths[method, path] = answer
        self._start_keys[path] = start_keys

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._keys = frozenset(config.operator_key_sha256)

    @handler("exchange_started")
    def _on_exchange_started(self, exchange: Exchange) -> None:
        if not self._is_operator(exchange):
            error = ProtocolError(401, "invalid_operator_key", "An operator key is required.")
            respond_error(exchange, error)
            return
        answer = self._paths.get((exchange.method, exchange.path))
        allowed = [method for method, path in self._paths if path == exchange.path]
        if answer is not None:
            answer(exchange)
        elif allowed:
            wrong_method(exchange, ", ".join(allowed))
        else:
            not_found(exchange)

    def _is_operator(self, exchange: Exchange) -> bool:
        scheme, _, key = (exchange.header("authorization") or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
        # Only digests are compared, so the time of the look-up tells nothing about a key.
        keys = self._keys
        if keys is None:
            keys = self._start_keys.get(exchange.path, frozenset())
        return scheme.lower() == "bearer" and digest in keys

    # Configuration

    def _show(self, exchange: Exchange) -> None:
        owner = self._configuration
        state = owner.reader.state
        respond_json(
            exchange,
            200,
            {
                "instance": self._settings.instance_id,
                "site": self._settings.site_name,
                "revision": owner.revision,
                "as_of": state.as_of if state else None,
                "log_available": owner.log_available,
                "layers": dict(state.layers) if state else {},
                "last_change": _last_change(state.last_change) if state else None,
                "in_force": owner.config.to_document() if owner.config else None,
            },
        )

    def _show_history(self, exchange: Exchange) -> None:
        limit = parse_qs(exchange.query).get("limit", ["50"])[0]
        if not (limit.isascii() and limit.isdigit() and 0 < int(limit) <= 500):
            text = f"The limit '{limit[:20]}' is not a number from 1 to 500."
            respond_error(exchange, ProtocolError(400, "invalid_value", text, param="limit"))
            return
        verdicts = list(self._configuration.history)[-int(limit) :]
        respond_json(exchange, 200, {"changes": [_verdict(verdict) for verdict in verdicts]})

    def _show_instances(self, exchange: Exchange) -> None:
        owner = self._configuration
        state = owner.reader.state
        own = {
            "id": self._settings.instance_id,
            "revision": owner.revision,
            "as_of": state.as_of if state else None,
        }
        others = [
            {"id": name, "revision": beat.config_revision, "as_of": beat.config_offset}
            for name, beat in sorted(owner.positions.items())
        ]
        respond_json(exchange, 200, {"instances": [own, *others]})

    def _apply(self, exchange: Exchange) -> None:
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
        """Answer with what became of a change."""
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
                            "message": f"Revision {expected} was expected; {revision} is current.",
                        },
                        "revision": revision,
                        "winner": _last_change(winner),
                        "document": document,
                    },
                )
            case ChangeRejected(messages):
                found = [_message(message) for message in messages]
                text = "The checks found mistakes; nothing was changed."
                error = {"code": "checks_failed", "message": text}
                respond_json(exchange, 422, {"error": error, "messages": found})
            case Unavailable(text):
                refusal = ProtocolError(503, "log_unavailable", text, retry_after_ms=RETRY_AFTER_MS)
                respond_error(exchange, refusal)
            case Undetermined():
                text = (
                    f"It is not known yet whether the change '{change_id}' was accepted; repeat the"
                    " same request to find out."
                )
                respond_json(exchange, 504, {"error": {"code": "undetermined", "message": text}})


def respond_json(exchange: Exchange, status: int, body: Any) -> None:
    """Answer with a JSON body."""
    exchange.respond(status, JSON, msgspec.json.encode(body))


def _last_change(change: LastChange | None) -> dict[str, str] | None:
    return change._asdict() if change else None


def _verdict(verdict: FoldResult) -> dict[str, Any]:
    return {
        "offset": verdict.offset,
        "time_ms": verdict.time_ms,
        "status": str(verdict.status),
        "revision": verdict.revision,
        "change": verdict.change.to_record() if verdict.change else None,
        "winner": _last_change(verdict.winner) if verdict.status == "conflict" else None,
    }


def _message(message: Any) -> dict[str, str]:
    return {
        "id": message.id,
        "severity": str(message.severity),
        "text": message.text,
        "hint": message.hint,
        "source": message.source,
        "path": message.path,
    }
