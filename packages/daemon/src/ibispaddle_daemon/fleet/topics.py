"""Relaying of the store's topics through hubs.

To limit the number of calls to the store, only the first hub reads it, and all other instances query a
hub. An instance to which the store is unavailable queries any other one.

An instance derives the age of the data from the time of its own query, which the hub's response follows,
and from the age in the response. A configuration therefore never appears newer than it is.
"""

import itertools
import zlib
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.hubs import HubRanking, SourceSelection
from ibispaddle_core.hubs.sources import Source
from ibispaddle_core.topics import OffsetExpired, TopicMirror, TopicPosition

from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .links import FleetLinks
from .messages import TopicQuery, TopicResponse
from .topic_bodies import (
    TopicRead,
    build_delta,
    build_query,
    build_response,
    decode_delta,
    decode_response,
    expired_delta,
    is_ahead,
    read_call,
)

# Fractions of `in_force_ms`, the time within which changes in the store must be known everywhere.
HOLD_FRACTION = 0.25  # Time for which a hub holds a query while there are no changes.
STALE_FRACTION = 0.5  # Age of the data from which another hub is queried.
CATCH_UP_FRACTION = 0.7  # Age of the data from which an instance reads the store itself.
# Added to the hold time to get the timeout of a query.
RESPONSE_MARGIN_MS = 350
# The same once the data is old.
SHORT_RESPONSE_MARGIN_MS = 150
# Timeout of a query that is answered at once, and the delay after an answer without recent data.
SEARCH_TIMEOUT_MS = 200
SEARCH_DELAY_MS = 10
# Delay before the store is read again after a failure, while another instance is queried as well. Shorter in a
# small fleet, whose instances make few calls.
CATCH_UP_RETRY_MS = 2_000
CATCH_UP_RETRY_MS_PER_INSTANCE = 100
MIN_CATCH_UP_RETRY_MS = 500
# A process that has received no data within this time after its start reads the store itself.
START_TIMEOUT_MS = 150
# Interval at which a hub connects to listed instances that have not connected to it.
CONNECT_INTERVAL_MS = 1_000
# Delay before the next query after a hub reported that it cannot reach the store.
STALE_RETRY_DELAY_MS = 20
_ENCODER = msgspec.msgpack.Encoder()


