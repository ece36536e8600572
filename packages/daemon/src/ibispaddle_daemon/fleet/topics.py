"""Relaying of the store's topics through hubs.

To limit the number of calls to the store, only the first hub reads it, and all other instances query a
hub. An instance derives the age of the data from the time of its own query, which the hub's response
follows, and from the age in the response. A configuration therefore never appears newer than it is.
"""

import itertools
import zlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.decoding import DECODE_ERRORS
from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.topics import (
    ChangesPage,
    KeyedRecord,
    NewestPage,
    OffsetExpired,
    ReadChanges,
    ReadNewest,
    TopicMirror,
)

from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .links import FleetLinks
from .messages import TopicDelta, TopicQuery, TopicResponse

# Fractions of `in_force_ms`, the time within which changes in the store must be known everywhere.
HOLD_FRACTION = 0.25  # Time for which a hub holds a query while there are no changes.
STALE_FRACTION = 0.5  # Age of the data from which another hub is queried.
CATCH_UP_FRACTION = 0.7  # Age of the data from which an instance reads the store itself.
# Added to the hold time to get the timeout of a query.
RESPONSE_MARGIN_MS = 350
# Delay before the store is read again after a failure, while a hub is queried as well.
CATCH_UP_RETRY_MS = 2_000
# A process that has received no data within this time after its start reads the store itself.
START_TIMEOUT_MS = 150
# Time for which a hub that does not respond, or cannot reach the store, is not queried.
EXCLUSION_MS = 3_000
# Delay before the next query after a hub reported that it cannot reach the store.
STALE_RETRY_DELAY_MS = 20
# Number of hubs without access to the store from which the store is considered unavailable to all.
MAX_STALE_HUBS = 4
# Number of unresponsive hubs from which an instance reads the store itself.
MAX_DEAD_HUBS = 3
# Larger responses are compressed, because a hub may have little bandwidth. A configuration shrinks to
# a tenth of its size.
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 67_108_864

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[str, TopicDelta])

TopicRead = NewestPage | ChangesPage | OffsetExpired


class Follower(Protocol):
    """Reads one topic, through the relay or from the store."""

    confirmed_ms: int | None

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record, or None before all keys are read."""

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the store is unavailable to this instance."""

    def read_store(self) -> None:
        """Start to read the store, unless it is being read already."""

    def apply_relayed(self, answer: TopicRead, confirmed_ms: int) -> None:
        """Apply data that a hub has sent."""


