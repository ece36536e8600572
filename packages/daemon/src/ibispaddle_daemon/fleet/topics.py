"""Readings of the store that hubs pass on.

The calls of many instances that all read the same topics add up. The first hub reads the store, and all
others ask a hub. The one that asks knows that the answer was made after its question, so the age that
the answer states never makes a configuration look younger than it is.
"""

import itertools
import zlib
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import msgspec
from circuits import BaseComponent
from ibispaddle_core import logevents
from ibispaddle_core.clock import Clock
from ibispaddle_core.hubs import HubRanking
from ibispaddle_core.topics import (
    ChangesRead,
    Gone,
    KeyedRecord,
    NewestRead,
    ReadChanges,
    ReadNewest,
    TopicMirror,
)

from ..logs import log_event
from ..timers import TimerHandle, TimerQueue
from .links import FleetLinks
from .messages import TopicAnswer, TopicNews, TopicQuestion

# How long a hub holds a question back while there is nothing new. The instance that asks knows after
# it, at the latest, that the hub is still there.
HOLD_MS = 700
# Added to the time for which a question is held back.
ANSWER_MARGIN_MS = 350
# After this time without any reading, a process that has just started reads the store itself.
START_MS = 150
# Time for which a hub that does not answer is not asked.
DEAD_MS = 3_000
# Time for which a hub that does not reach the store is not asked while there is another one.
STALE_MS = 1_000
# Age of a reading from which the hub that states it does not reach the store, for topics that name no
# other age.
MAX_AGE_MS = 1_500
# Hubs that are tried one after the other. An instance reads the store itself when none of them
# answers, but not while they answer that they do not reach it either.
MAX_TRIED = 3
# A configuration is compressed to a tenth; a hub may have little bandwidth.
MIN_COMPRESSED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_ANSWER_BYTES = 67_108_864

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[str, TopicNews])

TopicRead = NewestRead | ChangesRead | Gone