class Follower(Protocol):
    """Reads one topic, through the relay or from the store."""

    confirmed_ms: int | None
    read_confirmed_ms: int | None  # The last time that an answer of the store itself confirmed.

    @property
    def position(self) -> TopicPosition | None:
        """Return the position up to which the topic is known, or None to get all keys from a hub."""

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the store is unavailable to this instance."""

    def read_store(self) -> None:
        """Start to read the store, unless it is being read already."""

    def apply_relayed(self, answer: TopicRead, confirmed_ms: int, is_from_hub: bool) -> bool:
        """Apply data that another instance has sent, which is a hub that the store serves or not.

        Return False if it is older than what this instance has read.
        """


@dataclass(frozen=True)
class _PublishedTopic:
    """The data of a topic that this instance relays, and when the store confirmed it."""

    mirror: TopicMirror
    confirmed_ms: int
    era: int


@dataclass(frozen=True)
class _HeldQuery:
    peer_id: str
    query: TopicQuery
    received_ms: int


@dataclass(frozen=True)
class _PendingQuery:
    query_id: int
    hub_id: str
    sent_ms: int
    positions: Mapping[str, TopicPosition | None]


class TopicRelay(BaseComponent):
    """Query a hub for all topics at once, and respond to queries of other instances."""

    channel = "topic_relay"

    def __init__(
        self,
        ranking: HubRanking,
        links: FleetLinks,
        clock: Clock,
        timers: TimerQueue,
        in_force_ms: int,
    ) -> None:
        """Create the relay; changes in the store must be known within `in_force_ms`."""
        super().__init__()
        self._in_force_ms = in_force_ms
        self._hold_ms = round(HOLD_FRACTION * in_force_ms)
        self._stale_ms = round(STALE_FRACTION * in_force_ms)
        self._catch_up_ms = round(CATCH_UP_FRACTION * in_force_ms)
        self._last_catch_up_ms = 0
        self._sources = SourceSelection(ranking)
        self._links, self._clock, self._timers = links, clock, timers
        self._followers: dict[str, Follower] = {}
        self._urgent_followers: dict[str, Follower] = {}  # Topics whose data must be recent.
        self._is_started = False
        self._query_ids = itertools.count(1)
        self._pending_query: _PendingQuery | None = None
        self._last_queries: dict[str, _PendingQuery] = {}  # To each instance, also if abandoned.
        self._query_timer: TimerHandle | None = None
        self._delayed_query: TimerHandle | None = None
        self._published: dict[str, _PublishedTopic] = {}
        # Topics of a store that was restored since the start, and the instances of an earlier release, which
        # know no eras, that have asked for all keys since.
        self._informed: dict[str, set[str]] = {}
        self._held_queries: deque[_HeldQuery] = deque()  # Ordered by due time.
        self._hold_timer: TimerHandle | None = None
        # The last query of each instance that was answered with older data than it wanted.
        self._unmet_queries: dict[str, _HeldQuery] = {}
        links.receivers[TopicQuery] = self._on_query
        links.receivers[TopicResponse] = self._on_response
        links.on_peer_lost.append(self._on_lost)

    def add(self, topic: str, follower: Follower, is_urgent: bool = True) -> None:
        """Add a topic for a component of this instance."""
        self._followers[topic] = follower
        if is_urgent:
            self._urgent_followers[topic] = follower

    def start_reading(self) -> None:
        """Start to read all topics, once the other instances are known or could not be read."""
        if not self._is_started:
            self._is_started = True
            self._timers.after(START_TIMEOUT_MS, self._read_missing_topics)
            self._timers.after(self._catch_up_ms, self._check_confirmation_age)
            self._timers.after(CONNECT_INTERVAL_MS, self._connect_others)
            self._query_next()

    def _connect_others(self) -> None:
        """Let instances that may know no address query this one, over a connection that it opens."""
        self._timers.after(CONNECT_INTERVAL_MS, self._connect_others)
        connected = self._links.connected_ids()
        for instance_id in self._sources.unconnected(connected, self._clock.now_ms()):
            self._links.connect(instance_id)

    def _read_missing_topics(self) -> None:
        for follower in self._followers.values():
            if follower.position is None:
                follower.read_store()

    def _check_confirmation_age(self) -> None:
        """Read the store if no hub has confirmed the urgent topics for a while."""
        now_ms = self._clock.now_ms()
        due_ms = max(
            (self._confirmed_ms or 0) + self._catch_up_ms,
            self._last_catch_up_ms + (self._retry_ms if self._is_store_unavailable else 0),
        )
        if now_ms >= due_ms:
            self._read_urgent_topics(now_ms)
            self._query_if_idle()
            due_ms = now_ms + self._hold_ms
        self._timers.at(due_ms, self._check_confirmation_age)

    @property
    def _retry_ms(self) -> int:
        by_size_ms = CATCH_UP_RETRY_MS_PER_INSTANCE * self._sources.fleet_size
        return max(MIN_CATCH_UP_RETRY_MS, min(CATCH_UP_RETRY_MS, by_size_ms))

    def _read_urgent_topics(self, now_ms: int) -> None:
        self._last_catch_up_ms = now_ms
        for follower in self._urgent_followers.values():
            follower.read_store()

    @property
    def _confirmed_ms(self) -> int | None:
        """Return the time as of which all urgent topics are known, or None if one is not."""
        return _earliest(item.confirmed_ms for item in self._urgent_followers.values())

    def _age_ms(self, now_ms: int) -> int | None:
        """Return the age of the urgent topics, or None if one has not been read yet."""
        confirmed_ms = self._confirmed_ms
        return None if confirmed_ms is None else now_ms - confirmed_ms

    @property
    def _is_store_unavailable(self) -> bool:
        return any(follower.is_store_unavailable for follower in self._urgent_followers.values())

    # Queries

    def must_read_store(self) -> bool:
        """Return whether the store must be read; otherwise make sure that a hub is being queried."""
        if not self._is_started:
            return True
        self._query_if_idle()
        return self._sources.current.reads_store

    def is_data_overdue(self) -> bool:
        """Return whether the urgent topics are so old that the store is read whether or not there is a hub."""
        age_ms = self._age_ms(self._clock.now_ms())
        return age_ms is None or age_ms >= self._catch_up_ms

    def _choose_source(self) -> Source:
        """Return the instance to query, which stays the same while it has recent data."""
        now_ms, previous = self._clock.now_ms(), self._sources.current
        age_ms = self._age_ms(now_ms)
        source = self._sources.choose(
            now_ms,
            self._is_store_unavailable,
            self._is_old(age_ms),
            self._links.connected_ids(),
            is_data_overdue=age_ms is not None and age_ms >= self._catch_up_ms,
            is_read_recent=self._is_read_recent(now_ms),
        )
        if source.is_substitute and not previous.is_substitute:
            log_event(logevents.STORE_CUT_OFF, age_ms=age_ms)
            self._answer_held_queries(now_ms)
        elif not source.is_substitute and source.instance_id != previous.instance_id:
            log_event(logevents.RELAY_CHANGED, relay=source.instance_id, age_ms=age_ms)
        return source

    def _is_read_recent(self, now_ms: int) -> bool:
        """Return whether the store's own answers have confirmed recent data of the urgent topics."""
        read_ms = _earliest(item.read_confirmed_ms for item in self._urgent_followers.values())
        return read_ms is not None and not self._is_old(now_ms - read_ms)

    def _is_old(self, age_ms: int | None) -> bool:
        return age_ms is None or age_ms > self._stale_ms

    @property
    def _is_cut_off(self) -> bool:
        """Return whether the store is unavailable, or its data old, and no hub is queried in place of it."""
        source = self._sources.current
        is_without_hub = source.is_substitute or source.instance_id is None
        return is_without_hub and (self._is_store_unavailable or self._sources.is_store_behind)

    def _query_next(self) -> None:
        source, now_ms = self._choose_source(), self._clock.now_ms()
        if source.reads_store:
            for follower in self._followers.values():
                follower.read_store()
        if source.instance_id is None:
            due_ms = self._sources.next_choice_ms(now_ms)
            if due_ms is not None:
                self._query_later(due_ms - now_ms)
            return
        age_ms = self._age_ms(now_ms)
        wanted_age_ms = self._stale_ms if source.is_substitute and self._is_old(age_ms) else None
        positions = {topic: follower.position for topic, follower in self._followers.items()}
        query = _PendingQuery(next(self._query_ids), source.instance_id, now_ms, positions)
        self._pending_query = self._last_queries[source.instance_id] = query
        self._query_timer = self._timers.after(
            SEARCH_TIMEOUT_MS if wanted_age_ms is not None else self._timeout_ms(age_ms),
            lambda: self._abandon_query(query, "no response to a query"),
        )
        message = build_query(query.query_id, positions, wanted_age_ms)
        if not self._links.send(query.hub_id, message):
            self._abandon_query(query, "no connection")

    def _timeout_ms(self, age_ms: int | None) -> int:
        """Return the timeout of a query that may be held; it is shorter once the data is old."""
        until_old_ms = self._stale_ms - (age_ms if age_ms is not None else self._stale_ms)
        shortest_ms = self._hold_ms + SHORT_RESPONSE_MARGIN_MS
        return min(self._hold_ms + RESPONSE_MARGIN_MS, max(shortest_ms, until_old_ms))

    def _query_later(self, delay_ms: int) -> None:
        """Continue after a delay, in place of any delay before."""

        def run() -> None:
            self._delayed_query = None
            self._query_if_idle()

        if self._delayed_query is not None:
            self._delayed_query.cancel()
        self._delayed_query = self._timers.after(delay_ms, run)

    def _abandon_query(self, query: _PendingQuery, reason: str) -> None:
        if self._pending_query is not query:
            return
        self._sources.mark_unresponsive(query.hub_id, self._clock.now_ms())
        self._log_failure(query.hub_id, reason)
        self._clear_query()
        self._query_next()

    def _log_failure(self, hub_id: str, reason: str) -> None:
        age_ms = self._age_ms(self._clock.now_ms())
        log_event(logevents.RELAY_FAILED, relay=hub_id, reason=reason, age_ms=age_ms)

    def _clear_query(self) -> None:
        self._pending_query = None
        if self._query_timer is not None:
            self._query_timer.cancel()

    def _on_lost(self, instance_id: str) -> None:
        self._last_queries.pop(instance_id, None)
        self._unmet_queries.pop(instance_id, None)
        for peers in self._informed.values():
            peers.discard(instance_id)
        self._sources.mark_disconnected(instance_id)
        if self._pending_query is not None and self._pending_query.hub_id == instance_id:
            self._abandon_query(self._pending_query, "connection lost")

    def _on_response(self, instance_id: str, message: TopicResponse) -> None:
        query = self._last_queries.get(instance_id)
        if query is None or query.query_id != message.query_id:
            return  # It has been queried again since.
        is_pending = query is self._pending_query
        try:
            deltas = decode_response(message)
        except (*DECODE_ERRORS, zlib.error) as exc:
            if is_pending:
                self._abandon_query(query, f"invalid response: {exc}")
            else:
                self._log_failure(instance_id, f"invalid late response: {exc}")
            return
        if is_pending:
            self._clear_query()
        self._sources.mark_responsive(instance_id)
        is_stale = message.is_store_unavailable
        is_from_hub = is_pending and not (is_stale or self._sources.current.is_substitute)
        if is_from_hub and self._knows_eras and not all(item.era for item in deltas.values()):
            self._leave_eraless_hub(instance_id)
            return
        for topic, follower in self._followers.items():
            item = deltas.get(topic)
            read = decode_delta(item) if item is not None else None
            if item is None or read is None:
                continue  # The hub has not read the topic yet, or its data is older.
            if isinstance(read, OffsetExpired) and not is_pending:
                continue  # The next query gets all keys.
            if follower.position != query.positions.get(topic):
                continue  # The store was read since; the response may be older.
            # Earliest time at which the hub can have responded; the network delay is unknown.
            responded_ms = query.sent_ms + message.waited_ms
            is_ahead = follower.apply_relayed(read, responded_ms - item.age_ms, is_from_hub)
            is_old = topic in self._urgent_followers and item.age_ms > self._stale_ms
            is_stale = is_stale or is_old or not is_ahead
        if not is_pending:
            self._use_late_response(instance_id, is_stale)
        elif self._sources.current.is_substitute:
            # The next query gets all keys of a topic whose changes the other one does not have.
            is_complete = all(item.kind != "gone" for item in deltas.values())
            self._continue_search(instance_id, is_stale, is_complete)
        elif is_stale:
            self._leave_stale_hub(instance_id)
        else:
            self._query_next()

    def _use_late_response(self, instance_id: str, is_cut_off: bool) -> None:
        """End a search if it is in progress and the late data is recent."""
        age_ms = self._age_ms(self._clock.now_ms())
        if is_cut_off or self._is_old(age_ms) or not self._sources.is_searching:
            return
        if self._sources.mark_recent(instance_id):
            log_event(logevents.SUBSTITUTE_FOUND, relay=instance_id, age_ms=age_ms)
        self._query_if_idle()

    @property
    def _knows_eras(self) -> bool:
        """Return whether the store states its era."""
        positions = (follower.position for follower in self._followers.values())
        return any(position is not None and position.era for position in positions)

    def _leave_eraless_hub(self, hub_id: str) -> None:
        self._sources.mark_eraless(hub_id, self._clock.now_ms())
        self._log_failure(hub_id, "the hub states no era of the store")
        self._query_next()

    def _leave_stale_hub(self, hub_id: str) -> None:
        now_ms = self._clock.now_ms()
        self._sources.mark_stale(hub_id, now_ms)
        self._log_failure(hub_id, "the hub has no recent data from the store")
        are_all_stale = self._sources.are_all_stale(now_ms)
        self._query_later(self._hold_ms if are_all_stale else STALE_RETRY_DELAY_MS)

    def _continue_search(self, instance_id: str, is_cut_off: bool, is_complete: bool) -> None:
        """Query a substitute again if it has recent data, else the next one."""
        now_ms = self._clock.now_ms()
        age_ms = self._age_ms(now_ms)
        has_recent_data = not is_cut_off and not self._is_old(age_ms)
        if not has_recent_data and is_complete:
            self._sources.mark_stale(instance_id, now_ms)
        if not has_recent_data:
            self._query_later(SEARCH_DELAY_MS)
            return
        if self._sources.mark_recent(instance_id):
            log_event(logevents.SUBSTITUTE_FOUND, relay=instance_id, age_ms=age_ms)
        self._query_next()

    def _query_if_idle(self) -> None:
        if self._pending_query is None:
            self._query_next()

    # Hub

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Send new data to the instances whose held queries it answers."""
        published = _PublishedTopic(mirror, confirmed_ms, _era(mirror))
        previous, self._published[topic] = self._published.get(topic), published
        if previous is not None and previous.era and previous.era != published.era:
            self._informed[topic] = set()
        now_ms = self._clock.now_ms()
        held, self._held_queries = self._held_queries, deque()
        answered: list[_HeldQuery] = []
        for item in held:
            has_changes = topic in item.query.offsets and self._has_changes(item)
            (answered if has_changes else self._held_queries).append(item)
        self._answer(answered, now_ms)
        self._answer_unmet_queries(now_ms)

    def notify_store_unavailable(self) -> None:
        """Answer all held queries, to report that this instance cannot reach the store.

        If it has no hub, it queries other instances.
        """
        self._answer_held_queries(self._clock.now_ms())
        if self._is_started:
            self._query_if_idle()

    def _answer_held_queries(self, now_ms: int) -> None:
        held, self._held_queries = self._held_queries, deque()
        self._answer(held, now_ms)

    def _answer_unmet_queries(self, now_ms: int) -> None:
        """Answer a second time, with recent data, unless that is too late for the sender."""
        if not self._unmet_queries or self._is_old(self._age_ms(now_ms)):
            return
        unmet, self._unmet_queries = self._unmet_queries, {}
        first_ms = now_ms - self._in_force_ms
        self._answer([item for item in unmet.values() if item.received_ms > first_ms], now_ms)

    def _answer(self, items: Iterable[_HeldQuery], now_ms: int) -> None:
        """Answer queries, those from the same offsets with the same response."""
        responses: dict[bytes, TopicResponse] = {}
        for item in items:
            query = item.query
            key = _ENCODER.encode((query.offsets, query.eras, self._lost_topics(item)))
            if key not in responses:
                responses[key] = self._response(item, now_ms)
            self._send(item, responses[key], now_ms)

    def _send(self, held: _HeldQuery, response: TopicResponse, now_ms: int) -> None:
        """Send a response whose ages are as of `now_ms`, which is not later than the present."""
        response = msgspec.structs.replace(
            response, query_id=held.query.query_id, waited_ms=now_ms - held.received_ms
        )
        self._links.answer(held.peer_id, response)

    def _lost_topics(self, held: _HeldQuery) -> list[str]:
        """Return the topics whose offsets may be of an era that the sender does not know to have ended."""
        query = held.query
        if query.eras is not None:
            return []
        return [
            topic
            for topic, peers in self._informed.items()
            if held.peer_id not in peers and query.offsets.get(topic) is not None
        ]

    def _on_query(self, instance_id: str, query: TopicQuery) -> None:
        held = _HeldQuery(instance_id, query, self._clock.now_ms())
        self._unmet_queries.pop(instance_id, None)
        for topic, peers in self._informed.items():
            if query.offsets.get(topic, 0) is None:
                peers.add(instance_id)
        is_urgent = query.wanted_age_ms is not None
        if is_urgent or self._is_cut_off or self._has_changes(held):
            self._send(held, self._response(held, held.received_ms), held.received_ms)
            if is_urgent:
                self._refresh(held)
            return
        self._held_queries.append(held)
        if self._hold_timer is None:
            self._hold_timer = self._timers.after(self._hold_ms, self._answer_expired_queries)

    def _refresh(self, held: _HeldQuery) -> None:
        """Read the store if the data is older than another instance needs, to answer it again."""
        now_ms = held.received_ms
        age_ms = self._age_ms(now_ms)
        if age_ms is not None and age_ms <= (held.query.wanted_age_ms or 0):
            return
        self._unmet_queries[held.peer_id] = held
        if not self._is_store_unavailable or now_ms >= self._last_catch_up_ms + self._retry_ms:
            self._read_urgent_topics(now_ms)

    def _has_changes(self, held: _HeldQuery) -> bool:
        if self._lost_topics(held):
            return True
        query = held.query
        for topic in query.offsets:
            published = self._published.get(topic)
            if published is None or is_ahead(query, topic, published.mirror):
                continue
            if published.mirror.has_changes_for(read_call(query, topic, published.mirror)):
                return True
        return False

    def _answer_expired_queries(self) -> None:
        self._hold_timer = None
        now_ms = self._clock.now_ms()
        while self._held_queries and self._held_queries[0].received_ms + self._hold_ms <= now_ms:
            item = self._held_queries.popleft()
            self._send(item, self._response(item, now_ms), now_ms)
        if self._held_queries:
            due_ms = self._held_queries[0].received_ms + self._hold_ms
            self._hold_timer = self._timers.at(due_ms, self._answer_expired_queries)

    def _response(self, held: _HeldQuery, now_ms: int) -> TopicResponse:
        query, lost, deltas = held.query, self._lost_topics(held), {}
        for topic in query.offsets:
            published = self._published.get(topic)
            if published is None:
                continue
            age_ms = now_ms - published.confirmed_ms
            if topic in lost:
                deltas[topic] = expired_delta(age_ms)
            elif (item := build_delta(query, topic, published.mirror, age_ms)) is not None:
                deltas[topic] = item
        return build_response(query.query_id, deltas, self._is_cut_off)


def _era(mirror: TopicMirror) -> int:
    return 0 if mirror.position is None else mirror.position.era


def _earliest(times_ms: Iterable[int | None]) -> int | None:
    """Return the earliest time, or None if one is not known."""
    earliest_ms = None
    for time_ms in times_ms:
        if time_ms is None:
            return None
        earliest_ms = time_ms if earliest_ms is None else min(earliest_ms, time_ms)
    return earliest_ms
