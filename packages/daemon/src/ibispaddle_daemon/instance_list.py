"""Polling of the platform's instance list."""

# ruff: noqa: N801

import random

import msgspec
from circuits import BaseComponent, Event, handler
from ibispaddle_core.clock import Clock
from ibispaddle_core.gossip import ListSeen
from ibispaddle_core.logevents import LIST_UNAVAILABLE, UPSTREAM_LEAVING
from ibispaddle_core.membership import (
    ListedState,
    ListEntry,
    ListOutcome,
    Member,
    MemberKind,
    MembershipView,
    MemberState,
    parse_list,
)
from ibispaddle_core.settings import FleetConfig, InstanceSettings

from .calls import CallbackHttpClient, CallResult
from .events import (
    MAX_BUFFERED_BODY_BYTES,
    list_changed,
    peer_send,
    readiness_changed,
    source_reread,
)
from .logs import log_event
from .peer_codec import Message
from .timers import TimerHandle, TimerQueue

POLL_TIMEOUT_MS = 2_000
# The list of 390 instances and 730 runners has about 220 KB. The instances of a data centre
# therefore poll it in turn, one per time slot, and notify each other of a new version.
MAX_POLL_SLOTS = 60
# Large lists are polled less often, but at least once per second and data centre, so that the
# average read rate of each instance stays below this limit.
READ_BYTES_PER_S = 5_000
MAX_POLL_SLOT_MS = 1_000
# After a notification of a new version, the polls of a data centre are spread over this time.
NEW_VERSION_MAX_DELAY_MS = 200
# A list whose removals need confirmation is polled at the configured interval this many times.
MAX_CONFIRMATION_POLLS = 10
# States also change without a new list, for example when heartbeats stop.
VIEW_CHECK_INTERVAL_MS = 500
_STATES_WITHOUT_NEW_WORK = (MemberState.LEAVING, MemberState.FORGOTTEN, MemberState.DRAINED)


def poll_slot_ms(interval_ms: int, list_bytes: int, instances: int) -> int:
    """Return the time between two polls of the list by a data centre.

    >>> poll_slot_ms(500, 4_000, 3), poll_slot_ms(500, 227_000, 49)
    (500, 926)
    """
    slot_ms = list_bytes * 1_000 // (READ_BYTES_PER_S * max(1, instances))
    return max(interval_ms, min(MAX_POLL_SLOT_MS, slot_ms))


class members_changed(Event):
    """Report the merged view: `members_changed(members)`, with `Member` objects."""


