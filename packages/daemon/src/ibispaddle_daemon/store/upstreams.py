"""Directory of the upstreams that are registered in the store."""

from collections.abc import Callable

from circuits import BaseComponent, handler
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.membership import ColdCountdowns, ListEntry, Registration, RegistrationTable
from ibispaddle_core.topics import TopicUpdate

from ..events import list_changed, readiness_changed
from ..logs import log_event
from ..timers import TimerQueue
from .codec import StoreCodec
from .follower import Relay, TopicFollower

# Interval between reads, as a fraction of the time within which a leaving upstream must stop getting
# new work. Three reads fit into that time.
READ_INTERVAL_FRACTION = 0.3
# Interval at which missing upstreams are removed whose grace period has ended.
EXPIRY_CHECK_INTERVAL_MS = 200
# Maximum number of upstreams logged by name for one change. The first read of a large list has thousands.
MAX_LOGGED_UPSTREAMS = 200
# Time for which the list is read more often while an upstream does not respond: until the next attempt to
# reach it has failed.
QUESTIONED_MS = 1_200


class UpstreamDirectory(BaseComponent):
    """Read the registrations of upstreams and fire `list_changed` when the list changes.

    `decode` parses an entry and returns None if it does not describe a usable upstream.
    """

    channel = "upstream_directory"

    def __init__(
        self,
        topic: str,
        url: str,
        codec: StoreCodec,
        decode: Callable[[str, bytes], Registration | None],
        clock: Clock,
        timers: TimerQueue,
        relay: Relay | None = None,
        in_force_ms: int = 2_000,
    ) -> None:
        super().__init__()
        self._clock, self._timers, self._decode = clock, timers, decode
        self._table = RegistrationTable()
        self._relayed_countdowns = ColdCountdowns()
        self._entries: tuple[ListEntry, ...] | None = None
        self._topic = TopicFollower(
            topic,
            url,
            codec,
            0,
            round(READ_INTERVAL_FRACTION * in_force_ms),
            self._apply,
            clock,
            timers,
            relay,
            self._is_same_registration,
        ).register(self)

    def _apply(self, update: TopicUpdate) -> None:
        values: dict[str, Registration | None] = {}
        for key, value in update.values.items():
            values[key] = None if value is None else self._decode(key, value)
            if value is not None and values[key] is None:
                log_event(logevents.ENTRY_UNREADABLE, key=key[:80], size=len(value))
        self._table.apply(
            values,
            update.is_snapshot,
            self._clock.now_ms(),
            self._topic.recovered_ms,
            update.is_restored,
        )
        self._report()

    @handler("list_questioned", channel="*")
    def _on_list_questioned(self) -> None:
        self._topic.read_often(QUESTIONED_MS)

    def _is_same_registration(self, key: str, old: bytes, new: bytes) -> bool:
        """Return whether two values of an entry are equivalent, as with a mere heartbeat."""
        known, registration = self._decode(key, old), self._decode(key, new)
        if known != registration or known is None or registration is None:
            return known == registration
        left_ms = registration.cold_remaining_ms or 0
        if self._relayed_countdowns.apply(key, left_ms, self._clock.now_ms()):
            return False
        # Instances that read the entry later must not take it for cold because of an old countdown.
        return (known.cold_remaining_ms or 0) == 0 or left_ms > 0

    def _report(self) -> None:
        entries = self._table.entries()
        if entries is self._entries:
            return
        self._log_changes(entries)
        is_first, self._entries = self._entries is None, entries
        self.fire(list_changed(entries), "*")
        if is_first:
            self.fire(readiness_changed("instance_list", True), "*")
            self._timers.after(EXPIRY_CHECK_INTERVAL_MS, self._expire_missing)

    def _expire_missing(self) -> None:
        self._timers.after(EXPIRY_CHECK_INTERVAL_MS, self._expire_missing)
        self._table.expire(self._clock.now_ms())
        self._report()

    def _log_changes(self, entries: tuple[ListEntry, ...]) -> None:
        old = {entry.id: entry for entry in self._entries or ()}
        new = {entry.id: entry for entry in entries}
        added, removed = sorted(new.keys() - old.keys()), sorted(old.keys() - new.keys())
        for name in added[:MAX_LOGGED_UPSTREAMS]:
            log_event(logevents.UPSTREAM_ADDED, upstream=name, service=new[name].models)
        for name in removed[:MAX_LOGGED_UPSTREAMS]:
            log_event(logevents.UPSTREAM_REMOVED, upstream=name)
        if len(added) > MAX_LOGGED_UPSTREAMS or len(removed) > MAX_LOGGED_UPSTREAMS:
            log_event(
                logevents.UPSTREAMS_LISTED,
                added=len(added),
                removed=len(removed),
                listed=len(new),
            )
        for name, entry in new.items():
            previous = old.get(name)
            if previous is not None and previous is not entry and previous.state != entry.state:
                log_event(logevents.UPSTREAM_LEAVING, upstream=name, state=str(entry.state))
