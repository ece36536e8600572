"""Readings of the store that hubs pass on.

The calls of many instances that all read the same topics add up. The first hub reads the store, and all
others ask a hub. The one that asks knows that the answer was made after its question, so the age that
the answer states never makes a configuration look younger than it is.
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

# Parts of the time within which what the store has must be in force everywhere.
HOLD_FRACTION = 0.25  # How long a hub holds a question back while there is nothing new.
STALE_FRACTION = 0.5  # Age of a reading from which another hub is asked.
CATCH_UP_FRACTION = 0.7  # Age of a reading from which an instance reads the store itself.
# Added to the time for which a question is held back.
RESPONSE_MARGIN_MS = 350
# Time to the next reading of the store after one that failed, while a hub is asked as well.
CATCH_UP_RETRY_MS = 2_000
# After this time without any reading, a process that has just started reads the store itself.
START_TIMEOUT_MS = 150
# Time for which a hub that does not answer, or does not reach the store, is not asked.
EXCLUSION_MS = 3_000
# Time to the next question after a hub told that it does not reach the store.
STALE_RETRY_DELAY_MS = 20
# Hubs that may not reach the store before it counts as away for all.
MAX_STALE_HUBS = 4
# Hubs that may be dead before an instance reads the store itself.
MAX_DEAD_HUBS = 3
# A configuration is compressed to a tenth; a hub may have little bandwidth.
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_ANSWER_BYTES = 67_108_864

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[str, TopicDelta])

TopicRead = NewestPage | ChangesPage | OffsetExpired


class Follower(Protocol):
    """Follow one topic, through the relay or in the store."""

    confirmed_ms: int | None

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record, or None before all keys are read."""

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the store does not answer this instance."""

    def read_store(self) -> None:
        """Read the store from now on, unless that is being done."""

    def apply_relayed(self, answer: TopicRead, confirmed_ms: int) -> None:
        """Take what a hub answered."""


@dataclass(frozen=True)
class _Published:
    """Hold what this instance passes on of a topic, and when the store confirmed it."""

    mirror: TopicMirror
    confirmed_ms: int


@dataclass(frozen=True)
class _Held:
    peer_id: str
    question: TopicQuery
    received_ms: int


@dataclass(frozen=True)
class _Asked:
    number: int
    hub_id: str
    asked_ms: int
    offsets: Mapping[str, int | None]


class TopicRelay(BaseComponent):
    """Ask a hub for all topics at once, and answer the instances that ask this one."""

    channel = "topic_relay"

    def __init__(
        self,
        ranking: HubRanking,
        links: FleetLinks,
        clock: Clock,
        timers: TimerQueue,
        in_force_ms: int,
    ) -> None:
        """Create the relay; what the store has must be known within `in_force_ms`."""
        super().__init__()
        self._hold_ms = round(HOLD_FRACTION * in_force_ms)
        self._stale_ms = round(STALE_FRACTION * in_force_ms)
        self._catch_up_ms = round(CATCH_UP_FRACTION * in_force_ms)
        self._caught_up_ms = 0
        self._ranking, self._links = ranking, links
        self._clock, self._timers = clock, timers
        self._followers: dict[str, Follower] = {}
        self._urgent: dict[str, Follower] = {}  # Topics whose readings must be recent.
        self._has_begun = False
        self._numbers = itertools.count(1)
        self._asked: _Asked | None = None
        self._timer: TimerHandle | None = None
        self._dead: dict[str, int] = {}  # Time until which a hub is not asked.
        self._stale: dict[str, int] = {}
        self._hub_id: str | None = None
        self._published: dict[str, _Published] = {}
        self._held: deque[_Held] = deque()  # In the order in which they are due.
        self._hold_timer: TimerHandle | None = None
        links.receivers[TopicQuery] = self._on_question
        links.receivers[TopicResponse] = self._on_answer
        links.on_peer_lost.append(self._on_lost)

    def add(self, topic: str, follower: Follower, is_urgent: bool = True) -> None:
        """Follow a topic for a component of this instance."""
        self._followers[topic] = follower
        if is_urgent:
            self._urgent[topic] = follower

    def begin(self) -> None:
        """Read all topics, now that the other instances are known or cannot be known."""
        if not self._has_begun:
            self._has_begun = True
            self._timers.after(START_TIMEOUT_MS, self._read_what_is_missing)
            self._timers.after(self._catch_up_ms, self._watch)
            self._step()

    def _read_what_is_missing(self) -> None:
        for follower in self._followers.values():
            if follower.offset is None:
                follower.read_store()

    def _watch(self) -> None:
        """Read the store if no hub has told its state for a while."""
        now_ms = self._clock.now_ms()
        oldest_ms = min((follower.confirmed_ms or 0) for follower in self._urgent.values())
        due_ms = max(
            oldest_ms + self._catch_up_ms,
            self._caught_up_ms + (CATCH_UP_RETRY_MS if self._is_away else 0),
        )
        if now_ms >= due_ms:
            self._caught_up_ms = now_ms
            for follower in self._urgent.values():
                follower.read_store()
            due_ms = now_ms + self._hold_ms
        self._timers.at(due_ms, self._watch)

    @property
    def _is_away(self) -> bool:
        return any(follower.is_store_unavailable for follower in self._urgent.values())

    # Following a hub

    def must_read_store(self) -> bool:
        """Return whether the store has to be read, or else follow a hub from now on."""
        if not self._has_begun:
            return True
        if self._asked is None and self._choose() is None:
            return True
        if self._asked is None:
            self._step()
        return self._hub_id is None

    def _choose(self) -> str | None:
        """Return the hub to ask, the same one as long as it answers, or None to read the store."""
        now_ms = self._clock.now_ms()
        dead = [name for name, until_ms in self._dead.items() if now_ms < until_ms]
        stale = [name for name, until_ms in self._stale.items() if now_ms < until_ms]
        usable = self._ranking.hubs_before(now_ms, {*dead, *stale})
        if len(stale) >= MAX_STALE_HUBS:
            usable = self._ranking.hubs_before(now_ms, dead)
        if len(dead) >= MAX_DEAD_HUBS:
            usable = ()
        if self._hub_id is None or self._hub_id not in usable:
            chosen = usable[0] if usable else None
            if chosen != self._hub_id:
                log_event(logevents.RELAY_CHANGED, relay=chosen)
            self._hub_id = chosen
        return self._hub_id

    def _step(self) -> None:
        hub_id = self._choose()
        if hub_id is None:
            for follower in self._followers.values():
                follower.read_store()
            return
        offsets = {topic: follower.offset for topic, follower in self._followers.items()}
        asked = _Asked(next(self._numbers), hub_id, self._clock.now_ms(), offsets)
        self._asked = asked
        self._timer = self._timers.after(
            self._hold_ms + RESPONSE_MARGIN_MS, lambda: self._give_up(asked, "no answer")
        )
        if not self._links.send(hub_id, TopicQuery(asked.number, offsets)):
            self._give_up(asked, "no connection")

    def _give_up(self, asked: _Asked, reason: str) -> None:
        if self._asked is not asked:
            return
        self._dead[asked.hub_id] = self._clock.now_ms() + EXCLUSION_MS
        log_event(logevents.RELAY_FAILED, relay=asked.hub_id, reason=reason)
        self._end_question()
        self._step()

    def _end_question(self) -> None:
        self._asked = None
        if self._timer is not None:
            self._timer.cancel()

    def _on_lost(self, instance_id: str) -> None:
        if self._asked is not None and self._asked.hub_id == instance_id:
            self._give_up(self._asked, "connection lost")

    def _on_answer(self, instance_id: str, message: TopicResponse) -> None:
        asked = self._asked
        if asked is None or (asked.number, asked.hub_id) != (message.number, instance_id):
            return  # Another hub has been asked meanwhile.
        try:
            news = _decode(message)
        except (msgspec.DecodeError, zlib.error) as exc:
            self._give_up(asked, str(exc))
            return
        self._end_question()
        self._dead.pop(instance_id, None)
        is_stale = message.is_store_unavailable
        for topic, follower in self._followers.items():
            item = news.get(topic)
            read = _read_of(item) if item is not None else None
            if item is None or read is None:
                continue  # The hub has not read the topic yet, or is behind this instance.
            if follower.offset != asked.offsets.get(topic):
                continue  # The store was read meanwhile; an older answer would undo it.
            # The hub answered no earlier than this; how long the answer was on its way is not known.
            answered_ms = asked.asked_ms + message.waited_ms
            follower.apply_relayed(read, answered_ms - item.age_ms)
            is_stale = is_stale or (topic in self._urgent and item.age_ms > self._stale_ms)
        if is_stale:
            self._stale[instance_id] = self._clock.now_ms() + EXCLUSION_MS
            log_event(logevents.RELAY_FAILED, relay=instance_id, reason="no recent reading")
            self._timers.after(STALE_RETRY_DELAY_MS, self._step_on)
            return
        self._step()

    def _step_on(self) -> None:
        if self._asked is None:
            self._step()

    # Answering others

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Pass a reading on to the instances for which it has news."""
        self._published[topic] = _Published(mirror, confirmed_ms)
        held, self._held = self._held, deque()
        answers: dict[tuple[tuple[str, int | None], ...], TopicResponse] = {}
        for item in held:
            if topic not in item.question.offsets or not self._has_news(item.question):
                self._held.append(item)
                continue
            key = tuple(item.question.offsets.items())
            if key not in answers:
                answers[key] = self._answer(item.question)
            self._send(item, answers[key])

    def notify_store_unavailable(self) -> None:
        """Tell the instances that wait that this one does not reach the store."""
        held, self._held = self._held, deque()
        for item in held:
            self._send(item, self._answer(item.question))

    def _send(self, held: _Held, answer: TopicResponse) -> None:
        waited_ms = self._clock.now_ms() - held.received_ms
        answer = msgspec.structs.replace(answer, number=held.question.number, waited_ms=waited_ms)
        self._links.answer(held.peer_id, answer)

    def _on_question(self, instance_id: str, question: TopicQuery) -> None:
        held = _Held(instance_id, question, self._clock.now_ms())
        if self._has_news(question):
            self._send(held, self._answer(question))
            return
        self._held.append(held)
        if self._hold_timer is None:
            self._hold_timer = self._timers.after(self._hold_ms, self._expire)

    def _has_news(self, question: TopicQuery) -> bool:
        for topic, offset in question.offsets.items():
            published = self._published.get(topic)
            if published is None or (offset or 0) > (published.mirror.position or 0):
                continue
            call = ReadNewest() if offset is None else ReadChanges(offset, 0)
            if published.mirror.has_changes_for(call):
                return True
        return False

    def _age_ms(self, published: _Published) -> int:
        return self._clock.now_ms() - published.confirmed_ms

    def _expire(self) -> None:
        self._hold_timer = None
        now_ms = self._clock.now_ms()
        while self._held and self._held[0].received_ms + self._hold_ms <= now_ms:
            item = self._held.popleft()
            self._send(item, self._answer(item.question))
        if self._held:
            due_ms = self._held[0].received_ms + self._hold_ms
            self._hold_timer = self._timers.at(due_ms, self._expire)

    def _answer(self, question: TopicQuery) -> TopicResponse:
        news = {}
        for topic, offset in question.offsets.items():
            published = self._published.get(topic)
            if published is not None:
                item = _news(published.mirror, offset, self._age_ms(published))
                if item is not None:
                    news[topic] = item
        data = _ENCODER.encode(news)
        if len(data) < MIN_COMPRESSED_BYTES:
            return TopicResponse(question.number, 0, self._is_away, False, data)
        body = zlib.compress(data, COMPRESSION_LEVEL)
        return TopicResponse(question.number, 0, self._is_away, True, body)


def _news(mirror: TopicMirror, offset: int | None, age_ms: int) -> TopicDelta | None:
    call = ReadNewest() if offset is None else ReadChanges(offset, 0)
    match mirror.answer(call):
        case NewestPage(records, _, end):
            return TopicDelta("newest", age_ms, end, _pairs(records))
        case ChangesPage(records, next_offset, _):
            return TopicDelta("changes", age_ms, next_offset, _pairs(records))
        case OffsetExpired():
            return TopicDelta("gone", age_ms)
    return None


def _pairs(records: tuple[KeyedRecord, ...]) -> tuple[tuple[str, bytes | None], ...]:
    return tuple((record.key, record.value) for record in records)


def _decode(message: TopicResponse) -> dict[str, TopicDelta]:
    data = message.body
    if message.is_compressed:
        data = zlib.decompressobj().decompress(data, MAX_ANSWER_BYTES)
    return _DECODER.decode(data)


def _read_of(news: TopicDelta) -> TopicRead | None:
    records = tuple(KeyedRecord(key, value, news.position) for key, value in news.records)
    match news.kind:
        case "newest":
            return NewestPage(records, False, news.position)
        case "changes":
            return ChangesPage(records, news.position, news.position)
        case "gone":
            return OffsetExpired()
    return None