class Follower(Protocol):
    """Follow one topic, through the relay or in the store."""

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record, or None before all keys are read."""

    def read_store(self) -> None:
        """Read the store from now on, unless that is being done."""

    def take_relayed(self, answer: TopicRead, confirmed_ms: int) -> None:
        """Take what a hub answered."""


@dataclass(frozen=True)
class _Published:
    """Hold what this instance passes on of a topic, and when the store confirmed it."""

    mirror: TopicMirror
    confirmed_ms: int


@dataclass(frozen=True)
class _Held:
    peer_id: str
    question: TopicQuestion
    due_ms: int


@dataclass(frozen=True)
class _Asked:
    number: int
    hub_id: str
    asked_ms: int


class TopicRelay(BaseComponent):
    """Ask a hub for all topics at once, and answer the instances that ask this one."""

    channel = "topic_relay"

    def __init__(
        self, ranking: HubRanking, links: FleetLinks, clock: Clock, timers: TimerQueue
    ) -> None:
        super().__init__()
        self._ranking, self._links = ranking, links
        self._clock, self._timers = clock, timers
        self._followers: dict[str, Follower] = {}
        self._max_ages: dict[str, int] = {}
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
        links.receivers[TopicQuestion] = self._on_question
        links.receivers[TopicAnswer] = self._on_answer
        links.on_lost.append(self._on_lost)

    def add(self, topic: str, follower: Follower, max_age_ms: int | None = None) -> None:
        """Follow a topic for a component of this instance; its age matters from `max_age_ms` on."""
        self._followers[topic] = follower
        self._max_ages[topic] = MAX_AGE_MS if max_age_ms is None else max_age_ms

    def begin(self) -> None:
        """Read all topics, now that the other instances are known or cannot be known."""
        if not self._has_begun:
            self._has_begun = True
            self._timers.after(START_MS, self._read_what_is_missing)
            self._step()

    def _read_what_is_missing(self) -> None:
        for follower in self._followers.values():
            if follower.offset is None:
                follower.read_store()

    # Following a hub

    def must_read(self) -> bool:
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
        hubs = self._ranking.hubs_before(now_ms, dead)
        if len(dead) >= MAX_TRIED:
            hubs = ()
        usable = [name for name in hubs if self._stale.get(name, 0) <= now_ms]
        if not usable and not self._ranking.is_hub(now_ms, dead):
            usable = list(hubs)
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
        asked = _Asked(next(self._numbers), hub_id, self._clock.now_ms())
        self._asked = asked
        self._timer = self._timers.after(
            HOLD_MS + ANSWER_MARGIN_MS, lambda: self._give_up(asked, "no answer")
        )
        if not self._links.send(hub_id, TopicQuestion(asked.number, offsets)):
            self._give_up(asked, "no connection")

    def _give_up(self, asked: _Asked, reason: str) -> None:
        if self._asked is not asked:
            return
        self._dead[asked.hub_id] = self._clock.now_ms() + DEAD_MS
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

    def _on_answer(self, instance_id: str, message: TopicAnswer) -> None:
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
        is_stale = False
        for topic, follower in self._followers.items():
            item = news.get(topic)
            read = _read_of(item) if item is not None else None
            if item is None or read is None:
                is_stale = True
                continue
            follower.take_relayed(read, asked.asked_ms - item.age_ms)
            is_stale = is_stale or item.age_ms > self._max_ages[topic]
        if is_stale:
            self._stale[instance_id] = self._clock.now_ms() + STALE_MS
            log_event(logevents.RELAY_FAILED, relay=instance_id, reason="no recent reading")
        self._step()

    # Answering others

    def publish(self, topic: str, mirror: TopicMirror, confirmed_ms: int) -> None:
        """Pass a reading on to the instances for which it has news."""
        self._published[topic] = _Published(mirror, confirmed_ms)
        held, self._held = self._held, deque()
        answers: dict[tuple[tuple[str, int | None], ...], TopicAnswer] = {}
        for item in held:
            if topic not in item.question.offsets or not self._has_news(item.question):
                self._held.append(item)
                continue
            key = tuple(item.question.offsets.items())
            if key not in answers:
                answers[key] = self._answer(item.question)
            answer = msgspec.structs.replace(answers[key], number=item.question.number)
            self._links.answer(item.peer_id, answer)

    def _on_question(self, instance_id: str, question: TopicQuestion) -> None:
        if self._has_news(question):
            self._links.answer(instance_id, self._answer(question))
            return
        self._held.append(_Held(instance_id, question, self._clock.now_ms() + HOLD_MS))
        if self._hold_timer is None:
            self._hold_timer = self._timers.after(HOLD_MS, self._expire)

    def _has_news(self, question: TopicQuestion) -> bool:
        """Return whether all topics were read recently and one of them has news."""
        has_news = False
        for topic, offset in question.offsets.items():
            published = self._published.get(topic)
            max_age_ms = self._max_ages.get(topic, MAX_AGE_MS)
            if published is None or self._age_ms(published) > max_age_ms:
                return False
            call = ReadNewest() if offset is None else ReadChanges(offset, HOLD_MS)
            has_news = has_news or published.mirror.has_news(call)
        return has_news

    def _age_ms(self, published: _Published) -> int:
        return self._clock.now_ms() - published.confirmed_ms

    def _expire(self) -> None:
        self._hold_timer = None
        now_ms = self._clock.now_ms()
        while self._held and self._held[0].due_ms <= now_ms:
            item = self._held.popleft()
            self._links.answer(item.peer_id, self._answer(item.question))
        if self._held:
            self._hold_timer = self._timers.at(self._held[0].due_ms, self._expire)

    def _answer(self, question: TopicQuestion) -> TopicAnswer:
        news = {}
        for topic, offset in question.offsets.items():
            published = self._published.get(topic)
            if published is not None:
                item = _news(published.mirror, offset, self._age_ms(published))
                if item is not None:
                    news[topic] = item
        data = _ENCODER.encode(news)
        if len(data) < MIN_COMPRESSED_BYTES:
            return TopicAnswer(question.number, False, data)
        return TopicAnswer(question.number, True, zlib.compress(data, COMPRESSION_LEVEL))


def _news(mirror: TopicMirror, offset: int | None, age_ms: int) -> TopicNews | None:
    call = ReadNewest() if offset is None else ReadChanges(offset, HOLD_MS)
    match mirror.answer(call):
        case NewestRead(records, _, end):
            return TopicNews("newest", age_ms, end, _pairs(records))
        case ChangesRead(records, next_offset, _):
            return TopicNews("changes", age_ms, next_offset, _pairs(records))
        case Gone():
            return TopicNews("gone", age_ms)
    return None


def _pairs(records: tuple[KeyedRecord, ...]) -> tuple[tuple[str, bytes | None], ...]:
    return tuple((record.key, record.value) for record in records)


def _decode(message: TopicAnswer) -> dict[str, TopicNews]:
    data = message.body
    if message.is_compressed:
        data = zlib.decompressobj().decompress(data, MAX_ANSWER_BYTES)
    return _DECODER.decode(data)


def _read_of(news: TopicNews) -> TopicRead | None:
    records = tuple(KeyedRecord(key, value, news.position) for key, value in news.records)
    match news.kind:
        case "newest":
            return NewestRead(records, False, news.position)
        case "changes":
            return ChangesRead(records, news.position, news.position)
        case "gone":
            return Gone()
    return None