class InstanceListReader(BaseComponent):
    """Poll the list, merge it into the shared view and report changes.

    `list_changed(entries)` contains the effective entries: a forgotten or drained member is
    reported as leaving, and a member that is down keeps its listed state.
    `members_changed(members)` contains all states.
    """

    channel = "instance_list"

    def __init__(
        self,
        settings: InstanceSettings,
        view: MembershipView,
        clock: Clock,
        timers: TimerQueue,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._url = f"{settings.list_url.rstrip('/')}/instances"
        self._view = view
        self._clock = clock
        self._timers = timers
        self._rng = random.Random(seed)
        self._http = CallbackHttpClient("instance_list_calls", clock).register(self)
        self._members: tuple[Member, ...] = ()
        self._has_list = False
        self._unconfirmed_polls = 0
        self._list_bytes = 0
        self._poll_timer: TimerHandle | None = None
        self._call_id = ""
        # Number of the last pause; 0 once the list was read after it.
        self._pause_number = 0
        self.failures = 0  # Consecutive failed polls.

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._poll()
        self._check_view()

    def _poll(self) -> None:
        # Only one call at a time: the next poll is scheduled when this one has completed.
        self._call_id = self._http.send(
            "GET",
            self._url,
            b"",
            POLL_TIMEOUT_MS,
            self._on_response,
            MAX_BUFFERED_BODY_BYTES,
            may_reuse_connection=True,
        )

    @handler("process_paused", channel="*")
    def _on_process_paused(self, number: int) -> None:
        """Poll the list at once, because a pending response may have been sent before the pause."""
        self._pause_number = number
        self._http.cancel(self._call_id)
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll()

    def _schedule_poll(self, delay_ms: int) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = self._timers.after(delay_ms, self._poll)

    def _next_poll_delay_ms(self) -> int:
        """Return the time until this instance's next time slot."""
        interval_ms = self._settings.list_poll_interval_ms
        local = self._view.ranked_instances(self._clock.now_ms(), self._settings.data_centre)
        is_confirming = 0 < self._unconfirmed_polls <= MAX_CONFIRMATION_POLLS
        if len(local) <= 1 or self.failures or is_confirming:
            return round(interval_ms * self._rng.uniform(0.9, 1.1))
        slots = min(len(local), MAX_POLL_SLOTS)
        slot = local.index(self._settings.instance_id) % slots
        slot_ms = poll_slot_ms(interval_ms, self._list_bytes, slots)
        wall_ms = self._clock.wall_ms()
        current_slot = wall_ms // slot_ms
        slots_ahead = (slot - current_slot - 1) % slots + 1
        start_ms = (current_slot + slots_ahead) * slot_ms
        return start_ms - wall_ms + self._rng.randrange(1 + interval_ms // 5)

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        if not isinstance(message, ListSeen) or message.version <= self._view.version:
            return
        if not self._call_id:
            self._schedule_poll(self._rng.randrange(NEW_VERSION_MAX_DELAY_MS))

    def _on_response(self, result: CallResult) -> None:
        self._call_id = ""
        known_version = self._view.version
        self._process_response(result)
        self._schedule_poll(self._next_poll_delay_ms())
        if self._view.version > known_version and known_version >= 0:
            now_ms = self._clock.now_ms()
            for peer_id in self._view.ranked_instances(now_ms, self._settings.data_centre):
                if peer_id != self._settings.instance_id:
                    self.fire(peer_send(peer_id, ListSeen(self._view.version)), "*")

    def _process_response(self, result: CallResult) -> None:
        error = self._apply_list(result)
        if error:
            self.failures += 1
            if self.failures == 1:
                log_event(LIST_UNAVAILABLE, url=self._url, reason=error)
            return
        self.failures = 0
        is_first, self._has_list = not self._has_list, True
        self._report_changes()
        # A list that removes too many members is never confirmed; it counts as read after the
        # confirmation polls.
        if self._pause_number and (
            not self._unconfirmed_polls or self._unconfirmed_polls > MAX_CONFIRMATION_POLLS
        ):
            self.fire(source_reread(self.channel, self._pause_number), "*")
            self._pause_number = 0
        if is_first:
            self.fire(readiness_changed(self.channel, True), "*")

    def _apply_list(self, result: CallResult) -> str:
        """Merge the list into the view; return the error, or an empty string."""
        if result.error:
            return result.error.text
        if result.status != 200:
            return f"the instance list responded with status {result.status}"
        parsed = parse_list(result.body)
        if parsed.is_err():
            return str(parsed.unwrap_err())
        listing = parsed.unwrap()
        self._list_bytes = len(result.body)
        outcome = self._view.apply_list(listing, self._clock.now_ms())
        self._unconfirmed_polls = self._unconfirmed_polls + 1 if outcome is ListOutcome.HELD else 0
        if outcome is ListOutcome.STALE:
            return f"list version {listing.version} is older than the known version {self._view.version}"
        return ""

    def _check_view(self) -> None:
        self._timers.after(VIEW_CHECK_INTERVAL_MS, self._check_view)
        self._report_changes()

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._view.set_drained(config.drained_upstreams)
        self._view.set_evacuated(config.evacuated_data_centres)
        self._report_changes()

    @handler("runner_failed", channel="*", priority=-1)
    def _on_runner_failed(self, upstream_id: str) -> None:
        now_ms = self._clock.now_ms()
        if self._view.state(upstream_id, now_ms) is not MemberState.DOWN:
            # The failure was observed by a request of this instance.
            self._view.observe(upstream_id, False, now_ms)
        self._report_changes()

    def _report_changes(self) -> None:
        members = self._view.members(self._clock.now_ms())
        if members == self._members or not self._has_list:
            return
        self._log_leaving_upstreams(members)
        self._members = members
        self.fire(members_changed(members), "*")
        self.fire(list_changed(tuple(_effective_entry(member) for member in members)), "*")

    def _log_leaving_upstreams(self, members: tuple[Member, ...]) -> None:
        known = {member.entry.id: member.state for member in self._members}
        for member in members:
            entry, state = member.entry, member.state
            if state not in _STATES_WITHOUT_NEW_WORK or known.get(entry.id) is state:
                continue
            if entry.kind is not MemberKind.ENTRY:
                log_event(UPSTREAM_LEAVING, upstream=entry.id, state=str(state))


def _effective_entry(member: Member) -> ListEntry:
    if member.state in _STATES_WITHOUT_NEW_WORK:
        return msgspec.structs.replace(member.entry, state=ListedState.LEAVING)
    return member.entry
