"""Operator endpoint that restarts the configuration, and the responses to restart inquiries."""

import itertools
from collections.abc import Sequence

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core.chat import ProtocolError
from ibispaddle_core.checks import Severity
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import (
    Applied,
    ChangeRejected,
    ConfigRestart,
    ConfigRestartProcedure,
    ConfigState,
    ConfigurationExists,
    LogRecord,
    RecordError,
    check_layers,
    inquiry_id,
)
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.gossip import StateReply, StateRequest
from ibispaddle_core.membership import MemberKind, MembershipView
from ibispaddle_core.settings import FleetConfig, InstanceSettings, SettingsError, parse_json

from .configuration import COMPONENT, STREAM, Configuration
from .events import log_append, peer_send
from .http_exchange import Exchange
from .operators import OperatorEndpoints, respond_json
from .peer_codec import Message
from .platform_log import LogError
from .responses import respond_error
from .timers import TimerHandle, TimerQueue

PATH = "/operator/config/restart"
# Shorter than the response timeout of the client.
RESTART_TIMEOUT_MS = 12_000
TICK_INTERVAL_MS = 100
# The instances respond to an inquiry one after the other by rank, so that usually only one does.
RESPONSE_STAGGER_MS = 500
MAX_RESPONSE_RANK = 4
# First id of requests to peers, distinct from the ids that the `Configuration` component uses.
FIRST_REQUEST_ID = 1 << 32


class ConfigurationRestart(BaseComponent):
    """Restart the configuration from files when neither the log nor any instance has a state.

    Until a configuration is active, the operator keys of the instance's own base file are valid.
    """

    channel = "configuration_restart"

    def __init__(
        self,
        settings: InstanceSettings,
        file_config: FleetConfig,
        operators: OperatorEndpoints,
        configuration: Configuration,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._operators = operators
        self._configuration = configuration
        self._view = view
        self._clock = clock
        self._timers = timers
        self._active: tuple[ConfigRestartProcedure, Exchange, list[str]] | None = None
        self._timer: TimerHandle | None = None
        self._request_ids = itertools.count(FIRST_REQUEST_ID)
        self._requests: dict[int, str] = {}
        self._snapshot_offset = -1
        keys = frozenset(file_config.operator_key_sha256)
        operators.add_endpoint("POST", PATH, self._start_restart, keys)

    # Operator endpoint

    def _start_restart(self, exchange: Exchange) -> None:
        try:
            restart = ConfigRestart.from_record({"restart": parse_json(exchange.body, "request")})
        except (RecordError, SettingsError) as exc:
            respond_error(exchange, ProtocolError(400, "invalid_restart", str(exc)))
            return
        if self._active is not None:
            text = "This instance is already restarting the configuration."
            error = ProtocolError(503, "restart_running", text, retry_after_ms=RESTART_TIMEOUT_MS)
            respond_error(exchange, error)
            return
        messages = check_layers(restart.layers)
        errors = tuple(m for m in messages if m.severity is Severity.ERROR)
        if errors:
            self._operators.respond_outcome(exchange, restart.restart_id, ChangeRejected(errors))
            return
        deadline_ms = self._clock.now_ms() + RESTART_TIMEOUT_MS
        procedure = ConfigRestartProcedure(restart, self._settings.instance_id, deadline_ms)
        self._active = (procedure, exchange, [str(message) for message in messages])
        if self._configuration.reader.state is None:
            for member in self._view.members(self._clock.now_ms(), MemberKind.ENTRY):
                if member.entry.id != self._settings.instance_id:
                    self._request_state(member.entry.id)
        self._advance_procedure()

    def _request_state(self, peer: str) -> None:
        request_id = next(self._request_ids)
        self._requests[request_id] = peer
        self.fire(peer_send(peer, StateRequest(COMPONENT, request_id)), "*")

    def _advance_procedure(self) -> None:
        if self._active is None:
            return
        procedure, exchange, warnings = self._active
        configuration = self._configuration
        reader, now_ms = configuration.reader, self._clock.now_ms()
        data = procedure.next_append(
            reader.state, reader.position, configuration.is_at_log_end, now_ms
        )
        if data is not None:
            self.fire(log_append(STREAM, data, None, self.channel), "*")
        outcome, restart_id = procedure.outcome, procedure.restart.restart_id
        if outcome is None:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._timers.after(TICK_INTERVAL_MS, self._advance_procedure)
            return
        self._active = None
        self._requests.clear()
        if isinstance(outcome, ConfigurationExists):
            text = (
                f"The instance '{outcome.holder}' has the configuration at revision"
                f" {outcome.revision}; use 'ibispaddle config apply'."
            )
            respond_error(exchange, ProtocolError(409, "configuration_exists", text))
        elif isinstance(outcome, Applied):
            body = {"restart_id": restart_id, "revision": outcome.revision, "warnings": warnings}
            respond_json(exchange, 200, body)
        else:
            self._operators.respond_outcome(exchange, restart_id, outcome)

    # Log and other instances

    @handler("log_appended")
    def _on_log_appended(
        self, token: str | None, offset: int | None, error: LogError | None
    ) -> None:
        if self._active is not None and error is not None:
            self._active[0].append_failed(error.may_have_taken_effect, error.text)

    @handler("log_records", channel=Configuration.channel, priority=-1)
    def _on_log_records(
        self, stream: str, records: Sequence[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        if self._active is not None:
            self._active[0].read(records, self._clock.now_ms())
            self._advance_procedure()
        for record in records:
            if "snapshot" in record.data:
                self._snapshot_offset = record.offset
            elif inquiry_id(record) is not None:
                self._respond_to_inquiry(record.offset)

    def _respond_to_inquiry(self, offset: int) -> None:
        """Append a snapshot unless another instance does, so that the existing state is kept."""
        ranked = self._view.ranked_instances(self._clock.now_ms())
        own_id = self._settings.instance_id
        rank = ranked.index(own_id) if own_id in ranked else MAX_RESPONSE_RANK

        def append() -> None:
            reader = self._configuration.reader
            if reader.state is None or not reader.is_current or self._snapshot_offset > offset:
                return
            # A revision above the inquiry's offset means that the inquiry has ended.
            if reader.state.revision <= offset:
                self.fire(log_append(STREAM, reader.state.to_record(), None, self.channel), "*")

        self._timers.after(RESPONSE_STAGGER_MS * min(rank, MAX_RESPONSE_RANK), append)

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        if not isinstance(message, StateReply) or message.component != COMPONENT:
            return
        if self._requests.pop(message.request_id, None) != instance_id or not message.body:
            return
        try:
            state = ConfigState.from_record(msgspec.json.decode(message.body))
        except (*DECODE_ERRORS, RecordError):
            return
        if self._active is not None:
            self._active[0].add_peer_state(instance_id, state)
            self._advance_procedure()
