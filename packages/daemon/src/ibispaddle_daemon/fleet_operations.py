"""Operator endpoints that list upstreams and quarantined requests and lift a quarantine."""

from typing import Any

import msgspec
from circuits import BaseComponent
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.membership import MemberKind, MembershipView

from .http_exchange import Exchange
from .operators import OperatorEndpoints, respond_json
from .quarantine import QuarantineManager, quarantine_lifted
from .responses import respond_error


class _LiftRequest(msgspec.Struct, forbid_unknown_fields=True):
    fingerprint: str
    author: str = ""


class FleetEndpoints(BaseComponent):
    """Serve `/operator/upstreams` and `/operator/quarantine`."""

    channel = "fleet_operations"

    def __init__(
        self,
        operators: OperatorEndpoints,
        view: MembershipView,
        guard: QuarantineManager,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._view = view
        self._guard = guard
        self._clock = clock
        operators.add_endpoint("GET", "/operator/upstreams", self._show_upstreams)
        operators.add_endpoint("GET", "/operator/quarantine", self._show_quarantine)
        operators.add_endpoint("POST", "/operator/quarantine/lift", self._lift)

    def _show_upstreams(self, exchange: Exchange) -> None:
        now_ms = self._clock.now_ms()
        upstreams: list[dict[str, Any]] = [
            {
                "id": member.entry.id,
                "kind": str(member.entry.kind),
                "data_centre": member.entry.data_centre,
                "address": member.entry.address,
                "state": str(member.state),
                "drained": self._view.is_drained(member.entry.id),
                "models": list(member.entry.models),
                "service": member.entry.service,
                "checks_fencing": member.entry.fenced,
            }
            for kind in (MemberKind.RUNNER, MemberKind.SERVICE)
            for member in self._view.members(now_ms, kind)
        ]
        respond_json(exchange, 200, {"upstreams": upstreams})

    def _show_quarantine(self, exchange: Exchange) -> None:
        entries = [
            {
                "fingerprint": entry.fingerprint,
                "expires_ms": entry.expires_ms,
                "upstreams": [death.upstream_id for death in entry.deaths],
            }
            for entry in self._guard.entries()
        ]
        respond_json(exchange, 200, {"quarantine": entries})

    def _lift(self, exchange: Exchange) -> None:
        try:
            lift = msgspec.json.decode(exchange.body, type=_LiftRequest)
        except DECODE_ERRORS as exc:
            error = ProtocolError(400, "invalid_request", f"The request body is invalid: {exc}.")
            respond_error(exchange, error)
            return
        if lift.fingerprint not in {entry.fingerprint for entry in self._guard.entries()}:
            text = f"The fingerprint '{lift.fingerprint[:100]}' is not in quarantine."
            respond_error(exchange, ProtocolError(404, "not_quarantined", text))
            return
        self.fire(quarantine_lifted(lift.fingerprint, lift.author), "*")
        # The quarantine ends when the record has been read back from the log.
        respond_json(exchange, 202, {"fingerprint": lift.fingerprint})
