"""Poll of the platform's instance list."""

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
    list_changed,
    peer_send,
    readiness_changed,
    source_reread,
)
from .logs import log_event
from .peer_codec import Message
from .timers import TimerHandle, TimerQueue

POLL_TIMEOUT_MS = 2_000
# The list of 390 instances and 730 runners has about 220 KB. The instances of a data centre take
# turns to read it, so that each reads it rarely, and tell each other of a new version.
MAX_TURNS = 60
# Large lists are read less often, up to one reading per second and data centre, to keep each
# instance's share of the readings below this rate.
READ_BYTES_PER_S = 5_000
MAX_TURN_MS = 1_000
# After news of a version the readings of a data centre are spread over this time.
NEWS_SPREAD_MS = 200
# A list that is held back is read at the plain interval this often, to confirm it.
MAX_QUICK_READINGS = 10
# States also change without a reading, for instance when heartbeats stop.
REVIEW_INTERVAL_MS = 500
_WITHOUT_NEW_WORK = (MemberState.LEAVING, MemberState.FORGOTTEN, MemberState.DRAINED)


def poll_slot_ms(interval_ms: int, list_bytes: int, instances: int) -> int:
    """Return the time between two readings of the list by a data centre.

    >>> poll_slot_ms(500, 4_000, 3), poll_slot_ms(500, 227_000, 49)
    (500, 926)
    """
    wanted_ms = list_bytes * 1_000 // (READ_BYTES_PER_S * max(1, instances))
    return max(interval_ms, min(MAX_TURN_MS, wanted_ms))


class members_changed(Event):
    """Report the merged view: `members_changed(members)` with `Member` data classes."""


class InstanceListReader(BaseComponent):
    """Read the list, merge it into the shared view and report changes.

    `list_changed(entries)` carries the entries in use: a forgotten or drained member is given as
    leaving, and a member that is down keeps its listed state. `members_changed(members)` carries all states.
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
        self._calls = CallbackHttpClient("instance_list_calls", clock).register(self)
        self._members: tuple[Member, ...] = ()
        self._is_read = False
        self._held_readings = 0
        self._list_bytes = 0
        self._poll_timer: TimerHandle | None = None
        self._call_id = ""
        self._pause = 0  # Number of the last pause, 0 once the list was read after it.
        self.failures = 0  # Readings that failed since the last good one.

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self._poll()
        self._review()

    def _poll(self) -> None:
        # One call at a time: the next poll is scheduled when this one has ended.
        self._call_id = self._calls.send("GET", self._url, b"", POLL_TIMEOUT_MS, self._take_answer)

    @handler("process_paused", channel="*")
    def _on_process_paused(self, number: int) -> None:
        """Read the list at once; an answer on its way may have been given before the pause."""
        self._pause = number
        self._calls.cancel(self._call_id)
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll()

    def _schedule(self, delay_ms: int) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = self._timers.after(delay_ms, self._poll)

    def _delay_ms(self) -> int:
        """Return the time until this instance's next turn."""
        interval_ms = self._settings.list_poll_interval_ms
        local = self._view.ranked_instances(self._clock.now_ms(), self._settings.data_centre)
        is_quick = 0 < self._held_readings <= MAX_QUICK_READINGS
        if len(local) <= 1 or self.failures or is_quick:
            return round(interval_ms * self._rng.uniform(0.9, 1.1))
        turns = min(len(local), MAX_TURNS)
        turn = local.index(self._settings.instance_id) % turns
        length_ms = poll_slot_ms(interval_ms, self._list_bytes, turns)
        wall_ms = self._clock.wall_ms()
        now_turn = wall_ms // length_ms
        ahead = (turn - now_turn - 1) % turns + 1
        start_ms = (now_turn + ahead) * length_ms
        return start_ms - wall_ms + self._rng.randrange(1 + interval_ms // 5)

    @handler("peer_received", channel="*")
    def _on_peer_received(self, instance_id: str, message: Message) -> None:
        if not isinstance(message, ListSeen) or message.version <= self._view.version:
            return
        if not self._call_id:
            self._schedule(self._rng.randrange(NEWS_SPREAD_MS))

    def _take_answer(self, result: CallResult) -> None:
        self._call_id = ""
        known_version = self._view.version
        self._note_answer(result)
        self._schedule(self._delay_ms())
        if self._view.version > known_version and known_version >= 0:
            now_ms = self._clock.now_ms()
            for peer_id in self._view.ranked_instances(now_ms, self._settings.data_centre):
                if peer_id != self._settings.instance_id:
                    self.fire(peer_send(peer_id, ListSeen(self._view.version)), "*")

    def _note_answer(self, result: CallResult) -> None:
        problem = self._apply_list(result)
        if problem:
            self.failures += 1
            if self.failures == 1:
                log_event(LIST_UNAVAILABLE, url=self._url, reason=problem)
            return
        self.failures = 0
        is_first, self._is_read = not self._is_read, True
        self._report()
        # A list that drops too much is never confirmed; it counts after the quick readings.
        if self._pause and (not self._held_readings or self._held_readings > MAX_QUICK_READINGS):
            self.fire(source_reread(self.channel, self._pause), "*")
            self._pause = 0
        if is_first:
            self.fire(readiness_changed(self.channel, True), "*")

    def _apply_list(self, result: CallResult) -> str:
        """Merge the list into the view; return why it cannot be used, empty if it can."""
        if result.error:
            return result.error.text
        if result.status != 200:
            return f"status {result.status}"
        parsed = parse_list(result.body)
        if parsed.is_err():
            return str(parsed.unwrap_err())
        listing = parsed.unwrap()
        self._list_bytes = len(result.body)
        outcome = self._view.apply_list(listing, self._clock.now_ms())
        self._held_readings = self._held_readings + 1 if outcome is ListOutcome.HELD else 0
        if outcome is ListOutcome.STALE:
            return f"version {listing.version} is older than {self._view.version}"
        return ""

    def _review(self) -> None:
        self._timers.after(REVIEW_INTERVAL_MS, self._review)
        self._report()

    @handler("configuration_changed", channel="*")
    def _on_configuration_changed(self, config: FleetConfig, revision: int) -> None:
        self._view.set_drained(config.drained_upstreams)
        self._report()

    @handler("runner_failed", channel="*", priority=-1)
    def _on_runner_failed(self, upstream_id: str) -> None:
        now_ms = self._clock.now_ms()
        if self._view.state(upstream_id, now_ms) is not MemberState.DOWN:
            self._view.observe(upstream_id, False, now_ms)  # Seen by a request of this instance.
        self._report()

    def _report(self) -> None:
        members = self._view.members(self._clock.now_ms())
        if members == self._members or not self._is_read:
            return
        self._log_without_new_work(members)
        self._members = members
        self.fire(members_changed(members), "*")
        self.fire(list_changed(tuple(_entry_in_use(member) for member in members)), "*")

    def _log_without_new_work(self, members: tuple[Member, ...]) -> None:
        known = {member.entry.id: member.state for member in self._members}
        for member in members:
            entry, state = member.entry, member.state
            if state not in _WITHOUT_NEW_WORK or known.get(entry.id) is state:
                continue
            if entry.kind is not MemberKind.ENTRY:
                log_event(UPSTREAM_LEAVING, upstream=entry.id, state=str(state))


def _entry_in_use(member: Member) -> ListEntry:
    if member.state in _WITHOUT_NEW_WORK:
        return msgspec.structs.replace(member.entry, state=ListedState.LEAVING)
    return member.entry
