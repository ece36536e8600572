"""Configuration of an instance, read from the log or, if unavailable, from other instances."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.configuration import (
    NO_REVISION,
    Change,
    ChangeSubmission,
    ConfigReader,
    ConfigState,
    FoldResult,
    LogRecord,
    Outcome,
    PeerStateSelection,
    RecordError,
    Unavailable,
    snapshot_due_ms,
)
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.gossip import Heartbeat, StateReply, StateRequest
from ibispaddle_core.membership import MemberKind, MembershipView
from ibispaddle_core.settings import FleetConfig, InstanceSettings, SettingsError, load_fleet

from .events import (
    configuration_changed,
    log_append,
    log_follow,
    peer_send,
    readiness_changed,
    source_reread,
)
from .logs import log_event
from .peer_codec import Message
from .peers import config_position
from .platform_log import LogError
from .timers import TimerQueue

STREAM = "config"
COMPONENT = "configuration"
# How long a starting instance waits for the log before it queries other instances.
LOG_START_TIMEOUT_MS = 1_000
PEER_RETRY_INTERVAL_MS = 1_000
# The log tail usually delivers a change before gossip reports it. Only if the tail is late or
# disconnected is the state fetched from a peer, because it is far larger than the change.
PEER_FETCH_DELAY_MS = 250
SNAPSHOT_CHECK_INTERVAL_MS = 5_000
SNAPSHOT_RETRY_DELAY_MS = 60_000
MAX_HISTORY_RECORDS = 500

OutcomeCallback = Callable[[Outcome], None]


class Configuration(BaseComponent):
    """Own the configuration state; fire `configuration_changed` for each activated revision.

    `file_config` applies while the log is confirmed to contain no accepted change. The first
    revision is activated only after the whole stream was read, and never if it is lower than a
    revision that another instance has reported. After that, a revision stays active until the next
    one is read.
    """

    channel = "configuration"

    def __init__(
        self,
        settings: InstanceSettings,
        file_config: FleetConfig,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
        seed: int = 0,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._file_config = file_config
        self._view = view
        self._clock = clock
        self._timers = timers
        self._seed = seed
        self.reader = ConfigReader()
        self.history: deque[FoldResult] = deque(maxlen=MAX_HISTORY_RECORDS)
        self.peer_heartbeats: dict[str, Heartbeat] = {}
        self.config: FleetConfig | None = None
        self.revision: int | None = None
        self.log_available = False
        self._published: ConfigState | None = None
        self._log_end = 0
        self._has_read_page = False
        self._min_revision = NO_REVISION
        self._has_instance_list = False
        self._peer_selection: PeerStateSelection | None = None
        self._is_querying_peers = False
        self._is_log_reread = False
        # Number of the last pause; 0 once the state is confirmed as current.
        self._pause_number = 0
        self._requests: dict[int, str] = {}
        self._last_request_id = 0
        self._fetching: set[str] = set()
        self._submissions: dict[str, tuple[ChangeSubmission, OutcomeCallback]] = {}
        self._next_snapshot_ms = 0

    # Log

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.fire(readiness_changed(COMPONENT, False), "*")
        self.fire(log_follow(STREAM, 0, self.channel), "*")
        self._is_querying_peers = True
        self._timers.after(LOG_START_TIMEOUT_MS, self._query_peers)
        self._timers.after(SNAPSHOT_CHECK_INTERVAL_MS, self._check_snapshot)

    @handler("log_health", channel="*")
    def _on_log_health(self, available: bool) -> None:
        self.log_available = available

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Sequence[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        self._log_end = next_offset
        self._has_read_page = True
        self._handle_results(self.reader.read_page(first_offset, records))

    def _handle_results(self, results: list[FoldResult]) -> None:
        self.history.extend(results)
        for submission, _ in list(self._submissions.values()):
            submission.add_results(results)
        self._publish()
        self._advance_submissions()

    def _publish(self) -> None:
        """Activate the newest state if it may be served."""
        state = self.reader.state
        if state is None or state is self._published:
            return
        if self._published is None:
            is_behind = self.reader.position < self._log_end
            if is_behind or state.revision < self._min_revision:
                return
        is_new = self._published is None or state.revision != self._published.revision
        self._published = state
        if is_new:
            self._activate(state)
        if self.revision is not None:
            # A revision that cannot be applied does not count as in force.
            self.fire(config_position(state.as_of, self.revision), "*")

    def _activate(self, state: ConfigState) -> None:
        config = self._file_config
        if state.revision > NO_REVISION:
            try:
                config = load_fleet(state.layers_for(self._settings.site_name))
            except SettingsError as exc:
                # Another software version accepted the change. The previous configuration stays
                # active.
                message = str(exc.messages[0])
                log_event(logevents.CONFIG_UNUSABLE, revision=state.revision, mistake=message)
                return
        self.config, self.revision = config, state.revision
        log_event(logevents.CONFIG_IN_FORCE, revision=state.revision, as_of=state.as_of)
        self.fire(configuration_changed(config, state.revision), "*")
        self.fire(readiness_changed(COMPONENT, True), "*")

    # Other instances

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Sequence[Any]) -> None:
        self._has_instance_list = True

    def _query_peers(self) -> None:
        """Request the state from all listed instances if the log has not provided a current one."""
        if self._published is not None and not self._pause_number:
            self._is_querying_peers = False
            return
        is_waiting_for_log = not self._is_log_reread if self._pause_number else self.log_available
        if is_waiting_for_log or not self._has_instance_list:
            self._timers.after(PEER_RETRY_INTERVAL_MS, self._query_peers)
            return
        now_ms = self._clock.now_ms()
        members = self._view.members(now_ms, MemberKind.ENTRY)
        peers = [m.entry.id for m in members if m.entry.id != self._settings.instance_id]
        self._peer_selection = PeerStateSelection(peers, now_ms, self._published)
        for peer in peers:
            self._request_state(peer)
        self._check_peer_selection()

    def _check_peer_selection(self) -> None:
        selection, now_ms = self._peer_selection, self._clock.now_ms()
        if selection is None:
            return
        selection.require_revision(self._min_revision)
        if not selection.is_complete(now_ms):
            self._timers.after(50, self._check_peer_selection)
            return
        self._peer_selection = None
        state = selection.selected_state(now_ms)
        if state is not None:
            self._log_end = min(self._log_end, self.reader.position)
            self._adopt_state(state)
            if self.reader.is_current or not self.log_available:
                self._confirm_reread()
        self._timers.after(PEER_RETRY_INTERVAL_MS, self._query_peers)

    @handler("process_paused", channel="*")
    def _on_process_paused(self, number: int) -> None:
        self._pause_number = number
        self._is_log_reread = False
        # Responses sent before the pause may be outdated.
        self._requests.clear()
        if self._peer_selection is not None:
            self._peer_selection, self._is_querying_peers = None, False

    @handler("log_reread", channel="*")
    def _on_log_reread(self, complete: bool, number: int) -> None:
        """Confirm the state after a pause from the log or, if that fails, from other instances."""
        if number != self._pause_number:
            return
        self._is_log_reread = True
        if complete and self.reader.is_current:
            self._confirm_reread()
        elif not self._is_querying_peers:
            self._is_querying_peers = True
            self._query_peers()

    def _confirm_reread(self) -> None:
        if self._pause_number:
            self.fire(source_reread(COMPONENT, self._pause_number), "*")
            self._pause_number = 0

    def _request_state(self, peer: str) -> None:
        self._last_request_id += 1
        self._requests[self._last_request_id] = peer
        self.fire(peer_send(peer, StateRequest(COMPONENT, self._last_request_id)), "*")

    def _adopt_state(self, state: ConfigState) -> None:
        results = self.reader.adopt(state)
        for submission, _ in list(self._submissions.values()):
            if self.reader.state is not None:
                submission.state_replaced(self.reader.state)
        self._handle_results(results)

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case Heartbeat():
                self.peer_heartbeats[instance_id] = message
                self._min_revision = max(self._min_revision, message.config_revision)
                if self._is_behind(message.config_offset) and instance_id not in self._fetching:
                    self._fetching.add(instance_id)
                    self._timers.after(PEER_FETCH_DELAY_MS, lambda: self._fetch(instance_id))
            case StateRequest(component, request_id) if component == COMPONENT:
                reply = StateReply(COMPONENT, request_id, self._encoded_state())
                self.fire(peer_send(instance_id, reply), "*")
            case StateReply(component, request_id, body) if component == COMPONENT:
                if self._requests.pop(request_id, None) == instance_id:
                    self._receive_state(instance_id, body)

    def _is_behind(self, offset: int) -> bool:
        state = self.reader.state
        return self._published is not None and state is not None and offset > state.as_of

    def _fetch(self, instance_id: str) -> None:
        self._fetching.discard(instance_id)
        if self._is_behind(self.peer_heartbeats[instance_id].config_offset):
            self._request_state(instance_id)

    def _encoded_state(self) -> bytes:
        if self._published is None:
            return b""
        return msgspec.json.encode(self._published.to_record())

    def _receive_state(self, instance_id: str, body: bytes) -> None:
        state = None
        if body:
            try:
                state = ConfigState.from_record(msgspec.json.decode(body))
            except (*DECODE_ERRORS, RecordError) as exc:
                log_event(logevents.CONFIG_STATE_INVALID, instance_id=instance_id, reason=str(exc))
        if self._peer_selection is not None:
            self._peer_selection.add_response(instance_id, state)
        elif state is not None and self._published is not None:
            self._adopt_state(state)

    @property
    def is_at_log_end(self) -> bool:
        """Return whether the log is available and was read up to its last reported end."""
        return self.log_available and self._has_read_page and self.reader.position >= self._log_end

    # Changes

    def apply(self, change: Change, timeout_ms: int, callback: OutcomeCallback) -> None:
        """Submit a change; `callback` gets the outcome, at the latest after the timeout."""
        if change.change_id in self._submissions:
            callback(Unavailable(f"The change '{change.change_id}' is already being applied."))
            return
        deadline_ms = self._clock.now_ms() + timeout_ms
        self._submissions[change.change_id] = (ChangeSubmission(change, deadline_ms), callback)
        self._timers.at(deadline_ms, self._advance_submissions)
        self._advance_submissions()

    def _advance_submissions(self) -> None:
        now_ms = self._clock.now_ms()
        for change_id, (submission, callback) in list(self._submissions.items()):
            is_current = self.reader.is_current and self._published is not None
            data = submission.next_append(self.reader.state, is_current)
            if data is not None:
                self.fire(log_append(STREAM, data, change_id, self.channel), "*")
            submission.tick(now_ms)
            if submission.outcome is not None:
                del self._submissions[change_id]
                callback(submission.outcome)

    @handler("log_appended")
    def _on_log_appended(
        self, token: str | None, offset: int | None, error: LogError | None
    ) -> None:
        entry = self._submissions.get(token or "")
        if entry is None:
            return
        if error is None:
            entry[0].appended()
        else:
            entry[0].append_failed(error.may_have_taken_effect, error.text)
        self._advance_submissions()

    # Snapshots

    def _check_snapshot(self) -> None:
        self._timers.after(SNAPSHOT_CHECK_INTERVAL_MS, self._check_snapshot)
        now_ms, state = self._clock.now_ms(), self.reader.state
        if not self.log_available or state is None or now_ms < self._next_snapshot_ms:
            return
        ranked = self._view.ranked_instances(now_ms)
        own_id = self._settings.instance_id
        rank = ranked.index(own_id) if own_id in ranked else len(ranked)
        due_ms = snapshot_due_ms(self.reader, rank, self._settings.log_retention_ms, self._seed)
        if due_ms is not None and self._clock.wall_ms() >= due_ms:
            self._next_snapshot_ms = now_ms + SNAPSHOT_RETRY_DELAY_MS
            self.fire(log_append(STREAM, state.to_record(), None, self.channel), "*")
