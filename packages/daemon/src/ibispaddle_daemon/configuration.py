"""Configuration of an instance: from the log, else from other instances, else not ready."""

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
# Time given to the log at the start before other instances are asked.
LOG_GRACE_MS = 1_000
PEER_RETRY_MS = 1_000
# The own tail usually delivers a change before gossip does; only a tail that is late or cut off
# fetches the state from a peer, which is far larger than the change.
FETCH_DELAY_MS = 250
SNAPSHOT_CHECK_MS = 5_000
SNAPSHOT_RETRY_MS = 60_000
HISTORY_RECORDS = 500

Done = Callable[[Outcome], None]


class Configuration(BaseComponent):
    """Own the configuration state; fire `configuration_changed` for each revision in force.

    `file_config` applies while the log is confirmed to hold no accepted change. The first revision is
    served only once the whole stream was read, and never below a revision that another instance has
    reported. Later an instance keeps serving its revision until it has read the next one.
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
        self.history: deque[FoldResult] = deque(maxlen=HISTORY_RECORDS)
        self.peer_heartbeats: dict[str, Heartbeat] = {}
        self.config: FleetConfig | None = None
        self.revision: int | None = None
        self.log_available = False
        self._published: ConfigState | None = None
        self._log_end = 0
        self._has_page = False
        self._floor = NO_REVISION
        self._listed = False
        self._start: PeerStateSelection | None = None
        self._is_asking = False
        self._is_log_reread = False
        self._pause = 0  # Number of the last pause, 0 once the state is known to be new enough.
        self._requests: dict[int, str] = {}
        self._request_number = 0
        self._fetching: set[str] = set()
        self._submissions: dict[str, tuple[ChangeSubmission, Done]] = {}
        self._snapshot_at_ms = 0

    # Log

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.fire(readiness_changed(COMPONENT, False), "*")
        self.fire(log_follow(STREAM, 0, self.channel), "*")
        self._is_asking = True
        self._timers.after(LOG_GRACE_MS, self._ask_peers)
        self._timers.after(SNAPSHOT_CHECK_MS, self._check_snapshot)

    @handler("log_health", channel="*")
    def _on_log_health(self, available: bool) -> None:
        self.log_available = available

    @handler("log_records")
    def _on_log_records(
        self, stream: str, records: Sequence[LogRecord], first_offset: int, next_offset: int
    ) -> None:
        self._log_end = next_offset
        self._has_page = True
        self._take(self.reader.read_page(first_offset, records))

    def _take(self, verdicts: list[FoldResult]) -> None:
        self.history.extend(verdicts)
        for application, _ in list(self._submissions.values()):
            application.add_results(verdicts)
        self._publish()
        self._advance_applications()

    def _publish(self) -> None:
        """Put the state in force if it may be served."""
        state = self.reader.state
        if state is None or state is self._published:
            return
        if self._published is None:
            behind = self.reader.position < self._log_end
            if behind or state.revision < self._floor:
                return
        changed = self._published is None or state.revision != self._published.revision
        self._published = state
        if changed:
            self._put_in_force(state)
        self.fire(config_position(state.as_of, state.revision), "*")

    def _put_in_force(self, state: ConfigState) -> None:
        config = self._file_config
        if state.revision > NO_REVISION:
            try:
                config = load_fleet(state.layers_for(self._settings.site_name))
            except SettingsError as exc:
                # Another version accepted the change. The configuration before it stays in force.
                mistake = str(exc.messages[0])
                log_event(logevents.CONFIG_UNUSABLE, revision=state.revision, mistake=mistake)
                return
        self.config, self.revision = config, state.revision
        log_event(logevents.CONFIG_IN_FORCE, revision=state.revision, as_of=state.as_of)
        self.fire(configuration_changed(config, state.revision), "*")
        self.fire(readiness_changed(COMPONENT, True), "*")

    # Other instances

    @handler("list_changed", channel="*")
    def _on_list_changed(self, entries: Sequence[Any]) -> None:
        self._listed = True

    def _ask_peers(self) -> None:
        """Ask all listed instances while the log does not answer."""
        if self._published is not None and not self._pause:
            self._is_asking = False
            return
        awaits_log = not self._is_log_reread if self._pause else self.log_available
        if awaits_log or not self._listed:
            self._timers.after(PEER_RETRY_MS, self._ask_peers)
            return
        now_ms = self._clock.now_ms()
        members = self._view.members(now_ms, MemberKind.ENTRY)
        peers = [m.entry.id for m in members if m.entry.id != self._settings.instance_id]
        self._start = PeerStateSelection(peers, now_ms, self._published)
        for peer in peers:
            self._request_state(peer)
        self._check_start()

    def _check_start(self) -> None:
        start, now_ms = self._start, self._clock.now_ms()
        if start is None:
            return
        start.require_revision(self._floor)
        if not start.is_complete(now_ms):
            self._timers.after(50, self._check_start)
            return
        self._start = None
        state = start.selected_state(now_ms)
        if state is not None:
            self._log_end = min(self._log_end, self.reader.position)
            self._adopt(state)
            if self.reader.current or not self.log_available:
                self._end_pause()
        self._timers.after(PEER_RETRY_MS, self._ask_peers)

    @handler("process_paused", channel="*")
    def _on_process_paused(self, number: int) -> None:
        self._pause = number
        self._is_log_reread = False
        # Answers from before the pause may be old.
        self._requests.clear()
        if self._start is not None:
            self._start, self._is_asking = None, False

    @handler("log_reread", channel="*")
    def _on_log_reread(self, complete: bool, number: int) -> None:
        """Confirm the state after a pause: by the log, else by other instances."""
        if number != self._pause:
            return
        self._is_log_reread = True
        if complete and self.reader.current:
            self._end_pause()
        elif not self._is_asking:
            self._is_asking = True
            self._ask_peers()

    def _end_pause(self) -> None:
        if self._pause:
            self.fire(source_reread(COMPONENT, self._pause), "*")
            self._pause = 0

    def _request_state(self, peer: str) -> None:
        self._request_number += 1
        self._requests[self._request_number] = peer
        self.fire(peer_send(peer, StateRequest(COMPONENT, self._request_number)), "*")

    def _adopt(self, state: ConfigState) -> None:
        verdicts = self.reader.adopt(state)
        for application, _ in list(self._submissions.values()):
            if self.reader.state is not None:
                application.state_replaced(self.reader.state)
        self._take(verdicts)

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        match message:
            case Heartbeat():
                self.peer_heartbeats[instance_id] = message
                self._floor = max(self._floor, message.config_revision)
                if self._is_behind(message.config_offset) and instance_id not in self._fetching:
                    self._fetching.add(instance_id)
                    self._timers.after(FETCH_DELAY_MS, lambda: self._fetch(instance_id))
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
            except (msgspec.DecodeError, RecordError) as exc:
                log_event(logevents.CONFIG_STATE_INVALID, instance_id=instance_id, reason=str(exc))
        if self._start is not None:
            self._start.add_response(instance_id, state)
        elif state is not None and self._published is not None:
            self._adopt(state)

    @property
    def is_at_end(self) -> bool:
        """Return whether the log answers and was read to the end that it last reported."""
        return self.log_available and self._has_page and self.reader.position >= self._log_end

    # Changes

    def apply(self, change: Change, timeout_ms: int, done: Done) -> None:
        """Apply a change; `done` receives the outcome within the time."""
        if change.change_id in self._submissions:
            done(Unavailable(f"The change '{change.change_id}' is being applied already."))
            return
        deadline_ms = self._clock.now_ms() + timeout_ms
        self._submissions[change.change_id] = (ChangeSubmission(change, deadline_ms), done)
        self._timers.at(deadline_ms, self._advance_applications)
        self._advance_applications()

    def _advance_applications(self) -> None:
        now_ms = self._clock.now_ms()
        for change_id, (application, done) in list(self._submissions.items()):
            current = self.reader.current and self._published is not None
            data = application.next_append(self.reader.state, current)
            if data is not None:
                self.fire(log_append(STREAM, data, change_id, self.channel), "*")
            application.tick(now_ms)
            if application.outcome is not None:
                del self._submissions[change_id]
                done(application.outcome)

    @handler("log_appended")
    def _on_log_appended(
        self, token: str | None, offset: int | None, error: LogError | None
    ) -> None:
        found = self._submissions.get(token or "")
        if found is None:
            return
        if error is None:
            found[0].appended()
        else:
            found[0].append_failed(error.may_have_taken_effect, error.text)
        self._advance_applications()

    # Snapshots

    def _check_snapshot(self) -> None:
        self._timers.after(SNAPSHOT_CHECK_MS, self._check_snapshot)
        now_ms, state = self._clock.now_ms(), self.reader.state
        if not self.log_available or state is None or now_ms < self._snapshot_at_ms:
            return
        ranked = self._view.ranked_instances(now_ms)
        own = self._settings.instance_id
        rank = ranked.index(own) if own in ranked else len(ranked)
        due_ms = snapshot_due_ms(self.reader, rank, self._settings.log_retention_ms, self._seed)
        if due_ms is not None and self._clock.wall_ms() >= due_ms:
            self._snapshot_at_ms = now_ms + SNAPSHOT_RETRY_MS
            self.fire(log_append(STREAM, state.to_record(), None, self.channel), "*")
