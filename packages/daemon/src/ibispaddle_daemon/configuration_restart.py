"""Operator path that begins the configuration again, and the answer to inquiries before it."""

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
# Shorter than the client waits for an answer.
RESTART_TIMEOUT_MS = 12_000
TICK_MS = 100
# The first instances by rank answer an inquiry one after the other, so that usually one does.
ANSWER_STEP_MS = 500
MAX_ANSWER_RANK = 4
# Ids of requests to peers, apart from those of the component `Configuration`.
FIRST_REQUEST_ID = 1 << 32


class ConfigurationRestart(BaseComponent):
    """Begin the configuration again from files when neither log nor instances have a state.

    Until a configuration is in force, the operator keys of the instance's own base file count.
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
        self._running: tuple[ConfigRestartProcedure, Exchange, list[str]] | None = None
        self._timer: TimerHandle | None = None
        self._request_ids = itertools.count(FIRST_REQUEST_ID)
        self._requests: dict[int, str] = {}
        self._snapshot_offset = -1
        keys = frozenset(file_config.operator_key_sha256)
        operators.add_endpoint("POST", PATH, self._begin, keys)

    # Operator

    def _begin(self, exchange: Exchange) -> None:
        try:
            restart = ConfigRestart.from_record({"restart": parse_json(exchange.body, "request")})
        except (RecordError, SettingsError) as exc:
            respond_error(exchange, ProtocolError(400, "invalid_restart", str(exc)))
            return
        if self._running is not None:
            text = "This instance is beginning the configuration again already."
            error = ProtocolError(503, "restart_running", text, retry_after_ms=RESTART_TIMEOUT_MS)
            respond_error(exchange, error)
            return
        messages = check_layers(restart.layers)
        errors = tuple(m for m in messages if m.severity is Severity.ERROR)
        if errors:
            self._operators.respond_outcome(exchange, restart.restart_id, ChangeRejected(errors))
            return
        deadline_ms = self._clock.now_ms() + RESTART_TIMEOUT_MS
        restarting = ConfigRestartProcedure(restart, self._settings.instance_id, deadline_ms)
        self._running = (restarting, exchange, [str(message) for message in messages])
        if self._configuration.reader.state is None:
            for member in self._view.members(self._clock.now_ms(), MemberKind.ENTRY):
                if member.entry.id != self._settings.instance_id:
                    self._ask(member.entry.id)
        self._advance()

    def _ask(self, peer: str) -> None:
        request_id = next(self._request_ids)
        self._requests[request_id] = peer
        self.fire(peer_send(peer, StateRequest(COMPONENT, request_id)), "*")

    def _advance(self) -> None:
        if self._running is None:
            return
        restarting, exchange, warnings = self._running
        owner = self._configuration
        reader, now_ms = owner.reader, self._clock.now_ms()
        data = restarting.next_append(reader.state, reader.position, owner.is_at_end, now_ms)
        if data is not None:
            self.fire(log_append(STREAM, data, None, self.channel), "*")
        outcome, restart_id = restarting.outcome, restarting.restart.restart_id
        if outcome is None:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._timers.after(TICK_MS, self._advance)
            return
        self._running = None
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
        if self._running is not None and error is not None:
            self._running[0].append_failed(error.may_have_taken_effect, error.text)

    @handler("log_records", channel=Configuration.channel, priority=-1)
    def _on_log_records(
        self, stream: str, records: Sequence[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        if self._running is not None:
            self._running[0].read(records, self._clock.now_ms())
            self._advance()
        for record in records:
            if "snapshot" in record.data:
                self._snapshot_offset = record.offset
            elif inquiry_id(record) is not None:
                self._answer_inquiry(record.offset)

    def _answer_inquiry(self, offset: int) -> None:
        """Append a snapshot unless another instance does, so that nobody begins again."""
        ranked = self._view.ranked_instances(self._clock.now_ms())
        own = self._settings.instance_id
        rank = ranked.index(own) if own in ranked else MAX_ANSWER_RANK

        def append() -> None:
            reader = self._configuration.reader
            if reader.state is None or not reader.current or self._snapshot_offset > offset:
                return
            if reader.state.revision <= offset:  # A higher one shows that the inquiry is over.
                self.fire(log_append(STREAM, reader.state.to_record(), None, self.channel), "*")

        self._timers.after(ANSWER_STEP_MS * min(rank, MAX_ANSWER_RANK), append)

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        if not isinstance(message, StateReply) or message.component != COMPONENT:
            return
        if self._requests.pop(message.request_id, None) != instance_id or not message.body:
            return
        try:
            state = ConfigState.from_record(msgspec.json.decode(message.body))
        except (msgspec.DecodeError, RecordError):
            return
        if self._running is not None:
            self._running[0].add_peer_state(instance_id, state)
            self._advance()