@dataclass(frozen=True)
class _PublishedTopic:
    """The data of a topic that this instance relays, and when the store confirmed it."""

    mirror: TopicMirror
    confirmed_ms: int


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
    offsets: Mapping[str, int | None]


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
        self._hold_ms = round(HOLD_FRACTION * in_force_ms)
        self._stale_ms = round(STALE_FRACTION * in_force_ms)
        self._catch_up_ms = round(CATCH_UP_FRACTION * in_force_ms)
        self._last_catch_up_ms = 0
        self._ranking, self._links = ranking, links
        self._clock, self._timers = clock, timers
        self._followers: dict[str, Follower] = {}
        self._urgent_followers: dict[str, Follower] = {}  # Topics whose data must be recent.
        self._is_started = False
        self._query_ids = itertools.count(1)
        self._pending_query: _PendingQuery | None = None
        self._query_timer: TimerHandle | None = None
        self._dead_until_ms: dict[str, int] = {}  # Time until which a hub is not queried.
        self._stale_until_ms: dict[str, int] = {}
        self._hub_id: str | None = None
        self._published: dict[str, _PublishedTopic] = {}
        self._held_queries: deque[_HeldQuery] = deque()  # Ordered by due time.
        self._hold_timer: TimerHandle | None = None
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
            self._query_next()

    def _read_missing_topics(self) -> None:
        for follower in self._followers.values():
            if follower.offset is None:
                follower.read_store()

    def _check_confirmation_age(self) -> None:
        """Read the store if no hub has confirmed the urgent topics for a while."""
        now_ms = self._clock.now_ms()
        due_ms = max(
            self._confirmed_ms + self._catch_up_ms,
            self._last_catch_up_ms + (CATCH_UP_RETRY_MS if self._is_store_unavailable else 0),
        )
        if now_ms >= due_ms:
            self._last_catch_up_ms = now_ms
            for follower in self._urgent_followers.values():
                follower.read_store()
            due_ms = now_ms + self._hold_ms
        self._timers.at(due_ms, self._check_confirmation_age)

    @property
    def _confirmed_ms(self) -> int:
        """Return the time as of which all urgent topics are known."""
        return min((item.confirmed_ms or 0 for item in self._urgent_followers.values()), default=0)

    def _age_ms(self, now_ms: int) -> int | None:
        """Return the age of the urgent topics, or None if one has not been read yet."""
        return now_ms - self._confirmed_ms if self._confirmed_ms else None

    @property
    def _is_store_unavailable(self) -> bool:
        return any(follower.is_store_unavailable for follower in self._urgent_followers.values())

    # Queries

    def must_read_store(self) -> bool:
        """Return whether the store must be read; otherwise make sure that a hub is being queried."""
        if not self._is_started:
            return True
        if self._pending_query is None and self._choose_hub() is None:
            return True
        if self._pending_query is None:
            self._query_next()
        return self._hub_id is None

    def _choose_hub(self) -> str | None:
        """Return the hub to query, which stays the same while it responds; None to read the store."""
        now_ms = self._clock.now_ms()
        dead = [name for name, until_ms in self._dead_until_ms.items() if now_ms < until_ms]
        stale = [name for name, until_ms in self._stale_until_ms.items() if now_ms < until_ms]
        usable = self._ranking.hubs_before(now_ms, {*dead, *stale})
        if len(stale) >= MAX_STALE_HUBS:
            usable = self._ranking.hubs_before(now_ms, dead)
        if len(dead) >= MAX_DEAD_HUBS:
            usable = ()
        if self._hub_id is None or self._hub_id not in usable:
            chosen = usable[0] if usable else None
            if chosen != self._hub_id:
                log_event(logevents.RELAY_CHANGED, relay=chosen, age_ms=self._age_ms(now_ms))
            self._hub_id = chosen
        return self._hub_id

    def _query_next(self) -> None:
        hub_id = self._choose_hub()
        if hub_id is None:
            for follower in self._followers.values():
                follower.read_store()
            return
        offsets = {topic: follower.offset for topic, follower in self._followers.items()}
        query = _PendingQuery(next(self._query_ids), hub_id, self._clock.now_ms(), offsets)
        self._pending_query = query
        self._query_timer = self._timers.after(
            self._hold_ms + RESPONSE_MARGIN_MS,
            lambda: self._abandon_query(query, "no response to a query"),
        )
        if not self._links.send(hub_id, TopicQuery(query.query_id, offsets)):
            self._abandon_query(query, "no connection")

    def _abandon_query(self, query: _PendingQuery, reason: str) -> None:
        if self._pending_query is not query:
            return
        now_ms = self._clock.now_ms()
        self._dead_until_ms[query.hub_id] = now_ms + EXCLUSION_MS
        age_ms = self._age_ms(now_ms)
        log_event(logevents.RELAY_FAILED, relay=query.hub_id, reason=reason, age_ms=age_ms)
        self._clear_query()
        self._query_next()

    def _clear_query(self) -> None:
        self._pending_query = None
        if self._query_timer is not None:
            self._query_timer.cancel()

    def _on_lost(self, instance_id: str) -> None:
        if self._pending_query is not None and self._pending_query.hub_id == instance_id:
            self._abandon_query(self._pending_query, "connection lost")

    def _on_response(self, instance_id: str, message: TopicResponse) -> None:
        query = self._pending_query
        if query is None or (query.query_id, query.hub_id) != (message.query_id, instance_id):
            return  # Another hub has been queried since.
        try:
            deltas = _decode(message)
        except (*DECODE_ERRORS, zlib.error) as exc:
            self._abandon_query(query, f"invalid response: {exc}")
            return
        self._clear_query()
        self._dead_until_ms.pop(instance_id, None)
        is_stale = message.is_store_unavailable
        for topic, follower in self._followers.items():
            item = deltas.get(topic)
            read = _decode_read(item) if item is not None else None
            if item is None or read is None:
                continue  # The hub has not read the topic yet, or its data is older.
            if follower.offset != query.offsets.get(topic):
                continue  # The store was read since; the response may be older.
            # Earliest time at which the hub can have responded; the network delay is unknown.
            responded_ms = query.sent_ms + message.waited_ms
            follower.apply_relayed(read, responded_ms - item.age_ms)
            is_stale = is_stale or (
                topic in self._urgent_followers and item.age_ms > self._stale_ms
            )
        if is_stale:
            self._stale_until_ms[instance_id] = self._clock.now_ms() + EXCLUSION_MS
            log_event(
                logevents.RELAY_FAILED,
                relay=instance_id,
                reason="the hub has no recent data from the store",
                age_ms=self._age_ms(self._clock.now_ms()),
            )
            self._timers.after(STALE_RETRY_DELAY_MS, self._query_if_idle)
            return
        self._query_next()

    def _query_if_idle(self) -> None:
        if self._pending_query is None:
            self._query_next()

    # Hub

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Send new data to the instances whose held queries it answers."""
        self._published[topic] = _PublishedTopic(mirror, confirmed_ms)
        now_ms = self._clock.now_ms()
        held, self._held_queries = self._held_queries, deque()
        responses: dict[tuple[tuple[str, int | None], ...], TopicResponse] = {}
        for item in held:
            if topic not in item.query.offsets or not self._has_changes(item.query):
                self._held_queries.append(item)
                continue
            key = tuple(item.query.offsets.items())
            if key not in responses:
                responses[key] = self._response(item.query, now_ms)
            self._send(item, responses[key], now_ms)

    def notify_store_unavailable(self) -> None:
        """Answer all held queries, to report that this instance cannot reach the store."""
        held, self._held_queries = self._held_queries, deque()
        now_ms = self._clock.now_ms()
        for item in held:
            self._send(item, self._response(item.query, now_ms), now_ms)

    def _send(self, held: _HeldQuery, response: TopicResponse, now_ms: int) -> None:
        """Send a response whose ages are as of `now_ms`, which is not later than the present."""
        response = msgspec.structs.replace(
            response, query_id=held.query.query_id, waited_ms=now_ms - held.received_ms
        )
        self._links.answer(held.peer_id, response)

    def _on_query(self, instance_id: str, query: TopicQuery) -> None:
        held = _HeldQuery(instance_id, query, self._clock.now_ms())
        if self._has_changes(query):
            self._send(held, self._response(query, held.received_ms), held.received_ms)
            return
        self._held_queries.append(held)
        if self._hold_timer is None:
            self._hold_timer = self._timers.after(self._hold_ms, self._answer_expired_queries)

    def _has_changes(self, query: TopicQuery) -> bool:
        for topic, offset in query.offsets.items():
            published = self._published.get(topic)
            if published is None or (offset or 0) > (published.mirror.position or 0):
                continue
            call = ReadNewest() if offset is None else ReadChanges(offset, 0)
            if published.mirror.has_changes_for(call):
                return True
        return False

    def _answer_expired_queries(self) -> None:
        self._hold_timer = None
        now_ms = self._clock.now_ms()
        while self._held_queries and self._held_queries[0].received_ms + self._hold_ms <= now_ms:
            item = self._held_queries.popleft()
            self._send(item, self._response(item.query, now_ms), now_ms)
        if self._held_queries:
            due_ms = self._held_queries[0].received_ms + self._hold_ms
            self._hold_timer = self._timers.at(due_ms, self._answer_expired_queries)

    def _response(self, query: TopicQuery, now_ms: int) -> TopicResponse:
        deltas = {}
        for topic, offset in query.offsets.items():
            published = self._published.get(topic)
            if published is not None:
                age_ms = now_ms - published.confirmed_ms
                item = _delta(published.mirror, offset, age_ms)
                if item is not None:
                    deltas[topic] = item
        data = _ENCODER.encode(deltas)
        if len(data) < MIN_COMPRESSED_BYTES:
            return TopicResponse(query.query_id, 0, self._is_store_unavailable, False, data)
        body = zlib.compress(data, COMPRESSION_LEVEL)
        return TopicResponse(query.query_id, 0, self._is_store_unavailable, True, body)


def _delta(mirror: TopicMirror, offset: int | None, age_ms: int) -> TopicDelta | None:
    call = ReadNewest() if offset is None else ReadChanges(offset, 0)
    match mirror.answer(call):
        case NewestPage(records, _, end):
            return TopicDelta("newest", age_ms, end, _key_values(records))
        case ChangesPage(records, next_offset, _):
            return TopicDelta("changes", age_ms, next_offset, _key_values(records))
        case OffsetExpired():
            return TopicDelta("gone", age_ms)
    return None


def _key_values(records: tuple[KeyedRecord, ...]) -> tuple[tuple[str, bytes | None], ...]:
    return tuple((record.key, record.value) for record in records)


def _decode(message: TopicResponse) -> dict[str, TopicDelta]:
    data = message.body
    if message.is_compressed:
        data = zlib.decompressobj().decompress(data, MAX_DECOMPRESSED_BYTES)
    return _DECODER.decode(data)


def _decode_read(delta: TopicDelta) -> TopicRead | None:
    records = tuple(KeyedRecord(key, value, delta.position) for key, value in delta.records)
    match delta.kind:
        case "newest":
            return NewestPage(records, False, delta.position)
        case "changes":
            return ChangesPage(records, delta.position, delta.position)
        case "gone":
            return OffsetExpired()
    return None
